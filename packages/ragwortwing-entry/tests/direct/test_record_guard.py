"""Tests of applying records of a feed of which some cannot be used."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest

from ragwortwing_entry.direct.feed_relay import FeedRecord
from ragwortwing_entry.direct.record_guard import RecordGuard
from ragwortwing_entry.direct.store_port import Snapshot

if TYPE_CHECKING:
    from ragwortwing_entry.direct.entry_state import EntryState


def test_record_that_fails_where_it_is_used_leaves_the_others_in_force() -> None:
    """Guards against an error in the use of one record that ends the process on each start."""
    applied: list[str] = []
    discarded: list[str] = []

    def apply(record: FeedRecord) -> None:
        if record.value == b"unusable":
            raise ZeroDivisionError
        applied.append(record.key)

    state = cast("EntryState", SimpleNamespace(unusable_by_topic=Counter[str]()))
    guard = RecordGuard(state, "topic", "record", apply, discarded.append)
    records = (FeedRecord("a", b"1", 0), FeedRecord("b", b"unusable", 1), FeedRecord("c", b"1", 2))
    guard.apply_snapshot(Snapshot(records, 3))
    guard.apply(FeedRecord("b", b"unusable", 3))
    assert applied == ["a", "c"]
    assert discarded == ["b", "b"]
    assert state.unusable_by_topic == {"topic": 2}
    guard.apply(FeedRecord("b", b"1", 4))
    assert applied == ["a", "c", "b"]


@pytest.mark.parametrize(
    ("read", "snapshot", "gaps"),
    [
        ((), Snapshot((FeedRecord("a", b"1", 0),), 1), 0),
        ((), Snapshot((FeedRecord("a", b"1", 1),), 2), 1),
        ((0, 1), Snapshot((FeedRecord("a", b"1", 1),), 2), 0),
        ((0, 1), Snapshot((FeedRecord("a", b"1", 2),), 3), 0),
        ((0, 1), Snapshot((FeedRecord("a", b"1", 3),), 4), 1),
        ((0, 1), Snapshot((FeedRecord("a", b"1", 1),), 1), 0),
    ],
)
def test_snapshot_that_skips_records_is_told(
    read: tuple[int, ...], snapshot: Snapshot, gaps: int
) -> None:
    """Guards against what was replaced unread and is taken for never written."""
    found: list[None] = []
    state = cast("EntryState", SimpleNamespace(unusable_by_topic=Counter[str]()))
    guard = RecordGuard(state, "topic", "record", lambda _: None, on_gap=lambda: found.append(None))
    for offset in read:
        guard.apply(FeedRecord("a", b"1", offset))
    guard.apply_snapshot(snapshot)
    guard.apply_snapshot(snapshot)
    assert len(found) == gaps
