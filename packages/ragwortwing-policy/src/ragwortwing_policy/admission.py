"""Early refusal of reservations that cannot start in time, with a retry delay."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from .outcomes import NotRunReason
from .reservations import Refuse

if TYPE_CHECKING:
    from random import Random

    from .clock import Instant
    from .engine_state import EngineState
    from .fair_queue import QueuedRequest

SCAN_INTERVAL_SECONDS = 0.25
"""Minimum time between two scans of the queue for requests that can no longer start in time."""

SCAN_INTERVAL_SECONDS_PER_REQUEST = 1e-4
"""Minimum scan interval per queued request, which bounds the CPU time spent on long queues."""

INFEASIBLE_WAIT_FACTOR = 1.2
"""Multiple of the remaining time that the predicted wait must exceed before a queued request is
refused. The margin keeps prediction noise from reversing an admission shortly afterwards."""

MAXIMUM_WAIT_SHARE = 0.85
"""Share of the remaining time that the predicted wait of an arrival may use. The prediction is a
mean, so a limit of 1 would let only about half of the admitted requests start in time."""

MINIMUM_RETRY_SECONDS = 1.0
"""Minimum retry delay returned to a refused caller."""

MAXIMUM_RETRY_SECONDS = 300.0
"""Maximum retry delay returned to a refused caller."""

REFUSED_SMOOTHING = 0.02
"""Weight of one arrival in a tier's smoothed share of refused arrivals."""

MAXIMUM_REFUSED_SHARE = 0.95
"""Upper bound of the refused share in the retry delay. The delay is the drain time divided by the
probability of admission, because callers that were refused earlier retry too."""

RETRY_JITTER = 0.5
"""Largest fraction added to the retry delay, so that refused callers do not retry at once."""


class Admission:
    """Decides which arriving and queued reservations are refused."""

    def __init__(self, state: EngineState, random: Random) -> None:
        self._state = state
        self._random = random
        self._scanned_at: Instant | None = None
        self._refused_share_by_tier: dict[int, float] = {}

    def predicted_wait(self, request: QueuedRequest, now: Instant) -> float:
        """Return the predicted wait in seconds of an arriving reservation."""
        ahead = self._state.queue.count_ahead(
            request.request_class, request.reservation.account, request.account_weight
        )
        return self._state.wait_in_tier(request.tier, ahead, now)

    def refusal(self, request: QueuedRequest, now: Instant) -> Refuse | None:
        """Return the refusal of an arriving reservation, or None if it is to be queued.

        A request that has begun is not refused, because its caller has part of the answer. Nor is
        a late request refused if a slot is free or can be freed by preemption.
        """
        if request.has_started:
            return None
        if request.reservation.deadline <= now:
            return Refuse(request.request_id, NotRunReason.DEADLINE)
        wait = self.predicted_wait(request, now)
        refused = wait > max(0.0, MAXIMUM_WAIT_SHARE * self._time_left(request, now))
        self._record_arrival(request.tier, refused)
        return self._overload_refusal(request, wait) if refused else None

    def refuse_infeasible(self, now: Instant) -> list[Refuse]:
        """Return refusals for queued reservations that can no longer start in time."""
        interval = max(
            SCAN_INTERVAL_SECONDS, SCAN_INTERVAL_SECONDS_PER_REQUEST * len(self._state.queue)
        )
        if self._scanned_at is not None and now - self._scanned_at < interval:
            return []
        self._scanned_at = now
        refusals: list[Refuse] = []
        for tier in self._state.queue.tiers:
            refusals += self._infeasible_in_tier(tier, now)
        return refusals

    def _infeasible_in_tier(self, tier: int, now: Instant) -> list[Refuse]:
        state = self._state
        wait = state.waits.linear_wait(state.waits.tier_load(tier, now), state.limit.value)
        ahead = state.queue.count_above(tier)
        refusals: list[Refuse] = []
        for request in state.queue.in_service_order(tier):
            seconds = wait(ahead)
            if request.has_started:
                ahead += 1
            elif request.reservation.deadline <= now:
                refusals.append(Refuse(request.request_id, NotRunReason.DEADLINE))
            elif 0.0 < seconds > INFEASIBLE_WAIT_FACTOR * self._time_left(request, now):
                refusals.append(self._overload_refusal(request, seconds))
            else:
                ahead += 1
        return refusals

    def is_late(self, request: QueuedRequest, now: Instant) -> bool:
        """Return whether a request is past its latest start and another request can use the slot.

        Granting slots to late requests delays requests that are still on time. Under sustained
        overload every answer would then be slightly late.
        """
        if request.has_started or self._time_left(request, now) >= 0.0:
            return False
        return self._state.queue.count_in(request.tier) > 1

    def late_refusal(self, request: QueuedRequest, now: Instant) -> Refuse:
        """Return the refusal of a request that waited past its latest start."""
        ahead = self._state.queue.count_through(request.tier)
        return self._overload_refusal(request, self._state.wait_in_tier(request.tier, ahead, now))

    def _time_left(self, request: QueuedRequest, now: Instant) -> float:
        start = self._state.pace.first_token(request.request_class.name)
        return request.latest_start - start - now

    def _record_arrival(self, tier: int, refused: bool) -> None:
        share = self._refused_share(tier)
        self._refused_share_by_tier[tier] = share + REFUSED_SMOOTHING * (refused - share)

    def _refused_share(self, tier: int) -> float:
        return self._refused_share_by_tier.get(tier, 0.0)

    def _overload_refusal(self, request: QueuedRequest, wait: float) -> Refuse:
        limit = request.request_class.queue_limit.total_seconds()
        seconds = max(MINIMUM_RETRY_SECONDS, wait - limit)
        seconds /= 1.0 - min(MAXIMUM_REFUSED_SHARE, self._refused_share(request.tier))
        seconds *= 1.0 + RETRY_JITTER * self._random.random()
        retry_after = timedelta(seconds=min(MAXIMUM_RETRY_SECONDS, seconds))
        return Refuse(request.request_id, NotRunReason.OVERLOADED, retry_after)
