"""Estimates the speed of a backend server from observed token times."""

from __future__ import annotations

from datetime import timedelta

SMOOTHING = 0.05
"""Weight of a new sample."""

OUTLIER_FACTOR = 4.0
"""Samples are capped at this multiple of the mean, which limits the effect of a slow outlier."""

DEFAULT_BETWEEN_TOKENS = timedelta(milliseconds=30)
"""Time between tokens assumed before the first sample."""

DEFAULT_FIRST_TOKEN = timedelta(milliseconds=200)
"""Time to first token, or to the answer of a plain service, assumed before the first sample."""


class SmoothedMean:
    """Exponential moving average that adapts quickly at first and caps outliers."""

    def __init__(self, start: float) -> None:
        self.value = start
        self._samples = 0

    def observe(self, sample: float) -> None:
        """Add a sample."""
        self._samples += 1
        weight = max(SMOOTHING, 1.0 / (self._samples + 1))
        self.value += weight * (min(sample, OUTLIER_FACTOR * self.value) - self.value)


class EnginePace:
    """Smoothed time between tokens, and time from start to first token per class."""

    def __init__(self) -> None:
        self._between_tokens = SmoothedMean(DEFAULT_BETWEEN_TOKENS.total_seconds())
        self._first_token = SmoothedMean(DEFAULT_FIRST_TOKEN.total_seconds())
        self._first_token_by_class: dict[str, SmoothedMean] = {}

    def observe_between_tokens(self, seconds: float) -> None:
        """Record the time between two consecutive tokens."""
        self._between_tokens.observe(seconds)

    def observe_first_token(self, request_class: str, seconds: float) -> None:
        """Record the time from the start of a request to its first token or complete answer."""
        if request_class not in self._first_token_by_class:
            self._first_token_by_class[request_class] = SmoothedMean(self._first_token.value)
        self._first_token_by_class[request_class].observe(seconds)
        self._first_token.observe(seconds)

    def first_token(self, request_class: str) -> float:
        """Return the expected seconds from start to first token."""
        return self._first_token_by_class.get(request_class, self._first_token).value

    def seconds(self, tokens: float, starts: float = 0.0) -> float:
        """Return the slot time for generating `tokens` tokens and starting `starts` requests."""
        return tokens * self._between_tokens.value + starts * self._first_token.value
