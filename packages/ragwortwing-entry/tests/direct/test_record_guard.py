"""Tests of applying records of a feed of which some cannot be used."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import logbook
import pytest

from ragwortwing_entry.direct.feed_relay import FeedRecord
from ragwortwing_entry.direct.record_guard import (
    MAX_REPORTED_KEYS,
    REPORT_INTERVAL,
    RecordGuard,
)
from ragwortwing_entry.direct.store_port import Snapshot
from ragwortwing_policy.clock import ManualClock
from ragwortwing_policy.decoding import InvalidDataError

if TYPE_CHECKING:
    from ragwortwing_entry.direct.entry_state import EntryState


def entry_state(clock: ManualClock | None = None) -> EntryState:
    state = SimpleNamespace(unusable_by_topic=Counter[str](), clock=clock or ManualClock())
    return cast("EntryState", state)


def test_record_that_fails_where_it_is_used_leaves_the_others_in_force() -> None:
    """Guards against an error in the use of one record that ends the process on each start."""
    applied: list[str] = []
    discarded: list[str] = []

    def apply(record: FeedRecord) -> None:
        if record.value == b"unusable":
            raise ZeroDivisionError
        applied.append(record.key)

    state = entry_state()
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
    state = entry_state(ManualClock())
    guard = RecordGuard(state, "topic", "record", lambda _: None, on_gap=lambda: found.append(None))
    for offset in read:
        guard.apply(FeedRecord("a", b"1", offset))
    guard.apply_snapshot(snapshot)
    guard.apply_snapshot(snapshot)
    assert len(found) == gaps


def refuse(record: FeedRecord) -> None:
    if record.value == b"unreadable":
        raise InvalidDataError("unreadable")


def test_unreadable_records_between_usable_ones_are_logged_once_in_an_interval() -> None:
    """Guards against a log line for each heartbeat of a key whose records change in kind."""
    clock = ManualClock()
    state = entry_state(clock)
    guard = RecordGuard(state, "topic", "record", refuse)
    with logbook.TestHandler() as log:
        for offset in range(20):
            guard.apply(FeedRecord("a", b"unreadable" if offset % 2 else b"1", offset))
            clock.advance(1.0)
        assert len(log.records) == 1
        clock.advance(REPORT_INTERVAL)
        guard.apply(FeedRecord("a", b"unreadable", 20))
        assert len(log.records) == 2
    assert state.unusable_by_topic == {"topic": 11}


def test_unreadable_records_of_many_keys_take_bounded_memory_and_log() -> None:
    """Guards against memory and log lines that grow with the keys of another writer."""
    clock = ManualClock()
    guard = RecordGuard(entry_state(clock), "topic", "record", refuse)
    with logbook.TestHandler() as log:
        for offset in range(5_000):
            guard.apply(FeedRecord(f"key-{offset}", b"unreadable", offset))
        assert len(log.records) == MAX_REPORTED_KEYS
        clock.advance(REPORT_INTERVAL)
        guard.apply(FeedRecord("a", b"unreadable", 5_000))
        assert len(log.records) == MAX_REPORTED_KEYS + 1
