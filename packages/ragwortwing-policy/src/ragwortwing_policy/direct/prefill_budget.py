"""Limit on the prefill that an engine may do next to running streams.

An engine that prefills continuously generates one token per prefill chunk. Whether its streams
are then late depends on the chunk size, the tokens per event and the pause target. The
configuration contains only the last two, so the limit is learned from streams whose pauses
exceed their target.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

LEAST_PART = 0.65
"""Minimum fraction of a pause target that is available for prefill, however many streams are
late."""

UNBOUNDED_PART = 1.2
"""Fraction from which prefill is not limited: it then fills every pause anyway."""

PART_PER_EXCEEDED = 0.4
"""Reduction of the fraction when one stream on each engine is late."""

PART_PER_SECOND = 0.02
"""Recovery of the fraction per second."""


class PrefillBudget:
    """Fraction of the pause target that is available for prefill, for streams of one urgency.

    Example:
        >>> budget = PrefillBudget()
        >>> budget.part(now=0.0) is None
        True
        >>> for _ in range(5):
        ...     budget.exceeded(now=0.0, engines=4)
        >>> round(budget.part(now=0.0), 2)
        0.7
        >>> round(budget.part(now=10.0), 2), budget.part(now=30.0)
        (0.9, None)
    """

    def __init__(self) -> None:
        self._part = UNBOUNDED_PART
        self._changed_at: Instant | None = None

    def part(self, now: Instant) -> float | None:
        """Return the current fraction, or None if prefill is not limited."""
        part = self._part_at(now)
        return None if part >= UNBOUNDED_PART else part

    def exceeded(self, now: Instant, engines: int) -> None:
        """Record that a stream had a pause longer than its target.

        Args:
            now: The current instant.
            engines: Number of engines of the service.
        """
        part = self._part_at(now) - PART_PER_EXCEEDED / max(1, engines)
        self._part = max(LEAST_PART, part)
        self._changed_at = now

    def _part_at(self, now: Instant) -> float:
        if self._changed_at is None:
            return self._part
        grown = PART_PER_SECOND * max(0.0, now - self._changed_at)
        return min(UNBOUNDED_PART, self._part + grown)
