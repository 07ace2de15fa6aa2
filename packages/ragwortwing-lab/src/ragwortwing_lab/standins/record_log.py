"""In-memory streams of records with offsets, an append rate limit and a retention time."""

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
"""Largest burst of appends, as seconds at the rate limit."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record of a stream."""

    offset: int
    appended_at: Instant
    payload: bytes


@dataclass(slots=True)
class Stream:
    """The retained records of one stream."""

    first_offset: int = 0
    records: deque[StoredRecord] = field(default_factory=deque)
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def next_offset(self) -> int:
        """Offset of the next appended record."""
        return self.first_offset + len(self.records)

    def trim_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        while self.records and self.first_offset < offset:
            self.records.popleft()
            self.first_offset += 1


class RecordLog:
    """All streams with a shared append rate limit; does no I/O."""

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
        self._bucket_tokens = max(1.0, appends_per_second * BURST_SECONDS)
        self._refilled_at = clock.monotonic()

    def stream(self, name: str) -> Stream:
        """Return a stream after removal of its expired records."""
        stream = self._streams_by_name.setdefault(name, Stream())
        oldest = self._clock.monotonic() - self._retention.total_seconds()
        while stream.records and stream.records[0].appended_at < oldest:
            stream.trim_before(stream.first_offset + 1)
        return stream

    def streams(self) -> dict[str, Stream]:
        """Return all streams by name."""
        return {name: self.stream(name) for name in self._streams_by_name}

    def admit(self) -> bool:
        """Take one append from the token bucket; return False if it is empty."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * self.appends_per_second
        capacity = max(1.0, self.appends_per_second * BURST_SECONDS)
        self._bucket_tokens = min(capacity, self._bucket_tokens + refill)
        self._refilled_at = now
        if self._bucket_tokens < 1.0:
            return False
        self._bucket_tokens -= 1.0
        return True

    def append(self, name: str, payload: bytes) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        offset = stream.next_offset
        stream.records.append(StoredRecord(offset, self._clock.monotonic(), payload))
        stream.changed.set()
        stream.changed = trio.Event()
        return offset
