"""How much later than the bare reading ahead of it a request's first event comes."""

from __future__ import annotations

from .routing_table import LEAST_URGENT_TIER

LEARNING_GAIN = 0.08
"""Part of a new first event that enters the sums: about the last twelve count."""

PRIOR = 0.3
"""Seconds of which the sums begin as if seen with no stretch, so that the first event alone does
not decide."""

SHORTEST_PREDICTION = 0.05
"""Seconds of reading below which the way there and back hides how an engine reads."""

STRETCH_BOUNDS = (0.7, 3.0)
"""Factors between which the stretch stays: an engine that stalls is the business of its health."""


class FirstEventStretch:
    """Learns, for each urgency, how long requests take to their first event against prediction.

    The bare prediction adds up what is ahead of a request when it is sent. Engines also make tokens
    between two chunks of reading, and read more urgent prompts that come later first; so the less
    urgent a request, the later it is. Placed by the bare figure in a burst, every one of them comes
    a little too late, while the same engines could have had all of them on time.

    Example:
        >>> stretch = FirstEventStretch()
        >>> for _ in range(60):
        ...     stretch.learn(5, predicted=0.5, actual=1.0)
        >>> round(stretch.factor(5), 1), stretch.factor(0)
        (2.0, 1.0)
    """

    def __init__(self) -> None:
        self._predicted = [PRIOR] * (LEAST_URGENT_TIER + 1)
        self._actual = [PRIOR] * (LEAST_URGENT_TIER + 1)

    def factor(self, urgency: int) -> float:
        """Return by what predicted seconds of an urgency are to be multiplied."""
        low, high = STRETCH_BOUNDS
        return min(high, max(low, self._actual[urgency] / self._predicted[urgency]))

    def learn(self, urgency: int, predicted: float, actual: float) -> None:
        """Take in a first event.

        Args:
            urgency: The request's rank.
            predicted: Seconds of reading that were ahead of it, its own included.
            actual: Seconds that it took.
        """
        if predicted < SHORTEST_PREDICTION:
            return
        self._predicted[urgency] += LEARNING_GAIN * (predicted - self._predicted[urgency])
        self._actual[urgency] += LEARNING_GAIN * (max(0.0, actual) - self._actual[urgency])
