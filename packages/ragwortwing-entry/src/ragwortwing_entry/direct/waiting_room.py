"""Runs the waiting line of one pool: looks while someone waits, and passes decisions on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.waiting_line import Granted, TurnedAway, WaitingLine, WaitingRequest

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Sequence

    from ragwortwing_policy.direct.backend_list import BackendServer

    from .entry_state import EntryState

    OnDecision = Callable[[Granted | TurnedAway], None]

LOOK_AGAIN = 0.02
"""Seconds between two looks at what waits: backlogs shrink without any event."""

LEAST_LOOK_INTERVAL = 0.008
"""Seconds between two looks however much happens: each asks every engine for all that wait."""


class WaitingRoom:
    """Places the requests of one pool on its engines."""

    def __init__(self, service: str, state: EntryState) -> None:
        self._service = service
        self._state = state
        self._line = WaitingLine(service, state.placement)
        self._callbacks_by_ticket: dict[str, OnDecision] = {}
        self._news = trio.Event()

    def __len__(self) -> int:
        return len(self._line)

    def waiting_by_urgency(self) -> Counter[int]:
        """Return how many requests of each rank wait."""
        return self._line.waiting_by_urgency()

    def enter(self, request: WaitingRequest, on_decision: OnDecision) -> None:
        """Queue a request.

        Args:
            request: The request.
            on_decision: Called once, possibly before this returns. A granted engine's load counts
                the request from then on.
        """
        self._callbacks_by_ticket[request.ticket] = on_decision
        self._line.enter(request, self._state.clock.monotonic())
        if self._line.is_first(request.ticket):
            self._dispatch(only=request.ticket)
        self.notify()

    def leave(self, ticket: str) -> None:
        """Take a request out of the queue, if it is there."""
        self._line.leave(ticket)
        self._callbacks_by_ticket.pop(ticket, None)

    def notify(self) -> None:
        """Look soon: the load of an engine has changed."""
        if len(self._line):
            self._news.set()

    async def run(self) -> None:
        """Look again and again while something waits."""
        while True:
            await self._news.wait()
            self._news = trio.Event()
            await trio.sleep(LEAST_LOOK_INTERVAL)
            self._dispatch()
            while len(self._line):
                with trio.move_on_after(LOOK_AGAIN):
                    await self._news.wait()
                self._news = trio.Event()
                await trio.sleep(LEAST_LOOK_INTERVAL)
                self._dispatch()

    def _dispatch(self, only: str | None = None) -> None:
        now = self._state.clock.monotonic()
        ready = self._state.backends.ready(self._service)
        trusted = self._state.trust.trusted(ready, now)
        traits = self._state.engine_traits(self._service)

        def engines_for(request: WaitingRequest) -> Sequence[BackendServer]:
            if not request.avoid:
                return trusted
            fresh = [each for each in trusted if each.id not in request.avoid]
            return fresh or trusted

        for decision in self._line.look(traits, engines_for, now, only):
            self._callbacks_by_ticket.pop(decision.request.ticket)(decision)
