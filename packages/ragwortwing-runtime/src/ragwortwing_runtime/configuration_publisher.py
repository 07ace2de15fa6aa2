"""Publishes configuration and switches presets, and says only what the log has shown."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from ragwortwing_policy.configuration_log import (
    FoldState,
    Judged,
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

SETTLE_LIMIT = timedelta(seconds=10)
"""How long the own record is looked for after its append."""
READ_WAIT = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class StateLost:
    """The records that tell what is in force ran out of the log."""


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """Whether the record stands in the log, or will, is not known; the history will show it."""

    record_id: str


PublishResult = Verdict | LogUnavailable | StateLost | PublishUnknown


class ConfigurationPublisher:
    """One operator's view of the configuration stream."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        operator: str = "",
        settle_limit: timedelta = SETTLE_LIMIT,
        stream: str = CONFIGURATION_STREAM,
    ) -> None:
        """Create a publisher.

        Args:
            log: The platform's log.
            clock: The process's clock.
            operator: Who publishes, for the history.
            settle_limit: How long the own record is looked for.
            stream: Name of the stream.
        """
        self._log = log
        self._clock = clock
        self._operator = operator
        self._settle_limit = settle_limit
        self._stream = stream
        self._state = FoldState()
        self._judged_by_offset: dict[int, Judged] = {}
        self._published_by_revision: dict[int, Mapping[str, Any]] = {}

    @property
    def state(self) -> FoldState:
        """Return the state as far as it was read."""
        return self._state

    @property
    def history(self) -> tuple[Judged, ...]:
        """Return the records that the log still has, oldest first."""
        return tuple(self._judged_by_offset[offset] for offset in sorted(self._judged_by_offset))

    def document_at(self, revision: int) -> Mapping[str, Any] | None:
        """Return the document that was in force at a revision, if the log still tells."""
        return self._published_by_revision.get(revision)

    async def catch_up(self) -> LogUnavailable | None:
        """Read to the end of the stream; return what kept it from that."""
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
            preset: The preset in force with it.
            base: The revision it was made from; None to take effect whatever is in force.
            note: A remark for the history.
        """
        record_id = uuid.uuid4().hex
        entry = Publication(
            record_id, base, preset, dict(document), self._operator, self._now(), note
        )
        return await self._append_and_judge(record_id, encode_entry(entry))

    async def use_preset(self, preset: str, base: int, note: str = "") -> PublishResult:
        """Put a preset in force.

        Args:
            preset: Name of the preset.
            base: The revision that the operator saw.
            note: A remark for the history.
        """
        record_id = uuid.uuid4().hex
        entry = PresetSwitch(record_id, base, preset, self._operator, self._now(), note)
        return await self._append_and_judge(record_id, encode_entry(entry))

    async def _append_and_judge(self, record_id: str, payload: bytes) -> PublishResult:
        result = await self._log.append(self._stream, payload)
        if isinstance(result, LogUnavailable):
            return result
        give_up_at = self._clock.monotonic() + self._settle_limit.total_seconds()
        judged = await self._find(record_id, result, give_up_at)
        if judged is None:
            return PublishUnknown(record_id)
        return StateLost() if isinstance(judged.verdict, Unjudged) else judged.verdict

    async def _find(
        self, record_id: str, appended: AppendResult, give_up_at: Instant
    ) -> Judged | None:
        """Read on until the own record is judged.

        After a lost reply the record may be there already, come later or never come; only reading
        it tells. A second append could make one publication take effect twice.
        """
        while self._clock.monotonic() < give_up_at:
            for judged in self._judged_by_offset.values():
                if judged.entry is not None and judged.entry.record_id == record_id:
                    return judged
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
        for judged in step.judged:
            self._judged_by_offset[judged.offset] = judged
        if self._state.document is not None:
            self._published_by_revision[self._state.revision] = self._state.document

    def _now(self) -> float:
        return self._clock.utc_now().timestamp()
