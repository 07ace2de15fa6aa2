"""The fold of the configuration stream: which records took effect, and what is in force.

The fold is a pure function of the stream, so every process comes to the same state. A publication
or a preset switch names the revision it was made from and takes effect only if that revision is in
force at its offset; its own offset is then the revision. So revisions only rise, and of two
operators who start from one revision exactly one wins, the same one everywhere.

A checkpoint holds the state before the offset `through`. It changes nothing for a reader who knows
the state; it lets a reader start whose stream begins after offset 0 because older records ran out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from .configuration import Configuration
from .configuration_checks import Fault
from .configuration_document import ReadBefore, Refused, missing_preset, read_document

NO_REVISION = -1
"""Revision before anything was published."""

PENDING_LIMIT = 1000
"""Most records kept while a gap hides the state they start from."""

UNCONDITIONAL = None
"""Base of a publication that takes effect whatever is in force, where the state was lost."""


class Publication(msgspec.Struct, frozen=True, tag_field="kind", tag="publication"):
    """A whole new configuration."""

    record_id: str
    base: int | None
    """Revision that it was made from."""
    preset: str
    """Preset in force with it."""
    document: dict[str, Any]
    operator: str = ""
    published_at: float = 0.0
    """Wall time of the operator in seconds since the epoch; the fold does not look at it."""
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
    """The state before an offset, written again before the records that made it run out."""

    record_id: str
    through: int
    """The state is that of the records before this offset."""
    revision: int
    preset: str
    document: dict[str, Any]
    written_at: float = 0.0
    """Wall time of the writer in seconds since the epoch; it only paces the next checkpoint."""


Entry = Publication | PresetSwitch | Checkpoint


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record took effect; its offset is the revision in force after it."""

    revision: int
    preset: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The record was made from a revision that is not in force any more; it changed nothing."""

    base: int
    revision_in_force: int
    preset_in_force: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The record may not take effect, whatever is in force."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Unjudged:
    """The state at the record's offset is not known here, as older records ran out."""


@dataclass(frozen=True, slots=True)
class Noted:
    """A checkpoint; it changes nothing by itself."""


Verdict = Accepted | Conflict | Invalid | Unjudged | Noted


@dataclass(frozen=True, slots=True)
class Judged:
    """A record of the stream and what became of it."""

    offset: int
    entry: Entry | None
    """None for a record that could not be read."""
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class RawRecord:
    """A record as it stands in the log."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class FoldState:
    """What the records before `position` amount to."""

    position: int = 0
    """Offset of the next record."""
    configuration: Configuration | None = None
    """What is in force; None before the first publication."""
    document: Mapping[str, Any] | None = None
    complete: bool = True
    """Whether what is in force at `position` is known."""
    gap_end: int = 0
    """Records before this offset were never seen, where the state is not complete."""
    pending: tuple[RawRecord, ...] = ()
    """Records since the gap, kept until a checkpoint tells the state they start from."""

    @property
    def revision(self) -> int:
        """Return the newest revision known to have been in force."""
        return NO_REVISION if self.configuration is None else self.configuration.revision

    @property
    def preset(self) -> str:
        """Return the preset in force, empty before the first publication."""
        return "" if self.configuration is None else self.configuration.preset


@dataclass(frozen=True, slots=True)
class Step:
    """The state after a record, and the verdicts that it allowed."""

    state: FoldState
    judged: tuple[Judged, ...] = ()


_decoder: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)


def encode_entry(entry: Entry) -> bytes:
    """Return the payload of an entry."""
    return msgspec.json.encode(entry)


def decode_entry(payload: bytes) -> Entry | None:
    """Return the entry of a payload, None if it is not one."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def skip_to(state: FoldState, first_offset: int) -> FoldState:
    """Return the state of a reader who can read on only from a later offset.

    What is in force stays in force here: a gap may hide a newer revision, never an older one.
    """
    if first_offset <= state.position:
        return state
    return replace(state, position=first_offset, complete=False, gap_end=first_offset, pending=())


def apply(state: FoldState, record: RawRecord) -> Step:
    """Fold one record.

    Args:
        state: The state before it.
        record: The record at `state.position`; an earlier one is passed over, so repeats are
            harmless, and a later one is taken as the first after a gap.
    """
    if record.offset < state.position:
        return Step(state)
    state = skip_to(state, record.offset)
    if state.complete:
        return _judge(state, record)
    return _collect(state, record)


def _judge(state: FoldState, record: RawRecord) -> Step:
    entry = decode_entry(record.payload)
    moved = replace(state, position=record.offset + 1)
    if entry is None:
        fault = Fault("", "the record cannot be read")
        return Step(moved, (Judged(record.offset, None, Invalid((fault,))),))
    if isinstance(entry, Checkpoint):
        return Step(moved, (Judged(record.offset, entry, Noted()),))
    if entry.base is not UNCONDITIONAL and entry.base != state.revision:
        conflict = Conflict(entry.base, state.revision, state.preset)
        return Step(moved, (Judged(record.offset, entry, conflict),))
    if isinstance(entry, Publication):
        document: Mapping[str, Any] | None = entry.document
        configuration = _published(state, entry, record.offset)
    else:
        document = state.document
        configuration = _switched(state, entry, record.offset)
    if isinstance(configuration, Refused):
        return Step(moved, (Judged(record.offset, entry, Invalid(configuration.faults)),))
    accepted = replace(moved, configuration=configuration, document=document)
    verdict = Accepted(record.offset, entry.preset)
    return Step(accepted, (Judged(record.offset, entry, verdict),))


def _published(state: FoldState, entry: Publication, revision: int) -> Configuration | Refused:
    before = None
    if state.document is not None and state.configuration is not None:
        before = ReadBefore(state.document, state.configuration)
    return read_document(entry.document, revision, entry.preset, before)


def _switched(state: FoldState, entry: PresetSwitch, revision: int) -> Configuration | Refused:
    if state.configuration is None:
        return Refused((Fault("", "no configuration is in force whose preset could be switched"),))
    if entry.preset not in state.configuration.presets_by_name:
        return Refused((missing_preset(entry.preset),))
    return replace(state.configuration, revision=revision, preset=entry.preset)


def _collect(state: FoldState, record: RawRecord) -> Step:
    """Take a record after a gap, and judge all since the gap once a checkpoint covers it."""
    pending = (*state.pending, record)[-PENDING_LIMIT:]
    gap_end = max(state.gap_end, pending[0].offset)
    waiting = replace(state, position=record.offset + 1, pending=pending, gap_end=gap_end)
    entry = decode_entry(record.payload)
    if isinstance(entry, Publication) and entry.base is UNCONDITIONAL:
        # The state before it does not matter, so what follows from it is known again.
        known = replace(state, complete=True, pending=(), position=record.offset)
        step = _judge(known, record)
        if isinstance(step.judged[0].verdict, Accepted):
            return step
        return Step(waiting, (Judged(record.offset, entry, step.judged[0].verdict),))
    if not isinstance(entry, Checkpoint):
        return Step(waiting, (Judged(record.offset, entry, Unjudged()),))
    # The checkpoint may be older than records read before it: another process wrote it while they
    # came in. Starting from its offset `through` and judging those again gives the same state as
    # a reader of the whole stream has. One that reaches back before the gap cannot be used.
    if not gap_end <= entry.through <= record.offset or entry.revision < state.revision:
        return Step(waiting, (Judged(record.offset, entry, Noted()),))
    base = _state_of(entry)
    if base is None:
        return Step(waiting, (Judged(record.offset, entry, Noted()),))
    judged: list[Judged] = []
    for each in pending:
        if each.offset >= entry.through:
            step = _judge(base, each)
            base = step.state
            judged.extend(step.judged)
    return Step(base, tuple(judged))


def _state_of(checkpoint: Checkpoint) -> FoldState | None:
    if checkpoint.revision == NO_REVISION:
        return FoldState(position=checkpoint.through)
    configuration = read_document(checkpoint.document, checkpoint.revision, checkpoint.preset)
    if isinstance(configuration, Refused):
        return None
    return FoldState(
        position=checkpoint.through, configuration=configuration, document=checkpoint.document
    )


def checkpoint_of(state: FoldState, record_id: str, written_at: float) -> Checkpoint | None:
    """Return the checkpoint of a state, None where there is nothing to renew."""
    if not state.complete or state.configuration is None or state.document is None:
        return None
    return Checkpoint(
        record_id, state.position, state.revision, state.preset, dict(state.document), written_at
    )
