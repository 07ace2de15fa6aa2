"""Predicted wait for a slot, from what runs, what is queued ahead and how fast slots come free."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .clock import Instant

if TYPE_CHECKING:
    from .engine_pace import EnginePace
    from .fair_queue import FairQueue
    from .running_requests import RunningRequests
    from .work_estimate import WorkEstimates

CACHE_SECONDS = 0.05
"""How long the mean remaining work of the running requests is taken as unchanged."""

CACHE_CHANGE = 0.1
"""Share of the running requests that may have come or gone since that mean was taken."""

OCCUPANCY_SECONDS = 5.0
"""Time constant of the share of slots that more urgent tiers use."""

MINIMUM_SHARE = 0.02
"""Share of the slots that a tier is taken to get however busy more urgent ones are."""

MINIMUM_STAY = 0.25
"""Share of the queue that is taken to want its slot here, however many were withdrawn."""

STAY_SMOOTHING = 0.02
"""Weight of one departure from the queue in the share that leaves with a slot."""


@dataclass(frozen=True, slots=True)
class _RunningWork:
    """Mean remaining slot time of a tier's running requests, as it was at an instant."""

    at: Instant
    count: int
    mean_seconds: float

    def is_fresh(self, count: int, now: Instant) -> bool:
        """Return whether the mean still holds for so many running requests."""
        changed = abs(count - self.count)
        return changed <= CACHE_CHANGE * self.count and now - self.at <= CACHE_SECONDS


@dataclass(frozen=True, slots=True)
class LinearWait:
    """The predicted wait as a function of the requests ahead."""

    base: float
    """Seconds with none ahead; below zero where slots are free or can be made free."""
    seconds_per_request: float

    def __call__(self, ahead: float) -> float:
        """Return the predicted seconds until a slot is free."""
        return max(0.0, self.base + ahead * self.seconds_per_request)


@dataclass(frozen=True, slots=True)
class TierLoad:
    """What a tier has to wait for; less urgent running requests count as preemptible."""

    running: int
    """Slots held by this tier and more urgent ones."""
    mean_seconds: float
    """Mean slot time that those and the queued ones still take."""
    share: float
    """Share of the slots that more urgent tiers leave over, on average of late."""


class WaitModel:
    """Predicts waits by tier.

    With n requests in front of the limit's slots, the wait is taken as the time in which enough
    slots come free: the mean remaining slot time over the number of slots, once for each. A
    reservation also stands in the queues of other agents, so only the share of the queue that has
    lately stayed for its slot is counted.
    """

    def __init__(
        self,
        queue: FairQueue,
        slots: RunningRequests,
        estimates: WorkEstimates,
        pace: EnginePace,
    ) -> None:
        self._queue = queue
        self._slots = slots
        self._estimates = estimates
        self._pace = pace
        self._stay = 1.0
        self._occupancy_by_tier: dict[int, float] = {}
        self._occupancy_at: Instant | None = None
        self._work_by_tier: dict[int, _RunningWork] = {}

    def left_queue(self, with_slot: bool) -> None:
        """Record that a request left the queue with a slot, or was withdrawn."""
        self._stay += STAY_SMOOTHING * (float(with_slot) - self._stay)

    def observe_occupancy(self, limit: int, now: Instant) -> None:
        """Record how many slots each tier uses at this moment."""
        elapsed = 0.0 if self._occupancy_at is None else now - self._occupancy_at
        self._occupancy_at = now
        weight = elapsed / (elapsed + OCCUPANCY_SECONDS)
        used_by_tier = dict.fromkeys(self._occupancy_by_tier, 0.0)
        for running in self._slots.running_by_id.values():
            used_by_tier[running.tier] = used_by_tier.get(running.tier, 0.0) + 1.0 / limit
        for tier, used in used_by_tier.items():
            known = self._occupancy_by_tier.get(tier, 0.0)
            self._occupancy_by_tier[tier] = known + weight * (used - known)

    def tier_load(self, tier: int, now: Instant) -> TierLoad:
        """Return what a tier has to wait for."""
        running, seconds = self._running_work(tier, now)
        queued = self._queue.count_through(tier)
        seconds += self._pace.seconds(self._queue.work_through(tier), queued)
        count = running + queued
        mean = seconds / count if count else 0.0
        urgent = sum(used for each, used in self._occupancy_by_tier.items() if each < tier)
        return TierLoad(running, mean, max(MINIMUM_SHARE, 1.0 - urgent))

    def wait(self, load: TierLoad, ahead: float, limit: int) -> float:
        """Return the predicted seconds until a slot is free.

        Args:
            load: What the request's tier has to wait for.
            ahead: Queued requests that get a slot first.
            limit: The concurrency limit.

        Returns:
            Seconds; 0 where a slot is free or can be made free by preemption.
        """
        return self.linear_wait(load, limit)(ahead)

    def linear_wait(self, load: TierLoad, limit: int) -> LinearWait:
        """Return the predicted wait in a tier as a function of the requests ahead."""
        seconds_per_slot = load.mean_seconds / limit / load.share
        return LinearWait(
            base=(load.running + 1.0 - limit) * seconds_per_slot,
            seconds_per_request=max(MINIMUM_STAY, self._stay) * seconds_per_slot,
        )

    def _running_work(self, tier: int, now: Instant) -> tuple[int, float]:
        count = self._slots.count_through(tier)
        known = self._work_by_tier.get(tier)
        if known is None or not known.is_fresh(count, now):
            seconds = self._sum_running_work(tier)
            known = _RunningWork(now, count, seconds / count if count else 0.0)
            self._work_by_tier[tier] = known
        return count, count * known.mean_seconds

    def _sum_running_work(self, tier: int) -> float:
        tokens, starts = 0.0, 0
        for running in self._slots.through(tier):
            tokens += self._estimates.expected_remaining(
                running.request_class.name,
                running.reservation.account,
                running.age,
                running.reservation.expected_tokens,
            )
            starts += not running.tokens
        for slot in self._slots.held_through(tier):
            starts += 1
            tokens += slot.request.work
        return self._pace.seconds(tokens, starts)
