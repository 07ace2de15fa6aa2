"""A log without sockets, for virtual time: it takes its time and loses replies by a seeded draw."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_runtime.record_log import (
    DEFAULT_READ_LIMIT,
    Appended,
    AppendResult,
    AppendUnknown,
    LogCause,
    LogPage,
    LogRecord,
    LogUnavailable,
    OffsetExpired,
    ReadResult,
)

if TYPE_CHECKING:
    from random import Random

    from ragwortwing_policy.clock import Instant

    from .record_log import RecordLog

VIRTUAL_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class TrioClock:
    """The clock of the trio run, virtual where the run's clock is."""

    def monotonic(self) -> Instant:
        """Return trio's current time."""
        return trio.current_time()

    def boot_time(self) -> Instant:
        """Return trio's current time."""
        return trio.current_time()

    def utc_now(self) -> datetime:
        """Return a wall time that moves with it."""
        return VIRTUAL_EPOCH + timedelta(seconds=trio.current_time())


@dataclass(frozen=True, slots=True)
class LogFaults:
    """How often an in-memory log goes wrong."""

    refused: float = 0.0
    """Share of appends refused as in an outage."""
    reply_lost: float = 0.0
    """Share of appends that take effect and whose reply is lost."""
    late: float = 0.0
    """Share of appends that are told as unknown and take effect only later."""
    dropped: float = 0.0
    """Share of appends that are told as unknown and never take effect."""
    late_by: float = 8.0
    """Most seconds by which a late append comes to stand in the log."""


class InMemoryLog:
    """Gives the results of a platform's log from a `RecordLog` in the same process."""

    def __init__(
        self,
        records: RecordLog,
        random: Random,
        nursery: trio.Nursery,
        one_way: float = 0.001,
        faults: LogFaults | None = None,
    ) -> None:
        """Create a log.

        Args:
            records: The records, their rate and retention.
            random: Draws the faults.
            nursery: Where late appends wait.
            one_way: Seconds of network latency each way.
            faults: How often it goes wrong.
        """
        self._records = records
        self._random = random
        self._nursery = nursery
        self._one_way = one_way
        self.faults = faults or LogFaults()

    async def append(self, stream: str, payload: bytes) -> AppendResult:
        """Append one record, or go wrong."""
        await trio.sleep(self._one_way)
        draw = self._random.random()
        faults = self.faults
        if draw < faults.refused:
            return LogUnavailable(LogCause.OUTAGE)
        draw -= faults.refused
        if draw < faults.dropped:
            return AppendUnknown(LogCause.NO_ANSWER)
        draw -= faults.dropped
        if draw < faults.late:
            self._nursery.start_soon(self._append_late, stream, payload)
            return AppendUnknown(LogCause.NO_ANSWER)
        draw -= faults.late
        if not self._records.admit():
            await trio.sleep(self._one_way)
            return LogUnavailable(LogCause.RATE)
        offset = self._records.append(stream, payload)
        await trio.sleep(self._one_way)
        if draw < faults.reply_lost:
            return AppendUnknown(LogCause.NO_ANSWER)
        return Appended(offset)

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = DEFAULT_READ_LIMIT,
        wait: timedelta = timedelta(0),
    ) -> ReadResult:
        """Read records from an offset on."""
        await trio.sleep(self._one_way)
        kept = self._records.stream(stream)
        if offset >= kept.next_offset:
            with trio.move_on_after(wait.total_seconds()):
                await kept.changed.wait()
            kept = self._records.stream(stream)
        await trio.sleep(self._one_way)
        if offset < kept.first_offset:
            return OffsetExpired(kept.first_offset)
        start = offset - kept.first_offset
        end = min(len(kept.records), start + limit)
        chosen = [kept.records[index] for index in range(start, end)]
        records = tuple(LogRecord(each.offset, each.payload) for each in chosen)
        return LogPage(kept.first_offset, offset + len(records), records)

    async def _append_late(self, stream: str, payload: bytes) -> None:
        await trio.sleep(self._random.random() * self.faults.late_by)
        self._records.append(stream, payload)
