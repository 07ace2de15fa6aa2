"""This entry's share of the fleet's budget for repeated sends."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

USED_FRACTION = 0.8
"""Fraction of the allowance that is used: the rest covers sends that the receiver counts later."""


@dataclass(frozen=True, slots=True)
class RepeatAllowance:
    """Repeated sends that the whole fleet may make to a service within a window."""

    ratio: float
    """Repeats per request in the window."""
    extra: float
    """Additional repeats per window, shared by all entries."""
    window: timedelta


class RepeatBudget:
    """Repeats that this entry may still send to one service.

    Requests and repeats are counted over the same sliding window: the requests in it determine
    how many repeats it may have. The extra is divided by the number of live entries. While that
    number is unknown none of the extra is used, because entries that each used all of it would
    exceed it together.

    Example:
        >>> allowance = RepeatAllowance(ratio=0.5, extra=0, window=timedelta(seconds=10))
        >>> budget = RepeatBudget(allowance)
        >>> for _ in range(5):
        ...     budget.count_request(0.0)
        >>> [budget.try_spend(1.0) for _ in range(3)]
        [True, True, False]
    """

    def __init__(self, allowance: RepeatAllowance) -> None:
        self._allowance = allowance
        self._requests: deque[Instant] = deque()
        self._repeats: deque[Instant] = deque()
        self.entries: int | None = None
        """Number of entries that share the extra, or None if unknown."""

    def count_request(self, now: Instant) -> None:
        """Record the first send of a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def left(self, now: Instant) -> float:
        """Return the number of repeats that may be sent now."""
        self._drop_expired(now)
        allowance = self._allowance
        extra = allowance.extra / self.entries if self.entries else 0.0
        allowed = USED_FRACTION * (allowance.ratio * len(self._requests) + extra)
        return allowed - len(self._repeats)

    def try_spend(self, now: Instant) -> bool:
        """Use one repeat; return False if none is left."""
        if self.left(now) < 1:
            return False
        self._repeats.append(now)
        return True

    def refund(self, spent_at: Instant) -> None:
        """Give back a repeat that was spent at an instant and has not been sent."""
        if spent_at in self._repeats:
            self._repeats.remove(spent_at)

    def _drop_expired(self, now: Instant) -> None:
        since = now - self._allowance.window.total_seconds()
        for times in (self._requests, self._repeats):
            while times and times[0] < since:
                times.popleft()
