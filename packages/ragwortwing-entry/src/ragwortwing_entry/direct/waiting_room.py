"""Requests of one service that wait for an engine, served in the order that the policy gives."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.placement import NoRoom, Placed, PlacementQuestion
from ragwortwing_policy.direct.prompt_parts import Prompt
from ragwortwing_policy.direct.waiting_order import (
    Waiter,
    must_give_up,
    return_after,
    waiting_order,
)
from ragwortwing_policy.outcomes import NotRunReason

from .decision_log import decided
from .ports import Refused

if TYPE_CHECKING:
    from ragwortwing_policy.direct.routing_table import EngineTraits

    from .entry_state import EntryState

LOOK_AGAIN = 0.02
"""Seconds between two looks at what waits: backlogs shrink without any event. A fiftieth of a
second is a thirtieth of the shortest latency target."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that wants an engine."""

    request_id: str
    prompt: Prompt
    tier: int
    target_at: Instant
    deadline: Instant
    arrived_at: Instant
    avoid: frozenset[str]
    """Backend servers that have failed it."""
    resumed: bool


@dataclass(eq=False, slots=True)
class _Place:
    request: WaitingRequest
    waiter: Waiter
    given: BackendServer | Refused | None = None
    decided: trio.Event = field(default_factory=trio.Event)


class WaitingRoom:
    """Places the requests of one service on its engines."""

    def __init__(self, service: str, state: EntryState) -> None:
        self._service = service
        self._state = state
        self._places: list[_Place] = []
        self._something_waits = trio.Event()

    def __len__(self) -> int:
        return len(self._places)

    async def place(self, request: WaitingRequest) -> BackendServer | Refused:
        """Wait for an engine; the engine's load counts the request from then on."""
        now = self._state.clock.monotonic()
        self._state.placement.arrived(self._question(request, now), now)
        place = _Place(request, _waiter(request))
        self._places.append(place)
        try:
            self.look()
            await place.decided.wait()
        except trio.Cancelled:
            self._leave(place)
            raise
        assert place.given is not None
        return place.given

    def _leave(self, place: _Place) -> None:
        """Take back what a request that is cancelled holds: its place, or the engine just given."""
        if place in self._places:
            self._places.remove(place)
        if isinstance(place.given, BackendServer):
            load = self._state.placement.loads_by_id.get(place.given.id)
            if load is not None:
                load.end(place.request.request_id, self._state.clock.monotonic())

    async def run(self) -> None:
        """Look again and again while something waits."""
        while True:
            if not self._places:
                self._something_waits = trio.Event()
                await self._something_waits.wait()
            await trio.sleep(LOOK_AGAIN)
            self.look()

    def look(self) -> None:
        """Give engines to those who wait, as far as there is room."""
        now = self._state.clock.monotonic()
        for place in sorted(self._places, key=lambda each: waiting_order(each.waiter, now)):
            self._decide(place, now)
        if self._places:
            self._something_waits.set()

    def _decide(self, place: _Place, now: Instant) -> None:
        traits = self._traits()
        if traits is None or must_give_up(place.waiter, now):
            self._refuse(place, now, None)
            return
        request = place.request
        engines = self._engines(request, now)
        found = self._state.placement.place(self._question(request, now), engines, traits, now)
        if isinstance(found, Placed):
            self._give(place, found, traits, now)
        elif not engines:
            self._refuse(place, now, found)

    def _give(self, place: _Place, found: Placed, traits: EngineTraits, now: Instant) -> None:
        request = place.request
        load = self._state.placement.load(found.backend.id, traits)
        decided(
            "request_placed",
            request.request_id,
            backend=found.backend.id,
            backlog_ms=round(1000 * load.backlog(now)),
            unread_tokens=load.unread_tokens(request.prompt),
            running=load.running,
            waited_ms=round(1000 * (now - request.arrived_at)),
            first_event_in_ms=round(1000 * found.first_event_after),
        )
        reading = load.begin(request.request_id, request.prompt, now)
        self._state.digests.placed(found.backend.id, reading, request.prompt.parts)
        self._state.peers.wake()
        self._settle(place, found.backend)

    def _refuse(self, place: _Place, now: Instant, found: NoRoom | None) -> None:
        decided(
            "request_refused",
            place.request.request_id,
            waiting=len(self._places),
            first_event_in_ms=None if found is None else found.first_event_after,
        )
        reason = NotRunReason.OVERLOADED if self._traits() else NotRunReason.NO_BACKEND
        self._settle(place, Refused(reason, return_after(place.waiter, now)))

    def _settle(self, place: _Place, given: BackendServer | Refused) -> None:
        place.given = given
        place.decided.set()
        self._places.remove(place)

    def _traits(self) -> EngineTraits | None:
        table = self._state.table
        service = table.services_by_name.get(self._service) if table else None
        return service.engine if service else None

    def _engines(self, request: WaitingRequest, now: Instant) -> list[BackendServer]:
        ready = self._state.backends.ready(self._service)
        trusted = self._state.trust.trusted(ready, now)
        fresh = [each for each in trusted if each.id not in request.avoid]
        return fresh or list(trusted)

    def _question(self, request: WaitingRequest, now: Instant) -> PlacementQuestion:
        return PlacementQuestion(self._service, request.prompt, request.target_at - now)


def _waiter(request: WaitingRequest) -> Waiter:
    return Waiter(
        tier=request.tier,
        target_at=request.target_at,
        deadline=request.deadline,
        arrived_at=request.arrived_at,
        resumed=request.resumed,
    )
