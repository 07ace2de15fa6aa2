"""Folds the configuration stream into the configuration in force.

The fold is a pure function of the stream, so every process computes the same state. A publication
or preset switch names its base revision and takes effect only if that revision is in force at its
offset. Its own offset then becomes the revision. Revisions therefore only increase, and of two
operators who start from the same revision exactly one succeeds, on every process.

A checkpoint holds the state before the offset `through`. A reader that already knows the state
ignores it. It is needed by readers whose stream starts after offset 0 because older records have
expired.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from .configuration import Configuration
from .configuration_checks import Fault
from .configuration_document import PreviousDocument, Refused, missing_preset, read_document
from .decoding import InvalidDataError, checked_decoder

NO_REVISION = -1
"""Revision before the first publication."""

PENDING_LIMIT = 1000
"""Maximum number of records buffered while the state before them is unknown."""

UNCONDITIONAL = None
"""Base of a publication that takes effect regardless of the revision in force, for use after the
state was lost."""


class Publication(msgspec.Struct, frozen=True, tag_field="kind", tag="publication"):
    """A complete new configuration."""

    record_id: str
    base: int | None
    """Revision that the publication is based on."""
    preset: str
    """Preset that comes into force with it."""
    document: dict[str, Any]
    operator: str = ""
    published_at: float = 0.0
    """Wall-clock time of the operator in seconds since the epoch; ignored by the fold."""
    note: str = ""


class PresetSwitch(msgspec.Struct, frozen=True, tag_field="kind", tag="preset_switch"):
    """A change of the preset in force."""

    record_id: str
    base: int | None
    preset: str
    operator: str = ""
    published_at: float = 0.0
    note: str = ""


class Checkpoint(msgspec.Struct, frozen=True, tag_field="kind", tag="checkpoint"):
    """The state before an offset, rewritten before the records that produced it expire."""

    record_id: str
    through: int
    """The state results from the records before this offset."""
    revision: int
    preset: str
    document: dict[str, Any]
    written_at: float = 0.0
    """Wall-clock time of the writer in seconds since the epoch; only used to schedule the next
    checkpoint."""


Entry = Publication | PresetSwitch | Checkpoint


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record took effect; its offset is the new revision."""

    revision: int
    preset: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The record is based on a revision that is no longer in force; it had no effect."""

    base: int
    revision_in_force: int
    preset_in_force: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The record is invalid regardless of the revision in force."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Unjudged:
    """The state at the record's offset is unknown because older records have expired."""


@dataclass(frozen=True, slots=True)
class Noted:
    """A checkpoint, which does not change the configuration."""


Verdict = Accepted | Conflict | Invalid | Unjudged | Noted


@dataclass(frozen=True, slots=True)
class EvaluatedRecord:
    """A record of the stream with its verdict."""

    offset: int
    entry: Entry | None
    """None for a record that could not be decoded."""
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class RawRecord:
    """An undecoded record of the log."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationLogState:
    """The state that results from the records before `position`."""

    position: int = 0
    """Offset of the next record."""
    configuration: Configuration | None = None
    """The configuration in force, or None before the first publication."""
    document: Mapping[str, Any] | None = None
    complete: bool = True
    """Whether the configuration in force at `position` is known."""
    gap_end: int = 0
    """If the state is not complete, some records before this offset were never read."""
    pending: tuple[RawRecord, ...] = ()
    """Records since the gap, buffered until a checkpoint supplies the state before them."""

    @property
    def revision(self) -> int:
        """Return the newest revision known to have been in force."""
        return NO_REVISION if self.configuration is None else self.configuration.revision

    @property
    def preset(self) -> str:
        """Return the preset in force, or an empty string before the first publication."""
        return "" if self.configuration is None else self.configuration.preset


@dataclass(frozen=True, slots=True)
class StepResult:
    """The state after a record and the verdicts that became known with it."""

    state: ConfigurationLogState
    evaluated: tuple[EvaluatedRecord, ...] = ()


_entry_decoder: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)
_decode_entry = checked_decoder(_entry_decoder.decode)


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry as a record payload."""
    return msgspec.json.encode(entry)


def decode_entry(payload: bytes) -> Entry | None:
    """Decode a record payload, or return None if it is not a valid entry."""
    try:
        return _decode_entry(payload)
    except InvalidDataError:
        return None


def skip_to(state: ConfigurationLogState, first_offset: int) -> ConfigurationLogState:
    """Return the state after skipping to a later offset, the first that can still be read.

    The configuration stays in force, because a gap can only hide a newer revision.
    """
    if first_offset <= state.position:
        return state
    return replace(state, position=first_offset, complete=False, gap_end=first_offset, pending=())


def apply(state: ConfigurationLogState, record: RawRecord) -> StepResult:
    """Fold one record into the state.

    Args:
        state: The state before the record.
        record: The record at `state.position`. An earlier record is ignored, so repeats are
            harmless. A later record is treated as the first one after a gap.
    """
    if record.offset < state.position:
        return StepResult(state)
    state = skip_to(state, record.offset)
    if state.complete:
        return _evaluate(state, record)
    return _buffer(state, record)


def _evaluate(state: ConfigurationLogState, record: RawRecord) -> StepResult:
    entry = decode_entry(record.payload)
    moved = replace(state, position=record.offset + 1)
    if entry is None:
        fault = Fault("", "the record cannot be decoded")
        return StepResult(moved, (EvaluatedRecord(record.offset, None, Invalid((fault,))),))
    if isinstance(entry, Checkpoint):
        return StepResult(moved, (EvaluatedRecord(record.offset, entry, Noted()),))
    if entry.base is not UNCONDITIONAL and entry.base != state.revision:
        conflict = Conflict(entry.base, state.revision, state.preset)
        return StepResult(moved, (EvaluatedRecord(record.offset, entry, conflict),))
    if isinstance(entry, Publication):
        document: Mapping[str, Any] | None = entry.document
        configuration = _apply_publication(state, entry, record.offset)
    else:
        document = state.document
        configuration = _apply_switch(state, entry, record.offset)
    if isinstance(configuration, Refused):
        return StepResult(
            moved, (EvaluatedRecord(record.offset, entry, Invalid(configuration.faults)),)
        )
    accepted = replace(moved, configuration=configuration, document=document)
    verdict = Accepted(record.offset, entry.preset)
    return StepResult(accepted, (EvaluatedRecord(record.offset, entry, verdict),))


def _apply_publication(
    state: ConfigurationLogState, entry: Publication, revision: int
) -> Configuration | Refused:
    before = None
    if state.document is not None and state.configuration is not None:
        before = PreviousDocument(state.document, state.configuration)
    return read_document(entry.document, revision, entry.preset, before)


def _apply_switch(
    state: ConfigurationLogState, entry: PresetSwitch, revision: int
) -> Configuration | Refused:
    if state.configuration is None:
        return Refused((Fault("", "cannot switch the preset: no configuration is in force"),))
    if entry.preset not in state.configuration.presets_by_name:
        return Refused((missing_preset(entry.preset),))
    return replace(state.configuration, revision=revision, preset=entry.preset)


def _buffer(state: ConfigurationLogState, record: RawRecord) -> StepResult:
    """Buffer a record after a gap, and fold the buffer once a checkpoint covers the gap."""
    pending = (*state.pending, record)[-PENDING_LIMIT:]
    gap_end = max(state.gap_end, pending[0].offset)
    buffered = replace(state, position=record.offset + 1, pending=pending, gap_end=gap_end)
    entry = decode_entry(record.payload)
    if isinstance(entry, Publication) and entry.base is UNCONDITIONAL:
        # An unconditional publication does not depend on the unknown state before it.
        resumed = replace(state, complete=True, pending=(), position=record.offset)
        step = _evaluate(resumed, record)
        if isinstance(step.evaluated[0].verdict, Accepted):
            return step
        return StepResult(
            buffered, (EvaluatedRecord(record.offset, entry, step.evaluated[0].verdict),)
        )
    if not isinstance(entry, Checkpoint):
        return StepResult(buffered, (EvaluatedRecord(record.offset, entry, Unjudged()),))
    # The checkpoint may be older than buffered records that were appended while another process
    # wrote it. Folding the buffered records from its offset `through` gives the same state as
    # reading the whole stream. A checkpoint of a state before the end of the gap cannot be used.
    if not gap_end <= entry.through <= record.offset or entry.revision < state.revision:
        return StepResult(buffered, (EvaluatedRecord(record.offset, entry, Noted()),))
    base = _restore_checkpoint(entry)
    if base is None:
        return StepResult(buffered, (EvaluatedRecord(record.offset, entry, Noted()),))
    evaluated: list[EvaluatedRecord] = []
    for each in pending:
        if each.offset >= entry.through:
            step = _evaluate(base, each)
            base = step.state
            evaluated.extend(step.evaluated)
    return StepResult(base, tuple(evaluated))


def _restore_checkpoint(checkpoint: Checkpoint) -> ConfigurationLogState | None:
    if checkpoint.revision == NO_REVISION:
        return ConfigurationLogState(position=checkpoint.through)
    configuration = read_document(checkpoint.document, checkpoint.revision, checkpoint.preset)
    if isinstance(configuration, Refused):
        return None
    return ConfigurationLogState(
        position=checkpoint.through, configuration=configuration, document=checkpoint.document
    )


def checkpoint_of(
    state: ConfigurationLogState, record_id: str, written_at: float
) -> Checkpoint | None:
    """Return the checkpoint of a state, or None if the state is incomplete or empty."""
    if not state.complete or state.configuration is None or state.document is None:
        return None
    return Checkpoint(
        record_id, state.position, state.revision, state.preset, dict(state.document), written_at
    )
