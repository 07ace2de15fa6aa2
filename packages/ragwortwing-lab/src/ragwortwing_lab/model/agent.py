"""Simulates an agent: the shipped scheduler with a simulated backend server."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

from ragwortwing_policy.outcomes import NotRun, NotRunReason
from ragwortwing_policy.reservations import Grant, Preempt, Refuse, Reservation
from ragwortwing_policy.routing import AgentView, BackendKind

from .engine import EngineModel, Output, Run, ServiceModel

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.outcomes import Outcome
    from ragwortwing_policy.reservations import LoadReport, SchedulerDecision

    from .engine import Backend, BackendSpec
    from .loop import VirtualLoop
    from .workload import Arrival

TICK_INTERVAL = 0.1
"""Seconds between scheduler ticks of an agent."""

HEARTBEAT_INTERVAL = 0.5
"""Seconds between heartbeats of an agent."""


class SchedulerLike(Protocol):
    """Interface of the shipped scheduler and the baseline schedulers."""

    def offer(self, reservation: Reservation, now: Instant) -> list[SchedulerDecision]:
        """Queue or refuse a reservation."""

    def withdraw(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Remove a reservation."""

    def started(self, reservation: Reservation, now: Instant) -> bool:
        """Convert a grant into a running request."""

    def progressed(self, request_id: str, tokens: int, now: Instant) -> None:
        """Record generated tokens."""

    def preempted(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Requeue a preempted request."""

    def finished(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Release the slot of a finished request."""

    def tick(self, now: Instant) -> list[SchedulerDecision]:
        """Perform periodic work."""

    def load(self, now: Instant) -> LoadReport:
        """Return the load report of the agent."""


class EntryLike(Protocol):
    """Messages from an agent to an entry; each call is delivered after the network delay."""

    zone: str

    def on_granted(self, agent_id: str, request_id: str) -> None:
        """Receive a grant: the agent holds a slot for the request."""

    def on_refused(self, agent_id: str, request_id: str, outcome: Outcome) -> None:
        """Receive a refusal: the request does not run at this agent."""

    def on_outputs(self, agent_id: str, outputs: list[Output]) -> None:
        """Receive chunks of answers."""

    def on_agent_view(self, view: AgentView) -> None:
        """Receive the latest load of an agent, from a heartbeat or a reply."""


@dataclass(slots=True)
class _HeldRequest:
    """A request at the agent, from reservation to end."""

    entry: EntryLike
    reservation: Reservation
    run: Run | None = None


class AgentModel:
    """An agent with its backend server on one VM."""

    def __init__(
        self,
        loop: VirtualLoop,
        agent_id: str,
        spec: BackendSpec,
        scheduler: SchedulerLike,
        delay: Callable[[str, str], float],
    ) -> None:
        self.agent_id = agent_id
        self.spec = spec
        self.alive = True
        model = EngineModel if spec.kind is BackendKind.ENGINE else ServiceModel
        self.backend: Backend = model(loop, spec, self._on_outputs)
        self.messages = 0
        self.preemptions = 0
        self._loop = loop
        self._scheduler = scheduler
        self._delay = delay
        self._held_by_id: dict[str, _HeldRequest] = {}
        self._entries: list[EntryLike] = []

    def start(self, entries: Iterable[EntryLike]) -> None:
        """Connect to the entries and begin to tick."""
        self._entries = list(entries)
        self._heartbeat()
        self._tick()

    def crash(self) -> None:
        """Simulate the loss of the VM with all its requests."""
        self.alive = False
        for run in self.backend.running():
            self.backend.cancel(run.request_id)

    def view(self) -> AgentView:
        """Return the state that the agent reports."""
        spec = self.spec
        load = self._scheduler.load(self._loop.now)
        return AgentView(self.agent_id, spec.zone, spec.kind, frozenset({spec.target}), load=load)

    def on_reserve(self, entry: EntryLike, reservation: Reservation) -> None:
        """Receive a reservation."""
        if not self.alive:
            return
        self._held_by_id[reservation.request_id] = _HeldRequest(entry, reservation)
        self._execute(self._scheduler.offer(reservation, self._loop.now))

    def on_withdraw(self, request_id: str) -> None:
        """Withdraw a reservation or cancel a running request."""
        held = self._held_by_id.pop(request_id, None)
        if not self.alive or held is None:
            return
        if held.run is None:
            self._execute(self._scheduler.withdraw(request_id, self._loop.now))
            return
        self.backend.cancel(request_id)
        self._execute(self._scheduler.finished(request_id, self._loop.now))

    def on_submit(self, request_id: str, arrival: Arrival, delivered: int) -> None:
        """Receive the body of a granted request and start it on the backend server."""
        held = self._held_by_id.get(request_id)
        if not self.alive or held is None:
            return
        if not self._scheduler.started(held.reservation, self._loop.now):
            self._refuse(held, NotRun(NotRunReason.OVERLOADED))
            return
        held.run = Run(request_id, arrival, produced=delivered, reported=delivered)
        self.backend.submit(held.run)

    def _tick(self) -> None:
        if self.alive:
            self._execute(self._scheduler.tick(self._loop.now))
            self._loop.after(TICK_INTERVAL, self._tick)

    def _heartbeat(self) -> None:
        if self.alive:
            view = self.view()
            for entry in self._entries:
                self._deliver(entry, entry.on_agent_view, view)
            self._loop.after(HEARTBEAT_INTERVAL, self._heartbeat)

    def _on_outputs(self, outputs: list[Output]) -> None:
        if not self.alive:
            return
        by_entry: dict[EntryLike, list[Output]] = {}
        finished: list[str] = []
        for output in outputs:
            held = self._held_by_id[output.request_id]
            by_entry.setdefault(held.entry, []).append(output)
            self._scheduler.progressed(output.request_id, output.tokens, self._loop.now)
            if output.finished:
                finished.append(output.request_id)
        for request_id in finished:
            del self._held_by_id[request_id]
            self._execute(self._scheduler.finished(request_id, self._loop.now))
        for entry, each in by_entry.items():
            self._deliver(entry, entry.on_outputs, self.agent_id, each)
            if finished:
                self._deliver(entry, entry.on_agent_view, self.view())

    def _execute(self, decisions: list[SchedulerDecision]) -> None:
        for decision in decisions:
            held = self._held_by_id.get(decision.request_id)
            if held is None:
                continue
            if isinstance(decision, Grant):
                self._grant(held)
            elif isinstance(decision, Refuse):
                self._refuse(held, NotRun(decision.reason, decision.retry_after))
            elif isinstance(decision, Preempt):
                self._preempt(held)

    def _grant(self, held: _HeldRequest) -> None:
        reservation = held.reservation
        if held.run is None:
            self._send(held.entry, held.entry.on_granted, self.agent_id, reservation.request_id)
            return
        resumed = replace(reservation, resumed_tokens=held.run.produced)
        if self._scheduler.started(resumed, self._loop.now):
            self.backend.submit(held.run)

    def _refuse(self, held: _HeldRequest, outcome: Outcome) -> None:
        request_id = held.reservation.request_id
        del self._held_by_id[request_id]
        self._deliver(held.entry, held.entry.on_agent_view, self.view())
        self._send(held.entry, held.entry.on_refused, self.agent_id, request_id, outcome)

    def _preempt(self, held: _HeldRequest) -> None:
        request_id = held.reservation.request_id
        self.preemptions += 1
        self.backend.cancel(request_id)
        self._execute(self._scheduler.preempted(request_id, self._loop.now))

    def _send(self, entry: EntryLike, call: Callable[..., None], *arguments: object) -> None:
        self.messages += 1
        self._deliver(entry, call, *arguments)

    def _deliver(self, entry: EntryLike, call: Callable[..., None], *arguments: object) -> None:
        self._loop.after(self._delay(self.spec.zone, entry.zone), call, *arguments)
