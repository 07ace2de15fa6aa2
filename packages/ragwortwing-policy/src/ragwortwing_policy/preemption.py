"""Which running requests give their slots to more urgent ones, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .reservations import Preempt
from .timed_requests import MarkedRequests, TimedRequests

if TYPE_CHECKING:
    from .clock import Instant
    from .engine_state import EngineState
    from .fair_queue import QueuedRequest
    from .running_requests import RunningRequest

PREEMPTION_SECONDS = 0.3
"""Time that a preemption takes at most: two ticks, and the engine letting go of the stream."""

PREEMPT_ABOVE = 0.25
"""Share of the time left to the first-token target that the predicted wait may take up."""


class Preemption:
    """Preempts as late as it can: when a wait is predicted too long, or time has run short.

    A request is pressing when the predicted wait without preemption takes up too much of its time;
    it is overdue when waiting any longer costs it its target. A run that was promised real progress
    is spared by pressing requests and gives way to overdue ones: its tokens are kept, while the
    target of the more urgent request could not be had back.
    """

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self._overdue_at = TimedRequests(state.queue)
        self._pressing = MarkedRequests()
        self._overdue = MarkedRequests()

    def queued(self, request: QueuedRequest, now: Instant) -> None:
        """Take in a request that was queued."""
        slack = self._state.slack(request, now)
        self._overdue_at.add(now + slack - PREEMPTION_SECONDS, request)
        if self._wait_without_preemption(request, now) > PREEMPT_ABOVE * slack:
            self._pressing.add(request)

    def left(self, request: QueuedRequest) -> None:
        """Take in that a request left the queue."""
        self._pressing.discard(request)
        self._overdue.discard(request)

    def is_urgent_waiting(self, tier: int) -> bool:
        """Return whether a request more urgent than a tier may miss its target."""
        marked = self._pressing.count_through(tier - 1) + self._overdue.count_through(tier - 1)
        return marked > 0

    def due(self, now: Instant) -> list[Preempt]:
        """Return the preemptions that pressing and overdue requests need now."""
        for request in self._overdue_at.pop_due(now):
            self._pressing.discard(request)
            self._overdue.add(request)
        return [
            *self._for_marked(self._overdue, spare_protected=False, now=now),
            *self._for_marked(self._pressing, spare_protected=True, now=now),
        ]

    def for_refusal(self, tier: int, now: Instant) -> list[Preempt]:
        """Return the preemptions that a refusal for overload in a tier calls for.

        A request is refused only with every less urgent run giving way to those ahead of it.
        """
        wanted = self._state.queue.count_through(tier) + 1 - self._state.slots.preempting()
        return _preempt(self._state.slots.victims(tier, now, spare_protected=False)[:wanted])

    def above_limit(self, now: Instant) -> list[Preempt]:
        """Return the preemptions that a limit which fell calls for."""
        slots = self._state.slots
        excess = len(slots) - slots.preempting() - self._state.limit.value
        if excess <= 0 or not slots.running_by_id:
            return []
        most_urgent = min(each.tier for each in slots.running_by_id.values())
        return _preempt(slots.victims(most_urgent, now, spare_protected=True)[:excess])

    def _for_marked(
        self, marked: MarkedRequests, spare_protected: bool, now: Instant
    ) -> list[Preempt]:
        preemptions: list[Preempt] = []
        slots = self._state.slots
        for tier in marked.tiers():
            wanted = marked.count_through(tier) - slots.preempting()
            if wanted > 0:
                preemptions += _preempt(slots.victims(tier, now, spare_protected)[:wanted])
        return preemptions

    def _wait_without_preemption(self, request: QueuedRequest, now: Instant) -> float:
        state = self._state
        tiers = [each.tier for each in state.slots.running_by_id.values()]
        load = state.waits.tier_load(max(tiers, default=request.tier), now)
        ahead = state.queue.count_through(request.tier) - 1
        return state.waits.wait(load, ahead, state.limit.value)


def _preempt(victims: list[RunningRequest]) -> list[Preempt]:
    for victim in victims:
        victim.preempting = True
    return [Preempt(each.reservation.request_id) for each in victims]
