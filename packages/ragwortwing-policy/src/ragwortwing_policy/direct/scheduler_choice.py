"""Selection of the entry that schedules a pool's engines, computed from peer statuses.

Every entry computes the choice by itself; there is no consensus protocol. If two entries choose
differently, placements get worse but stay correct: an engine may still refuse a request.
"""

from __future__ import annotations

from dataclasses import dataclass

from ragwortwing_policy.clock import Instant

from .entry_pressure import AVOID_AT
from .lanes import rank

PEER_SILENCE = 1.8
"""Seconds without a status after which a peer is not chosen. A status is sent every second."""

SUSPICION_SECONDS = 1.0
"""Seconds for which an entry that did not answer is not chosen."""

SETTLED_AFTER = 3.0
"""Minimum uptime in seconds before an entry is preferred: until then it does not know which
requests are running."""

MINIMUM_CAPACITY_RATIO = 0.5
"""Minimum capacity of a scheduler as a fraction of the largest candidate's capacity."""

CHOICE_LIFETIME = 0.1
"""Seconds for which a computed ranking is cached."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that can act as scheduler."""

    name: str
    capacity: float
    """CPU time available to its VM, in cores."""
    uptime: float
    """Seconds since the entry became able to schedule."""
    heard_at: Instant
    pressure: float = 0.0
    """How short it is of processor time or memory, from 0 to 1; 0 if unknown."""

    @property
    def is_pressed(self) -> bool:
        """Whether it is avoided while another candidate is available."""
        return self.pressure >= AVOID_AT


class SchedulerChoice:
    """Ranks the entries that can schedule each pool.

    Example:
        >>> choice = SchedulerChoice("entry-1")
        >>> choice.scheduler("engines", now=0.0) is None
        True
        >>> choice.update_from_peer(Candidate("entry-2", capacity=1.0, uptime=9.0, heard_at=0.0))
        >>> choice.scheduler("engines", now=0.0)
        'entry-2'
        >>> choice.suspect("entry-2", now=0.0)
        >>> choice.scheduler("engines", now=0.1) is None
        True
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own: Candidate | None = None
        self._peers_by_name: dict[str, Candidate] = {}
        self._suspected_until_by_name: dict[str, Instant] = {}
        self._ranked_by_pool: dict[str, tuple[Instant, tuple[str, ...], tuple[str, ...]]] = {}

    def offer(self, own: Candidate | None) -> None:
        """Set this entry's own candidacy; None if it cannot schedule."""
        if (own is None) != (self._own is None) or _is_pressed(own) != _is_pressed(self._own):
            self._ranked_by_pool.clear()
        self._own = own

    def update_from_peer(self, peer: Candidate) -> None:
        """Record the candidacy of a peer."""
        known = self._peers_by_name.get(peer.name)
        if known is None or known.is_pressed != peer.is_pressed:
            self._ranked_by_pool.clear()
        self._peers_by_name[peer.name] = peer

    def withdraw(self, peer: str) -> None:
        """Record that a peer does not schedule, or is gone."""
        if self._peers_by_name.pop(peer, None) is not None:
            self._ranked_by_pool.clear()

    def suspect(self, peer: str, now: Instant) -> None:
        """Exclude a peer that did not answer, for `SUSPICION_SECONDS`."""
        self._suspected_until_by_name[peer] = now + SUSPICION_SECONDS
        self._ranked_by_pool.clear()

    def answered(self, peer: str) -> None:
        """Record that a peer answers, which ends its exclusion."""
        if self._suspected_until_by_name.pop(peer, None) is not None:
            self._ranked_by_pool.clear()

    def scheduler(self, pool: str, now: Instant) -> str | None:
        """Return the entry that schedules a pool, or None if no candidate is known."""
        settled, _ = self._ranked(pool, now)
        return settled[0] if settled else None

    def informed(self, pool: str, now: Instant) -> frozenset[str]:
        """Return the other entries that receive reports of the runs on a pool.

        These are the scheduler, its successor, and the entry that will be chosen once its uptime
        is long enough.
        """
        settled, ready = self._ranked(pool, now)
        return frozenset((*settled[:2], *ready[:1])) - {self._own_name}

    def _ranked(self, pool: str, now: Instant) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the candidates with enough uptime and all candidates, best first."""
        known = self._ranked_by_pool.get(pool)
        if known is not None and now < known[0]:
            return known[1], known[2]
        ready = [each for each in self._candidates(now) if self._is_alive(each, now)]
        largest = max((each.capacity for each in ready), default=0.0)
        ready = [each for each in ready if each.capacity >= MINIMUM_CAPACITY_RATIO * largest]
        ready.sort(key=lambda each: rank(pool, each.name))
        settled = [each for each in ready if each.uptime + now - each.heard_at >= SETTLED_AFTER]
        # The hysteresis is in the pressure that an entry reports, so all entries avoid the same.
        calm = [each for each in settled if not each.is_pressed]
        ranked = (_names(calm or settled or ready), _names(ready))
        self._ranked_by_pool[pool] = (now + CHOICE_LIFETIME, *ranked)
        return ranked

    def _candidates(self, now: Instant) -> list[Candidate]:
        own = [self._own] if self._own is not None else []
        suspected = self._suspected_until_by_name
        return own + [
            each for each in self._peers_by_name.values() if suspected.get(each.name, now) <= now
        ]

    def _is_alive(self, candidate: Candidate, now: Instant) -> bool:
        return candidate is self._own or now - candidate.heard_at < PEER_SILENCE


def _is_pressed(candidate: Candidate | None) -> bool:
    return candidate is not None and candidate.is_pressed


def _names(candidates: list[Candidate]) -> tuple[str, ...]:
    return tuple(each.name for each in candidates)
