"""Runs the waiting line of one service: wakes whom it decides on, looks while someone waits."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.waiting_line import Granted, TurnedAway, WaitingLine, WaitingRequest
from ragwortwing_policy.outcomes import NotRunReason

from .decision_log import decided
from .ports import Refused

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Sequence

    from ragwortwing_policy.direct.backend_list import BackendServer
    from ragwortwing_policy.direct.routing_table import EngineTraits

    from .entry_state import EntryState

LOOK_AGAIN = 0.02
"""Seconds between two looks at what waits: backlogs shrink without any event. A fiftieth of a
second is a thirtieth of the shortest latency target."""


@dataclass(eq=False, slots=True)
class _Place:
    given: Granted | Refused | None = None
    decided: trio.Event = field(default_factory=trio.Event)


class WaitingRoom:
    """Places the requests of one service on its engines."""

    def __init__(self, service: str, state: EntryState) -> None:
        self._service = service
        self._state = state
        self._line = WaitingLine(service, state.placement, state.digests)
        self._places_by_ticket: dict[str, _Place] = {}
        self._something_waits = trio.Event()

    def __len__(self) -> int:
        return len(self._line)

    def waiting_by_urgency(self) -> Counter[int]:
        """Return how many requests of each rank wait."""
        return self._line.waiting_by_urgency()

    async def place(self, request: WaitingRequest) -> Granted | Refused:
        """Wait for an engine; the engine's load counts the request from then on."""
        place = self._places_by_ticket[request.ticket] = _Place()
        self._line.enter(request, self._state.clock.monotonic())
        try:
            self.look()
            await place.decided.wait()
        except trio.Cancelled:
            self._take_back(request, place)
            raise
        finally:
            self._places_by_ticket.pop(request.ticket, None)
        assert place.given is not None
        return place.given

    async def run(self) -> None:
        """Look again and again while something waits."""
        while True:
            if not len(self._line):
                self._something_waits = trio.Event()
                await self._something_waits.wait()
            await trio.sleep(LOOK_AGAIN)
            self.look()

    def look(self) -> None:
        """Give engines to those who wait, as far as there is room."""
        now = self._state.clock.monotonic()
        ready = self._state.backends.ready(self._service)
        trusted = self._state.trust.trusted(ready, now)

        def engines_for(request: WaitingRequest) -> Sequence[BackendServer]:
            fresh = [each for each in trusted if each.id not in request.avoid]
            return fresh or trusted

        for decision in self._line.look(self._traits(), engines_for, now):
            self._tell(decision)
        if len(self._line):
            self._something_waits.set()

    def _tell(self, decision: Granted | TurnedAway) -> None:
        place = self._places_by_ticket[decision.request.ticket]
        if isinstance(decision, Granted):
            place.given = decision
            self._log_granted(decision)
            self._state.peers.wake()
        else:
            reason = NotRunReason.NO_BACKEND if decision.no_engine else NotRunReason.OVERLOADED
            place.given = Refused(reason, decision.retry_after)
            decided(
                "request_refused",
                decision.request.request_id,
                reason=reason,
                waiting=decision.waiting,
                retry_after=decision.retry_after,
            )
        place.decided.set()

    def _log_granted(self, granted: Granted) -> None:
        waiter = granted.request.waiter
        decided(
            "request_placed",
            granted.request.request_id,
            backend=granted.backend.id,
            backlog_ms=round(1000 * granted.backlog),
            unread_tokens=granted.reading.unread_tokens,
            fetch_from=granted.reading.fetch_from.id if granted.reading.fetch_from else None,
            running=granted.running,
            waited_ms=round(1000 * (self._state.clock.monotonic() - waiter.arrived_at)),
            first_event_in_ms=round(1000 * granted.first_event_after),
        )

    def _take_back(self, request: WaitingRequest, place: _Place) -> None:
        """Take back what a request that is cancelled holds: its place, or the engine just given."""
        self._line.leave(request.ticket)
        if isinstance(place.given, Granted):
            load = self._state.placement.loads_by_id.get(place.given.backend.id)
            if load is not None:
                load.end(request.ticket, self._state.clock.monotonic())

    def _traits(self) -> EngineTraits | None:
        table = self._state.table
        service = table.services_by_name.get(self._service) if table else None
        return service.engine if service else None
