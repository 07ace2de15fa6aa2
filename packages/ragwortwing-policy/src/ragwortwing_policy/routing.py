"""Routing of an entry: selects the agents that are asked for a slot for a request."""

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
"""Number of agents initially asked for a slot for one request."""

NO_BACKEND_RETRY_AFTER = timedelta(seconds=2)
"""Retry delay returned while no backend server serves the model."""

HEAD_START = timedelta(milliseconds=10)
"""Time before the other agents are asked if the preferred agent is expected to have a free slot."""

LOAD_BOUND = 1.25
"""Multiple of the pool's mean load above which an agent gets no requests by prefix affinity."""

ALWAYS_AFFINE_UTILIZATION = 0.5
"""Utilization below which an agent always gets requests by prefix affinity."""

SAMPLES_PER_AGENT = 2
"""Number of agents sampled and compared by load per agent asked."""

WAIT_GRANULARITY = timedelta(milliseconds=50)
"""Granularity at which predicted waits are compared; smaller differences count as a tie."""

LOW_WAIT = timedelta(milliseconds=250)
"""Maximum predicted wait of an agent that is expected to have a slot for the most urgent tier."""

LOAD_STEPS = 8
"""Number of steps into which an agent's limit is divided to compare loads; loads within one step
count as a tie."""


class BackendKind(StrEnum):
    """Kind of backend server that an agent manages."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class AgentView:
    """An entry's view of an agent."""

    agent_id: str
    """Name and incarnation; a replacement at the same address has a different id."""
    zone: str
    kind: BackendKind
    targets: frozenset[str]
    """Models or services that the backend server provides."""
    connected: bool = True
    leaving: bool = False
    load: LoadReport = field(default_factory=lambda: LoadReport(0, 0, 1, timedelta(0)))


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """Routing-related properties of a request."""

    request_id: str
    target: str
    """Model or service name."""
    kind: BackendKind
    prefix_hash: int = 0
    tier: int = 0
    excluded: frozenset[str] = frozenset()
    """Agents that must not be chosen, because they were already tried."""
    idempotent: bool = True
    """Whether the call may be repeated. Other calls are not used to probe an ejected agent."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The agents to ask, best first."""

    agent_ids: tuple[str, ...]
    head_start: timedelta = timedelta(0)
    """Time to wait for a grant of the first agent before the others are asked."""


@dataclass(slots=True)
class _TrackedAgent:
    """An agent and the number of requests sent to it since its last report."""

    view: AgentView
    submitted: int = 0

    @property
    def utilization(self) -> float:
        load = self.view.load
        return (load.running + load.queued + self.submitted) / max(1, load.limit)

    @property
    def has_free_slot(self) -> bool:
        return self.utilization < 1


class Router:
    """Chooses agents, without I/O.

    The router only holds the agents of this entry's subset, indexed by the models and services they
    serve. The cost of a choice depends on the size of one pool of the subset and not on the fleet.
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
        self._agents_by_id: dict[str, _TrackedAgent] = {}
        self._ids_by_target: dict[tuple[BackendKind, str], dict[str, None]] = {}

    def update(self, agent: AgentView, now: Instant) -> None:
        """Add an agent or update its state."""
        known = self._agents_by_id.get(agent.agent_id)
        if known is None or known.view.targets != agent.targets:
            self.remove(agent.agent_id, now) if known else None
            self._index(agent)
            self._agents_by_id[agent.agent_id] = _TrackedAgent(agent)
            self._detector.add(agent.agent_id)
            return
        if agent.load is not known.view.load:
            known.submitted = 0
        known.view = agent

    def remove(self, agent_id: str, now: Instant) -> None:
        """Remove an agent that is gone."""
        known = self._agents_by_id.pop(agent_id, None)
        if known is None:
            return
        for target in known.view.targets:
            del self._ids_by_target[known.view.kind, target][agent_id]
        self._detector.remove(agent_id)

    def submitted(self, agent_id: str, now: Instant) -> None:
        """Count a request body that was sent to an agent."""
        known = self._agents_by_id.get(agent_id)
        if known is not None:
            known.submitted += 1
            self._detector.submitted(agent_id, now)

    def progressed(self, agent_id: str, now: Instant) -> None:
        """Record that an agent delivered a chunk of an answer."""
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
        """Record the latency that a request observed at an agent, for ejection."""
        peers = self._peers(agent_id)
        self._detector.observe(agent_id, first_token, between_tokens, peers, now)

    def is_ejected(self, agent_id: str, now: Instant) -> bool:
        """Return whether an agent is ejected for being slow or silent."""
        return self._detector.is_ejected(agent_id, self._peers(agent_id), now)

    def candidates(self, query: RouteQuery, now: Instant) -> tuple[str, ...] | NotRun:
        """Return the agents to ask, best first."""
        choice = self.choose(query, now)
        return choice if isinstance(choice, NotRun) else choice.agent_ids

    def choose(self, query: RouteQuery, now: Instant, count: int | None = None) -> Choice | NotRun:
        """Return up to `count` agents to ask and the head start of the first one."""
        eligible = self._eligible(query)
        if not eligible:
            return NotRun(NotRunReason.NO_BACKEND, NO_BACKEND_RETRY_AFTER)
        count = count or self._fanout
        closed, half_open = self._split_by_circuit(eligible, query, now)
        probe = self._choose_probe(half_open, query, now)
        # Without a closed circuit there is no better choice than the ejected agents.
        usable = closed or eligible
        ranked = self._rank(usable, query, count)
        if probe is not None:
            ranked.insert(0, probe)
        head_start = HEAD_START if ranked[0].has_free_slot else timedelta(0)
        return Choice(tuple(each.view.agent_id for each in ranked[:count]), head_start)

    def low_wait_agents(self, query: RouteQuery, count: int, now: Instant) -> tuple[str, ...]:
        """Return up to `count` agents that are expected to have a slot for the most urgent tier."""
        closed, _ = self._split_by_circuit(self._eligible(query), query, now)
        low_wait = [each for each in closed if each.view.load.predicted_wait <= LOW_WAIT]
        low_wait.sort(key=self._load_key)
        return tuple(each.view.agent_id for each in low_wait[:count])

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

    def _eligible(self, query: RouteQuery) -> list[_TrackedAgent]:
        pool = self._ids_by_target.get((query.kind, query.target), {})
        agents = [self._agents_by_id[each] for each in pool if each not in query.excluded]
        return [each for each in agents if each.view.connected and not each.view.leaving]

    def _split_by_circuit(
        self, eligible: list[_TrackedAgent], query: RouteQuery, now: Instant
    ) -> tuple[list[_TrackedAgent], list[_TrackedAgent]]:
        pool = self._ids_by_target.get((query.kind, query.target), {})
        closed: list[_TrackedAgent] = []
        half_open: list[_TrackedAgent] = []
        for known in eligible:
            state = self._detector.state(known.view.agent_id, pool, now)
            if state == "closed":
                closed.append(known)
            elif state == "half_open":
                half_open.append(known)
        return closed, half_open

    def _choose_probe(
        self, half_open: list[_TrackedAgent], query: RouteQuery, now: Instant
    ) -> _TrackedAgent | None:
        if not query.idempotent:
            return None
        for known in half_open:
            agent_id = known.view.agent_id
            if self._detector.wants_probe(agent_id, query.tier == HIGHEST_TIER, now):
                self._detector.probe_sent(agent_id, now)
                return known
        return None

    def _rank(
        self, usable: list[_TrackedAgent], query: RouteQuery, count: int
    ) -> list[_TrackedAgent]:
        if query.prefix_hash:
            return self._rank_by_affinity(usable, query.prefix_hash, count)
        sample_size = min(len(usable), SAMPLES_PER_AGENT * count)
        return sorted(self._random.sample(usable, sample_size), key=self._load_key)

    def _rank_by_affinity(
        self, usable: list[_TrackedAgent], prefix_hash: int, count: int
    ) -> list[_TrackedAgent]:
        """Order agents within the load bound by rendezvous hash, followed by the others by load.

        All entries compute the same order for a prefix without coordination. Adding or removing an
        agent only moves that agent's prefixes.
        """
        utilizations = [each.utilization for each in usable]
        mean = sum(utilizations) / len(usable)
        bound = max(ALWAYS_AFFINE_UTILIZATION, LOAD_BOUND * mean)
        within = [each for each, used in zip(usable, utilizations, strict=True) if used < bound]
        within.sort(key=lambda each: affinity_score(prefix_hash, each.view.agent_id), reverse=True)
        if len(within) >= count:
            return within
        over = [each for each, used in zip(usable, utilizations, strict=True) if used >= bound]
        return within + sorted(over, key=self._load_key)

    def _load_key(self, known: _TrackedAgent) -> tuple[int, int, bool]:
        wait = known.view.load.predicted_wait // WAIT_GRANULARITY
        return wait, int(known.utilization * LOAD_STEPS), known.view.zone != self._zone


def affinity_score(prefix_hash: int, agent_id: str) -> int:
    """Return an agent's rendezvous hash score for a prefix; the highest score is preferred."""
    return xxh64_intdigest(agent_id.encode(), prefix_hash & (2**64 - 1))
