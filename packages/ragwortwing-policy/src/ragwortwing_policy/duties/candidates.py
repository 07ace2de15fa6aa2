"""Ranking of the entries that should hold a duty, computed from peer statuses.

Every entry computes the same ranking from the same statuses. It is only a preference: the lease
in the log decides which entry may act.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_policy.direct.lanes import rank

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_policy.clock import Instant

PEER_SILENCE = 1.8
"""Seconds without a status after which a peer is no candidate. A status is sent every second."""


class DutyCandidates:
    """The entries that are able to hold duties.

    Example:
        >>> candidates = DutyCandidates("entry-1")
        >>> candidates.update_from_peer("entry-2", can_hold=True, now=0.0)
        >>> candidates.ranked("usage", now=1.0)
        ('entry-2',)
        >>> candidates.offer(can_hold=True)
        >>> sorted(candidates.ranked("usage", now=1.0))
        ['entry-1', 'entry-2']
        >>> candidates.ranked("usage", now=2.0)
        ('entry-1',)
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._can_hold = False
        self._heard_at_by_peer: dict[str, Instant] = {}
        self._offset_by_duty: dict[str, int] = {}
        self._able_peers: set[str] = set()

    @property
    def can_hold(self) -> bool:
        """Whether this entry itself is a candidate."""
        return self._can_hold

    @property
    def offset_by_duty(self) -> Mapping[str, int]:
        """Log offset of the newest known record of each duty."""
        return self._offset_by_duty

    def update_record_offset(self, duty: str, offset: int) -> None:
        """Record the log offset of a duty's newest record."""
        if offset >= 0:
            self._offset_by_duty[duty] = offset

    def offer(self, *, can_hold: bool) -> None:
        """Set whether this entry can hold duties."""
        self._can_hold = can_hold

    def update_from_peer(self, peer: str, *, can_hold: bool, now: Instant) -> None:
        """Process a peer's status."""
        self._heard_at_by_peer[peer] = now
        if can_hold:
            self._able_peers.add(peer)
        else:
            self._able_peers.discard(peer)

    def alive(self, now: Instant, silence: float = PEER_SILENCE) -> frozenset[str]:
        """Return the peers that have been heard recently.

        Args:
            now: The current instant.
            silence: Seconds without a status after which a peer is excluded.
        """
        heard = self._heard_at_by_peer.items()
        return frozenset(name for name, at in heard if now - at < silence)

    def ranked(self, duty: str, now: Instant) -> tuple[str, ...]:
        """Return the candidates for a duty, most preferred first."""
        names = self._able_peers & self.alive(now)
        if self._can_hold:
            names = names | {self._name}
        return tuple(sorted(names, key=lambda name: rank(duty, name)))
