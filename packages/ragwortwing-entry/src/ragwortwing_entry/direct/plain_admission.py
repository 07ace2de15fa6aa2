"""Chooses the backend server of a plain service for a request.

A server that names a limit is sent to only with a permit. The entry that schedules the service, as
all entries choose it alike, gives the permits, so that the limit is kept by all together.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from math import inf
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.outcomes import NotRunReason

from .peer_messages import PermitMessage, PermitRequestMessage
from .ports import Refused

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet
    from random import Random

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.direct.backend_list import BackendServer

    from .entry_state import EntryState
    from .peer_link import Address

RETRY_AFTER = timedelta(milliseconds=300)
"""When a caller that found no backend server should come back; a list of backend servers is read
again within that time."""

PERMIT_TIMEOUT = 0.05
"""Seconds for the answer to a request for a permit; it is then taken as refused."""

UNANSWERED_WAIT = 0.3
"""Seconds without further requests for permits after one without an answer."""


@dataclass(eq=False, slots=True)
class _PendingPermit:
    wait: float = UNANSWERED_WAIT
    answered: trio.Event = field(default_factory=trio.Event)


class PlainAdmission:
    """Admits the requests of one entry to the servers of plain services."""

    def __init__(self, state: EntryState, random: Random) -> None:
        self._state = state
        self._random = random
        self._closed_until_by_id: dict[str, Instant] = {}
        self._pending_by_ticket: dict[int, _PendingPermit] = {}
        self._tickets = 0

    async def admit(
        self, service: str, tried: AbstractSet[str], until: Instant
    ) -> BackendServer | Refused:
        """Return the backend server to send to.

        Args:
            service: The service.
            tried: Backend servers that have failed the request.
            until: How long the request may wait where every server is at its limit.
        """
        while True:
            choices = self._choices(service, tried)
            if not choices:
                return Refused(NotRunReason.NO_BACKEND, self.retry_after())
            now = self._state.clock.monotonic()
            found = self._least_loaded(choices, now)
            if found is not None:
                # The list may have changed while a permit was asked for.
                if await self._may_send(found, now) and self._is_ready(found):
                    return found
                continue
            opens_at = min(self._closed_until(each) for each in choices)
            if opens_at > until:
                return Refused(NotRunReason.OVERLOADED, self._return_after(opens_at - now))
            await trio.sleep(opens_at - now)

    def retry_after(self) -> timedelta:
        """Return when a caller should come back that found no backend server."""
        return self._return_after(RETRY_AFTER.total_seconds())

    def _return_after(self, wait: float) -> timedelta:
        """Return when a caller should come back, spread so that all do not come at once."""
        return timedelta(seconds=wait * (1 + self._random.random()))

    def give_permit(self, message: PermitRequestMessage, address: Address) -> None:
        """Answer another entry that asks to send to a limited backend server."""
        wait = self._take_token(message.backend_id, message.service)
        answer = PermitMessage(self._state.identity.name, message.ticket, wait)
        self._state.peers.send_to(answer, address)

    def take_permit(self, message: PermitMessage) -> None:
        """Take in the answer to a request for a permit."""
        pending = self._pending_by_ticket.get(message.ticket)
        if pending is not None:
            pending.wait = message.wait
            pending.answered.set()

    def _choices(self, service: str, tried: AbstractSet[str]) -> list[BackendServer]:
        now = self._state.clock.monotonic()
        trusted = self._state.trust.trusted(self._state.backends.ready(service), now)
        return [each for each in trusted if each.id not in tried] or list(trusted)

    def _is_ready(self, backend: BackendServer) -> bool:
        return backend in self._state.backends.ready(backend.service)

    def _least_loaded(self, choices: list[BackendServer], now: Instant) -> BackendServer | None:
        """Return the server with the fewest calls of this entry; None where all are closed.

        One in this entry's availability zone goes first among equals: bytes between zones are
        paid for.
        """
        counts = self._state.in_flight_by_backend
        zone = self._state.identity.zone
        return min(
            (each for each in choices if self._closed_until(each) <= now),
            key=lambda each: (counts.get(each.id, 0), each.zone != zone, self._random.random()),
            default=None,
        )

    def _closed_until(self, backend: BackendServer) -> Instant:
        """Return until when a server is not asked for; the distant past where it has no limit."""
        if self._state.limits.rate(backend.id) is None:
            self._closed_until_by_id.pop(backend.id, None)
        return self._closed_until_by_id.get(backend.id, -inf)

    async def _may_send(self, backend: BackendServer, now: Instant) -> bool:
        if self._state.limits.rate(backend.id) is None:
            return True
        scheduler = self._state.scheduler(backend.service)
        if scheduler is None:
            wait = self._take_token(backend.id, backend.service)
        else:
            wait = await self._ask(scheduler, backend)
        if wait <= 0.0:
            return True
        self._closed_until_by_id[backend.id] = now + wait
        return False

    def _take_token(self, backend_id: str, service: str) -> float:
        """Use a part of a limit; return for how many seconds there is none."""
        now = self._state.clock.monotonic()
        wait = self._state.limits.wait_for(backend_id, now, self._state.rate_share(service))
        if wait <= 0.0:
            self._state.limits.spend(backend_id)
        return wait

    async def _ask(self, scheduler: str, backend: BackendServer) -> float:
        """Ask for a permit; return for how many seconds there is none."""
        self._tickets += 1
        ticket = self._tickets
        pending = self._pending_by_ticket[ticket] = _PendingPermit()
        name = self._state.identity.name
        message = PermitRequestMessage(name, ticket, backend.service, backend.id)
        self._state.peers.send(message, scheduler)
        try:
            with trio.move_on_after(PERMIT_TIMEOUT):
                await pending.answered.wait()
        finally:
            del self._pending_by_ticket[ticket]
        return pending.wait
