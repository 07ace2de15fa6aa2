"""Estimate of the true time: the median of all entries' wall clocks.

A wall clock may jump by seconds. The median is stable as long as most clocks do not jump.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock, Instant

READING_LIFETIME = 5.0
"""Seconds for which a peer's clock reading is used."""

MEDIAN_LIFETIME = 0.2
"""Seconds for which a computed median is cached."""


class FleetTime:
    """Unix time as the median of the clock readings of this entry and its peers.

    Example:
        >>> from ragwortwing_policy.clock import ManualClock
        >>> clock = ManualClock()
        >>> fleet = FleetTime(clock)
        >>> true = fleet.unix_time()
        >>> fleet.update_from_peer("entry-2", true + 60.0)
        >>> fleet.update_from_peer("entry-3", true)
        >>> fleet.unix_time() == true
        True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reading_by_peer: dict[str, tuple[float, Instant]] = {}
        self._offset = 0.0
        self._computed_at: Instant | None = None

    def update_from_peer(self, peer: str, unix_time: float) -> None:
        """Record a reading of a peer's wall clock, in seconds of Unix time."""
        now = self._clock.boot_time()
        self._reading_by_peer[peer] = (unix_time - now, now)
        self._computed_at = None

    def local_unix_time(self) -> float:
        """Return the reading of this entry's own wall clock."""
        return self._clock.utc_now().timestamp()

    def unix_time(self) -> float:
        """Return the estimated true time in seconds of Unix time."""
        now = self._clock.boot_time()
        if self._computed_at is None or now - self._computed_at > MEDIAN_LIFETIME:
            self._offset = self._median_offset(now)
            self._computed_at = now
        return now + self._offset

    def _median_offset(self, now: Instant) -> float:
        offsets = [self.local_unix_time() - now]
        offsets += [
            offset for offset, at in self._reading_by_peer.values() if now - at < READING_LIFETIME
        ]
        return median(offsets)
