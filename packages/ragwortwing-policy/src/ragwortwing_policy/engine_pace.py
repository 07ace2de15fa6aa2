"""How fast a backend server answers, learned from the times of tokens."""

from __future__ import annotations

from datetime import timedelta

SMOOTHING = 0.05
"""Weight of a new sample."""

OUTLIER_FACTOR = 4.0
"""A sample counts at most as this many times the mean, so that one slow one moves little."""

DEFAULT_BETWEEN_TOKENS = timedelta(milliseconds=30)
"""Time between tokens while nothing was learned."""

DEFAULT_FIRST_TOKEN = timedelta(milliseconds=200)
"""Time to first token, or to the answer of a plain service, while nothing was learned."""


class SmoothedMean:
    """A mean that learns fast at first, then slowly, and that one slow sample moves little."""

    def __init__(self, start: float) -> None:
        self.value = start
        self._samples = 0

    def observe(self, sample: float) -> None:
        """Take in a sample."""
        self._samples += 1
        weight = max(SMOOTHING, 1.0 / (self._samples + 1))
        self.value += weight * (min(sample, OUTLIER_FACTOR * self.value) - self.value)


class EnginePace:
    """Smoothed time between tokens, and time from start to first token by class."""

    def __init__(self) -> None:
        self._between_tokens = SmoothedMean(DEFAULT_BETWEEN_TOKENS.total_seconds())
        self._first_token = SmoothedMean(DEFAULT_FIRST_TOKEN.total_seconds())
        self._first_token_by_class: dict[str, SmoothedMean] = {}

    def observe_between_tokens(self, seconds: float) -> None:
        """Take in the time one token took after the one before it."""
        self._between_tokens.observe(seconds)

    def observe_first_token(self, request_class: str, seconds: float) -> None:
        """Take in the time from a request's start to its first token, or to its whole answer."""
        if request_class not in self._first_token_by_class:
            self._first_token_by_class[request_class] = SmoothedMean(self._first_token.value)
        self._first_token_by_class[request_class].observe(seconds)
        self._first_token.observe(seconds)

    def first_token(self, request_class: str) -> float:
        """Return the expected seconds from start to first token."""
        return self._first_token_by_class.get(request_class, self._first_token).value

    def seconds(self, tokens: float, starts: float = 0.0) -> float:
        """Return the slot time that tokens and starts of requests take."""
        return tokens * self._between_tokens.value + starts * self._first_token.value
