"""The concurrency limit of one engine, learned from its latency."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import fmean, median

from .clock import Instant

WINDOW_SECONDS = 0.5
"""Shortest time over which samples are judged together."""

MINIMUM_SAMPLES = 12
"""Samples without which a window stays open, so that one slow sample decides nothing."""

INITIAL_AIM = 0.87
"""Share of the target that the mean between-token time is held to at first. Answers scatter about
the mean, and the target is to hold for nearly all of them."""

LOWEST_AIM = 0.8
HIGHEST_AIM = 0.95
"""Bounds of the share, which is learned from the answers that miss the target."""

AIM_STEP_DOWN = 0.01
"""Step of the share on an answer that missed, at most one in a window."""

AIM_STEP_UP = 0.0001
"""Step of the share on an answer that held; one miss in a hundred answers keeps the balance."""

GROW_BELOW = 0.98
"""The limit grows only while the latency is below this share of what is aimed at."""

SHRINK_ABOVE = 1.03
"""The limit shrinks when the latency is above this multiple of what is aimed at."""

OUTLIER_FACTOR = 4.0
"""A sample counts at most as this many times the median of its window."""

STRICT_SECONDS = 10.0
"""Time for which the limit stays with the strictest target after the last such request ran."""

SHRINK_FLOOR = 0.5
"""Smallest factor by which one window shrinks the limit."""

FIRST_TOKEN_SHARE = 0.5
"""Share of the first-token target that the engine itself may use before it counts as full."""

CEILING_SECONDS = 30.0
"""Time for which a limit that proved too high is not tried again."""

USEFUL_GAIN = 0.3
"""Share of a cut in concurrency that latency must fall by for another cut to be worth it."""

SLOW_START_STEP = 0.25
"""Share by which a window grows the limit before it first proved too high."""

MAXIMUM_SAMPLES = 512
"""Samples kept of one window."""


@dataclass(frozen=True, slots=True)
class LatencyTargets:
    """The strictest targets among the requests that run, in seconds."""

    between_tokens: float
    first_token: float


@dataclass(frozen=True, slots=True)
class _Shrink:
    """The last step down."""

    used: float
    pressure: float
    at: Instant


class ConcurrencyLimit:
    """Additive increase while latency holds and the limit is used, proportional decrease if not.

    The verdict of a window is the mean of its samples, as a caller sees it, with outliers cut off:
    a single slow stream, or one slow step, does not move the limit. An engine that slowed to a
    tenth shows in every stream.
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
        self._last_shrink: _Shrink | None = None
        self._held_until: Instant = 0.0
        self._aim = INITIAL_AIM
        self._aim_lowered_at: Instant | None = None

    @property
    def value(self) -> int:
        """Requests that may run at one time."""
        return max(1, int(self._limit))

    def observe_between_tokens(self, seconds: float) -> None:
        """Take in the time one token took after the one before it."""
        if len(self._between_tokens) < MAXIMUM_SAMPLES:
            self._between_tokens.append(seconds)

    def observe_first_token(self, seconds: float) -> None:
        """Take in the time from a request's start to its first token."""
        if len(self._first_tokens) < MAXIMUM_SAMPLES:
            self._first_tokens.append(seconds)

    def observe_answer(self, held: bool, now: Instant) -> None:
        """Take in whether an answer of the most urgent tier held its between-token target."""
        if held:
            self._aim = min(HIGHEST_AIM, self._aim + AIM_STEP_UP)
            return
        # Answers that overlap in time miss together; each such moment counts once. While no limit
        # helps, a miss says nothing about the scatter.
        lowered_at = self._aim_lowered_at
        recently = lowered_at is not None and now - lowered_at < WINDOW_SECONDS
        if not recently and now >= self._held_until:
            self._aim = max(LOWEST_AIM, self._aim - AIM_STEP_DOWN)
            self._aim_lowered_at = now

    def observe_used(self, used: int) -> None:
        """Take in how many slots are used."""
        self._peak_used = max(self._peak_used, used)

    def discard_window(self) -> None:
        """Drop the samples of the window that is open."""
        self._window_started_at = None
        self._between_tokens.clear()
        self._first_tokens.clear()
        self._peak_used = 0

    def adapt(self, targets: LatencyTargets | None, used: int, now: Instant) -> None:
        """Judge the window if it is long and full enough.

        Args:
            targets: The strictest targets among the running requests; None where nothing runs.
            used: Slots in use at this moment.
            now: The present instant.
        """
        if self._window_started_at is None:
            self._window_started_at = now
        if now - self._window_started_at < WINDOW_SECONDS or targets is None:
            return
        if len(self._between_tokens) + len(self._first_tokens) < MINIMUM_SAMPLES:
            return
        # Requests above a limit that fell still slow the engine down; judging their samples
        # would shrink the limit once more for what the last step has already answered.
        if used <= self.value:
            self._judge(self._pressure(targets), now)
        self._window_started_at = now
        self._between_tokens.clear()
        self._first_tokens.clear()
        self._peak_used = used

    def _pressure(self, targets: LatencyTargets) -> float:
        pressure = 0.0
        if self._between_tokens:
            pressure = _robust_mean(self._between_tokens) / (self._aim * targets.between_tokens)
        if len(self._first_tokens) > 1:
            allowed = targets.first_token * FIRST_TOKEN_SHARE
            pressure = max(pressure, median(self._first_tokens) / allowed)
        return pressure

    def _judge(self, pressure: float, now: Instant) -> None:
        if pressure > SHRINK_ABOVE:
            if self._shrinking_helps(pressure, now):
                self._shrink(pressure, now)
        elif pressure < GROW_BELOW and self._peak_used >= self.value:
            self._grow(now)

    def _shrinking_helps(self, pressure: float, now: Instant) -> bool:
        """Return False for a while after a step that brought the latency down too little.

        An engine that slowed to a tenth misses its target with one stream as with sixteen; the
        limit would fall to one and throw its throughput away for nothing.
        """
        if now < self._held_until:
            return False
        if self._last_shrink is None or now - self._last_shrink.at > CEILING_SECONDS:
            return True
        kept = self.value / self._last_shrink.used
        gained = 1.0 - pressure / self._last_shrink.pressure
        if gained >= USEFUL_GAIN * (1.0 - kept):
            return True
        self._held_until = now + CEILING_SECONDS
        self._last_shrink = None
        return False

    def _shrink(self, pressure: float, now: Instant) -> None:
        used = min(self._limit, float(max(1, self._peak_used)))
        self._last_shrink = _Shrink(used, pressure, now)
        self._slow_start = False
        self._ceiling = max(1.0, used - 1.0)
        self._ceiling_until = now + CEILING_SECONDS
        self._limit = max(1.0, SHRINK_FLOOR * self._limit, used / pressure)

    def _grow(self, now: Instant) -> None:
        if now >= self._ceiling_until:
            self._ceiling = float(self._maximum)
        step = max(1.0, SLOW_START_STEP * self._limit) if self._slow_start else 1.0
        self._limit = min(self._limit + step, max(self._limit, self._ceiling), self._maximum)


class EngineLimit:
    """The limit in force, learned apart for each between-token target.

    A batch that holds the target of narratives is far too large for that of chats. With one limit
    for both, the first chats after a quiet time would find it too high and miss their target until
    it had shrunk; so the strictest target that runs, or ran a moment ago, picks the limit.
    """

    def __init__(self, initial: int, maximum: int) -> None:
        self._initial = initial
        self._maximum = maximum
        self._limit_by_target: dict[float, ConcurrencyLimit] = {}
        self._target: float | None = None
        self._strict_at: Instant = 0.0
        self._limit = ConcurrencyLimit(initial, maximum)

    @property
    def value(self) -> int:
        """Requests that may run at one time."""
        return self._limit.value

    def observe_between_tokens(self, seconds: float) -> None:
        """Take in the time one token took after the one before it."""
        self._limit.observe_between_tokens(seconds)

    def observe_first_token(self, seconds: float) -> None:
        """Take in the time from a request's start to its first token."""
        self._limit.observe_first_token(seconds)

    def observe_answer(self, mean_seconds: float, target: float, now: Instant) -> None:
        """Take in the mean between-token time of an answer of the most urgent tier."""
        if target == self._target:
            self._limit.observe_answer(mean_seconds <= target, now)

    def observe_used(self, used: int) -> None:
        """Take in how many slots are used."""
        self._limit.observe_used(used)

    def adapt(self, targets: LatencyTargets | None, used: int, now: Instant) -> None:
        """Pick the limit by the strictest target, and adapt it."""
        if targets is not None:
            self._pick(targets.between_tokens, now)
        self._limit.adapt(targets, used, now)

    def _pick(self, target: float, now: Instant) -> None:
        if self._target is None or target <= self._target:
            self._strict_at = now
        elif now - self._strict_at < STRICT_SECONDS:
            return
        if target == self._target:
            return
        self._target = target
        self._strict_at = now
        if target not in self._limit_by_target:
            self._limit_by_target[target] = ConcurrencyLimit(self._initial, self._maximum)
        self._limit = self._limit_by_target[target]
        self._limit.discard_window()


def _robust_mean(samples: list[float]) -> float:
    most = OUTLIER_FACTOR * median(samples)
    return fmean(min(each, most) for each in samples)
