"""Aging: lets a request that has waited long take a slot before more urgent requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .timed_requests import TimedRequests

if TYPE_CHECKING:
    from .clock import Instant
    from .engine_state import EngineState
    from .fair_queue import QueuedRequest
    from .preemption import Preemption

MAXIMUM_SLACK_SHARE = 0.5
"""Largest share of an urgent request's slack that its predicted wait may use with one slot less."""

REFUSAL_MEMORY_SECONDS = 5.0
"""Time after an overload refusal during which no less urgent request may take a slot by aging."""


class Aging:
    """Selects requests past their aging bound that do not make urgent ones miss their targets."""

    def __init__(self, state: EngineState, preemption: Preemption) -> None:
        self._state = state
        self._preemption = preemption
        self._aged_at = TimedRequests(state.queue)
        self._aged_by_id: dict[str, QueuedRequest] = {}
        self._refused_at_by_tier: dict[int, Instant] = {}

    def on_queued(self, request: QueuedRequest) -> None:
        """Track a request that was queued."""
        bound = request.request_class.aging_bound.total_seconds()
        self._aged_at.add(request.arrived_at + bound, request)

    def on_left_queue(self, request: QueuedRequest) -> None:
        """Stop tracking a request that left the queue."""
        self._aged_by_id.pop(request.request_id, None)

    def on_refused(self, tier: int, now: Instant) -> None:
        """Record that a request of a tier was refused for overload."""
        self._refused_at_by_tier[tier] = now

    def next(self, first: QueuedRequest, now: Instant) -> QueuedRequest | None:
        """Return the aged request that takes the next slot before `first`, or None."""
        for request in self._aged_at.pop_due(now):
            self._aged_by_id[request.request_id] = request
        for request in self._aged_by_id.values():
            if request.tier > first.tier:
                return request if self._urgent_tiers_can_spare_slot(request.tier, now) else None
        return None

    def _urgent_tiers_can_spare_slot(self, tier: int, now: Instant) -> bool:
        if self._state.limit.value < 2 or self._preemption.is_urgent_waiting(tier):
            return False
        urgent = [each for each in self._state.queue.tiers if each < tier]
        return not self._was_refused(tier, now) and all(
            self._meets_target(each, now) for each in urgent
        )

    def _was_refused(self, tier: int, now: Instant) -> bool:
        return any(
            now - at < REFUSAL_MEMORY_SECONDS
            for each, at in self._refused_at_by_tier.items()
            if each < tier
        )

    def _meets_target(self, tier: int, now: Instant) -> bool:
        state = self._state
        load = state.waits.tier_load(tier, now)
        wait = state.waits.wait(load, state.queue.count_through(tier), state.limit.value - 1)
        return wait <= MAXIMUM_SLACK_SHARE * self._minimum_slack(tier, now)

    def _minimum_slack(self, tier: int, now: Instant) -> float:
        classes = self._state.queue.classes(tier)
        return min(
            each.first_token_target.total_seconds() - self._state.pace.first_token(each.name)
            for each in classes
        )
