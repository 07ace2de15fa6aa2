"""Early refusal: which reservations cannot start in time, and when to come back."""

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

SWEEP_SECONDS = 0.25
"""Shortest time between two looks through the queue for requests that turned hopeless."""

SWEEP_SECONDS_PER_REQUEST = 1e-4
"""Time between two looks for each queued request, so that long queues do not take the processor."""

HOPELESS_FACTOR = 1.2
"""A queued request is given up when its predicted wait passes the time left by this factor, so
that the noise of the prediction does not undo an admission a moment later."""

ADMITTED_SHARE = 0.85
"""Share of the time left that the predicted wait of an arrival may take up: the prediction is a
mean, and more than half of the admitted ones are to start in time."""

MINIMUM_RETRY_SECONDS = 1.0
"""Least time after which a refused caller is asked to come back."""

MAXIMUM_RETRY_SECONDS = 300.0
"""Most time after which a refused caller is asked to come back."""

REFUSED_SMOOTHING = 0.02
"""Weight of one arrival in the share of a tier's arrivals that is refused."""

MAXIMUM_REFUSED_SHARE = 0.95
"""Most of that share that counts: the time to come back is the drain time over the chance to be
admitted then, since those who were refused before come back too."""

RETRY_JITTER = 0.5
"""Largest share added to the time, so that refused callers do not return together."""


class Admission:
    """Decides whether a reservation is queued, and which queued ones are given up."""

    def __init__(self, state: EngineState, random: Random) -> None:
        self._state = state
        self._random = random
        self._swept_at: Instant | None = None
        self._refused_share_by_tier: dict[int, float] = {}

    def predicted_wait(self, request: QueuedRequest, now: Instant) -> float:
        """Return the predicted wait of a reservation that just came."""
        ahead = self._state.queue.count_ahead(
            request.request_class, request.reservation.account, request.account_weight
        )
        return self._state.wait_in_tier(request.tier, ahead, now)

    def refusal(self, request: QueuedRequest, now: Instant) -> Refuse | None:
        """Return the refusal of a reservation that just came; None where it is queued.

        One that has begun is not refused: its caller has part of the answer. Nor is one for which
        a slot is free or can be made free, however late it is.
        """
        if request.begun:
            return None
        if request.reservation.deadline <= now:
            return Refuse(request.request_id, NotRunReason.DEADLINE)
        wait = self.predicted_wait(request, now)
        refused = wait > max(0.0, ADMITTED_SHARE * self._time_left(request, now))
        self._count(request.tier, refused)
        return self._overloaded(request, wait) if refused else None

    def hopeless(self, now: Instant) -> list[Refuse]:
        """Return the refusals of queued reservations that can no longer start in time."""
        interval = max(SWEEP_SECONDS, SWEEP_SECONDS_PER_REQUEST * len(self._state.queue))
        if self._swept_at is not None and now - self._swept_at < interval:
            return []
        self._swept_at = now
        refusals: list[Refuse] = []
        for tier in self._state.queue.tiers:
            refusals += self._hopeless_in_tier(tier, now)
        return refusals

    def _hopeless_in_tier(self, tier: int, now: Instant) -> list[Refuse]:
        state = self._state
        wait = state.waits.linear_wait(state.waits.tier_load(tier, now), state.limit.value)
        ahead = state.queue.count_above(tier)
        refusals: list[Refuse] = []
        for request in state.queue.in_service_order(tier):
            seconds = wait(ahead)
            if request.begun:
                ahead += 1
            elif request.reservation.deadline <= now:
                refusals.append(Refuse(request.request_id, NotRunReason.DEADLINE))
            elif 0.0 < seconds > HOPELESS_FACTOR * self._time_left(request, now):
                refusals.append(self._overloaded(request, seconds))
            else:
                ahead += 1
        return refusals

    def is_late(self, request: QueuedRequest, now: Instant) -> bool:
        """Return whether a free slot would come too late for a request, and another can use it.

        A slot given to a caller that has waited too long is taken from one that has not, and in
        a lasting overload every answer would be a little late.
        """
        if request.begun or self._time_left(request, now) >= 0.0:
            return False
        return self._state.queue.count_in(request.tier) > 1

    def late(self, request: QueuedRequest, now: Instant) -> Refuse:
        """Return the refusal of a request whose time was used up in the queue."""
        ahead = self._state.queue.count_through(request.tier)
        return self._overloaded(request, self._state.wait_in_tier(request.tier, ahead, now))

    def _time_left(self, request: QueuedRequest, now: Instant) -> float:
        start = self._state.pace.first_token(request.request_class.name)
        return request.latest_start - start - now

    def _count(self, tier: int, refused: bool) -> None:
        share = self._refused_share(tier)
        self._refused_share_by_tier[tier] = share + REFUSED_SMOOTHING * (refused - share)

    def _refused_share(self, tier: int) -> float:
        return self._refused_share_by_tier.get(tier, 0.0)

    def _overloaded(self, request: QueuedRequest, wait: float) -> Refuse:
        limit = request.request_class.queue_limit.total_seconds()
        seconds = max(MINIMUM_RETRY_SECONDS, wait - limit)
        seconds /= 1.0 - min(MAXIMUM_REFUSED_SHARE, self._refused_share(request.tier))
        seconds *= 1.0 + RETRY_JITTER * self._random.random()
        retry_after = timedelta(seconds=min(MAXIMUM_RETRY_SECONDS, seconds))
        return Refuse(request.request_id, NotRunReason.OVERLOADED, retry_after)
