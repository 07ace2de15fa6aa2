"""Records of a feed reach peers that missed the message which brought them."""

from __future__ import annotations

from typing import Any

from ragwortwing_entry.direct.feed_relay import (
    LARGEST_RELAYED,
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


class Peers:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def broadcast(self, message: Any) -> None:
        self.sent.append(("all", message))

    def send(self, message: Any, peer: str) -> None:
        self.sent.append((peer, message))


class Relay:
    def __init__(self, name: str = "entry-1") -> None:
        self.clock = ManualClock(start=10.0)
        self.peers = Peers()
        self.watch = FeedWatch(name)
        self.relay = FeedRelay(name, self.peers, self.watch, self.clock)  # type: ignore[arg-type]
        self.watch.reached(FEED, 4, self.clock.monotonic())

    def read(self, first: int, count: int = 1, value: bytes = b"new") -> None:
        records = tuple(FeedRecord("config", value, first + index) for index in range(count))
        self.relay.send(FEED, FeedRecords(first, first + count, records))


def test_a_peer_that_missed_a_record_is_sent_it_again() -> None:
    """Guards against an old configuration at an entry that the store turns away."""
    bench = Relay()
    bench.read(4)
    bench.read(5)
    bench.peers.sent.clear()
    bench.relay.repair("entry-2", {FEED: 5})
    ((peer, message),) = bench.peers.sent
    assert peer == "entry-2"
    assert (message.first, message.end) == (5, 6)
    assert [offset for _, _, offset in message.records] == [5]


def test_a_peer_that_is_up_to_date_is_sent_nothing() -> None:
    bench = Relay()
    bench.read(4)
    bench.peers.sent.clear()
    bench.relay.repair("entry-2", {FEED: 5})
    bench.relay.repair("entry-3", {"another": 0})
    assert bench.peers.sent == []


def test_repairs_of_one_peer_keep_a_distance() -> None:
    """Guards against a message for each status while the first repair is on its way."""
    bench = Relay()
    bench.read(4)
    bench.peers.sent.clear()
    bench.relay.repair("entry-2", {FEED: 4})
    bench.relay.repair("entry-2", {FEED: 4})
    bench.relay.repair("entry-3", {FEED: 4})
    assert [peer for peer, _ in bench.peers.sent] == ["entry-2", "entry-3"]
    bench.clock.advance(REPAIR_INTERVAL)
    bench.relay.repair("entry-2", {FEED: 4})
    assert len(bench.peers.sent) == 3


def test_what_is_no_longer_kept_is_left_to_the_store() -> None:
    """Guards against records sent behind a gap as if nothing were missing."""
    bench = Relay()
    bench.read(4, count=RECORDS_KEPT + 3)
    bench.peers.sent.clear()
    bench.relay.repair("entry-2", {FEED: 5})
    assert bench.peers.sent == []


def test_a_long_repair_comes_in_parts_without_a_gap() -> None:
    """Guards against a datagram too large to arrive."""
    bench = Relay()
    for offset in range(4, 8):
        bench.read(offset, value=b"x" * (LARGEST_RELAYED // 2))
    bench.peers.sent.clear()
    position = 4
    while position < 8:
        bench.relay.repair("entry-2", {FEED: position})
        _, message = bench.peers.sent[-1]
        assert message.first == position
        assert sum(len(value) for _, value, _ in message.records) <= LARGEST_RELAYED
        assert message.end > position
        position = message.end
        bench.clock.advance(REPAIR_INTERVAL)


def test_only_the_entry_that_relays_repairs() -> None:
    """Guards against the same records from each watcher."""
    first, second = sorted(("entry-1", "entry-2"), key=lambda name: rank("watch", name))
    for name, other, repairs in ((first, second, True), (second, first, False)):
        bench = Relay(name)
        bench.read(4)
        bench.watch.told(other, {FEED: 5}, bench.clock.monotonic(), hears_store=True)
        bench.peers.sent.clear()
        bench.relay.repair("entry-3", {FEED: 4})
        assert bool(bench.peers.sent) is repairs
