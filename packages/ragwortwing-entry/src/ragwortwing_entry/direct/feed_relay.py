"""Passes records of the store's feeds from the entry that reads them to all others.

Each message names the offset that it begins at and the one to go on from. A receiver that has a gap
before it, or missed it, finds itself behind by the watchers' statuses and asks the store.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .peer_messages import FeedMessage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.direct.feed_watch import FeedWatch

    from .peer_link import PeerLink

LARGEST_RELAYED = 16_384
"""Bytes of records in one message; more would hold up a narrow link for all that is sent on it."""


@dataclass(frozen=True, slots=True)
class FeedRecord:
    """A record of a keyed feed; without a value the key is dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class FeedRecords:
    """Records of a feed from one offset up to another."""

    first: int
    end: int
    """Offset to go on from."""
    records: tuple[FeedRecord, ...]


class FeedRelay:
    """Sends and receives the records of any number of feeds."""

    def __init__(self, name: str, peers: PeerLink, watch: FeedWatch, clock: Clock) -> None:
        self._name = name
        self._peers = peers
        self._watch = watch
        self._clock = clock
        self._receivers_by_feed: dict[str, Callable[[FeedRecords], None]] = {}

    def on_records(self, feed: str, receiver: Callable[[FeedRecords], None]) -> None:
        """Register who takes in the records of a feed."""
        self._receivers_by_feed[feed] = receiver

    def send(self, feed: str, found: FeedRecords) -> None:
        """Pass on what the store has answered, if that is this entry's part."""
        now = self._clock.monotonic()
        size = sum(len(each.value or b"") for each in found.records)
        if not found.records or size > LARGEST_RELAYED or not self._watch.relays(now):
            return
        message = FeedMessage(
            self._name,
            feed,
            found.first,
            found.end,
            tuple((each.key, each.value, each.offset) for each in found.records),
            round(self._watch.unsure_for(now), 3),
        )
        self._peers.broadcast(message)

    def take(self, message: FeedMessage) -> None:
        """Take in what another entry has read."""
        receiver = self._receivers_by_feed.get(message.feed)
        if receiver is None:
            return
        now = self._clock.monotonic()
        self._watch.told(message.sender, {}, now, hears_store=True, unsure_for=message.unsure_for)
        records = tuple(FeedRecord(*each) for each in message.records)
        receiver(FeedRecords(message.first, message.end, records))
