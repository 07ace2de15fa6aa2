"""Tests that peers which missed a relayed message get its records again."""

from __future__ import annotations

from typing import Any

from ragwortwing_entry.direct.feed_relay import (
    MAX_RELAYED_BYTES,
    RECORDS_KEPT,
    REPAIR_INTERVAL,
    FeedRecord,
    FeedRecords,
    FeedRelay,
)
from ragwortwing_policy.clock import ManualClock
from ragwortwing_policy.direct.feed_watch import FeedWatch
from ragwortwing_policy.direct.lanes import rank

FEED = "operator"


class RecordingPeers:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def broadcast(self, message: Any) -> None:
        self.sent.append(("all", message))

    def send(self, message: Any, peer: str) -> None:
        self.sent.append((peer, message))


class RelayFixture:
    def __init__(self, name: str = "entry-1") -> None:
        self.clock = ManualClock(start=10.0)
        self.peers = RecordingPeers()
        self.watch = FeedWatch(name)
        self.relay = FeedRelay(name, self.peers, self.watch, self.clock)  # type: ignore[arg-type]
        self.watch.reached(FEED, 4, self.clock.monotonic())

    def read(self, first: int, count: int = 1, value: bytes = b"new") -> None:
        records = tuple(FeedRecord("config", value, first + index) for index in range(count))
        self.relay.send(FEED, FeedRecords(first, first + count, records))


def test_missed_record_is_resent() -> None:
    """Guards against an outdated configuration at an entry that the store rejects."""
    fixture = RelayFixture()
    fixture.read(4)
    fixture.read(5)
    fixture.peers.sent.clear()
    fixture.relay.repair("entry-2", {FEED: 5})
    ((peer, message),) = fixture.peers.sent
    assert peer == "entry-2"
    assert (message.first, message.end) == (5, 6)
    assert [offset for _, _, offset in message.records] == [5]


def test_up_to_date_peer_is_sent_nothing() -> None:
    fixture = RelayFixture()
    fixture.read(4)
    fixture.peers.sent.clear()
    fixture.relay.repair("entry-2", {FEED: 5})
    fixture.relay.repair("entry-3", {"another": 0})
    assert fixture.peers.sent == []


def test_repairs_of_one_peer_respect_minimum_interval() -> None:
    """Guards against a repair for every status while the first repair is in transit."""
    fixture = RelayFixture()
    fixture.read(4)
    fixture.peers.sent.clear()
    fixture.relay.repair("entry-2", {FEED: 4})
    fixture.relay.repair("entry-2", {FEED: 4})
    fixture.relay.repair("entry-3", {FEED: 4})
    assert [peer for peer, _ in fixture.peers.sent] == ["entry-2", "entry-3"]
    fixture.clock.advance(REPAIR_INTERVAL)
    fixture.relay.repair("entry-2", {FEED: 4})
    assert len(fixture.peers.sent) == 3


def test_records_no_longer_kept_are_not_repaired() -> None:
    """Guards against records sent after a gap as if nothing were missing."""
    fixture = RelayFixture()
    fixture.read(4, count=RECORDS_KEPT + 3)
    fixture.peers.sent.clear()
    fixture.relay.repair("entry-2", {FEED: 5})
    assert fixture.peers.sent == []


def test_large_repair_is_split_without_gap() -> None:
    """Guards against a datagram that is too large to be delivered."""
    fixture = RelayFixture()
    for offset in range(4, 8):
        fixture.read(offset, value=b"x" * (MAX_RELAYED_BYTES // 2))
    fixture.peers.sent.clear()
    position = 4
    while position < 8:
        fixture.relay.repair("entry-2", {FEED: position})
        _, message = fixture.peers.sent[-1]
        assert message.first == position
        assert sum(len(value) for _, value, _ in message.records) <= MAX_RELAYED_BYTES
        assert message.end > position
        position = message.end
        fixture.clock.advance(REPAIR_INTERVAL)


def test_only_relaying_entry_sends_repairs() -> None:
    """Guards against the same repair from every watcher."""
    first, second = sorted(("entry-1", "entry-2"), key=lambda name: rank("watch", name))
    for name, other, repairs in ((first, second, True), (second, first, False)):
        fixture = RelayFixture(name)
        fixture.read(4)
        fixture.watch.peer_reported(other, {FEED: 5}, fixture.clock.monotonic(), hears_store=True)
        fixture.peers.sent.clear()
        fixture.relay.repair("entry-3", {FEED: 4})
        assert bool(fixture.peers.sent) is repairs
