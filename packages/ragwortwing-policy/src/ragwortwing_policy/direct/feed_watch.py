"""Selection of the entries that poll the store's feeds on behalf of the fleet.

A long-polling read returns new records at once while the store is healthy. It does not reveal
that the store has stopped answering, or that a middlebox has dropped the connection: both look
like an absence of records until the wait ends. Short waits in every entry would reveal it, but
each read is a call with a cost. Only a few entries, the watchers, therefore use short waits.
They relay the records and announce in their statuses how far they have read. The other entries
ask the store only when they are behind that position.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

from .lanes import rank

if TYPE_CHECKING:
    from collections.abc import Mapping


WATCHERS = 3
"""Number of entries that poll the store, so that two of them may fail at the same time."""

SHORT_WAIT = 1.2
"""Seconds that a watcher's long-polling read waits.

Together with the response time, the store's return is noticed within 2 s. A configuration
accepted just after the return is therefore in force within the required 2 s.
"""

WATCHER_SILENCE = 1.0
"""Seconds without a status from any watcher after which an entry reads the store itself."""

TAKEOVER_STEP = 0.005
"""Additional delay in seconds for each entry that ranks before this one as a watcher."""

MAXIMUM_TAKEOVER_DELAY = 0.2
"""Maximum delay in seconds before an entry takes over."""

STORE_SILENCE = 2.5
"""Seconds without an answer from the store after which an entry is no longer a suitable watcher:
a short wait, the response time and half a second."""

PEER_SILENCE = 1.8
"""Seconds without a status after which a peer is no longer a suitable watcher. A status is sent
every second."""

PROBE_RETRY = 0.4
"""Maximum seconds between retries of the entries that probe an unavailable store for all."""

REJECTED_RETRY = 1.0
"""Maximum seconds between retries while other entries reach the store. The store rejects only
this entry, and more frequent retries would not change that. The entry's guarantees apply again
from 3 s after the rejection ends."""

IDLE_RETRY = 3.0
"""Maximum seconds between retries of the other entries while no entry reaches the store. They
are notified when it returns; this retry covers a lost notification."""

POST_OUTAGE_SECONDS = 2.5
"""Seconds after the store's return during which a removal may be an effect of the outage.
Expired registrations are back within about two seconds; half a second is for noticing the
return."""

RETURN_SPREAD = 1.5
"""Seconds within which all entries reach the store again after the first one does."""

RETURN_GRACE = 3.0
"""Seconds after a peer's return from silence during which its uncertainty about removals is
ignored."""

EARLY_RETURN = 0.6
"""Seconds by which some entries reach the store earlier than others after an outage."""

ANSWERS_KEPT = 1_024
"""Number of the store's latest answers that are kept: a minute of those of three watchers."""

HISTORY_INTERVAL = 0.1
"""Minimum seconds between two history records with the same value."""

HISTORY_KEPT = 600
"""Number of history records kept: half a minute if both values occur."""

CATCH_UP_DELAY = 0.15
"""Seconds for which an entry stays behind before it reads again: the answer to its pending read
is probably on the way."""


@dataclass(slots=True)
class _PeerState:
    heard_at: Instant
    hears_store: bool
    returned_at: Instant | None = None
    """When the peer was last heard again after a silence."""


class FeedWatch:
    """Tracks how far this entry and its peers have read the store's feeds."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers_by_name: dict[str, _PeerState] = {}
        self._position_by_feed: dict[str, int] = {}
        self._peer_position_by_feed: dict[str, tuple[int, Instant]] = {}
        self._heard_store_at: Instant | None = None
        self._heard_at_by_feed: dict[str, Instant] = {}
        self._unsure_until: Instant = 0.0
        self._regained_at: Instant | None = None
        self.shortest_outage = 2.4
        """Seconds of an outage within which no registration can expire. One expires after three
        missed heartbeats, and the first two are still due."""
        self.registrations_may_expire = False
        """Whether the last outage was long enough for a registration to expire."""
        self._answers: deque[tuple[Instant, str]] = deque(maxlen=ANSWERS_KEPT)
        """When the store answered which entry."""
        self._history: deque[tuple[Instant, bool]] = deque(maxlen=HISTORY_KEPT)
        """When peers reported that they reach the store, or that they do not."""

    @property
    def positions_by_feed(self) -> Mapping[str, int]:
        """Position up to which this entry has read each feed."""
        return self._position_by_feed

    @property
    def last_heard_by_feed(self) -> Mapping[str, Instant]:
        """When the store last answered a read of each feed."""
        return self._heard_at_by_feed

    def reached(self, feed: str, position: int, now: Instant) -> None:
        """Record an answer from the store and the position this entry has reached."""
        self._heard_store_at = now
        self._heard_at_by_feed[feed] = now
        self._answers.append((now, self._name))
        self.advanced(feed, position)

    def advanced(self, feed: str, position: int) -> None:
        """Record the position reached through records that a watcher relayed."""
        self._position_by_feed[feed] = max(position, self._position_by_feed.get(feed, -1))

    def record_outage_end(self, unsure_until: Instant) -> None:
        """Record that the store is back, and how long removals may be an effect of the outage."""
        outage_end = unsure_until - POST_OUTAGE_SECONDS
        known = [at for at, _ in self._answers if at < outage_end - EARLY_RETURN]
        may_expire = outage_end - max(known, default=-inf) >= self.shortest_outage
        if may_expire or outage_end >= self._unsure_until:
            self._unsure_until = max(self._unsure_until, unsure_until)
            self.registrations_may_expire = may_expire

    def unsure_for(self, now: Instant) -> float:
        """Return for how many seconds a removal may still be an effect of an outage."""
        return max(0.0, self._unsure_until - now)

    def store_age(self, now: Instant) -> float | None:
        """Return the seconds since the store's last answer to this entry; None if not recent."""
        heard_at = self._heard_store_at
        if heard_at is None or not self.hears_store(now):
            return None
        return max(0.0, now - heard_at)

    def hears_store(self, now: Instant) -> bool:
        """Return whether the store has answered this entry recently."""
        heard_at = self._heard_store_at
        return heard_at is not None and now - heard_at < STORE_SILENCE

    def peer_reported(
        self,
        peer: str,
        positions_by_feed: Mapping[str, int],
        now: Instant,
        *,
        hears_store: bool,
        unsure_for: float = 0.0,
        store_age: float | None = None,
    ) -> None:
        """Process the status of another entry.

        An entry that relies on watchers learns of an outage only from statuses. The uncertainty
        reported by an entry that was silent until recently is ignored: that entry was cut off,
        not the store. It is also ignored if the store answered this entry or a third one while it
        is said to have been away.

        Args:
            peer: The entry.
            positions_by_feed: Position up to which it has read each feed.
            now: The current instant.
            hears_store: Whether the store has answered it recently.
            unsure_for: Seconds for which it takes removals for a possible effect of an outage.
            store_age: Seconds since the store's last answer to it; None if not recent.
        """
        if store_age is not None:
            self._answers.append((now - store_age, peer))
        before = self._peers_by_name.get(peer)
        returned_at = before.returned_at if before is not None else None
        if before is not None and now - before.heard_at >= PEER_SILENCE:
            returned_at = now
        was_cut_off = returned_at is not None and now - returned_at < RETURN_GRACE
        if unsure_for > 0.0 and not was_cut_off:
            outage_end = now + unsure_for - POST_OUTAGE_SECONDS
            observed = max(self.shortest_outage, 2 * SHORT_WAIT)
            if not self._has_answered_others(peer, outage_end - observed, outage_end):
                self.record_outage_end(now + unsure_for)
        # Entries that rely on watchers regularly report that they do not reach the store. It has
        # come back only if no other entry reached it before.
        if hears_store and before is not None and not self._peers(now, hearing=True):
            self._regained_at = now
        self._peers_by_name[peer] = _PeerState(now, hears_store, returned_at)
        self._record_in_history(now, hears_store=hears_store)
        for feed, position in positions_by_feed.items():
            known, _ = self._peer_position_by_feed.get(feed, (-1, 0.0))
            if position > known:
                self._peer_position_by_feed[feed] = (position, now)

    def is_watcher(self, now: Instant) -> bool:
        """Return whether this entry should read with short waits.

        It is a watcher unless three other entries that reach the store rank before it. During an
        outage every entry therefore probes for the store's return.
        """
        return self._is_among_first(self._peers(now, hearing=True))

    def maximum_retry_delay(self, now: Instant) -> float:
        """Return the maximum seconds until the next attempt while the store does not answer."""
        if self._peers(now, hearing=True):
            return REJECTED_RETRY
        probes = self._is_among_first(self._peers(now, hearing=False))
        return PROBE_RETRY if probes else IDLE_RETRY

    def may_be_fleet_wide(self, lost_at: Instant, now: Instant) -> bool:
        """Return whether an outage that this entry observed may have affected all entries.

        It did not if the store answered a peer meanwhile: the store then rejected only this
        entry. It did not if none of the known peers was heard meanwhile: this entry was then cut
        off. Reports that arrive just before this entry reaches the store again are ignored,
        because peers may have reached it slightly earlier.

        Args:
            lost_at: When this entry lost the store.
            now: The current instant, at which the store answers again.
        """
        if self._has_answered_others(self._name, lost_at, now):
            return False
        if now - lost_at < STORE_SILENCE + PEER_SILENCE or not self._peers_by_name:
            return True
        meanwhile = [
            (at, hears) for at, hears in self._history if lost_at < at < now - RETURN_SPREAD
        ]
        if any(hears and at > lost_at + STORE_SILENCE for at, hears in meanwhile):
            return False
        return bool(meanwhile)

    def _has_answered_others(self, name: str, start: Instant, outage_end: Instant) -> bool:
        """Return whether the store answered an entry other than `name` during its outage."""
        end = outage_end - EARLY_RETURN
        return any(start < at < end and each != name for at, each in self._answers)

    def _record_in_history(self, now: Instant, *, hears_store: bool) -> None:
        for at, hears in reversed(self._history):
            if now - at > HISTORY_INTERVAL:
                break
            if hears is hears_store:
                return
        self._history.append((now, hears_store))

    def regained_since(self, since: Instant) -> bool:
        """Return whether another entry has reached the store again since an instant."""
        return self._regained_at is not None and self._regained_at >= since

    def _peers(self, now: Instant, *, hearing: bool) -> list[str]:
        """Return the other live entries, or only those that reach the store."""
        return [
            name
            for name, peer in self._peers_by_name.items()
            if now - peer.heard_at < PEER_SILENCE and (peer.hears_store or not hearing)
        ]

    def _is_among_first(self, names: list[str]) -> bool:
        return self._ahead(names) < WATCHERS

    def _ahead(self, names: list[str]) -> int:
        own = rank("watch", self._name)
        return sum(1 for name in names if rank("watch", name) < own)

    def is_behind(self, feed: str, now: Instant) -> bool:
        """Return whether others have been ahead in a feed for longer than an answer takes."""
        position, reported_at = self._peer_position_by_feed.get(feed, (-1, 0.0))
        return (
            position > self._position_by_feed.get(feed, -1) and now - reported_at > CATCH_UP_DELAY
        )

    def peer_position(self, feed: str) -> int:
        """Return the furthest position in a feed that another entry has reported; -1 if none."""
        return self._peer_position_by_feed.get(feed, (-1, 0.0))[0]

    def records_behind(self, feed: str) -> int:
        """Return how many records of a feed other entries have read and this one has not."""
        position, _ = self._peer_position_by_feed.get(feed, (-1, 0.0))
        return max(0, position - self._position_by_feed.get(feed, position))

    def follows(self, now: Instant) -> bool:
        """Return whether this entry may rely on live watchers instead of reading the store."""
        recent = (
            now - peer.heard_at < WATCHER_SILENCE
            for peer in self._peers_by_name.values()
            if peer.hears_store
        )
        return any(recent) and not self.is_watcher(now)

    def relays(self, now: Instant) -> bool:
        """Return whether this entry relays the records it reads: the first-ranked watcher does."""
        return self._ahead(self._peers(now, hearing=True)) == 0

    def takeover_delay(self, now: Instant) -> float:
        """Return the seconds to wait so that better-ranked entries can take over first."""
        ahead = self._ahead(self._peers(now, hearing=False))
        return min(MAXIMUM_TAKEOVER_DELAY, TAKEOVER_STEP * ahead)
