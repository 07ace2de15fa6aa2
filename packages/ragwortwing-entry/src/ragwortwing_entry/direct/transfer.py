"""Progress of receiving one answer of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ragwortwing_policy.clock import Clock, Instant

    from .feed_relay import FeedRecords


class Transfer:
    """Tracks how much of an answer has been received, and when.

    Example:
        >>> from ragwortwing_policy.clock import ManualClock
        >>> clock = ManualClock()
        >>> transfer = Transfer(clock, on_records=print)
        >>> clock.advance(0.4)
        >>> transfer.received(1000)
        >>> clock.advance(0.1)
        >>> transfer.received_bytes, round(transfer.elapsed(), 3), round(transfer.stalled_for(), 3)
        (1000, 0.5, 0.1)
    """

    def __init__(self, clock: Clock, on_records: Callable[[FeedRecords], None]) -> None:
        """Create the tracker for a call that starts now.

        Args:
            clock: The clock.
            on_records: Called with records that have been received completely.
        """
        self._clock = clock
        self._on_records = on_records
        self._started_at = clock.monotonic()
        self._answer_began_at: Instant | None = None
        self._last_received_at: Instant | None = None
        self.received_bytes = 0
        self.records = 0
        """Number of records that have been delivered."""
        self.log_end: int | None = None
        """Offset at which the log ended when the answer began; None until the answer is complete,
        or if the answer does not state it."""

    @property
    def has_begun(self) -> bool:
        """Whether the headers of the answer have arrived."""
        return self._last_received_at is not None

    def received(self, size: int) -> None:
        """Record that the headers or a part of the body have arrived.

        Args:
            size: Number of bytes of the body; 0 for the headers.
        """
        self.received_bytes += size
        self._last_received_at = self._clock.monotonic()
        if self._answer_began_at is None:
            self._answer_began_at = self._last_received_at

    def deliver(self, found: FeedRecords) -> None:
        """Deliver records that have been received completely."""
        self.records += len(found.records)
        self._on_records(found)

    def elapsed(self) -> float:
        """Return the seconds since the call started."""
        return self._clock.monotonic() - self._started_at

    def duration(self) -> float:
        """Return the seconds since the answer began; 0 if it has not."""
        return (
            0.0
            if self._answer_began_at is None
            else self._clock.monotonic() - self._answer_began_at
        )

    def stalled_for(self) -> float:
        """Return the seconds since the last bytes arrived, or since the call started."""
        last_progress_at = (
            self._started_at if self._last_received_at is None else self._last_received_at
        )
        return self._clock.monotonic() - last_progress_at
