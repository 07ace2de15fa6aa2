"""Pressure of an entry: how short it is of processor time or memory, and what it sheds.

Load: the load balancer spreads callers by a hash over entries of 0.29 to 2.15 cores, and demand
moves between zones.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from math import exp, isfinite
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

LAG_INTERVAL = 0.05
"""Seconds between two measurements of the event-loop lag."""

LAG_MEMORY = 1.0
"""Time constant in seconds over which the lag is smoothed. A single pass of 0.2 s, such as the
parsing of a large configuration, stays below the pressure that others react to."""

FREEZE_LAG = 1.0
"""Lag in seconds from which a single measurement is a freeze or suspension of the VM. Two such
measurements in a row are a shortage of processor time."""

LAG_BOUNDS = (0.1, 0.5)
"""Smoothed lag in seconds at which pressure is 0 and 1. A VM of 0.29 cores whose processor time is
granted in periods of 0.1 s is stopped for 0.07 s of each in its normal range."""

HELD_BOUNDS = (0.5, 1.0)
"""Fraction of the memory for callers at which pressure is 0 and 1."""

AVOID_AT = 0.5
"""Pressure from which others avoid an entry as scheduler."""

CLOSE_AT = 0.6
"""Pressure from which callers are asked to open their next connection elsewhere."""

SHED_AT = 0.8
"""Pressure from which new requests of the least urgent tier are refused."""

CALM_BELOW = 0.2
"""Pressure below which an entry that was avoided counts as without pressure again."""

CALM_SECONDS = 3.0
"""Seconds below `CALM_BELOW` after which it does. A change of scheduler costs soft state."""

SHED_RETRY_AFTER = timedelta(milliseconds=150)
"""Wait before a caller that was shed should retry. The answer closes the connection, so the retry
reaches another entry at once; the wait only spreads the retries."""


class LoopLag:
    """Smoothed lag of the event loop; a single freeze is ignored.

    Example:
        >>> lag = LoopLag()
        >>> lag.measured(7.0, now=7.0)
        >>> lag.seconds, lag.ignored
        (0.0, 1)
        >>> for step in range(100):
        ...     lag.measured(0.3, now=8.0 + 0.35 * step)
        >>> round(lag.seconds, 2)
        0.3
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.ignored = 0
        """Number of measurements that were ignored as implausible or as a freeze."""
        self._measured_at: Instant | None = None
        self._froze = False

    def measured(self, lag: float, now: Instant) -> None:
        """Add a measurement.

        Args:
            lag: Seconds by which a wake-up was later than planned.
            now: When it was measured.
        """
        previous, self._measured_at = self._measured_at, now
        froze, self._froze = self._froze, lag >= FREEZE_LAG
        jumped = previous is not None and now < previous
        if not isfinite(lag) or lag < 0.0 or jumped or (self._froze and not froze):
            self.ignored += 1
            return
        # A freeze does not count as time in which the earlier lag was forgotten either.
        elapsed = LAG_INTERVAL + min(lag, FREEZE_LAG)
        weight = 1.0 - exp(-elapsed / LAG_MEMORY)
        self.seconds += weight * (min(lag, FREEZE_LAG) - self.seconds)


@dataclass(frozen=True, slots=True)
class PressureChange:
    """An entry has entered or left the state in which others avoid it."""

    entered: bool
    pressure: float
    lag: float
    held: float


class EntryPressure:
    """The pressure of one entry, from 0 to 1, and the decisions that follow from it.

    `reported` is what peers see. The hysteresis is applied here, and not by the receivers, so that
    all of them see the same side of the threshold and choose the same scheduler.

    Example:
        >>> pressure = EntryPressure()
        >>> pressure.update(lag=0.02, held=0.1, now=0.0), pressure.current
        (None, 0.0)
        >>> pressure.update(lag=0.46, held=0.0, now=1.0).entered
        True
        >>> pressure.closes_connections, round(pressure.shed_share, 2)
        (True, 0.5)
        >>> pressure.update(lag=0.0, held=0.0, now=2.0), pressure.reported
        (None, 0.5)
        >>> pressure.update(lag=0.0, held=0.0, now=5.5).entered, pressure.reported
        (False, 0.0)
    """

    def __init__(self) -> None:
        self.current = 0.0
        self.reported = 0.0
        self._is_avoided = False
        self._pressed_at: Instant = 0.0
        self._shed_credit = 0.0

    def update(self, lag: float, held: float, now: Instant) -> PressureChange | None:
        """Apply a measurement; return the change if others begin or cease to avoid the entry.

        Args:
            lag: Smoothed lag of the event loop in seconds.
            held: Fraction of the memory for callers that is held.
            now: The current instant.
        """
        self.current = round(max(_between(lag, LAG_BOUNDS), _between(held, HELD_BOUNDS)), 2)
        was_avoided = self._is_avoided
        if self.current >= CALM_BELOW:
            self._pressed_at = now
        if self.current >= AVOID_AT:
            self._is_avoided = True
        elif now - self._pressed_at >= CALM_SECONDS:
            self._is_avoided = False
        self.reported = max(AVOID_AT, self.current) if self._is_avoided else self.current
        if self._is_avoided == was_avoided:
            return None
        return PressureChange(self._is_avoided, self.current, round(lag, 3), round(held, 3))

    @property
    def closes_connections(self) -> bool:
        """Whether answers ask callers to open their next connection elsewhere."""
        return self.current >= CLOSE_AT

    @property
    def shed_share(self) -> float:
        """Share of the new requests of the least urgent tier that are refused."""
        return max(0.0, (self.current - SHED_AT) / (1.0 - SHED_AT))

    def sheds(self) -> bool:
        """Return whether to refuse a new request of the least urgent tier.

        The refused share grows with the pressure: a refusal of everything at one threshold would
        make the load of the entry oscillate.
        """
        self._shed_credit += self.shed_share
        if self._shed_credit < 1.0:
            return False
        self._shed_credit -= 1.0
        return True


def _between(value: float, bounds: tuple[float, float]) -> float:
    low, high = bounds
    return min(1.0, max(0.0, (value - low) / (high - low)))
