"""Baseline schedulers and routers that the shipped policy is compared with."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from ragwortwing_policy.outcomes import NotRun, NotRunReason
from ragwortwing_policy.reservations import Grant, LoadReport
from ragwortwing_policy.routing import NO_BACKEND_RETRY_AFTER, Choice, Router

if TYPE_CHECKING:
    from random import Random

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_policy.reservations import Reservation, SchedulerDecision
    from ragwortwing_policy.routing import AgentView, RouteQuery

FIXED_LIMIT = 24
"""Concurrency limit of the baselines.

It is the best fixed limit for an engine of speed 1, with a step of 44 ms.
"""

REPORT_LAG = 1.0
"""Age in seconds of the load report that the router sees."""

REPORTED_WAIT = timedelta(seconds=1)
"""Wait that a baseline reports while all its slots are in use."""

GRANT_SECONDS = 1.0
"""Seconds after which a baseline's unused grant expires."""


class FifoScheduler:
    """First-in, first-out scheduler with a fixed concurrency limit and no refusals."""

    def __init__(self, limit: int = FIXED_LIMIT) -> None:
        self._limit = limit
        self._queue: deque[Reservation] = deque()
        self._waiting: dict[str, Reservation] = {}
        self._expiry_by_id: dict[str, Instant] = {}
        self._running: set[str] = set()

    def offer(self, reservation: Reservation, now: Instant) -> list[SchedulerDecision]:
        """Queue a reservation."""
        self._waiting[reservation.request_id] = reservation
        self._push(reservation)
        return self._grant(now)

    def withdraw(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Remove a reservation; its queue element is skipped later."""
        self._waiting.pop(request_id, None)
        self._expiry_by_id.pop(request_id, None)
        return self._grant(now)

    def started(self, reservation: Reservation, now: Instant) -> bool:
        """Convert a grant into a running request."""
        if self._expiry_by_id.pop(reservation.request_id, None) is None:
            return False
        self._running.add(reservation.request_id)
        return True

    def progressed(self, request_id: str, tokens: int, now: Instant) -> None:
        """Ignore progress."""

    def preempted(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Return nothing; this scheduler never preempts."""
        return []

    def finished(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Release the slot of a finished request."""
        self._running.discard(request_id)
        return self._grant(now)

    def tick(self, now: Instant) -> list[SchedulerDecision]:
        """Release the slots of expired grants, whose bodies did not arrive in time."""
        for request_id in [each for each, at in self._expiry_by_id.items() if at <= now]:
            del self._expiry_by_id[request_id]
        return self._grant(now)

    def load(self, now: Instant) -> LoadReport:
        """Return the load report; it tells only whether there is a wait, not how long."""
        used = len(self._running) + len(self._expiry_by_id)
        wait = timedelta(0) if used < self._limit else REPORTED_WAIT
        return LoadReport(used, len(self._waiting), self._limit, wait)

    def _push(self, reservation: Reservation) -> None:
        self._queue.append(reservation)

    def _pop(self) -> Reservation | None:
        return self._queue.popleft() if self._queue else None

    def _grant(self, now: Instant) -> list[SchedulerDecision]:
        decisions: list[SchedulerDecision] = []
        while len(self._running) + len(self._expiry_by_id) < self._limit:
            reservation = self._pop()
            if reservation is None:
                break
            request_id = reservation.request_id
            if self._waiting.get(request_id) is not reservation:
                continue
            del self._waiting[request_id]
            self._expiry_by_id[request_id] = now + GRANT_SECONDS
            decisions.append(Grant(request_id, now + GRANT_SECONDS))
        return decisions


class StrictPriorityScheduler(FifoScheduler):
    """Strict priority by tier, without refusals, aging or preemption."""

    def __init__(self, configuration: Configuration, limit: int = FIXED_LIMIT) -> None:
        super().__init__(limit)
        self._configuration = configuration
        self._heap: list[tuple[int, int, Reservation]] = []
        self._sequence = count()

    def _push(self, reservation: Reservation) -> None:
        tier = self._configuration.class_in_force(reservation.request_class).tier
        heappush(self._heap, (tier, next(self._sequence), reservation))

    def _pop(self) -> Reservation | None:
        return heappop(self._heap)[2] if self._heap else None


class RandomPushRouter(Router):
    """Pushes each request to one random agent, where it stays."""

    def __init__(self, zone: str, random: Random) -> None:
        super().__init__(zone, random, fanout=1)
        self._choices = random
        self._views_by_id: dict[str, AgentView] = {}

    def update(self, agent: AgentView, now: Instant) -> None:
        """Update the state of an agent."""
        self._views_by_id[agent.agent_id] = agent

    def remove(self, agent_id: str, now: Instant) -> None:
        """Remove an agent."""
        self._views_by_id.pop(agent_id, None)

    def is_ejected(self, agent_id: str, now: Instant) -> bool:
        """Return False; this router never ejects an agent."""
        return False

    def choose(self, query: RouteQuery, now: Instant, count: int | None = None) -> Choice | NotRun:
        """Return the one agent that receives the request."""
        eligible = [
            each
            for each in self._views_by_id.values()
            if query.target in each.targets and each.agent_id not in query.excluded
        ]
        if not eligible:
            return NotRun(NotRunReason.NO_BACKEND, NO_BACKEND_RETRY_AFTER)
        return Choice((self._pick(eligible, now).agent_id,))

    def low_wait_agents(self, query: RouteQuery, count: int, now: Instant) -> tuple[str, ...]:
        """Return no further agents: a pushed request stays where it is."""
        return ()

    def _pick(self, eligible: list[AgentView], now: Instant) -> AgentView:
        return self._choices.choice(eligible)


class ShortestLaggedRouter(RandomPushRouter):
    """Selects the agent with the fewest requests according to delayed load reports."""

    def __init__(self, zone: str, random: Random, lag: float = REPORT_LAG) -> None:
        super().__init__(zone, random)
        self._lag = lag
        self._reports_by_id: dict[str, deque[tuple[Instant, LoadReport]]] = {}

    def update(self, agent: AgentView, now: Instant) -> None:
        """Store a report, which becomes visible after the lag."""
        super().update(agent, now)
        self._reports_by_id.setdefault(agent.agent_id, deque()).append((now, agent.load))

    def _pick(self, eligible: list[AgentView], now: Instant) -> AgentView:
        return min(
            eligible, key=lambda each: (self._visible_load(each, now), self._choices.random())
        )

    def _visible_load(self, agent: AgentView, now: Instant) -> int:
        reports = self._reports_by_id[agent.agent_id]
        while len(reports) > 1 and reports[1][0] <= now - self._lag:
            reports.popleft()
        load = reports[0][1]
        return load.running + load.queued


class BetterOfTwoRouter(ShortestLaggedRouter):
    """Selects the better of two random agents according to delayed load reports."""

    def _pick(self, eligible: list[AgentView], now: Instant) -> AgentView:
        sample = self._choices.sample(eligible, min(2, len(eligible)))
        return super()._pick(sample, now)
