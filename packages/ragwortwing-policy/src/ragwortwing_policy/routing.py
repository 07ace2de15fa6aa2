"""The entry's routing: which agents are asked for a slot for a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

from .outcomes import NotRun, NotRunReason
from .reservations import LoadReport

if TYPE_CHECKING:
    from random import Random

    from .clock import Instant

DEFAULT_FANOUT = 2
"""Agents asked for a slot for one request."""

NO_BACKEND_RETRY_AFTER = timedelta(seconds=2)
"""When to come back while no backend server serves the model."""


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


class Router:
    """Chooses agents; it does no input or output."""

    def __init__(self, zone: str, random: Random, fanout: int = DEFAULT_FANOUT) -> None:
        self._zone = zone
        self._random = random
        self._fanout = fanout
        self._agents_by_id: dict[str, AgentView] = {}

    def update(self, agent: AgentView, now: Instant) -> None:
        """Take in an agent's newest state."""
        self._agents_by_id[agent.agent_id] = agent

    def remove(self, agent_id: str, now: Instant) -> None:
        """Forget an agent that is gone."""
        self._agents_by_id.pop(agent_id, None)

    def observe(
        self,
        agent_id: str,
        first_token: timedelta | None,
        between_tokens: timedelta | None,
        now: Instant,
    ) -> None:
        """Record the latency that a request saw at an agent, for ejection."""

    def candidates(self, query: RouteQuery, now: Instant) -> tuple[str, ...] | NotRun:
        """Return the agents to ask, best first."""
        eligible = [
            each.agent_id
            for each in self._agents_by_id.values()
            if each.kind is query.kind
            and query.target in each.targets
            and each.connected
            and not each.leaving
            and each.agent_id not in query.excluded
        ]
        if not eligible:
            return NotRun(NotRunReason.NO_BACKEND, NO_BACKEND_RETRY_AFTER)
        return tuple(self._random.sample(eligible, min(self._fanout, len(eligible))))
