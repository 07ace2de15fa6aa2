"""Follows the configuration stream and publishes what is in force in this process."""

from __future__ import annotations

import uuid
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.configuration_log import (
    Accepted,
    Checkpoint,
    FoldState,
    Judged,
    Publication,
    RawRecord,
    apply,
    checkpoint_of,
    encode_entry,
    skip_to,
)
from ragwortwing_wire.messages import ConfigurationRecord

from .backoff import Backoff
from .record_log import LogPage, LogUnavailable, OffsetExpired

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.configuration import Configuration

    from .record_log import Log, ReadResult

CONFIGURATION_STREAM = "configuration"
POLL_WAIT = timedelta(seconds=10)
"""How long the log may hold a read while nothing is published."""
CHECKPOINT_INTERVAL = timedelta(hours=1)
"""Age of the newest whole state in the log at which it is renewed; a fraction of the retention."""
CHECKPOINT_JITTER = 0.5
"""Share of the interval over which the processes spread their checkpoints."""


class ConfigurationFeed:
    """The configuration in force, kept up to date from the log, or from peers while it is down."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        random: Random,
        *,
        stream: str = CONFIGURATION_STREAM,
        poll_wait: timedelta = POLL_WAIT,
        checkpoint_interval: timedelta | None = CHECKPOINT_INTERVAL,
    ) -> None:
        """Create a feed.

        Args:
            log: The platform's log.
            clock: The process's clock.
            random: Source of jitter.
            stream: Name of the stream.
            poll_wait: How long a read at the end may be held.
            checkpoint_interval: Age at which the state is renewed; None to never write.
        """
        self._log = log
        self._clock = clock
        self._random = random
        self._stream = stream
        self._poll_wait = poll_wait
        self._checkpoint_interval = checkpoint_interval
        self._checkpoint_share = 1.0 + random.random() * CHECKPOINT_JITTER
        self._backoff = Backoff(random)
        self._state = FoldState()
        self._kept: deque[ConfigurationRecord] = deque()
        self._renewed_at = 0.0
        self._changed = trio.Event()
        self.log_reachable = False
        """Whether the last read was answered."""

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force; None before any is known."""
        return self._state.configuration

    @property
    def revision(self) -> int:
        """Return the revision in force, -1 before any is known."""
        return self._state.revision

    @property
    def state(self) -> FoldState:
        """Return the state of the fold."""
        return self._state

    async def changed(self) -> Configuration:
        """Wait until another revision is in force and return it."""
        await self._changed.wait()
        assert self._state.configuration is not None
        return self._state.configuration

    async def ready(self) -> Configuration:
        """Wait until a configuration is known and return it."""
        return self._state.configuration or await self.changed()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream until cancelled; started as soon as the first read has ended."""
        await self.catch_up()
        task_status.started()
        while True:
            if self.log_reachable and self._checkpoint_due():
                await self._write_checkpoint()
            await self._read(self._poll_wait if self.log_reachable else timedelta(0))
            if not self.log_reachable:
                await trio.sleep(self._backoff.next_wait().total_seconds())

    async def catch_up(self) -> bool:
        """Read to the end of the stream as it is now; return whether the log allowed it."""
        while True:
            result = await self._read(timedelta(0))
            if isinstance(result, LogUnavailable):
                return False
            if isinstance(result, LogPage) and self._state.position >= result.next_offset:
                return True

    def records_from(self, offset: int) -> tuple[ConfigurationRecord, ...]:
        """Return the records kept here from an offset on, for a peer that is behind.

        Where older ones were dropped, the first is covered by a later checkpoint among them, so the
        peer can still fold them from nothing.
        """
        return tuple(each for each in self._kept if each.offset >= offset)

    def take_peer_records(self, records: Iterable[ConfigurationRecord]) -> bool:
        """Fold records from a peer, as the log would have given them.

        Returns:
            Whether another revision is in force now.
        """
        ordered = sorted(records, key=lambda each: each.offset)
        trial = self._state
        for record in ordered:
            trial = apply(trial, RawRecord(record.offset, record.payload)).state
        # Records that start after this process's position and hold no checkpoint would trade a
        # state that is known for one that is not; the log will have what lies between.
        if self._state.complete and not trial.complete:
            return False
        before = self._state.revision
        for record in ordered:
            self._fold(record)
        return self._state.revision > before

    async def _read(self, wait: timedelta) -> ReadResult:
        position = self._state.position
        result = await self._log.read(self._stream, position, wait=wait)
        self.log_reachable = not isinstance(result, LogUnavailable)
        if isinstance(result, OffsetExpired):
            self._state = skip_to(self._state, result.first_offset)
        elif isinstance(result, LogPage):
            self._backoff.reset()
            for record in result.records:
                self._fold(ConfigurationRecord(record.offset, record.payload))
        return result

    def _fold(self, record: ConfigurationRecord) -> None:
        if record.offset < self._state.position:
            return
        before = self._state.revision
        step = apply(self._state, RawRecord(record.offset, record.payload))
        self._state = step.state
        self._kept.append(record)
        for judged in step.judged:
            self._note_renewal(judged)
        if self._state.revision > before:
            changed, self._changed = self._changed, trio.Event()
            changed.set()

    def _note_renewal(self, judged: Judged) -> None:
        """Note a record that holds a whole state, and drop what is older than its start."""
        entry = judged.entry
        if isinstance(entry, Publication) and isinstance(judged.verdict, Accepted):
            self._renewed_at = max(self._renewed_at, entry.published_at)
        elif isinstance(entry, Checkpoint) and self._state.complete:
            self._renewed_at = max(self._renewed_at, entry.written_at)
            while self._kept and self._kept[0].offset < entry.through:
                self._kept.popleft()

    def _checkpoint_due(self) -> bool:
        if self._checkpoint_interval is None or self._state.configuration is None:
            return False
        age = self._clock.utc_now().timestamp() - self._renewed_at
        return age > self._checkpoint_interval.total_seconds() * self._checkpoint_share

    async def _write_checkpoint(self) -> None:
        written_at = self._clock.utc_now().timestamp()
        checkpoint = checkpoint_of(self._state, uuid.uuid4().hex, written_at)
        if checkpoint is None:
            return
        # Whether the append took effect is seen when the record is read; until then no second one
        # is written within the interval.
        self._renewed_at = written_at
        await self._log.append(self._stream, encode_entry(checkpoint))
