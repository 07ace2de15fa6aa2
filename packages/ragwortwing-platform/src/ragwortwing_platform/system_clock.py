"""The clock of a running process."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant


class SystemClock:
    """Time of the trio loop, so that tests with an autojump clock move it too."""

    def monotonic(self) -> Instant:
        """Return the loop's time."""
        return trio.current_time()

    def utc_now(self) -> datetime:
        """Return the machine's wall time."""
        return datetime.now(UTC)
