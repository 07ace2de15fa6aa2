"""Streams of records with offsets, a rate and a retention, as the platform's store keeps them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.clock import Instant

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock

DEFAULT_APPENDS_PER_SECOND = 300.0
DEFAULT_RETENTION = timedelta(days=1)
BURST_SECONDS = 0.1
"""How much unused rate may be saved up, as seconds of it."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record of a stream."""

    offset: int
    appended_at: Instant
    payload: bytes


@dataclass(slots=True)
class Stream:
    """The records of one stream that are still kept."""

    first_offset: int = 0
    records: deque[StoredRecord] = field(default_factory=deque)
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def next_offset(self) -> int:
        """Offset that the next append gets."""
        return self.first_offset + len(self.records)

    def trim_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        while self.records and self.first_offset < offset:
            self.records.popleft()
            self.first_offset += 1


class RecordLog:
    """The streams, their rate and retention; it does no input or output."""

    def __init__(
        self,
        clock: Clock,
        appends_per_second: float = DEFAULT_APPENDS_PER_SECOND,
        retention: timedelta = DEFAULT_RETENTION,
    ) -> None:
        self._clock = clock
        self.appends_per_second = appends_per_second
        self._retention = retention
        self._streams_by_name: dict[str, Stream] = {}
        self._allowance = max(1.0, appends_per_second * BURST_SECONDS)
        self._refilled_at = clock.monotonic()

    def stream(self, name: str) -> Stream:
        """Return a stream without the records whose time has run out."""
        stream = self._streams_by_name.setdefault(name, Stream())
        oldest = self._clock.monotonic() - self._retention.total_seconds()
        while stream.records and stream.records[0].appended_at < oldest:
            stream.trim_before(stream.first_offset + 1)
        return stream

    def streams(self) -> dict[str, Stream]:
        """Return every stream by its name."""
        return {name: self.stream(name) for name in self._streams_by_name}

    def admit(self) -> bool:
        """Take one append from the rate; return whether there was one."""
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * self.appends_per_second
        most = max(1.0, self.appends_per_second * BURST_SECONDS)
        self._allowance = min(most, self._allowance + earned)
        self._refilled_at = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def append(self, name: str, payload: bytes) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        offset = stream.next_offset
        stream.records.append(StoredRecord(offset, self._clock.monotonic(), payload))
        stream.changed.set()
        stream.changed = trio.Event()
        return offset
