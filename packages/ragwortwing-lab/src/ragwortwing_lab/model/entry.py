"""Simulates an entry with the shipped router, retry budget and request dispatch."""

from __future__ import annotations

from dataclasses import dataclass, replace
from itertools import count
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.dispatch import (
    CancelAtAgent,
    Conclude,
    Dispatch,
    RequestReservation,
    SendBody,
)
from ragwortwing_policy.outcomes import Completed, NotRun, Outcome
from ragwortwing_policy.reservations import Reservation
from ragwortwing_policy.retries import RetryBudget
from ragwortwing_policy.routing import RouteQuery

from .workload import Arrival, RetryStyle

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_policy.dispatch import DispatchDecision
    from ragwortwing_policy.routing import AgentView, Router

    from .agent import AgentModel
    from .engine import Output
    from .loop import VirtualLoop

RETRY_AT_ONCE_AFTER = 0.02
"""Delay in seconds of a caller that retries at once."""

MAXIMUM_ATTEMPTS = 20
"""Maximum attempts of a caller per request."""


@dataclass(slots=True)
class Record:
    """Result of one request as seen by its caller."""

    arrival: Arrival
    tier: int
    first_at: Instant | None = None
    ended_at: Instant | None = None
    tokens: int = 0
    counted_tokens: int = 0
    """Tokens delivered between the warm-up and the end of the arrivals."""
    outcome: Outcome | None = None
    inverted: bool = False
    """Whether it was refused while a less urgent request ran on a server that could serve it."""


@dataclass(slots=True)
class _OpenRequest:
    """A request in progress."""

    dispatch: Dispatch
    record: Record
    deadline: Instant
    wake_at: Instant | None = None


class EntryModel:
    """A simulated entry VM."""

    def __init__(
        self,
        loop: VirtualLoop,
        name: str,
        zone: str,
        configuration: Configuration,
        router: Router,
        agents_by_id: dict[str, AgentModel],
        delay: Callable[[str, str], float],
        could_serve: Callable[[Arrival, int], bool],
        counted: tuple[Instant, Instant],
    ) -> None:
        self.zone = zone
        self.records: list[Record] = []
        self.messages = 0
        self._loop = loop
        self._name = name
        self._configuration = configuration
        self._router = router
        self._budget = RetryBudget()
        self._agents_by_id = agents_by_id
        self._delay = delay
        self._could_serve = could_serve
        self._counted_from, self._counted_until = counted
        self._sequence = count()
        self._open_by_id: dict[str, _OpenRequest] = {}

    def on_arrival(self, arrival: Arrival) -> None:
        """Start a request."""
        request_class = self._configuration.class_in_force(arrival.class_name)
        request_id = f"{self._name}-{next(self._sequence)}"
        query = RouteQuery(
            request_id,
            arrival.target,
            arrival.kind,
            arrival.prefix_hash,
            request_class.tier,
            idempotent=arrival.idempotent,
        )
        now = self._loop.now
        deadline = now + request_class.deadline.total_seconds()
        record = Record(arrival, request_class.tier)
        self.records.append(record)
        dispatch = Dispatch(query, self._router, self._budget, deadline)
        self._open_by_id[request_id] = _OpenRequest(dispatch, record, deadline)
        self._execute(request_id, dispatch.on_start(now))

    def on_granted(self, agent_id: str, request_id: str) -> None:
        """Pass a grant to its request, or withdraw it if the request has ended."""
        request = self._open_by_id.get(request_id)
        if request is None:
            self._execute_one(request_id, None, CancelAtAgent(agent_id))
            return
        self._execute(request_id, request.dispatch.on_granted(agent_id, self._loop.now))

    def on_refused(self, agent_id: str, request_id: str, outcome: Outcome) -> None:
        """Pass a refusal to its request."""
        request = self._open_by_id.get(request_id)
        if request is not None:
            decisions = request.dispatch.on_refused(agent_id, outcome, self._loop.now)
            self._execute(request_id, decisions)

    def on_outputs(self, agent_id: str, outputs: list[Output]) -> None:
        """Deliver chunks of answers to the callers."""
        for output in outputs:
            request = self._open_by_id.get(output.request_id)
            if request is None or request.dispatch.agent_id != agent_id:
                continue
            record, now = request.record, self._loop.now
            if record.first_at is None:
                record.first_at = now
            record.tokens += output.tokens
            if self._counted_from <= now < self._counted_until:
                record.counted_tokens += output.tokens
            decisions = request.dispatch.on_progress(agent_id, output.tokens, now)
            if output.finished:
                decisions += request.dispatch.on_ended(agent_id, Completed(record.tokens), now)
            if decisions:
                self._execute(output.request_id, decisions)

    def on_agent_view(self, view: AgentView) -> None:
        """Update the router with the load of an agent."""
        if self._agents_by_id[view.agent_id].alive:
            self._router.update(view, self._loop.now)

    def on_agent_lost(self, agent_id: str) -> None:
        """Handle a lost connection to an agent."""
        self._router.remove(agent_id, self._loop.now)
        for request_id, request in list(self._open_by_id.items()):
            decisions = request.dispatch.on_agent_lost(agent_id, self._loop.now)
            self._execute(request_id, decisions)

    def _wake(self, request_id: str) -> None:
        request = self._open_by_id.get(request_id)
        if request is None or request.wake_at is None or request.wake_at > self._loop.now:
            return
        request.wake_at = None
        self._execute(request_id, request.dispatch.on_tick(self._loop.now))

    def _execute(self, request_id: str, decisions: Iterable[DispatchDecision]) -> None:
        request = self._open_by_id[request_id]
        for decision in decisions:
            self._execute_one(request_id, request, decision)
        wake_at = request.dispatch.wake_at
        if wake_at is not None and wake_at != request.wake_at:
            request.wake_at = wake_at
            self._loop.at(wake_at, self._wake, request_id)

    def _execute_one(
        self, request_id: str, request: _OpenRequest | None, decision: DispatchDecision
    ) -> None:
        if isinstance(decision, CancelAtAgent):
            agent = self._agents_by_id[decision.agent_id]
            self._send(agent, agent.on_withdraw, request_id)
        elif request is None:
            return
        elif isinstance(decision, RequestReservation):
            agent = self._agents_by_id[decision.agent_id]
            self._send(agent, agent.on_reserve, self, self._reservation(request_id, request))
        elif isinstance(decision, SendBody):
            agent = self._agents_by_id[decision.agent_id]
            record = request.record
            self._send(agent, agent.on_submit, request_id, record.arrival, record.tokens)
        elif isinstance(decision, Conclude):
            self._conclude(request_id, request.record, decision.outcome)

    def _reservation(self, request_id: str, request: _OpenRequest) -> Reservation:
        arrival = request.record.arrival
        return Reservation(
            request_id=request_id,
            request_class=arrival.class_name,
            account=arrival.account,
            model=arrival.target,
            deadline=request.deadline,
            prompt_tokens=arrival.prompt_tokens,
            prefix_hash=arrival.prefix_hash,
            resumed_tokens=request.record.tokens,
            idempotent=arrival.idempotent,
        )

    def _conclude(self, request_id: str, record: Record, outcome: Outcome) -> None:
        del self._open_by_id[request_id]
        record.outcome = outcome
        record.ended_at = self._loop.now
        if isinstance(outcome, NotRun):
            record.inverted = self._could_serve(record.arrival, record.tier)
            self._retry(record.arrival, outcome)

    def _retry(self, arrival: Arrival, outcome: NotRun) -> None:
        if arrival.retry is RetryStyle.NEVER or arrival.attempt + 1 >= MAXIMUM_ATTEMPTS:
            return
        delay = RETRY_AT_ONCE_AFTER
        if arrival.retry is RetryStyle.AFTER and outcome.retry_after is not None:
            delay = outcome.retry_after.total_seconds()
        retried = replace(arrival, at=self._loop.now + delay, attempt=arrival.attempt + 1)
        self._loop.after(delay, self.on_arrival, retried)

    def _send(self, agent: AgentModel, call: Callable[..., None], *arguments: object) -> None:
        self.messages += 1
        self._loop.after(self._delay(self.zone, agent.spec.zone), call, *arguments)
