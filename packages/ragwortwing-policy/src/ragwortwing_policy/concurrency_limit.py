"""The concurrency limit of one engine, learned from its latency."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

from .clock import Instant

WINDOW_SECONDS = 0.5
"""Shortest time over which samples are judged together."""

MINIMUM_SAMPLES = 6
"""Samples without which a window stays open, so that one slow sample decides nothing."""

GROW_BELOW = 0.9
"""The limit grows only while the latency is below this share of the target."""

SHRINK_FLOOR = 0.5
"""Smallest factor by which one window shrinks the limit."""

BETWEEN_TOKENS_SHARE = 0.87
"""Share of the between-token target that the median is held to, as an answer's own mean scatters
about the median: held to the target itself, every second answer would miss it."""

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

    The verdict of a window is the median of its samples: a single slow stream, or one slow step,
    does not move the limit. An engine that slowed to a tenth shows in every stream.
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

    def observe_used(self, used: int) -> None:
        """Take in how many slots are used."""
        self._peak_used = max(self._peak_used, used)

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
            allowed = targets.between_tokens * BETWEEN_TOKENS_SHARE
            pressure = median(self._between_tokens) / allowed
        if len(self._first_tokens) > 1:
            allowed = targets.first_token * FIRST_TOKEN_SHARE
            pressure = max(pressure, median(self._first_tokens) / allowed)
        return pressure

    def _judge(self, pressure: float, now: Instant) -> None:
        if pressure > 1.0:
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
        self._limit = max(1.0, used * max(SHRINK_FLOOR, min(0.95, 1.0 / pressure)))

    def _grow(self, now: Instant) -> None:
        if now >= self._ceiling_until:
            self._ceiling = float(self._maximum)
        step = max(1.0, SLOW_START_STEP * self._limit) if self._slow_start else 1.0
        self._limit = min(self._limit + step, max(self._limit, self._ceiling), self._maximum)
