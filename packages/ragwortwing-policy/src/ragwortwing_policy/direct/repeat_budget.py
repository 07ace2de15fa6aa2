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


class EntryCount:
    """The number of entries among which the extra of each budget is divided.

    An entry that is no longer counted may have used its share within the window, and goes on using
    it until it notices that it was cut off. A smaller number therefore takes effect later.

    Example:
        >>> count = EntryCount(delay=14.0)
        >>> count.update(5, now=0.0)
        >>> count.update(1, now=20.0)
        >>> count.in_force(now=33.9), count.in_force(now=34.0)
        (5, 1)
    """

    def __init__(self, delay: float = 0.0) -> None:
        """Create a count that is not known yet.

        Args:
            delay: Seconds after which a smaller number takes effect.
        """
        self._delay = delay
        self._latest: int | None = None
        self._former: deque[tuple[int, Instant]] = deque()
        """Earlier numbers and until when each may still be the number of shares in use."""

    @property
    def latest(self) -> int | None:
        """The number that was counted last; None if it is no longer known."""
        return self._latest

    def update(self, entries: int | None, now: Instant) -> None:
        """Set the number of live entries; None if it is no longer known."""
        if self._latest is not None and entries != self._latest:
            self._former.append((self._latest, now + self._delay))
        self._latest = entries

    def in_force(self, now: Instant) -> int | None:
        """Return the number of shares that may be in use; None if it is not known."""
        while self._former and self._former[0][1] <= now:
            self._former.popleft()
        if self._latest is None:
            return None
        return max([self._latest, *(entries for entries, _ in self._former)])


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

    def __init__(self, allowance: RepeatAllowance, entries: EntryCount | None = None) -> None:
        """Create a budget of which nothing is used.

        Args:
            allowance: What the whole fleet may send.
            entries: The entries that share the extra; unknown by default.
        """
        self._allowance = allowance
        self._entries = entries if entries is not None else EntryCount()
        self._requests: deque[Instant] = deque()
        self._repeats: deque[Instant] = deque()

    def count_request(self, now: Instant) -> None:
        """Record the first send of a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def left(self, now: Instant) -> float:
        """Return the number of repeats that may be sent now."""
        self._drop_expired(now)
        allowance = self._allowance
        entries = self._entries.in_force(now)
        extra = allowance.extra / entries if entries else 0.0
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
