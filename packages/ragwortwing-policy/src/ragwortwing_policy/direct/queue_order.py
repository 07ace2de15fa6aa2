"""In which order waiting requests get engines, and when one that waits is told to come back."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ragwortwing_policy.clock import Instant

RESERVE = 0.3
"""Part of the way to its target that a placement leaves between the predicted first event and the
target. In a burst every placement fills what it may; with nothing left for the error of predictions
half of them come a little late, while engines with a shorter queue read as much."""

LARGE_WAIT = 0.9
"""Part of its target that a request may wait besides the time that its own prompt takes."""

LAST_CALL = 0.25
"""Seconds before its deadline at which a request that has not been placed is told so: an engine
needs longer than that for the shortest answer."""

LATE_PATIENCE = 2.0
"""Targets for which a short prompt waits past its own for an engine with room."""

EARLY_PART = 0.4
"""Part of the way to its target in which a short prompt may wait for a better place."""

EARLY_PART_LONG = 0.5
"""The same of a long prompt; past it, an engine that is late with its tokens serves the caller
better than none."""

SHORTEST_RETURN = timedelta(milliseconds=200)
"""Shortest time after which a refused caller is asked to come back."""


@dataclass(frozen=True, slots=True)
class Waiter:
    """What the order depends on."""

    urgency: int
    """Rank among the requests that engines run; 0 is the most urgent."""
    target_at: Instant
    """Until when the first event is on time."""
    deadline: Instant
    arrived_at: Instant
    resumed: bool = False
    """Whether the caller already has some of the answer."""


def queue_order(waiter: Waiter, now: Instant) -> tuple[int, bool, bool, float]:
    """Return the key by which waiting requests are served: least first.

    Urgency is strict. Within a rank, a broken answer goes on first; then those that can still be
    on time, nearest target first; then the late ones, nearest deadline first.

    Example:
        >>> fresh = Waiter(urgency=1, target_at=2.0, deadline=9.0, arrived_at=1.0)
        >>> late = Waiter(urgency=1, target_at=0.5, deadline=4.0, arrived_at=0.0)
        >>> queue_order(fresh, now=1.0) < queue_order(late, now=1.0)
        True
    """
    late = now > waiter.target_at
    return (waiter.urgency, not waiter.resumed, late, waiter.deadline if late else waiter.target_at)


def due_at(waiter: Waiter, alone: float) -> Instant:
    """Return until when a request's first event is waited for.

    Smaller prompts keep the backlog of every engine just below what they can stand themselves. A
    prompt that takes long to read alone would never find one in a burst, though its caller minds
    being late less than being refused: it may find nearly as much backlog as the others.

    Args:
        waiter: What is known of the request.
        alone: Seconds to its first event on an engine that has nothing else to read.
    """
    target = waiter.target_at - waiter.arrived_at
    return max(waiter.target_at, waiter.arrived_at + alone + LARGE_WAIT * target)


def place_until(waiter: Waiter, due: Instant) -> Instant:
    """Return until when the first event has to be predicted for a placement.

    One that comes back may have less time left than its target: an answer that begins after its
    deadline is of no use to anybody.
    """
    reserve = RESERVE * (waiter.target_at - waiter.arrived_at)
    return min(due - reserve, waiter.deadline - LAST_CALL)


def may_wait(waiter: Waiter, now: Instant, *, is_long: bool = False) -> bool:
    """Return whether a request is early enough to wait for a better place than there is."""
    part = EARLY_PART_LONG if is_long else EARLY_PART
    return now < waiter.arrived_at + part * (waiter.target_at - waiter.arrived_at)


def waits_until(waiter: Waiter, due: Instant, *, is_long: bool) -> Instant:
    """Return when a request that has not been placed is told to come back.

    A long prompt is placed only where it is not late: in a burst fresh ones take every engine, and
    one past its time would wait for its deadline in vain. Told at once, its caller has the more
    time left to come back after the burst. A short one is placed on any engine with room, so a
    place that is free a moment later serves it sooner than its return would.
    """
    if is_long:
        return due
    return due + LATE_PATIENCE * (waiter.target_at - waiter.arrived_at)


def must_give_up(waiter: Waiter, until: Instant, now: Instant) -> bool:
    """Return whether a waiting request has little chance of an engine that is of use to it."""
    if now >= waiter.deadline - LAST_CALL:
        return True
    return not waiter.resumed and now > until


def retry_after_of(waiter: Waiter, now: Instant) -> timedelta | None:
    """Return when a refused caller should come back; None where its time is over."""
    left = waiter.deadline - now
    if left <= 2 * LAST_CALL:
        return None
    return max(SHORTEST_RETURN, timedelta(seconds=left / 4))
