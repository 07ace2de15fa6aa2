"""Learned ratio between the actual and the predicted time to a request's first event."""

from __future__ import annotations

from .routing_table import LEAST_URGENT_TIER

LEARNING_GAIN = 0.08
"""Weight of a new sample in the averages: about the last twelve samples count."""

INITIAL_AVERAGE_SECONDS = 0.3
"""Initial value of both averages in seconds, equal to a ratio of 1, so that the first sample
alone does not decide."""

MINIMUM_PREDICTION_SECONDS = 0.05
"""Predictions below this many seconds are ignored: network latency dominates them."""

STRETCH_BOUNDS = (0.7, 3.0)
"""Minimum and maximum ratio. An engine that stalls is handled by its health, not by this ratio."""


class FirstEventRatioEstimator:
    """Learns, for each urgency, the ratio of actual to predicted time to the first event.

    The prediction sums the prefill that is ahead of a request when it is sent. Engines also
    generate tokens between two prefill chunks, and they read more urgent prompts that arrive
    later first. The less urgent a request is, the more it is delayed. Placement by the bare
    prediction makes every such request slightly late in a burst, although the same engines could
    serve all of them on time.

    Example:
        >>> stretch = FirstEventRatioEstimator()
        >>> for _ in range(60):
        ...     stretch.learn(5, predicted=0.5, actual=1.0)
        >>> round(stretch.factor(5), 1), stretch.factor(0)
        (2.0, 1.0)
    """

    def __init__(self) -> None:
        self._predicted = [INITIAL_AVERAGE_SECONDS] * (LEAST_URGENT_TIER + 1)
        self._actual = [INITIAL_AVERAGE_SECONDS] * (LEAST_URGENT_TIER + 1)

    def factor(self, urgency: int) -> float:
        """Return the factor to apply to predicted seconds of an urgency."""
        low, high = STRETCH_BOUNDS
        return min(high, max(low, self._actual[urgency] / self._predicted[urgency]))

    def learn(self, urgency: int, predicted: float, actual: float) -> None:
        """Record an observed first event.

        Args:
            urgency: Urgency of the request.
            predicted: Seconds of prefill ahead of its first event, its own included.
            actual: Observed seconds to the first event.
        """
        if predicted < MINIMUM_PREDICTION_SECONDS:
            return
        self._predicted[urgency] += LEARNING_GAIN * (predicted - self._predicted[urgency])
        self._actual[urgency] += LEARNING_GAIN * (max(0.0, actual) - self._actual[urgency])
