"""Regression of the time to a first event on the tokens to prefill."""

from __future__ import annotations

from math import inf, sqrt

TOKENS_PER_KILO = 1_000.0

NOISE_KILO = 0.3
"""Thousands of tokens at which the constant and the size-dependent part of the noise are equal.
Rows are weighted by the inverse of their noise. A row that continues a busy period has only the
second part, and its time may belong to the prompt before it; weights that decrease with the size
keep the sum of the times of a busy period right."""

CLIP_FACTORS = (0.2, 3.0)
"""Bounds of a measured time relative to the prediction. A single stall cannot move the estimate
further; a lasting change is followed in a few measurements."""

MINIMUM_CLIPPED_SECONDS = 0.05
"""Seconds to which a measurement is never clipped: the relative bound is too narrow there."""


class FirstEventFit:
    """Learns a fixed time and a time per token together, with exponential weights.

    Two kinds of rows are learned. A prompt that met no queue takes the fixed time and its own
    prefill. A prompt that waited for others takes only its own prefill from the moment at which
    the engine finished the one before. If only the first kind were learned with an assumed fixed
    time, a fixed time that is too short would appear as a slow rate.

    Example:
        >>> fit = FirstEventFit(memory=100, fixed_time=0.035, seconds_per_token=25e-6)
        >>> for tokens in (400, 3_000, 9_000) * 60:
        ...     fit.learn(tokens, 0.09 + tokens * 18e-6, includes_fixed_time=True)
        >>> round(fit.fixed_time, 2), round(1_000 * fit.seconds_per_token, 3)
        (0.09, 0.018)
    """

    __slots__ = (
        "_decay",
        "_ff",
        "_fk",
        "_fy",
        "_kk",
        "_ky",
        "_noise",
        "_prior_fixed",
        "_prior_rate",
        "_prior_weights",
        "fixed_time",
        "samples",
        "seconds_per_token",
        "unqueued",
    )

    def __init__(
        self,
        memory: float,
        fixed_time: float,
        seconds_per_token: float,
        prior_samples: tuple[float, float] = (1.0, 1.0),
    ) -> None:
        """Create a fit.

        Args:
            memory: Number of rows after which the weight of a row has fallen to 1/e.
            fixed_time: Prior of the fixed time in seconds.
            seconds_per_token: Prior of the time per token.
            prior_samples: Rows that the priors of both count for.
        """
        self._decay = 1.0 - 1.0 / memory
        self._ff = self._fk = self._kk = self._fy = self._ky = 0.0
        self._noise = 0.0
        self._prior_weights = prior_samples
        self.samples = 0.0
        """Effective number of rows."""
        self.unqueued = 0.0
        """Effective number of rows that include the fixed time."""
        self.fixed_time = fixed_time
        self.seconds_per_token = seconds_per_token
        self.set_prior(fixed_time, seconds_per_token)

    @property
    def fixed_error(self) -> float:
        """Standard error of the fixed time."""
        if not self.samples:
            return inf
        ff, kk = self._weights()
        return sqrt(self._noise * kk / (ff * kk - self._fk * self._fk))

    def _weights(self) -> tuple[float, float]:
        """Return the weights of the fixed time and of the time per token, priors included."""
        fixed_weight, rate_weight = self._prior_weights
        return self._ff + fixed_weight, self._kk + rate_weight

    def set_prior(self, fixed_time: float, seconds_per_token: float) -> None:
        """Change the values toward which the estimate is shrunk."""
        self._prior_fixed = fixed_time
        self._prior_rate = seconds_per_token * TOKENS_PER_KILO
        if not self.samples:
            self.fixed_time, self.seconds_per_token = fixed_time, seconds_per_token

    def predict(self, tokens: int, *, includes_fixed_time: bool) -> float:
        """Return the expected seconds of a row."""
        fixed = self.fixed_time if includes_fixed_time else 0.0
        return fixed + tokens * self.seconds_per_token

    def learn(self, tokens: int, seconds: float, *, includes_fixed_time: bool) -> None:
        """Learn one row.

        Args:
            tokens: Tokens that were prefilled.
            seconds: The time it took.
            includes_fixed_time: Whether the prompt met no queue.
        """
        kilo = tokens / TOKENS_PER_KILO
        expected = self.predict(tokens, includes_fixed_time=includes_fixed_time)
        low, high = CLIP_FACTORS
        clipped = min(max(seconds, low * expected), max(high * expected, MINIMUM_CLIPPED_SECONDS))
        weight = 1.0 / (kilo + NOISE_KILO)
        decay = self._decay
        self.samples = decay * self.samples + 1.0
        self._ff *= decay
        self._fk *= decay
        self._fy *= decay
        self.unqueued *= decay
        if includes_fixed_time:
            self._ff += weight
            self._fk += weight * kilo
            self._fy += weight * clipped
            self.unqueued += 1.0
        self._kk = decay * self._kk + weight * kilo * kilo
        self._ky = decay * self._ky + weight * kilo * clipped
        residual = weight * (clipped - expected) ** 2
        self._noise += (residual - self._noise) * max(1.0 - decay, 1.0 / self.samples)
        self._solve()

    def _solve(self) -> None:
        fixed_weight, rate_weight = self._prior_weights
        ff, kk = self._weights()
        fy = self._fy + fixed_weight * self._prior_fixed
        ky = self._ky + rate_weight * self._prior_rate
        determinant = ff * kk - self._fk * self._fk
        rate = (ff * ky - self._fk * fy) / determinant
        fixed = (kk * fy - self._fk * ky) / determinant
        if fixed < 0.0 or rate <= 0.0:
            # Neither is negative: the other one is then fitted alone.
            fixed, rate = (0.0, ky / kk) if fixed < 0.0 else (fy / ff, 0.0)
        self.fixed_time = fixed
        self.seconds_per_token = max(rate, 0.0) / TOKENS_PER_KILO
