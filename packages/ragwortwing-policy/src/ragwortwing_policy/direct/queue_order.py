"""Order of waiting requests, and the time at which a waiting request is refused."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ragwortwing_policy.clock import Instant

PREDICTION_MARGIN = 0.3
"""Fraction of the latency target kept between the predicted first event and the target. In a
burst every placement uses all the time it may. Without this margin for prediction errors, half
of the placements are slightly late, while engines with shorter queues read as much."""

LARGE_PROMPT_WAIT = 0.9
"""Fraction of its latency target that a request may wait in addition to the prefill time of its
own prompt."""

REFUSAL_LEAD_SECONDS = 0.25
"""Seconds before its deadline at which a request that has not been placed is refused: an engine
needs longer than that for the shortest answer."""

LATE_WAIT_TARGETS = 2.0
"""Multiple of its latency target that a short prompt waits beyond the target for a free engine."""

EARLY_FRACTION = 0.4
"""Fraction of the latency target during which a short prompt may wait for a better placement."""

EARLY_FRACTION_LONG = 0.5
"""The same fraction for a long prompt. Past it, an engine that is late with its tokens serves
the caller better than no engine."""

MINIMUM_RETRY_DELAY = timedelta(milliseconds=200)
"""Minimum delay after which a refused caller is asked to retry."""


@dataclass(frozen=True, slots=True)
class Waiter:
    """The properties of a waiting request that determine its position."""

    urgency: int
    """Rank among the requests on the engines; 0 is the most urgent."""
    target_at: Instant
    """Latest instant at which the first event is on time."""
    deadline: Instant
    arrived_at: Instant
    resumed: bool = False
    """Whether the caller has already received part of the answer."""


def queue_order(waiter: Waiter, now: Instant) -> tuple[int, bool, bool, float]:
    """Return the sort key of a waiting request; the lowest is served first.

    Urgency is strict. Within an urgency, resumed answers come first. Requests that can still be
    on time follow, by target, and then late requests, by deadline.

    Example:
        >>> fresh = Waiter(urgency=1, target_at=2.0, deadline=9.0, arrived_at=1.0)
        >>> late = Waiter(urgency=1, target_at=0.5, deadline=4.0, arrived_at=0.0)
        >>> queue_order(fresh, now=1.0) < queue_order(late, now=1.0)
        True
    """
    late = now > waiter.target_at
    return (waiter.urgency, not waiter.resumed, late, waiter.deadline if late else waiter.target_at)


def due_at(waiter: Waiter, first_event_when_idle: float) -> Instant:
    """Return until when a request's first event is worth waiting for.

    Smaller prompts keep the backlog of every engine just below their own limit. A prompt whose
    prefill alone takes long would never find such an engine in a burst, although its caller prefers
    a late answer to a refusal. It may therefore accept nearly as much backlog as the others.

    Args:
        waiter: The waiting request.
        first_event_when_idle: Seconds to its first event on an otherwise idle engine.
    """
    target = waiter.target_at - waiter.arrived_at
    return max(
        waiter.target_at, waiter.arrived_at + first_event_when_idle + LARGE_PROMPT_WAIT * target
    )


def latest_first_event(waiter: Waiter, due: Instant) -> Instant:
    """Return the latest predicted first event that a placement may have.

    A retried request may have less time left than its latency target, and an answer that begins
    after the deadline is useless.
    """
    margin = PREDICTION_MARGIN * (waiter.target_at - waiter.arrived_at)
    return min(due - margin, waiter.deadline - REFUSAL_LEAD_SECONDS)


def prediction_margin(waiter: Waiter, due: Instant) -> float:
    """Return the seconds that `latest_first_event` keeps for prediction errors."""
    latest = min(due, waiter.deadline - REFUSAL_LEAD_SECONDS)
    return latest - latest_first_event(waiter, due)


def may_wait(waiter: Waiter, now: Instant, *, is_long: bool = False) -> bool:
    """Return whether a request is early enough to wait for a better placement."""
    fraction = EARLY_FRACTION_LONG if is_long else EARLY_FRACTION
    return now < waiter.arrived_at + fraction * (waiter.target_at - waiter.arrived_at)


def refuse_after(waiter: Waiter, due: Instant, *, is_long: bool) -> Instant:
    """Return when a request that has not been placed is refused.

    A long prompt is placed only where it is not late. In a burst new requests take every engine,
    and a late one would wait until its deadline in vain; refused at once, its caller has more
    time left to retry after the burst. A short prompt may use any engine with room, so a slot
    that becomes free soon serves it earlier than a retry would.
    """
    if is_long:
        return due
    return due + LATE_WAIT_TARGETS * (waiter.target_at - waiter.arrived_at)


def must_refuse(waiter: Waiter, until: Instant, now: Instant) -> bool:
    """Return whether a waiting request is unlikely to be placed in time."""
    if now >= waiter.deadline - REFUSAL_LEAD_SECONDS:
        return True
    return not waiter.resumed and now > until


def retry_after_of(waiter: Waiter, now: Instant) -> timedelta | None:
    """Return when a refused caller should retry, or None if too little time is left."""
    left = waiter.deadline - now
    if left <= 2 * REFUSAL_LEAD_SECONDS:
        return None
    return max(MINIMUM_RETRY_DELAY, timedelta(seconds=left / 4))
