"""Tests that all readers of the configuration stream reach the same state and never go back."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortwing_policy.configuration_log import (
    NO_REVISION,
    UNCONDITIONAL,
    Accepted,
    Checkpoint,
    ConfigurationLogState,
    Conflict,
    Entry,
    Invalid,
    PresetSwitch,
    Publication,
    RawRecord,
    apply,
    checkpoint_of,
    encode_entry,
)

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)


def document(tier: int = 0) -> dict[str, Any]:
    return {
        "format": 1,
        "classes": {"chat": {"tier": tier}},
        "presets": {"ordinary": {}, "peak": {}},
    }


def publication(base: int | None, preset: str = "ordinary", tier: int = 0) -> Publication:
    return Publication(f"p{base}", base, preset, document(tier))


def fold(
    entries: list[Entry], state: ConfigurationLogState | None = None
) -> list[ConfigurationLogState]:
    states = [state or ConfigurationLogState()]
    for offset, entry in enumerate(entries):
        states.append(apply(states[-1], RawRecord(offset, encode_entry(entry))).state)
    return states


def test_second_of_two_racing_operators_gets_conflict() -> None:
    """Guards against a lost update between two operators who both start from revision 0.

    Both appends succeed. Without the comparison of revisions, the publication would silently undo
    the preset switch.
    """
    *_, state = fold([publication(NO_REVISION), PresetSwitch("a", 0, "peak")])
    step = apply(state, RawRecord(2, encode_entry(publication(0, tier=5))))
    assert step.evaluated[0].verdict == Conflict(0, 1, "peak")
    assert step.state.configuration == state.configuration


def test_invalid_records_change_nothing() -> None:
    """Guards against invalid or undecodable records replacing the configuration in force."""
    *_, state = fold([publication(NO_REVISION)])
    for entry in (PresetSwitch("a", 0, "nope"), publication(0, tier=99), publication(0, "nope")):
        step = apply(state, RawRecord(1, encode_entry(entry)))
        assert isinstance(step.evaluated[0].verdict, Invalid)
        assert step.state.revision == 0
    step = apply(state, RawRecord(1, b"\xff"))
    assert isinstance(step.evaluated[0].verdict, Invalid)
    first = apply(
        ConfigurationLogState(), RawRecord(0, encode_entry(PresetSwitch("a", NO_REVISION, "peak")))
    )
    assert isinstance(first.evaluated[0].verdict, Invalid)


@st.composite
def streams(draw: st.DrawFn) -> list[Entry]:
    """Generate a stream with records of racing operators and of checkpoint writers."""
    states = [ConfigurationLogState()]
    entries: list[Entry] = []
    for offset in range(draw(st.integers(1, 14))):
        seen = draw(st.sampled_from(states))
        kind = draw(st.integers(0, 9))
        entry: Entry | None
        if kind <= 3:
            tier = draw(st.sampled_from([0, 1, 99]))
            entry = publication(seen.revision, draw(st.sampled_from(["ordinary", "peak"])), tier)
        elif kind <= 6:
            entry = PresetSwitch("s", seen.revision, draw(st.sampled_from(["peak", "nope"])))
        elif kind == 7:
            entry = publication(UNCONDITIONAL, tier=draw(st.sampled_from([3, 99])))
        else:
            entry = checkpoint_of(seen, "c", 0.0)
        entries.append(entry or publication(seen.revision))
        states.append(apply(states[-1], RawRecord(offset, encode_entry(entries[-1]))).state)
    return entries


@DETERMINISTIC
@given(streams())
def test_revisions_increase_and_a_base_has_one_successor(entries: list[Entry]) -> None:
    state = ConfigurationLogState()
    winners: set[int | None] = set()
    for offset, entry in enumerate(entries):
        step = apply(state, RawRecord(offset, encode_entry(entry)))
        assert step.state.revision >= state.revision
        for evaluated in step.evaluated:
            if isinstance(evaluated.verdict, Accepted) and isinstance(
                evaluated.entry, (Publication, PresetSwitch)
            ):
                base = evaluated.entry.base
                assert base is UNCONDITIONAL or base not in winners
                winners.add(base)
        state = step.state


@DETERMINISTIC
@given(streams(), st.integers(0, 14), st.integers(0, 14))
def test_reader_with_complete_state_after_a_gap_agrees_with_full_reader(
    entries: list[Entry], read: int, first: int
) -> None:
    whole = fold(entries)
    read = min(read, len(entries))
    state = whole[read]
    newest = state.revision
    for offset in range(max(first, read), len(entries)):
        # Each record is applied twice, as it may arrive from a peer and from the log.
        for _ in range(2):
            state = apply(state, RawRecord(offset, encode_entry(entries[offset]))).state
        assert state.revision >= newest
        newest = state.revision
        if state.complete:
            assert state.configuration == whole[offset + 1].configuration


def test_fresh_reader_starts_from_late_checkpoint() -> None:
    """Guards against missing a preset switch that is appended while a checkpoint is written.

    The switch gets the offset before the checkpoint, which does not include it. A reader that
    starts at the switch must still reach the same preset as all other readers.
    """
    states = fold([publication(NO_REVISION)])
    checkpoint = checkpoint_of(states[-1], "c", 0.0)
    assert checkpoint is not None
    switch = PresetSwitch("s", 0, "peak")
    state = apply(ConfigurationLogState(), RawRecord(1, encode_entry(switch))).state
    assert state.configuration is None
    state = apply(state, RawRecord(2, encode_entry(checkpoint))).state
    assert state.complete
    assert (state.revision, state.preset) == (1, "peak")


def test_old_checkpoint_does_not_revert_newer_state() -> None:
    """Guards against going back to the state of an outdated checkpoint.

    A process whose reads were delayed for hours writes its outdated state. A reader with a newer
    revision must not take it after a gap.
    """
    *_, state = fold([publication(NO_REVISION), PresetSwitch("a", 0, "peak")])
    old = Checkpoint("c", 5, 0, "ordinary", document())
    after = apply(state, RawRecord(5, encode_entry(old))).state
    assert (after.revision, after.preset, after.complete) == (1, "peak", False)


def test_repeated_record_does_not_revert_newer_state() -> None:
    """Guards against applying an unconditional publication a second time.

    A peer resends the records from the start of the stream. Applying the old publication again
    would undo a later preset switch.
    """
    first = publication(UNCONDITIONAL)
    *_, state = fold([first, PresetSwitch("a", 0, "peak")])
    again = apply(state, RawRecord(0, encode_entry(first)))
    assert again.state == state
    assert not again.evaluated
