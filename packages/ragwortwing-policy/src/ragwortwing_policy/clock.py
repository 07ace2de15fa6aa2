"""Clock interface that allows tests and experiments to run in virtual time."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Protocol

DEFAULT_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
"""Wall-clock time at which a manual clock starts."""

Instant = float
"""A monotonic time in seconds. It is only valid within one process."""


class Clock(Protocol):
    """Source of time for a process."""

    def monotonic(self) -> Instant:
        """Return the monotonic time, which never decreases."""
        ...

    def boot_time(self) -> Instant:
        """Return a monotonic time that also advances while the machine is suspended."""
        ...

    def utc_now(self) -> datetime:
        """Return the wall-clock time in UTC.

        It may jump, so it must not be used to measure intervals.
        """
        ...


class ManualClock:
    """A clock that advances only on request, for tests and virtual time.

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
        """Return the epoch plus the monotonic time."""
        return self._epoch + timedelta(seconds=self._now)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now += seconds
