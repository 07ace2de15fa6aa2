"""This entry's part of the fleet's budget for sends beyond the first of each request."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

USED_PART = 0.8
"""Part of the allowance that is used: the rest covers sends that the receiver counts later."""


@dataclass(frozen=True, slots=True)
class RepeatAllowance:
    """What the whole fleet may send again in any window, for each service."""

    ratio: float
    """Repeats for each request of the window."""
    extra: float
    """Repeats beyond that, shared by all entries."""
    window: timedelta


class RepeatBudget:
    """Repeats to one service that this entry may still send.

    Two windows are looked at: the requests of the one window must pay for its repeats. The extra
    is divided by the entries that are alive; while their number is not known none of it is used,
    since entries that each took the whole would overdraw it together.

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
        """Entries that share the extra, or None while that is not known."""

    def count_request(self, now: Instant) -> None:
        """Count the first send of a request."""
        self._requests.append(now)
        self._forget(now)

    def left(self, now: Instant) -> float:
        """Return the repeats that may be sent now."""
        self._forget(now)
        allowance = self._allowance
        extra = allowance.extra / self.entries if self.entries else 0.0
        allowed = USED_PART * (allowance.ratio * len(self._requests) + extra)
        return allowed - len(self._repeats)

    def try_spend(self, now: Instant) -> bool:
        """Take one repeat; False where none is left."""
        if self.left(now) < 1:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: Instant) -> None:
        since = now - self._allowance.window.total_seconds()
        for times in (self._requests, self._repeats):
            while times and times[0] < since:
                times.popleft()
