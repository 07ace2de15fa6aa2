"""How much prefill an engine may do beside streams before their events are late.

An engine that prefills without a pause makes one token a chunk. Whether that is late hangs on its
chunks, the tokens of an event and the streams' pause target, of which the configuration tells only
the last two; so it is learned from streams whose pauses exceed their target.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

LEAST_PART = 0.65
"""Least part of a pause target that is left to prefill, however many streams are late."""

UNBOUNDED_PART = 1.2
"""Part from which on prefill is not bounded: it fills every pause as it is."""

PART_PER_EXCEEDED = 0.4
"""Part by which the budget shrinks when one stream on each engine is late."""

PART_PER_SECOND = 0.02
"""Part by which it grows back in a second."""


class PrefillBudget:
    """The part of their pause target that streams of one rank leave to prefill.

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
        """Return the part; None where prefill is not bounded."""
        part = self._part_at(now)
        return None if part >= UNBOUNDED_PART else part

    def exceeded(self, now: Instant, engines: int) -> None:
        """Note that a stream had a pause beyond its target.

        Args:
            now: The present instant.
            engines: Engines of the service.
        """
        part = self._part_at(now) - PART_PER_EXCEEDED / max(1, engines)
        self._part = max(LEAST_PART, part)
        self._changed_at = now

    def _part_at(self, now: Instant) -> float:
        if self._changed_at is None:
            return self._part
        grown = PART_PER_SECOND * max(0.0, now - self._changed_at)
        return min(UNBOUNDED_PART, self._part + grown)
