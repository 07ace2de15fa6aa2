"""The clock of a running process."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant


class SystemClock:
    """The operating system's clocks; the monotonic one goes on while the process is stopped."""

    def monotonic(self) -> Instant:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def boot_time(self) -> Instant:
        """Return the time since boot in seconds, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def utc_now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)
