"""The recent time spans in which an engine was in prefill."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

SPANS_KEPT = 48
"""Spans kept. Reports of gaps cover a second, in which an engine reads fewer prompts."""

JOINED_WITHIN = 0.004
"""Seconds between two spans that count as one: less than a step of an engine, so it generated no
token in between."""


class PrefillSpans:
    """Remembers when an engine was in prefill, as learned from first events.

    Example:
        >>> spans = PrefillSpans()
        >>> spans.add(1.0, 1.1)
        >>> spans.add(1.1, 1.3)
        >>> spans.add(2.0, 2.1)
        >>> [round(each, 3) for each in spans.within(1.2, 3.0)]
        [0.2, 0.1]
    """

    __slots__ = ("_spans",)

    def __init__(self) -> None:
        self._spans: deque[tuple[Instant, Instant]] = deque(maxlen=SPANS_KEPT)

    def add(self, begin: Instant, end: Instant) -> None:
        """Add a span; the part before the end of the last one is known already."""
        if self._spans:
            last_begin, last_end = self._spans[-1]
            if begin <= last_end + JOINED_WITHIN:
                self._spans[-1] = (last_begin, max(end, last_end))
                return
        self._spans.append((begin, end))

    def within(self, begin: Instant, end: Instant) -> tuple[float, float]:
        """Return the seconds in prefill between two instants, in all and without interruption."""
        total = longest = 0.0
        for span_begin, span_end in reversed(self._spans):
            if span_end <= begin:
                break
            seconds = max(0.0, min(end, span_end) - max(begin, span_begin))
            total += seconds
            longest = max(longest, seconds)
        return total, longest
