"""The clock of a running process."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant


class SystemClock:
    """Clocks of the operating system; the monotonic one advances while the process is stopped."""

    def monotonic(self) -> Instant:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def boot_time(self) -> Instant:
        """Return the time since boot in seconds, including time while suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def utc_now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)
