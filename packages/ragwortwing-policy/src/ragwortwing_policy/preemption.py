"""Preemption: decides which running requests give up their slots to more urgent ones, and when."""

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
"""Maximum duration of a preemption: two ticks plus the time the engine needs to end the stream."""

PREEMPTION_SLACK_SHARE = 0.25
"""Share of the slack to the first-token target above which a predicted wait causes preemption."""


class Preemption:
    """Preempts as late as possible: when a predicted wait is too long or time is running out.

    A request is at risk if its predicted wait without preemption uses too much of its slack. It is
    overdue if it would miss its target by waiting any longer. Protected runs are preempted only for
    overdue requests. A preempted run keeps its tokens, while a missed target cannot be recovered.
    """

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self._overdue_at = TimedRequests(state.queue)
        self._at_risk = MarkedRequests()
        self._overdue = MarkedRequests()

    def on_queued(self, request: QueuedRequest, now: Instant) -> None:
        """Track a request that was queued."""
        slack = self._state.slack(request, now)
        self._overdue_at.add(now + slack - PREEMPTION_SECONDS, request)
        if self._wait_without_preemption(request, now) > PREEMPTION_SLACK_SHARE * slack:
            self._at_risk.add(request)

    def on_left_queue(self, request: QueuedRequest) -> None:
        """Stop tracking a request that left the queue."""
        self._at_risk.discard(request)
        self._overdue.discard(request)

    def is_urgent_waiting(self, tier: int) -> bool:
        """Return whether a request more urgent than a tier may miss its target."""
        marked = self._at_risk.count_through(tier - 1) + self._overdue.count_through(tier - 1)
        return marked > 0

    def due(self, now: Instant) -> list[Preempt]:
        """Return the preemptions that at-risk and overdue requests need now."""
        for request in self._overdue_at.pop_due(now):
            self._at_risk.discard(request)
            self._overdue.add(request)
        return [
            *self._preempt_for_marked(self._overdue, exclude_protected=False, now=now),
            *self._preempt_for_marked(self._at_risk, exclude_protected=True, now=now),
        ]

    def preempt_for_refusal(self, tier: int, now: Instant) -> list[Preempt]:
        """Return the preemptions that must accompany an overload refusal in a tier.

        A request may be refused only if less urgent runs are preempted for the requests ahead of
        it.
        """
        missing = self._state.queue.count_through(tier) + 1 - self._state.slots.preempting()
        return _mark_preempting(
            self._state.slots.victims(tier, now, exclude_protected=False)[:missing]
        )

    def preempt_above_limit(self, now: Instant) -> list[Preempt]:
        """Return the preemptions needed after the concurrency limit decreased."""
        slots = self._state.slots
        excess = len(slots) - slots.preempting() - self._state.limit.value
        if excess <= 0 or not slots.running_by_id:
            return []
        most_urgent = min(each.tier for each in slots.running_by_id.values())
        return _mark_preempting(slots.victims(most_urgent, now, exclude_protected=True)[:excess])

    def _preempt_for_marked(
        self, marked: MarkedRequests, exclude_protected: bool, now: Instant
    ) -> list[Preempt]:
        preemptions: list[Preempt] = []
        slots = self._state.slots
        for tier in marked.tiers():
            missing = marked.count_through(tier) - slots.preempting()
            if missing > 0:
                preemptions += _mark_preempting(
                    slots.victims(tier, now, exclude_protected)[:missing]
                )
        return preemptions

    def _wait_without_preemption(self, request: QueuedRequest, now: Instant) -> float:
        state = self._state
        tiers = [each.tier for each in state.slots.running_by_id.values()]
        load = state.waits.tier_load(max(tiers, default=request.tier), now)
        ahead = state.queue.count_through(request.tier) - 1
        return state.waits.wait(load, ahead, state.limit.value)


def _mark_preempting(victims: list[RunningRequest]) -> list[Preempt]:
    for victim in victims:
        victim.preempting = True
    return [Preempt(each.reservation.request_id) for each in victims]
