"""Predicts the wait for a slot from running requests, queued requests and the server's speed."""

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
"""How long the mean remaining work of the running requests is cached."""

CACHE_CHANGE = 0.1
"""Relative change in the number of running requests above which the cached mean is recomputed."""

OCCUPANCY_SECONDS = 5.0
"""Time constant of the smoothed share of slots that each tier uses."""

MINIMUM_SLOT_SHARE = 0.02
"""Minimum share of the slots assumed for a tier, however busy more urgent tiers are."""

MINIMUM_GRANTED_SHARE = 0.25
"""Minimum share of queued requests assumed to take a slot, however many were withdrawn."""

GRANTED_SHARE_SMOOTHING = 0.02
"""Weight of one departure from the queue in the smoothed share of departures with a slot."""


@dataclass(frozen=True, slots=True)
class _RunningWork:
    """Cached mean remaining slot time of a tier's running requests."""

    at: Instant
    count: int
    mean_seconds: float

    def is_fresh(self, count: int, now: Instant) -> bool:
        """Return whether the mean is still valid for the given number of running requests."""
        changed = abs(count - self.count)
        return changed <= CACHE_CHANGE * self.count and now - self.at <= CACHE_SECONDS


@dataclass(frozen=True, slots=True)
class LinearWait:
    """Predicted wait as a linear function of the number of requests ahead."""

    base: float
    """Seconds with no request ahead; negative if slots are free or can be freed."""
    seconds_per_request: float

    def __call__(self, ahead: float) -> float:
        """Return the predicted wait in seconds."""
        return max(0.0, self.base + ahead * self.seconds_per_request)


@dataclass(frozen=True, slots=True)
class TierLoad:
    """Load that a tier waits for; less urgent running requests are excluded as preemptible."""

    running: int
    """Slots occupied by this tier and more urgent ones."""
    mean_seconds: float
    """Mean remaining slot time of the running and queued requests of these tiers."""
    share: float
    """Recent average share of the slots that more urgent tiers leave free."""


class WaitModel:
    """Predicts waits by tier.

    The predicted wait is the time until enough slots become free for the requests ahead. Each slot
    takes the mean remaining slot time divided by the number of slots. A reservation may also be
    queued at other agents and be withdrawn here. Queued requests are therefore weighted by the
    share of recent departures that got a slot.
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
        self._granted_share = 1.0
        self._occupancy_by_tier: dict[int, float] = {}
        self._occupancy_at: Instant | None = None
        self._work_by_tier: dict[int, _RunningWork] = {}

    def observe_departure(self, granted: bool) -> None:
        """Record that a request left the queue with a slot or was withdrawn."""
        self._granted_share += GRANTED_SHARE_SMOOTHING * (float(granted) - self._granted_share)

    def observe_occupancy(self, limit: int, now: Instant) -> None:
        """Record the share of slots that each tier currently uses."""
        elapsed = 0.0 if self._occupancy_at is None else now - self._occupancy_at
        self._occupancy_at = now
        weight = elapsed / (elapsed + OCCUPANCY_SECONDS)
        used_by_tier = dict.fromkeys(self._occupancy_by_tier, 0.0)
        for running in self._slots.running_by_id.values():
            used_by_tier[running.tier] = used_by_tier.get(running.tier, 0.0) + 1.0 / limit
        for tier, used in used_by_tier.items():
            previous = self._occupancy_by_tier.get(tier, 0.0)
            self._occupancy_by_tier[tier] = previous + weight * (used - previous)

    def tier_load(self, tier: int, now: Instant) -> TierLoad:
        """Return the load that a tier waits for."""
        running, seconds = self._running_work(tier, now)
        queued = self._queue.count_through(tier)
        seconds += self._pace.seconds(self._queue.work_through(tier), queued)
        count = running + queued
        mean = seconds / count if count else 0.0
        urgent = sum(used for each, used in self._occupancy_by_tier.items() if each < tier)
        return TierLoad(running, mean, max(MINIMUM_SLOT_SHARE, 1.0 - urgent))

    def wait(self, load: TierLoad, ahead: float, limit: int) -> float:
        """Return the predicted wait in seconds.

        Args:
            load: The load that the request's tier waits for.
            ahead: Number of queued requests that get a slot first.
            limit: The concurrency limit.

        Returns:
            Seconds, or 0 if a slot is free or can be freed by preemption.
        """
        return self.linear_wait(load, limit)(ahead)

    def linear_wait(self, load: TierLoad, limit: int) -> LinearWait:
        """Return the predicted wait in a tier as a function of the number of requests ahead."""
        seconds_per_slot = load.mean_seconds / limit / load.share
        return LinearWait(
            base=(load.running + 1.0 - limit) * seconds_per_slot,
            seconds_per_request=max(MINIMUM_GRANTED_SHARE, self._granted_share) * seconds_per_slot,
        )

    def _running_work(self, tier: int, now: Instant) -> tuple[int, float]:
        count = self._slots.count_through(tier)
        previous = self._work_by_tier.get(tier)
        if previous is None or not previous.is_fresh(count, now):
            seconds = self._sum_running_work(tier)
            previous = _RunningWork(now, count, seconds / count if count else 0.0)
            self._work_by_tier[tier] = previous
        return count, count * previous.mean_seconds

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
