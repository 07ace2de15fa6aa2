"""What entries tell each other of the engines, so that each decides on the load of all.

An entry sees only its own share of the traffic. Four entries that each fill an engine to its limit
overfill it fourfold, and each reads a session's prompt once more on an engine of its own choice.
A digest tells what the sender has running and has sent for reading; it is an aid, not an agreement:
a lost or late one costs a worse placement, never a wrong answer.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .engine_load import EngineLoad, PeerShare
from .prompt_parts import PromptPart

if TYPE_CHECKING:

    from ragwortwing_policy.clock import Instant

    from .feed_watch import FeedWatch
    from .placement import Placement

SILENCE = 2.5
"""Seconds after which a silent peer's share is dropped: its requests have been cut with it."""

USES_KEPT = 64
"""Latest uses of prompt parts that wait for the next digest."""


@dataclass(frozen=True, slots=True)
class EngineDigest:
    """One engine as one entry uses it."""

    backend_id: str
    running: int
    memory_tokens: int
    unread_prompts: int = 0
    """Prompts that the sender has sent and the engine has yet to read."""
    unread_seconds: tuple[tuple[int, float], ...] = ()
    """Seconds of their reading, by urgency."""


@dataclass(frozen=True, slots=True)
class PartsUse:
    """Shared prompt parts that an engine has been sent."""

    backend_id: str
    parts: tuple[PromptPart, ...]
    read: bool = False
    """Whether the engine has read them, so that others can fetch them there."""


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """Prompt tokens that one entry has been asked to have read, since its start."""

    service: str
    short: float
    long: float
    short_running: int = 0
    """Short requests that it has on engines now."""


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """What one entry tells the others."""

    sender: str
    started: int
    """When the sender started, so that its sums are not mistaken for those of an earlier life."""
    engines: tuple[EngineDigest, ...]
    """Those that have changed since the last digest, or all."""
    uses: tuple[PartsUse, ...] = ()
    work: tuple[ServiceWork, ...] = ()
    positions_by_feed: dict[str, int] = field(default_factory=dict)
    """How far the sender has read in the store's feeds."""
    hears_store: bool = False
    unsure_for: float = 0.0
    """Seconds for which a removal from the store's lists may still stem from an outage."""


class _Peer:
    """The sums that a peer told last; those of its first digest are where counting begins."""

    def __init__(self, first: PeerDigest, now: Instant) -> None:
        self.started = first.started
        self.heard_at = now
        self.work_by_service = {each.service: each for each in first.work}


class DigestBook:
    """Makes this entry's digests and takes in those of others."""

    def __init__(self, sender: str, started: int, placement: Placement, watch: FeedWatch) -> None:
        self._watch = watch
        self._told_by_backend: dict[str, EngineDigest] = {}
        self._sender = sender
        self._started = started
        self._placement = placement
        self._used: set[str] = set()
        self._uses: deque[PartsUse] = deque(maxlen=USES_KEPT)
        self._peers_by_name: dict[str, _Peer] = {}

    def placed(self, backend_id: str, parts: tuple[PromptPart, ...]) -> None:
        """Note a request that this entry has sent to an engine."""
        self._used.add(backend_id)
        if len(parts) > 1:
            self._uses.append(PartsUse(backend_id, parts[:-1]))

    def prompt_read(self, backend_id: str, parts: tuple[PromptPart, ...]) -> None:
        """Note that an engine has read a prompt that this entry has sent to it."""
        if len(parts) > 1:
            self._uses.append(PartsUse(backend_id, parts[:-1], read=True))

    def digest(self, now: Instant, *, whole: bool = True) -> PeerDigest:
        """Return the next digest to send.

        Args:
            now: The present instant.
            whole: Whether to tell of every engine; else of those that have changed. Whole ones,
                now and then, make good what was lost.
        """
        uses = tuple(self._uses)
        self._uses.clear()
        engines = {
            load.backend_id: self._engine(load)
            for load in self._placement.loads_by_id.values()
            if load.backend_id in self._used
        }
        told, self._told_by_backend = self._told_by_backend, engines
        return PeerDigest(
            sender=self._sender,
            started=self._started,
            engines=tuple(
                each for each in engines.values() if whole or each != told.get(each.backend_id)
            ),
            uses=uses,
            work=tuple(
                ServiceWork(service, *lanes.totals, self._placement.short_running(service))
                for service, lanes in self._placement.lanes_by_service.items()
            ),
            positions_by_feed=dict(self._watch.positions_by_feed),
            hears_store=self._watch.hears_store(now),
            unsure_for=round(self._watch.unsure_for(now), 3),
        )

    def _engine(self, load: EngineLoad) -> EngineDigest:
        return EngineDigest(
            backend_id=load.backend_id,
            running=len(load.runs_by_ticket),
            memory_tokens=load.own_memory_tokens,
            unread_prompts=load.own_unread.prompts,
            unread_seconds=load.own_unread.seconds_by_urgency(),
        )

    def take(self, digest: PeerDigest, now: Instant) -> None:
        """Take in what another entry tells."""
        if digest.sender == self._sender:
            return
        peer = self._peers_by_name.get(digest.sender)
        if peer is None or peer.started != digest.started:
            self._drop(digest.sender)
            peer = self._peers_by_name[digest.sender] = _Peer(digest, now)
        peer.heard_at = now
        for engine in digest.engines:
            self._take_engine(digest.sender, engine, now)
        for work in digest.work:
            self._take_work(digest.sender, peer, work, now)
        self._watch.told(
            digest.sender,
            digest.positions_by_feed,
            now,
            hears_store=digest.hears_store,
            unsure_for=digest.unsure_for,
        )
        for use in digest.uses:
            load = self._placement.loads_by_id.get(use.backend_id)
            if load is None:
                continue
            if use.read:
                load.cache.read(use.parts)
            else:
                load.cache.use(use.parts)

    def drop_silent(self, now: Instant) -> tuple[str, ...]:
        """Forget the peers that have been silent for too long; return their names."""
        silent = tuple(
            name for name, peer in self._peers_by_name.items() if now - peer.heard_at > SILENCE
        )
        for name in silent:
            self._drop(name)
        return silent

    def _take_engine(self, sender: str, engine: EngineDigest, now: Instant) -> None:
        load = self._placement.loads_by_id.get(engine.backend_id)
        if load is None:
            return
        share = PeerShare(
            engine.running, engine.memory_tokens, engine.unread_prompts, engine.unread_seconds
        )
        load.take_share(sender, share, now)

    def _take_work(self, sender: str, peer: _Peer, work: ServiceWork, now: Instant) -> None:
        known = peer.work_by_service.get(work.service, ServiceWork(work.service, 0.0, 0.0))
        peer.work_by_service[work.service] = work
        lanes = self._placement.lanes(work.service)
        lanes.short_running_by_peer[sender] = work.short_running
        short, long = work.short - known.short, work.long - known.long
        if short > 0.0 or long > 0.0:
            lanes.count_elsewhere(short, long, now)

    def _drop(self, name: str) -> None:
        self._peers_by_name.pop(name, None)
        for load in self._placement.loads_by_id.values():
            load.forget_peer(name)
        for lanes in self._placement.lanes_by_service.values():
            lanes.short_running_by_peer.pop(name, None)
