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

MINIMUM_FRACTION = 0.65
"""Minimum fraction of a pause target that is available for prefill, however many streams are
late."""

UNLIMITED_FRACTION = 1.2
"""Fraction from which prefill is not limited: it then fills every pause anyway."""

FRACTION_PER_LATE_STREAM = 0.4
"""Reduction of the fraction when one stream on each engine is late."""

FRACTION_RECOVERED_PER_SECOND = 0.02
"""Recovery of the fraction per second."""


class PrefillBudget:
    """Fraction of the pause target that is available for prefill, for streams of one urgency.

    Example:
        >>> budget = PrefillBudget()
        >>> budget.fraction(now=0.0) is None
        True
        >>> for _ in range(5):
        ...     budget.exceeded(now=0.0, engines=4)
        >>> round(budget.fraction(now=0.0), 2)
        0.7
        >>> round(budget.fraction(now=10.0), 2), budget.fraction(now=30.0)
        (0.9, None)
    """

    def __init__(self) -> None:
        self._fraction = UNLIMITED_FRACTION
        self._changed_at: Instant | None = None

    def fraction(self, now: Instant) -> float | None:
        """Return the current fraction, or None if prefill is not limited."""
        fraction = self._fraction_at(now)
        return None if fraction >= UNLIMITED_FRACTION else fraction

    def exceeded(self, now: Instant, engines: int) -> None:
        """Record that a stream had a pause longer than its target.

        Args:
            now: The current instant.
            engines: Number of engines of the service.
        """
        fraction = self._fraction_at(now) - FRACTION_PER_LATE_STREAM / max(1, engines)
        self._fraction = max(MINIMUM_FRACTION, fraction)
        self._changed_at = now

    def _fraction_at(self, now: Instant) -> float:
        if self._changed_at is None:
            return self._fraction
        grown = FRACTION_RECOVERED_PER_SECOND * max(0.0, now - self._changed_at)
        return min(UNLIMITED_FRACTION, self._fraction + grown)
