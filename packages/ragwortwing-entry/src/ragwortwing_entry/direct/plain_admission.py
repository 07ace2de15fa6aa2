"""Chooses the backend server of a plain service for a request.

Sending to a server that states a rate limit requires a permit. The entry that schedules the service
issues the permits. All entries choose the same scheduler, so together they keep the limit.
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
    from collections.abc import Sequence
    from collections.abc import Set as AbstractSet
    from random import Random

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.direct.backend_list import BackendServer

    from .entry_state import EntryState
    from .peer_link import Address

NO_BACKEND_RETRY_AFTER = timedelta(milliseconds=300)
"""Minimum wait before a caller that found no backend server should retry; the list of backend
servers is refreshed within that time."""

PERMIT_TIMEOUT = 0.05
"""Seconds to wait for the answer to a permit request; without one the permit counts as refused."""

UNANSWERED_BACKOFF = 0.3
"""Seconds for which no permits are requested for a server after an unanswered request."""


@dataclass(eq=False, slots=True)
class _PendingPermit:
    """A permit request that waits for its answer."""

    wait: float = UNANSWERED_BACKOFF
    answered: trio.Event = field(default_factory=trio.Event)


class PlainAdmission:
    """Admits the requests of one entry to the servers of plain services."""

    def __init__(self, state: EntryState, random: Random) -> None:
        self._state = state
        self._random = random
        self._blocked_until_by_id: dict[str, Instant] = {}
        self._pending_by_ticket: dict[int, _PendingPermit] = {}
        self._tickets = 0

    async def admit(
        self,
        service: str,
        tried: AbstractSet[str],
        until: Instant,
        version: str | None = None,
    ) -> BackendServer | Refused:
        """Wait for a backend server to send to, and return it.

        Args:
            service: The service.
            tried: Backend servers to which the request has already been sent.
            until: When the wait ends if every server is at its limit.
            version: The only software version whose servers may take the request; None if any may.
        """
        while True:
            ready = self._state.backends.ready(service, version)
            if not ready and version is not None:
                return Refused(NotRunReason.NO_SAME_VERSION)
            if not ready:
                return Refused(NotRunReason.NO_BACKEND, self.retry_after(service))
            now = self._state.clock.monotonic()
            candidates = self._candidates(ready, tried, now)
            chosen = self._least_loaded(candidates, now)
            if chosen is not None:
                # The list may have changed while the permit was requested.
                if await self._obtain_permit(chosen, now) and self._may_send_to(chosen):
                    return chosen
                continue
            unblocked_at = min(self._blocked_until(each, now) for each in candidates or ready)
            if unblocked_at > until:
                return Refused(NotRunReason.OVERLOADED, self._jittered_wait(unblocked_at - now))
            await trio.sleep(unblocked_at - now)

    def retry_after(self, service: str) -> timedelta:
        """Return the wait after which a caller that found no backend server should retry."""
        wait = self._jittered_wait(NO_BACKEND_RETRY_AFTER.total_seconds())
        ready = self._state.backends.ready(service)
        backoff = self._state.backoffs.retry_after(ready, self._state.clock.monotonic())
        return wait if backoff is None else max(wait, timedelta(seconds=backoff))

    def _jittered_wait(self, wait: float) -> timedelta:
        """Return a wait with random jitter, so that callers do not all retry at the same time."""
        return timedelta(seconds=wait * (1 + self._random.random()))

    def answer_permit_request(self, message: PermitRequestMessage, address: Address) -> None:
        """Answer another entry's request to send to a rate-limited backend server."""
        wait = self._take_token(message.backend_id, message.service)
        answer = PermitMessage(self._state.identity.name, message.ticket, wait)
        self._state.peers.send_to(answer, address)

    def handle_permit(self, message: PermitMessage) -> None:
        """Handle the answer to a permit request."""
        pending = self._pending_by_ticket.get(message.ticket)
        if pending is not None:
            pending.wait = message.wait
            pending.answered.set()

    def _candidates(
        self, ready: Sequence[BackendServer], tried: AbstractSet[str], now: Instant
    ) -> list[BackendServer]:
        """Return the servers to choose from; none if this entry backs off from all."""
        # Exclusions and earlier sends are ignored if no other server is left, but a backoff never.
        available = [each for each in ready if self._backoff_until(each, now) <= now]
        without_excluded = self._state.failure_tracker.without_excluded(available, now)
        return [each for each in without_excluded if each.id not in tried] or list(without_excluded)

    def _may_send_to(self, backend: BackendServer) -> bool:
        if backend not in self._state.backends.ready(backend.service):
            return False
        now = self._state.clock.monotonic()
        return self._backoff_until(backend, now) <= now

    def _backoff_until(self, backend: BackendServer, now: Instant) -> Instant:
        in_flight = self._state.in_flight_by_backend.get(backend.id, 0)
        return self._state.backoffs.blocked_until(backend.id, in_flight, now)

    def _least_loaded(self, candidates: list[BackendServer], now: Instant) -> BackendServer | None:
        """Return the server with the fewest calls of this entry; None if all are blocked.

        Among equals, a server in this entry's availability zone is preferred, because traffic
        between zones is billed.
        """
        counts = self._state.in_flight_by_backend
        zone = self._state.identity.zone
        return min(
            (each for each in candidates if self._blocked_until(each, now) <= now),
            key=lambda each: (counts.get(each.id, 0), each.zone != zone, self._random.random()),
            default=None,
        )

    def _blocked_until(self, backend: BackendServer, now: Instant) -> Instant:
        """Return until when a server's limit or a backoff blocks it; -inf if it is not blocked."""
        if self._state.limits.rate(backend.id) is None:
            self._blocked_until_by_id.pop(backend.id, None)
        no_permit_until = self._blocked_until_by_id.get(backend.id, -inf)
        return max(no_permit_until, self._backoff_until(backend, now))

    async def _obtain_permit(self, backend: BackendServer, now: Instant) -> bool:
        if self._state.limits.rate(backend.id) is None:
            return True
        scheduler = self._state.scheduler(backend.service)
        if scheduler is None:
            wait = self._take_token(backend.id, backend.service)
        else:
            wait = await self._request_permit(scheduler, backend)
        if wait <= 0.0:
            return True
        self._blocked_until_by_id[backend.id] = now + wait
        return False

    def _take_token(self, backend_id: str, service: str) -> float:
        """Take a token of a server's rate limit; return the seconds to wait if there is none."""
        now = self._state.clock.monotonic()
        wait = self._state.limits.wait_for(backend_id, now, self._state.rate_share(service))
        if wait <= 0.0:
            self._state.limits.spend(backend_id)
        return wait

    async def _request_permit(self, scheduler: str, backend: BackendServer) -> float:
        """Request a permit; return the seconds to wait if it is not granted."""
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
