"""Exponentially weighted mean and mean deviation of a measured value."""

from __future__ import annotations

from math import inf, sqrt


class RunningAverage:
    """A mean with its mean absolute deviation, shrunk toward a prior while samples are few.

    Example:
        >>> average = RunningAverage(gain=0.1, prior_samples=2.0)
        >>> for _ in range(6):
        ...     average.learn(4.0)
        >>> average.shrunk(0.0), average.deviation
        (3.0, 0.0)
    """

    __slots__ = ("_gain", "_prior_samples", "deviation", "mean", "samples")

    def __init__(self, gain: float, prior_samples: float = 0.0) -> None:
        """Create an average.

        Args:
            gain: Weight of a new sample once there are many.
            prior_samples: Samples that a prior counts for.
        """
        self._gain = gain
        self._prior_samples = prior_samples
        self.samples = 0
        self.mean = 0.0
        self.deviation = 0.0

    def learn(self, value: float) -> None:
        """Learn a sample; the first ones count equally."""
        self.samples += 1
        gain = max(self._gain, 1.0 / self.samples)
        if self.samples > 1:
            self.deviation += gain * (abs(value - self.mean) - self.deviation)
        self.mean += gain * (value - self.mean)

    @property
    def standard_error(self) -> float:
        """Standard error of the mean, if the samples are normal and independent."""
        effective = min(self.samples, 2.0 / self._gain)
        return 1.25 * self.deviation / sqrt(effective) if effective else inf

    def shrunk(self, prior: float) -> float:
        """Return the mean, shrunk toward a prior."""
        total = self.samples + self._prior_samples
        if not total:
            return prior
        return prior + (self.samples / total) * (self.mean - prior)

    def shrunk_deviation(self, prior: float) -> float:
        """Return the mean deviation, shrunk toward a prior."""
        total = self.samples + self._prior_samples
        if not total:
            return prior
        return prior + (self.samples / total) * (self.deviation - prior)
