"""Follows the configuration stream and provides the configuration in force to this process."""

from __future__ import annotations

import uuid
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.configuration_log import (
    Accepted,
    Checkpoint,
    ConfigurationLogState,
    EvaluatedRecord,
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
"""How long a long-polling read may wait for new records."""
CHECKPOINT_INTERVAL = timedelta(hours=1)
"""Age of the newest full state in the log at which a checkpoint is written. It is a fraction of the
log's retention, so that the state never expires from the log."""
CHECKPOINT_JITTER = 0.5
"""Largest random extension of the checkpoint interval, as a fraction of it. It spreads the
checkpoints of different processes over time."""


class ConfigurationFeed:
    """Keeps the configuration in force up to date, from the log or, in an outage, from peers."""

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
            poll_wait: How long a read at the end of the stream may wait for new records.
            checkpoint_interval: Age of the newest full state at which a checkpoint is written; None
                to write none.
        """
        self._log = log
        self._clock = clock
        self._random = random
        self._stream = stream
        self._poll_wait = poll_wait
        self._checkpoint_interval = checkpoint_interval
        self._checkpoint_interval_factor = 1.0 + random.random() * CHECKPOINT_JITTER
        self._backoff = Backoff(random)
        self._state = ConfigurationLogState()
        self._retained: deque[ConfigurationRecord] = deque()
        self._full_state_written_at = 0.0
        self._changed = trio.Event()
        self.log_reachable = False
        """Whether the last read of the log succeeded."""

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None if none is known yet."""
        return self._state.configuration

    @property
    def revision(self) -> int:
        """Return the revision in force, or -1 if none is known yet."""
        return self._state.revision

    @property
    def state(self) -> ConfigurationLogState:
        """Return the state computed from the records read so far."""
        return self._state

    async def changed(self) -> Configuration:
        """Wait until a new revision is in force and return its configuration."""
        await self._changed.wait()
        assert self._state.configuration is not None
        return self._state.configuration

    async def ready(self) -> Configuration:
        """Wait until a configuration is known and return it."""
        return self._state.configuration or await self.changed()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream until cancelled.

        Args:
            task_status: Started once the first attempt to catch up has ended.
        """
        await self.catch_up()
        task_status.started()
        while True:
            if self.log_reachable and self._checkpoint_due():
                await self._write_checkpoint()
            await self._read(self._poll_wait if self.log_reachable else timedelta(0))
            if not self.log_reachable:
                await trio.sleep(self._backoff.next_wait().total_seconds())

    async def catch_up(self) -> bool:
        """Read to the current end of the stream; return False if the log was unavailable."""
        while True:
            result = await self._read(timedelta(0))
            if isinstance(result, LogUnavailable):
                return False
            if isinstance(result, LogPage) and self._state.position >= result.next_offset:
                return True

    def records_from(self, offset: int) -> tuple[ConfigurationRecord, ...]:
        """Return the retained records from an offset on, for a peer that is behind.

        If older records were dropped, the result contains a checkpoint that covers them. So the
        peer can compute the state from these records alone.
        """
        return tuple(each for each in self._retained if each.offset >= offset)

    def apply_peer_records(self, records: Iterable[ConfigurationRecord]) -> bool:
        """Apply records received from a peer as if they had been read from the log.

        Returns:
            Whether a new revision is in force.
        """
        ordered = sorted(records, key=lambda each: each.offset)
        candidate = self._state
        for record in ordered:
            candidate = apply(candidate, RawRecord(record.offset, record.payload)).state
        # Records that leave a gap after this process's position and hold no checkpoint would
        # replace a complete state by an incomplete one. The missing records are read from the log
        # later.
        if self._state.complete and not candidate.complete:
            return False
        previous_revision = self._state.revision
        for record in ordered:
            self._fold(record)
        return self._state.revision > previous_revision

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
        previous_revision = self._state.revision
        step = apply(self._state, RawRecord(record.offset, record.payload))
        self._state = step.state
        self._retained.append(record)
        for evaluated in step.evaluated:
            self._note_full_state(evaluated)
        if self._state.revision > previous_revision:
            changed, self._changed = self._changed, trio.Event()
            changed.set()

    def _note_full_state(self, evaluated: EvaluatedRecord) -> None:
        """Update the time of the newest full state, and drop records that a checkpoint covers."""
        entry = evaluated.entry
        if isinstance(entry, Publication) and isinstance(evaluated.verdict, Accepted):
            self._full_state_written_at = max(self._full_state_written_at, entry.published_at)
        elif isinstance(entry, Checkpoint) and self._state.complete:
            self._full_state_written_at = max(self._full_state_written_at, entry.written_at)
            while self._retained and self._retained[0].offset < entry.through:
                self._retained.popleft()

    def _checkpoint_due(self) -> bool:
        if self._checkpoint_interval is None or self._state.configuration is None:
            return False
        age = self._clock.utc_now().timestamp() - self._full_state_written_at
        return age > self._checkpoint_interval.total_seconds() * self._checkpoint_interval_factor

    async def _write_checkpoint(self) -> None:
        written_at = self._clock.utc_now().timestamp()
        checkpoint = checkpoint_of(self._state, uuid.uuid4().hex, written_at)
        if checkpoint is None:
            return
        # Set before the result of the append is known, so that no second checkpoint is written
        # within the interval. The record itself is seen when it is read back.
        self._full_state_written_at = written_at
        await self._log.append(self._stream, encode_entry(checkpoint))
