"""An in-memory log for simulations in virtual time, with latency and random faults."""

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
    """Clock based on trio's time, which is virtual if the run uses a virtual clock."""

    def monotonic(self) -> Instant:
        """Return trio's current time."""
        return trio.current_time()

    def boot_time(self) -> Instant:
        """Return trio's current time."""
        return trio.current_time()

    def utc_now(self) -> datetime:
        """Return `VIRTUAL_EPOCH` plus trio's current time."""
        return VIRTUAL_EPOCH + timedelta(seconds=trio.current_time())


@dataclass(frozen=True, slots=True)
class LogFaults:
    """Probabilities of the faults of an in-memory log."""

    refused: float = 0.0
    """Share of appends that are refused as in an outage."""
    reply_lost: float = 0.0
    """Share of appends that take effect but whose reply is lost."""
    late: float = 0.0
    """Share of appends that get no answer and take effect later."""
    dropped: float = 0.0
    """Share of appends that get no answer and never take effect."""
    late_by: float = 8.0
    """Longest delay of a late append in seconds."""


class InMemoryLog:
    """Simulates the platform's log on a `RecordLog` in the same process."""

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
            records: The streams, with their append rate and retention.
            random: Random source of the faults.
            nursery: Runs the late appends.
            one_way: One-way network latency in seconds.
            faults: Probabilities of the faults.
        """
        self._records = records
        self._random = random
        self._nursery = nursery
        self._one_way = one_way
        self.faults = faults or LogFaults()

    async def append(self, stream: str, payload: bytes) -> AppendResult:
        """Append one record, or fail with the configured probabilities."""
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
        """Read records from an offset; wait up to `wait` for the next one at the end."""
        await trio.sleep(self._one_way)
        stored = self._records.stream(stream)
        if offset >= stored.next_offset:
            with trio.move_on_after(wait.total_seconds()):
                await stored.changed.wait()
            stored = self._records.stream(stream)
        await trio.sleep(self._one_way)
        if offset < stored.first_offset:
            return OffsetExpired(stored.first_offset)
        start = offset - stored.first_offset
        end = min(len(stored.records), start + limit)
        selected = [stored.records[index] for index in range(start, end)]
        records = tuple(LogRecord(each.offset, each.payload) for each in selected)
        return LogPage(stored.first_offset, offset + len(records), records)

    async def _append_late(self, stream: str, payload: bytes) -> None:
        await trio.sleep(self._random.random() * self.faults.late_by)
        self._records.append(stream, payload)
