"""Publishes configuration and switches presets.

Each result is taken from the log: a record counts as accepted or refused only once it was read
back.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from ragwortwing_policy.configuration_log import (
    ConfigurationLogState,
    EvaluatedRecord,
    PresetSwitch,
    Publication,
    RawRecord,
    Unjudged,
    Verdict,
    apply,
    encode_entry,
    skip_to,
)

from .configuration_feed import CONFIGURATION_STREAM
from .record_log import Appended, LogUnavailable, OffsetExpired

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_policy.clock import Clock, Instant

    from .record_log import AppendResult, Log

READ_BACK_TIMEOUT = timedelta(seconds=10)
"""How long the publisher reads on to find its own record after the append."""
READ_WAIT = timedelta(seconds=1)
"""How long a long-polling read may wait for new records."""


@dataclass(frozen=True, slots=True)
class StateLost:
    """The log no longer has the records from which the configuration in force is computed."""


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """It is not known whether the record is or will be in the log; the history will show it."""

    record_id: str


PublishResult = Verdict | LogUnavailable | StateLost | PublishUnknown


class ConfigurationPublisher:
    """Reads and appends to the configuration stream on behalf of one operator."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        operator: str = "",
        read_back_timeout: timedelta = READ_BACK_TIMEOUT,
        stream: str = CONFIGURATION_STREAM,
    ) -> None:
        """Create a publisher.

        Args:
            log: The platform's log.
            clock: The process's clock.
            operator: Name of the operator, recorded in the history.
            read_back_timeout: How long to read on for the publisher's own record after an append.
            stream: Name of the stream.
        """
        self._log = log
        self._clock = clock
        self._operator = operator
        self._read_back_timeout = read_back_timeout
        self._stream = stream
        self._state = ConfigurationLogState()
        self._judged_by_offset: dict[int, EvaluatedRecord] = {}
        self._documents_by_revision: dict[int, Mapping[str, Any]] = {}

    @property
    def state(self) -> ConfigurationLogState:
        """Return the state computed from the records read so far."""
        return self._state

    @property
    def history(self) -> tuple[EvaluatedRecord, ...]:
        """Return the evaluated records that were read from the log, oldest first."""
        return tuple(self._judged_by_offset[offset] for offset in sorted(self._judged_by_offset))

    def document_at(self, revision: int) -> Mapping[str, Any] | None:
        """Return the document in force at a revision, or None if the log no longer has it."""
        return self._documents_by_revision.get(revision)

    async def catch_up(self) -> LogUnavailable | None:
        """Read to the end of the stream; return the error if the log is unavailable."""
        while True:
            result = await self._log.read(self._stream, self._state.position)
            if isinstance(result, LogUnavailable):
                return result
            if isinstance(result, OffsetExpired):
                self._state = skip_to(self._state, result.first_offset)
                continue
            for record in result.records:
                self._fold(RawRecord(record.offset, record.payload))
            if self._state.position >= result.next_offset:
                return None

    async def publish(
        self,
        document: Mapping[str, Any],
        preset: str,
        base: int | None,
        note: str = "",
    ) -> PublishResult:
        """Publish a document.

        Args:
            document: The document, already checked.
            preset: The preset to put in force with it.
            base: The revision that the document was based on; None to publish unconditionally.
            note: Remark for the history.
        """
        record_id = uuid.uuid4().hex
        entry = Publication(
            record_id, base, preset, dict(document), self._operator, self._unix_time(), note
        )
        return await self._append_and_read_back(record_id, encode_entry(entry))

    async def use_preset(self, preset: str, base: int, note: str = "") -> PublishResult:
        """Put a preset in force.

        Args:
            preset: Name of the preset.
            base: The revision that the operator saw.
            note: Remark for the history.
        """
        record_id = uuid.uuid4().hex
        entry = PresetSwitch(record_id, base, preset, self._operator, self._unix_time(), note)
        return await self._append_and_read_back(record_id, encode_entry(entry))

    async def _append_and_read_back(self, record_id: str, payload: bytes) -> PublishResult:
        result = await self._log.append(self._stream, payload)
        if isinstance(result, LogUnavailable):
            return result
        deadline = self._clock.monotonic() + self._read_back_timeout.total_seconds()
        evaluated = await self._read_back(record_id, result, deadline)
        if evaluated is None:
            return PublishUnknown(record_id)
        return StateLost() if isinstance(evaluated.verdict, Unjudged) else evaluated.verdict

    async def _read_back(
        self, record_id: str, appended: AppendResult, deadline: Instant
    ) -> EvaluatedRecord | None:
        """Read on until the publisher's own record is evaluated; return None if it is not found.

        After a lost reply the record may be in the log already, appear later, or never. Only
        reading the log shows which. A second append could make one publication take effect twice.
        """
        while self._clock.monotonic() < deadline:
            for evaluated in self._judged_by_offset.values():
                if evaluated.entry is not None and evaluated.entry.record_id == record_id:
                    return evaluated
            if isinstance(appended, Appended) and self._state.position > appended.offset:
                return None
            result = await self._log.read(self._stream, self._state.position, wait=READ_WAIT)
            if isinstance(result, OffsetExpired):
                self._state = skip_to(self._state, result.first_offset)
            elif not isinstance(result, LogUnavailable):
                for record in result.records:
                    self._fold(RawRecord(record.offset, record.payload))
        return None

    def _fold(self, record: RawRecord) -> None:
        step = apply(self._state, record)
        self._state = step.state
        for evaluated in step.evaluated:
            self._judged_by_offset[evaluated.offset] = evaluated
        if self._state.document is not None:
            self._documents_by_revision[self._state.revision] = self._state.document

    def _unix_time(self) -> float:
        return self._clock.utc_now().timestamp()
