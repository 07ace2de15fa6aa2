"""Paces lists that every entry sends to all others with its statuses."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

MIN_REPORT_INTERVAL = 1.0
"""Minimum seconds between two statuses of this entry that hold the list."""


class ReportPacing:
    """Decides which statuses of one entry hold a list that others send as well.

    However many entries there are, each of them receives the lists at the same rate.

    Example:
        >>> pacing = ReportPacing(interval_per_entry=0.3)
        >>> [pacing.is_due(now, entries=10) for now in (0.0, 1.0, 3.0)]
        [True, False, True]
    """

    def __init__(self, interval_per_entry: float) -> None:
        """Create the pacing of a list.

        Args:
            interval_per_entry: Seconds that each entry adds to the interval of its lists.
        """
        self._interval_per_entry = interval_per_entry
        self._due_at: Instant = -inf

    def is_due(self, now: Instant, entries: int) -> bool:
        """Return whether the status that is sent now holds the list."""
        if now < self._due_at:
            return False
        self._due_at = now + max(MIN_REPORT_INTERVAL, self._interval_per_entry * entries)
        return True

    def report_again(self) -> None:
        """Let the next status hold the list."""
        self._due_at = -inf
