"""Relays records of the store's feeds from the entry that reads them to all other entries.

Each message contains its first offset and the offset to continue from. An entry that missed a
message gets the records again once its status shows that it is behind. It also reads the store, but
the store may reject the read.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .decision_log import decided
from .peer_messages import FeedMessage

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_policy.direct.feed_watch import FeedWatch

    from .peer_link import PeerLink

MAX_RELAYED_BYTES = 16_384
"""Maximum bytes of records in a message; a larger one would delay other traffic on a slow link."""

RECORDS_KEPT = 256
"""Number of recent records of a feed that are kept for peers that missed them."""

REPAIR_INTERVAL = 0.4
"""Minimum seconds between repairs of one peer: an earlier one may still be in transit."""


@dataclass(frozen=True, slots=True)
class FeedRecord:
    """A record of a keyed feed; a value of None deletes the key."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class FeedRecords:
    """Records of a feed in a range of offsets."""

    first: int
    end: int
    """Offset to continue from."""
    records: tuple[FeedRecord, ...]


@dataclass(slots=True)
class _History:
    """The most recent records of a feed, without a gap."""

    first: int
    end: int
    records: deque[FeedRecord] = field(default_factory=deque)

    def add(self, found: FeedRecords) -> None:
        if not self.first <= found.first <= self.end:
            self.first, self.end = found.first, found.first
            self.records.clear()
        self.records.extend(each for each in found.records if each.offset >= self.end)
        self.end = max(self.end, found.end)
        while len(self.records) > RECORDS_KEPT:
            self.first = self.records.popleft().offset + 1

    def since(self, position: int) -> FeedRecords | None:
        """Return the records from a position on, up to the size of one message.

        Returns:
            The records; None if they are no longer kept or there is nothing newer.
        """
        if not self.first <= position < self.end:
            return None
        missing = [each for each in self.records if each.offset >= position]
        size = 0
        for index, record in enumerate(missing):
            size += len(record.value or b"")
            if size > MAX_RELAYED_BYTES:
                return FeedRecords(position, record.offset, tuple(missing[:index]))
        return FeedRecords(position, self.end, tuple(missing))


class FeedRelay:
    """Sends and receives the records of any number of feeds."""

    def __init__(self, name: str, peers: PeerLink, watch: FeedWatch, clock: Clock) -> None:
        self._name = name
        self._peers = peers
        self._watch = watch
        self._clock = clock
        self._receivers_by_feed: dict[str, Callable[[FeedRecords], None]] = {}
        self._history_by_feed: dict[str, _History] = {}
        self._repaired_at_by_peer: dict[str, Instant] = {}

    def on_records(self, feed: str, receiver: Callable[[FeedRecords], None]) -> None:
        """Register the receiver of a feed's records."""
        self._receivers_by_feed[feed] = receiver

    def send(self, feed: str, found: FeedRecords) -> None:
        """Broadcast records read from the store if this entry is the one that relays."""
        self._add_to_history(feed, found)
        now = self._clock.monotonic()
        size = sum(len(each.value or b"") for each in found.records)
        if not found.records or size > MAX_RELAYED_BYTES or not self._watch.relays(now):
            return
        self._peers.broadcast(self._message(feed, found, now))

    def repair(self, peer: str, positions_by_feed: Mapping[str, int]) -> None:
        """Send a peer the records that it is missing according to its status."""
        now = self._clock.monotonic()
        repaired_at = self._repaired_at_by_peer.get(peer)
        if repaired_at is not None and now - repaired_at < REPAIR_INTERVAL:
            return
        if not self._watch.relays(now):
            return
        for feed, position in positions_by_feed.items():
            history = self._history_by_feed.get(feed)
            missing = history.since(position) if history is not None else None
            if missing is None or missing.end == missing.first:
                continue
            self._repaired_at_by_peer[peer] = now
            self._peers.send(self._message(feed, missing, now), peer)
            decided("feed_repaired", peer=peer, feed=feed, first=position, end=missing.end)

    def _message(self, feed: str, found: FeedRecords, now: Instant) -> FeedMessage:
        return FeedMessage(
            self._name,
            feed,
            found.first,
            found.end,
            tuple((each.key, each.value, each.offset) for each in found.records),
            round(self._watch.unsure_for(now), 3),
        )

    def _add_to_history(self, feed: str, found: FeedRecords) -> None:
        history = self._history_by_feed.get(feed)
        if history is None:
            history = self._history_by_feed[feed] = _History(found.first, found.first)
        history.add(found)

    def take(self, message: FeedMessage) -> None:
        """Deliver the records that another entry has read and relayed."""
        receiver = self._receivers_by_feed.get(message.feed)
        if receiver is None:
            return
        now = self._clock.monotonic()
        self._watch.peer_reported(
            message.sender, {}, now, hears_store=True, unsure_for=message.unsure_for
        )
        records = tuple(FeedRecord(*each) for each in message.records)
        found = FeedRecords(message.first, message.end, records)
        self._add_to_history(message.feed, found)
        receiver(found)
