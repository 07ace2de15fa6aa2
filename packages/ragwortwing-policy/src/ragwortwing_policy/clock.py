"""The clock that every decision is given, so that tests and experiments can run in virtual time."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Protocol

DEFAULT_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
"""Wall time at which a manual clock starts."""

Instant = float
"""A point on the monotonic clock in seconds; it has no meaning in another process."""


class Clock(Protocol):
    """Source of time for a process."""

    def monotonic(self) -> Instant:
        """Return the monotonic time; it never goes back."""
        ...

    def boot_time(self) -> Instant:
        """Return a monotonic time that also goes on while the machine is suspended."""
        ...

    def utc_now(self) -> datetime:
        """Return the wall time with its zone; it may step, so no interval is taken from it."""
        ...


class ManualClock:
    """A clock that moves only when told to, for tests and virtual time.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance(1.5)
        >>> clock.monotonic()
        1.5
    """

    def __init__(self, start: Instant = 0.0, epoch: datetime = DEFAULT_EPOCH) -> None:
        self._now = start
        self._epoch = epoch

    def monotonic(self) -> Instant:
        """Return the instant last set."""
        return self._now

    def boot_time(self) -> Instant:
        """Return the instant last set."""
        return self._now

    def utc_now(self) -> datetime:
        """Return the epoch moved on by the monotonic time."""
        return self._epoch + timedelta(seconds=self._now)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now += seconds
