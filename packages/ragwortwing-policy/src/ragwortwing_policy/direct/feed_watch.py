"""Which entries follow the store's feeds for all others.

A read of the store that waits for news brings it at once while all is well. What it does not show
is a store that has stopped answering, or a connection that something on the way has forgotten: both
look like no news until the wait is over. Short waits in every entry would show it, and each costs a
call. So a few entries, the watchers, wait briefly, pass the records on and tell in their statuses
how far they have read; the others ask the store only when they are behind that.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

from .lanes import rank

if TYPE_CHECKING:
    from collections.abc import Mapping


WATCHERS = 3
"""Entries that follow the store: two may be lost at one moment."""

SHORT_WAIT = 1.2
"""Seconds for which a watcher's read waits.

With the time for an answer on top, a store's return is noticed within 2 s, and a configuration
accepted just after it is in force within the 2 s that it may take."""

WATCHER_SILENCE = 1.0
"""Seconds without a word of any watcher after which an entry asks the store itself."""

TAKE_OVER_STEP = 0.005
"""Seconds by which each entry gives way to those that come before it as watchers."""

LONGEST_TAKE_OVER = 0.2
"""Most seconds by which an entry gives way."""

STORE_SILENCE = 2.5
"""Seconds without an answer of the store after which an entry is no good watcher: a short wait, the
time for an answer, and half a second."""

PEER_SILENCE = 1.8
"""Seconds without a status after which an entry is no good watcher; one comes every second."""

PROBE_RETRY = 0.4
"""Longest seconds between attempts of the entries that look for the store's return for all."""

TURNED_AWAY_RETRY = 1.0
"""Longest seconds between attempts while others hear the store: it turns this entry away, and will
not sooner serve it for being asked more often. Its promises bind it again 3 s after that ends."""

IDLE_RETRY = 3.0
"""Longest seconds between attempts of the others while nobody hears the store: they are told of its
return, and this is for the case that they are not."""

AFTER_OUTAGE = 2.5
"""Seconds after the store's return in which a removal may stem from the outage itself: entries that
lapsed are back within about two, and half a second is for noticing the return."""

RETURN_SPREAD = 1.5
"""Seconds within which all entries hear the store again once the first of them does."""

DOUBT_DISCOUNTED_FOR = 3.0
"""Seconds after a peer's return from silence in which its doubt of removals counts for nothing."""

HISTORY_INTERVAL = 0.1
"""Seconds between two entries of the history of what peers said of the store."""

HISTORY_KEPT = 600
"""Entries kept: half a minute with both kinds of them."""

BEHIND_FOR = 0.15
"""Seconds for which an entry stays behind before it asks again: its own read's answer is most
likely on the way."""


@dataclass(slots=True)
class _PeerNews:
    heard_at: Instant
    hears_store: bool
    returned_at: Instant | None = None
    """When it was last heard again after a silence."""


class FeedWatch:
    """What an entry knows of the positions that others have reached in the store's feeds."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers_by_name: dict[str, _PeerNews] = {}
        self._position_by_feed: dict[str, int] = {}
        self._told_by_feed: dict[str, tuple[int, Instant]] = {}
        self._heard_store_at: Instant | None = None
        self._heard_at_by_feed: dict[str, Instant] = {}
        self._unsure_until: Instant = 0.0
        self._regained_at: Instant | None = None
        self._history: deque[tuple[Instant, bool]] = deque(maxlen=HISTORY_KEPT)
        """When peers said that they heard the store, or that they did not."""

    @property
    def positions_by_feed(self) -> Mapping[str, int]:
        """How far this entry has read."""
        return self._position_by_feed

    @property
    def heard_at_by_feed(self) -> Mapping[str, Instant]:
        """When the store last answered a read of each feed."""
        return self._heard_at_by_feed

    def reached(self, feed: str, position: int, now: Instant) -> None:
        """Note an answer of the store, and how far this entry has read."""
        self._heard_store_at = now
        self._heard_at_by_feed[feed] = now
        self.advanced(feed, position)

    def advanced(self, feed: str, position: int) -> None:
        """Note how far this entry is by records that a watcher passed on."""
        self._position_by_feed[feed] = max(position, self._position_by_feed.get(feed, -1))

    def outage_over(self, unsure_until: Instant) -> None:
        """Note that the store is back, and until when a removal may stem from the outage."""
        self._unsure_until = max(self._unsure_until, unsure_until)

    def unsure_for(self, now: Instant) -> float:
        """Return for how many seconds a removal may still stem from an outage."""
        return max(0.0, self._unsure_until - now)

    def hears_store(self, now: Instant) -> bool:
        """Return whether the store has answered this entry of late."""
        heard_at = self._heard_store_at
        return heard_at is not None and now - heard_at < STORE_SILENCE

    def told(
        self,
        peer: str,
        positions_by_feed: Mapping[str, int],
        now: Instant,
        *,
        hears_store: bool,
        unsure_for: float = 0.0,
    ) -> None:
        """Take in what another entry tells.

        An entry that follows watchers learns of an outage only in this way. The doubt
        of one that has been silent of late counts for nothing: it was cut off, not the store.
        """
        before = self._peers_by_name.get(peer)
        returned_at = before.returned_at if before is not None else None
        if before is not None and now - before.heard_at >= PEER_SILENCE:
            returned_at = now
        if returned_at is None or now - returned_at >= DOUBT_DISCOUNTED_FOR:
            self.outage_over(now + unsure_for)
        # An entry that follows watchers does not hear the store; only where nobody heard it has it
        # come back.
        if hears_store and before is not None and not self._peers(now, hearing=True):
            self._regained_at = now
        self._peers_by_name[peer] = _PeerNews(now, hears_store, returned_at)
        self._note_in_history(now, hears_store=hears_store)
        for feed, position in positions_by_feed.items():
            known, _ = self._told_by_feed.get(feed, (-1, 0.0))
            if position > known:
                self._told_by_feed[feed] = (position, now)

    def is_watcher(self, now: Instant) -> bool:
        """Return whether this entry is to wait briefly.

        Without three others that hear the store it is one: during an outage all of them look for
        the store's return.
        """
        return self._is_among_first(self._peers(now, hearing=True))

    def retry_limit(self, now: Instant) -> float:
        """Return the longest seconds until the next attempt at a store that does not answer."""
        if self._peers(now, hearing=True):
            return TURNED_AWAY_RETRY
        probes = self._is_among_first(self._peers(now, hearing=False))
        return PROBE_RETRY if probes else IDLE_RETRY

    def was_for_all(self, lost_at: Instant, now: Instant) -> bool:
        """Return whether an outage that this entry saw may have been one for all.

        It was not where a peer heard the store meanwhile: the store turned this entry away. Nor
        where no peer was heard at all: this entry was cut off. What peers say just before this
        entry hears the store again is no sign, as they may have regained it a little earlier.

        Args:
            lost_at: When this entry lost the store.
            now: The present instant, at which it answers again.
        """
        if now - lost_at < STORE_SILENCE + PEER_SILENCE or not self._peers_by_name:
            return True
        meanwhile = [
            (at, hears) for at, hears in self._history if lost_at < at < now - RETURN_SPREAD
        ]
        if any(hears and at > lost_at + STORE_SILENCE for at, hears in meanwhile):
            return False
        return bool(meanwhile)

    def _note_in_history(self, now: Instant, *, hears_store: bool) -> None:
        for at, hears in reversed(self._history):
            if now - at > HISTORY_INTERVAL:
                break
            if hears is hears_store:
                return
        self._history.append((now, hears_store))

    def regained_since(self, since: Instant) -> bool:
        """Return whether another entry has come to hear the store again."""
        return self._regained_at is not None and self._regained_at >= since

    def _peers(self, now: Instant, *, hearing: bool) -> list[str]:
        """Return the other entries that are alive, or those of them that hear the store."""
        return [
            name
            for name, news in self._peers_by_name.items()
            if now - news.heard_at < PEER_SILENCE and (news.hears_store or not hearing)
        ]

    def _is_among_first(self, names: list[str]) -> bool:
        return self._ahead(names) < WATCHERS

    def _ahead(self, names: list[str]) -> int:
        own = rank("watch", self._name)
        return sum(1 for name in names if rank("watch", name) < own)

    def is_behind(self, feed: str, now: Instant) -> bool:
        """Return whether others have read further for longer than an answer takes."""
        position, told_at = self._told_by_feed.get(feed, (-1, 0.0))
        return position > self._position_by_feed.get(feed, -1) and now - told_at > BEHIND_FOR

    def records_behind(self, feed: str) -> int:
        """Return how many records others have read that this entry has not."""
        position, _ = self._told_by_feed.get(feed, (-1, 0.0))
        return max(0, position - self._position_by_feed.get(feed, position))

    def follows(self, now: Instant) -> bool:
        """Return whether this entry may leave the store to watchers that it hears."""
        recent = (
            now - news.heard_at < WATCHER_SILENCE
            for news in self._peers_by_name.values()
            if news.hears_store
        )
        return any(recent) and not self.is_watcher(now)

    def relays(self, now: Instant) -> bool:
        """Return whether this entry passes on what it reads: the first of the watchers does."""
        return self._ahead(self._peers(now, hearing=True)) == 0

    def take_over_delay(self, now: Instant) -> float:
        """Return for how many seconds this entry gives way to others that could watch instead."""
        ahead = self._ahead(self._peers(now, hearing=False))
        return min(LONGEST_TAKE_OVER, TAKE_OVER_STEP * ahead)
