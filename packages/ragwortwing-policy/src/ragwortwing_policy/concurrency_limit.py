"""Adaptive concurrency limit of one engine, controlled by its measured latency."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import fmean, median

from .clock import Instant

WINDOW_SECONDS = 0.5
"""Minimum length of a sample window."""

MINIMUM_SAMPLES = 12
"""Minimum samples to close a window, so that one slow sample cannot change the limit."""

INITIAL_SETPOINT_SHARE = 0.87
"""Initial share of the between-token target used as the setpoint for the mean between-token time.
It is below 1 because answers scatter around the mean and nearly all of them must meet the target.
"""

MINIMUM_SETPOINT_SHARE = 0.8
MAXIMUM_SETPOINT_SHARE = 0.95
"""Bounds of the setpoint share, which adapts to the answers that miss the target."""

SETPOINT_STEP_DOWN = 0.01
"""Decrease of the setpoint share after a missed target, applied at most once per window."""

SETPOINT_STEP_UP = 0.0001
"""Increase of the setpoint share after a met target. The two steps cancel out at one missed target
in a hundred answers."""

GROW_BELOW = 0.98
"""The limit grows only while the latency is below this multiple of the setpoint."""

SHRINK_ABOVE = 1.03
"""The limit shrinks when the latency is above this multiple of the setpoint."""

OUTLIER_FACTOR = 4.0
"""Samples are capped at this multiple of the window's median."""

STRICTEST_TARGET_HOLD_SECONDS = 10.0
"""Time for which the strictest target stays selected after the last request with it ran."""

SHRINK_FLOOR = 0.5
"""Lower bound of the factor applied to the limit in one window."""

FIRST_TOKEN_SHARE = 0.5
"""Share of the first-token target that the engine itself may use before it counts as overloaded."""

CEILING_SECONDS = 30.0
"""Time for which a limit that proved too high is not retried."""

MINIMUM_RELATIVE_GAIN = 0.3
"""Minimum relative latency decrease per relative concurrency decrease that justifies shrinking the
limit again."""

SLOW_START_STEP = 0.25
"""Relative growth of the limit per window until it first proves too high."""

MAXIMUM_SAMPLES = 512
"""Maximum number of samples kept per window."""


@dataclass(frozen=True, slots=True)
class LatencyTargets:
    """The strictest latency targets among the running requests, in seconds."""

    between_tokens: float
    first_token: float


@dataclass(frozen=True, slots=True)
class _Decrease:
    """The most recent decrease of the limit."""

    used: float
    latency_ratio: float
    at: Instant


class ConcurrencyLimit:
    """Grows additively while latency is on target and the limit is used; shrinks proportionally.

    Each window is evaluated by the mean of its samples with outliers capped, so a single slow
    stream or step does not change the limit. An engine that runs at a tenth of its speed shows up
    in every stream.
    """

    def __init__(self, initial: int, maximum: int) -> None:
        self._maximum = max(1, maximum)
        self._limit = float(min(max(1, initial), self._maximum))
        self._ceiling = float(self._maximum)
        self._ceiling_until: Instant = 0.0
        self._window_started_at: Instant | None = None
        self._between_tokens: list[float] = []
        self._first_tokens: list[float] = []
        self._peak_used = 0
        self._slow_start = True
        self._last_decrease: _Decrease | None = None
        self._no_shrink_until: Instant = 0.0
        self._setpoint_share = INITIAL_SETPOINT_SHARE
        self._setpoint_lowered_at: Instant | None = None

    @property
    def value(self) -> int:
        """Maximum number of concurrently running requests."""
        return max(1, int(self._limit))

    def observe_between_tokens(self, seconds: float) -> None:
        """Record the time between two consecutive tokens."""
        if len(self._between_tokens) < MAXIMUM_SAMPLES:
            self._between_tokens.append(seconds)

    def observe_first_token(self, seconds: float) -> None:
        """Record the time from the start of a request to its first token."""
        if len(self._first_tokens) < MAXIMUM_SAMPLES:
            self._first_tokens.append(seconds)

    def observe_answer(self, met_target: bool, now: Instant) -> None:
        """Record whether an answer of the most urgent tier met its between-token target."""
        if met_target:
            self._setpoint_share = min(
                MAXIMUM_SETPOINT_SHARE, self._setpoint_share + SETPOINT_STEP_UP
            )
            return
        # Concurrent answers miss together, so at most one miss per window counts. Misses are also
        # ignored while shrinking does not help, as they say nothing about the scatter.
        lowered_at = self._setpoint_lowered_at
        recently = lowered_at is not None and now - lowered_at < WINDOW_SECONDS
        if not recently and now >= self._no_shrink_until:
            self._setpoint_share = max(
                MINIMUM_SETPOINT_SHARE, self._setpoint_share - SETPOINT_STEP_DOWN
            )
            self._setpoint_lowered_at = now

    def observe_used(self, used: int) -> None:
        """Record how many slots are in use."""
        self._peak_used = max(self._peak_used, used)

    def discard_window(self) -> None:
        """Drop the samples of the open window."""
        self._window_started_at = None
        self._between_tokens.clear()
        self._first_tokens.clear()
        self._peak_used = 0

    def adapt(self, targets: LatencyTargets | None, used: int, now: Instant) -> None:
        """Evaluate the window if it is long enough and has enough samples.

        Args:
            targets: The strictest targets among the running requests, or None if nothing runs.
            used: Slots currently in use.
            now: The current time.
        """
        if self._window_started_at is None:
            self._window_started_at = now
        if now - self._window_started_at < WINDOW_SECONDS or targets is None:
            return
        if len(self._between_tokens) + len(self._first_tokens) < MINIMUM_SAMPLES:
            return
        # After a decrease, requests above the new limit still slow the engine down. Evaluating
        # their samples would shrink the limit again for a cause that was already handled.
        if used <= self.value:
            self._adjust(self._latency_ratio(targets), now)
        self._window_started_at = now
        self._between_tokens.clear()
        self._first_tokens.clear()
        self._peak_used = used

    def _latency_ratio(self, targets: LatencyTargets) -> float:
        latency_ratio = 0.0
        if self._between_tokens:
            latency_ratio = _robust_mean(self._between_tokens) / (
                self._setpoint_share * targets.between_tokens
            )
        if len(self._first_tokens) > 1:
            allowed = targets.first_token * FIRST_TOKEN_SHARE
            latency_ratio = max(latency_ratio, median(self._first_tokens) / allowed)
        return latency_ratio

    def _adjust(self, latency_ratio: float, now: Instant) -> None:
        if latency_ratio > SHRINK_ABOVE:
            if self._shrinking_helps(latency_ratio, now):
                self._shrink(latency_ratio, now)
        elif latency_ratio < GROW_BELOW and self._peak_used >= self.value:
            self._grow(now)

    def _shrinking_helps(self, latency_ratio: float, now: Instant) -> bool:
        """Return False for a while after a decrease that reduced the latency too little.

        An engine at a tenth of its speed misses its target with one stream as well as with 16.
        Shrinking the limit to one would cost throughput without meeting the target.
        """
        if now < self._no_shrink_until:
            return False
        if self._last_decrease is None or now - self._last_decrease.at > CEILING_SECONDS:
            return True
        remaining_share = self.value / self._last_decrease.used
        latency_gain = 1.0 - latency_ratio / self._last_decrease.latency_ratio
        if latency_gain >= MINIMUM_RELATIVE_GAIN * (1.0 - remaining_share):
            return True
        self._no_shrink_until = now + CEILING_SECONDS
        self._last_decrease = None
        return False

    def _shrink(self, latency_ratio: float, now: Instant) -> None:
        used = min(self._limit, float(max(1, self._peak_used)))
        self._last_decrease = _Decrease(used, latency_ratio, now)
        self._slow_start = False
        self._ceiling = max(1.0, used - 1.0)
        self._ceiling_until = now + CEILING_SECONDS
        self._limit = max(1.0, SHRINK_FLOOR * self._limit, used / latency_ratio)

    def _grow(self, now: Instant) -> None:
        if now >= self._ceiling_until:
            self._ceiling = float(self._maximum)
        step = max(1.0, SLOW_START_STEP * self._limit) if self._slow_start else 1.0
        self._limit = min(self._limit + step, max(self._limit, self._ceiling), self._maximum)


class EngineLimit:
    """Selects among limits that are learned separately for each between-token target.

    A batch size that meets the target of narratives is far too large for chats. With one shared
    limit, the first chats after a pause would miss their target until the limit had shrunk. The
    strictest target among the running and recently running requests therefore selects the limit.
    """

    def __init__(self, initial: int, maximum: int) -> None:
        self._initial = initial
        self._maximum = maximum
        self._limit_by_target: dict[float, ConcurrencyLimit] = {}
        self._target: float | None = None
        self._strictest_ran_at: Instant = 0.0
        self._limit = ConcurrencyLimit(initial, maximum)

    @property
    def value(self) -> int:
        """Maximum number of concurrently running requests."""
        return self._limit.value

    def observe_between_tokens(self, seconds: float) -> None:
        """Record the time between two consecutive tokens."""
        self._limit.observe_between_tokens(seconds)

    def observe_first_token(self, seconds: float) -> None:
        """Record the time from the start of a request to its first token."""
        self._limit.observe_first_token(seconds)

    def observe_answer(self, mean_seconds: float, target: float, now: Instant) -> None:
        """Record the mean between-token time of an answer of the most urgent tier."""
        if target == self._target:
            self._limit.observe_answer(mean_seconds <= target, now)

    def observe_used(self, used: int) -> None:
        """Record how many slots are in use."""
        self._limit.observe_used(used)

    def adapt(self, targets: LatencyTargets | None, used: int, now: Instant) -> None:
        """Select the limit of the strictest target and adapt it."""
        if targets is not None:
            self._select(targets.between_tokens, now)
        self._limit.adapt(targets, used, now)

    def _select(self, target: float, now: Instant) -> None:
        if self._target is None or target <= self._target:
            self._strictest_ran_at = now
        elif now - self._strictest_ran_at < STRICTEST_TARGET_HOLD_SECONDS:
            return
        if target == self._target:
            return
        self._target = target
        self._strictest_ran_at = now
        if target not in self._limit_by_target:
            self._limit_by_target[target] = ConcurrencyLimit(self._initial, self._maximum)
        self._limit = self._limit_by_target[target]
        self._limit.discard_window()


def _robust_mean(samples: list[float]) -> float:
    cap = OUTLIER_FACTOR * median(samples)
    return fmean(min(each, cap) for each in samples)
