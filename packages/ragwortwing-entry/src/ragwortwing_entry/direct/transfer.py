"""Progress of one answer of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ragwortwing_policy.clock import Clock, Instant

    from .feed_relay import FeedRecords


class Transfer:
    """How much of an answer has been received, and when.

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
        """Create the progress of a call that is made now.

        Args:
            clock: The clock.
            on_records: Takes the records that have become whole.
        """
        self._clock = clock
        self._on_records = on_records
        self._started_at = clock.monotonic()
        self._begun_at: Instant | None = None
        self._received_at: Instant | None = None
        self.received_bytes = 0
        self.records = 0
        """Records that have been handed over."""

    @property
    def has_begun(self) -> bool:
        """Whether the head of the answer has arrived."""
        return self._received_at is not None

    def received(self, size: int) -> None:
        """Note that the head or a part of the body has arrived.

        Args:
            size: Bytes of the body.
        """
        self.received_bytes += size
        self._received_at = self._clock.monotonic()
        if self._begun_at is None:
            self._begun_at = self._received_at

    def deliver(self, found: FeedRecords) -> None:
        """Hand over records that have become whole."""
        self.records += len(found.records)
        self._on_records(found)

    def elapsed(self) -> float:
        """Return the seconds since the call."""
        return self._clock.monotonic() - self._started_at

    def duration(self) -> float:
        """Return the seconds since the answer has begun; 0 where it has not."""
        return 0.0 if self._begun_at is None else self._clock.monotonic() - self._begun_at

    def stalled_for(self) -> float:
        """Return the seconds since anything arrived, or since the call."""
        last = self._started_at if self._received_at is None else self._received_at
        return self._clock.monotonic() - last
