"""Regression of the gap between two events of a stream on the requests that run beside it."""

from __future__ import annotations

RIDGE = 50.0
"""Weight of the prior that the gap does not depend on the running requests, in squared requests.
Fifty samples that differ by three requests outweigh it ninefold."""


class GapFit:
    """Learns the gap between two events without prefill as a linear function, with weights.

    Example:
        >>> fit = GapFit(memory=200)
        >>> for running in (5, 20, 40) * 50:
        ...     fit.learn(running, 0.022 + 0.0005 * running)
        >>> round(fit.gap(0), 3), round(fit.gap(60), 3)
        (0.022, 0.052)
    """

    __slots__ = ("_decay", "_g", "_n", "_ng", "_nn", "base", "per_running", "samples")

    def __init__(self, memory: float) -> None:
        self._decay = 1.0 - 1.0 / memory
        self._n = self._g = self._nn = self._ng = 0.0
        self.samples = 0.0
        """Effective number of samples."""
        self.base = 0.0
        self.per_running = 0.0

    def learn(self, running: int, gap: float) -> None:
        """Learn a gap that was measured beside some running requests."""
        decay = self._decay
        self.samples = decay * self.samples + 1.0
        self._n = decay * self._n + running
        self._g = decay * self._g + gap
        self._nn = decay * self._nn + running * running
        self._ng = decay * self._ng + running * gap
        mean_n, mean_g = self._n / self.samples, self._g / self.samples
        variance = max(0.0, self._nn - self._n * mean_n)
        covariance = self._ng - self._n * mean_g
        # Neither part is negative.
        steepest = mean_g / mean_n if mean_n else 0.0
        self.per_running = min(steepest, max(0.0, covariance / (variance + RIDGE)))
        self.base = mean_g - self.per_running * mean_n

    def gap(self, running: int) -> float:
        """Return the gap beside some running requests."""
        return self.base + self.per_running * running
