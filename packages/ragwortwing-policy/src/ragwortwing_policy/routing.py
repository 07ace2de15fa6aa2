"""The entry's routing: which agents are asked for a slot for a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from .configuration import HIGHEST_TIER
from .ejection import OutlierDetector
from .outcomes import NotRun, NotRunReason
from .reservations import LoadReport

if TYPE_CHECKING:
    from random import Random

    from .clock import Instant

DEFAULT_FANOUT = 2
"""Agents asked for a slot for one request."""

NO_BACKEND_RETRY_AFTER = timedelta(seconds=2)
"""When to come back while no backend server serves the model."""

HEAD_START = timedelta(milliseconds=10)
"""Time that the preferred agent, if it should have a free slot, is asked before the others."""

LOAD_BOUND = 1.25
"""Multiple of the pool's mean load above which an agent no longer gets a prefix by affinity."""

UNBOUNDED_LOAD = 0.5
"""Share of an agent's limit below which affinity never spills."""

SAMPLE_FACTOR = 2
"""Agents compared by load for each one asked."""

WAIT_STEP = timedelta(milliseconds=50)
"""Predicted waits closer than this are a near tie."""

PROMPT_WAIT = timedelta(milliseconds=250)
"""Predicted wait up to which an agent counts as free for the most urgent tier."""

LOAD_STEPS = 8
"""Loads within this part of an agent's limit are a near tie."""


class BackendKind(StrEnum):
    """What stands beside an agent."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class AgentView:
    """What an entry knows of an agent."""

    agent_id: str
    """Name and incarnation; a replaced agent at the same address has another id."""
    zone: str
    kind: BackendKind
    targets: frozenset[str]
    """Models, or services, that the backend server serves."""
    connected: bool = True
    leaving: bool = False
    load: LoadReport = field(default_factory=lambda: LoadReport(0, 0, 1, timedelta(0)))


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """A request that looks for agents."""

    request_id: str
    target: str
    """Model or service name."""
    kind: BackendKind
    prefix_hash: int = 0
    tier: int = 0
    excluded: frozenset[str] = frozenset()
    """Agents that were tried already."""
    idempotent: bool = True
    """Whether the call may be repeated; one that may not is no probe of an ejected agent."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The agents to ask, best first."""

    agent_ids: tuple[str, ...]
    head_start: timedelta = timedelta(0)
    """Time to wait for the first one's grant before the others are asked."""


@dataclass(slots=True)
class _Known:
    """An agent and what this entry sent it since its last report."""

    view: AgentView
    submitted: int = 0

    @property
    def utilisation(self) -> float:
        load = self.view.load
        return (load.running + load.queued + self.submitted) / max(1, load.limit)

    @property
    def has_free_slot(self) -> bool:
        return self.utilisation < 1


class Router:
    """Chooses agents; it does no input or output.

    It holds the agents of this entry's subset only, indexed by what they serve, so that a choice
    costs time in the size of one pool of the subset and not of the fleet.
    """

    def __init__(
        self,
        zone: str,
        random: Random,
        fanout: int = DEFAULT_FANOUT,
        detector: OutlierDetector | None = None,
    ) -> None:
        self._zone = zone
        self._random = random
        self._fanout = fanout
        self._detector = detector or OutlierDetector()
        self._agents_by_id: dict[str, _Known] = {}
        self._ids_by_target: dict[tuple[BackendKind, str], dict[str, None]] = {}

    def update(self, agent: AgentView, now: Instant) -> None:
        """Take in an agent's newest state."""
        known = self._agents_by_id.get(agent.agent_id)
        if known is None or known.view.targets != agent.targets:
            self.remove(agent.agent_id, now) if known else None
            self._index(agent)
            self._agents_by_id[agent.agent_id] = _Known(agent)
            self._detector.add(agent.agent_id)
            return
        if agent.load is not known.view.load:
            known.submitted = 0
        known.view = agent

    def remove(self, agent_id: str, now: Instant) -> None:
        """Forget an agent that is gone."""
        known = self._agents_by_id.pop(agent_id, None)
        if known is None:
            return
        for target in known.view.targets:
            del self._ids_by_target[known.view.kind, target][agent_id]
        self._detector.remove(agent_id)

    def submitted(self, agent_id: str, now: Instant) -> None:
        """Count a body sent to an agent."""
        known = self._agents_by_id.get(agent_id)
        if known is not None:
            known.submitted += 1
            self._detector.submitted(agent_id, now)

    def progressed(self, agent_id: str, now: Instant) -> None:
        """Note that an agent gave a piece of an answer."""
        self._detector.progressed(agent_id, now)

    def released(self, agent_id: str, now: Instant) -> None:
        """Count the end of a request at an agent."""
        self._detector.released(agent_id, now)

    def observe(
        self,
        agent_id: str,
        first_token: timedelta | None,
        between_tokens: timedelta | None,
        now: Instant,
    ) -> None:
        """Record the latency that a request saw at an agent, for ejection."""
        peers = self._peers(agent_id)
        self._detector.observe(agent_id, first_token, between_tokens, peers, now)

    def is_ejected(self, agent_id: str, now: Instant) -> bool:
        """Return whether an agent is slow or silent, so that no request should stay there."""
        return self._detector.is_ejected(agent_id, self._peers(agent_id), now)

    def candidates(self, query: RouteQuery, now: Instant) -> tuple[str, ...] | NotRun:
        """Return the agents to ask, best first."""
        choice = self.choose(query, now)
        return choice if isinstance(choice, NotRun) else choice.agent_ids

    def choose(self, query: RouteQuery, now: Instant, count: int | None = None) -> Choice | NotRun:
        """Return up to `count` agents to ask and how much sooner to ask the first."""
        eligible = self._eligible(query)
        if not eligible:
            return NotRun(NotRunReason.NO_BACKEND, NO_BACKEND_RETRY_AFTER)
        count = count or self._fanout
        closed, half_open = self._split_by_circuit(eligible, query, now)
        probe = self._choose_probe(half_open, query, now)
        # With every circuit open or half open there is nobody better: the ejected are asked.
        usable = closed or eligible
        ranked = self._rank(usable, query, count)
        if probe is not None:
            ranked.insert(0, probe)
        head_start = HEAD_START if ranked[0].has_free_slot else timedelta(0)
        return Choice(tuple(each.view.agent_id for each in ranked[:count]), head_start)

    def prompt_agents(self, query: RouteQuery, count: int, now: Instant) -> tuple[str, ...]:
        """Return up to `count` agents that should give the most urgent tier a slot at once."""
        closed, _ = self._split_by_circuit(self._eligible(query), query, now)
        prompt = [each for each in closed if each.view.load.predicted_wait <= PROMPT_WAIT]
        prompt.sort(key=self._load_key)
        return tuple(each.view.agent_id for each in prompt[:count])

    def _index(self, agent: AgentView) -> None:
        for target in agent.targets:
            self._ids_by_target.setdefault((agent.kind, target), {})[agent.agent_id] = None

    def _peers(self, agent_id: str) -> dict[str, None]:
        known = self._agents_by_id.get(agent_id)
        if known is None:
            return {}
        peers: dict[str, None] = {}
        for target in known.view.targets:
            peers.update(self._ids_by_target[known.view.kind, target])
        return peers

    def _eligible(self, query: RouteQuery) -> list[_Known]:
        pool = self._ids_by_target.get((query.kind, query.target), {})
        agents = [self._agents_by_id[each] for each in pool if each not in query.excluded]
        return [each for each in agents if each.view.connected and not each.view.leaving]

    def _split_by_circuit(
        self, eligible: list[_Known], query: RouteQuery, now: Instant
    ) -> tuple[list[_Known], list[_Known]]:
        pool = self._ids_by_target.get((query.kind, query.target), {})
        closed: list[_Known] = []
        half_open: list[_Known] = []
        for known in eligible:
            state = self._detector.state(known.view.agent_id, pool, now)
            if state == "closed":
                closed.append(known)
            elif state == "half_open":
                half_open.append(known)
        return closed, half_open

    def _choose_probe(
        self, half_open: list[_Known], query: RouteQuery, now: Instant
    ) -> _Known | None:
        if not query.idempotent:
            return None
        for known in half_open:
            agent_id = known.view.agent_id
            if self._detector.wants_probe(agent_id, query.tier == HIGHEST_TIER, now):
                self._detector.probe_sent(agent_id, now)
                return known
        return None

    def _rank(self, usable: list[_Known], query: RouteQuery, count: int) -> list[_Known]:
        if query.prefix_hash:
            return self._rank_by_affinity(usable, query.prefix_hash, count)
        sample_size = min(len(usable), SAMPLE_FACTOR * count)
        return sorted(self._random.sample(usable, sample_size), key=self._load_key)

    def _rank_by_affinity(self, usable: list[_Known], prefix_hash: int, count: int) -> list[_Known]:
        """Order by rendezvous hash within the load bound, then by load.

        Every entry gives a prefix the same order, without agreeing on anything, and an agent that
        comes or goes moves only its own prefixes.
        """
        utilisations = [each.utilisation for each in usable]
        mean = sum(utilisations) / len(usable)
        bound = max(UNBOUNDED_LOAD, LOAD_BOUND * mean)
        within = [each for each, used in zip(usable, utilisations, strict=True) if used < bound]
        within.sort(key=lambda each: affinity_score(prefix_hash, each.view.agent_id), reverse=True)
        if len(within) >= count:
            return within
        over = [each for each, used in zip(usable, utilisations, strict=True) if used >= bound]
        return within + sorted(over, key=self._load_key)

    def _load_key(self, known: _Known) -> tuple[int, int, bool]:
        wait = known.view.load.predicted_wait // WAIT_STEP
        return wait, int(known.utilisation * LOAD_STEPS), known.view.zone != self._zone


def affinity_score(prefix_hash: int, agent_id: str) -> int:
    """Return an agent's rank value for a prefix by rendezvous hash; the highest is preferred."""
    return xxh64_intdigest(agent_id.encode(), prefix_hash & (2**64 - 1))
