"""The entry that calls backend servers directly, and the components that its requests share."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.memory_guard import RETAINED_AFTER_LOSS

from .crash_watch import CrashWatch
from .decision_log import decided, warned
from .engine_pool import EnginePool
from .entry_counters import EntryCounters
from .peer_messages import (
    AnsweredMessage,
    CrashMessage,
    DecisionMessage,
    FeedMessage,
    OriginMessage,
    OriginQueryMessage,
    PartReleaseMessage,
    PermitMessage,
    PermitRequestMessage,
    PlaceMessage,
    ReportMessage,
    StreamBegunMessage,
    SurvivalMessage,
    UsageMessage,
    WithdrawMessage,
    report_of,
)
from .plain_admission import PlainAdmission
from .ports import CallerLostError
from .pressure_meter import PressureMeter
from .request_task import RequestTask
from .run_reporting import RunReporting
from .stream_resumption import StreamResumption

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator
    from random import Random

    from ragwortwing_entry.duties.fleet_duties import FleetDuties
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.direct.return_times import ReturnTimes
    from ragwortwing_policy.direct.routing_table import Route

    from .entry_state import EntryState
    from .peer_link import Address
    from .peer_messages import PeerMessage
    from .ports import BackendCalls, CallerAnswer, CallerRequest


class DirectEntry:
    """Serves callers' requests by calling backend servers."""

    def __init__(
        self,
        state: EntryState,
        calls: BackendCalls,
        random: Random,
        duties: FleetDuties | None = None,
    ) -> None:
        self.state = state
        self.duties = duties
        self.calls = calls
        self.in_flight = 0
        self.counters = EntryCounters()
        self._tickets = 0
        self._random = random
        self.plain = PlainAdmission(state, random)
        self.resumption = StreamResumption(state, self.counters, self.start_task)
        self.crashes = CrashWatch(state, calls)
        self._pools_by_service: dict[str, EnginePool] = {}
        self._reporting = RunReporting(state)
        self._nursery: trio.Nursery | None = None
        self._accepts_until: Instant | None = None
        self._request_scopes: set[trio.CancelScope] = set()
        self.is_interrupted = False
        """Whether the requests in flight were interrupted, because the process exits."""
        state.peers.on_message(self._handle_message, lambda: self.can_schedule)

    def stop_accepting(self, after: float) -> None:
        """Refuse requests after some seconds from now: a later one could not be finished."""
        self._accepts_until = self.state.clock.monotonic() + after
        self.state.peers.wake()

    @property
    def can_schedule(self) -> bool:
        """Whether this entry can schedule the engines of its pools."""
        known = self.state.table is not None and bool(self.state.backends.by_id)
        return known and self._accepts_until is None

    @property
    def is_leaving(self) -> bool:
        """Whether new requests are refused because the process ends soon."""
        return self._accepts_until is not None and (
            self.state.clock.monotonic() > self._accepts_until
        )

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._drop_missing_backends)
            nursery.start_soon(self._reporting.run)
            nursery.start_soon(self._expire_runs)
            nursery.start_soon(self.state.catch_up.run)
            nursery.start_soon(self.crashes.run)
            if self.state.pressure is not None:
                nursery.start_soon(PressureMeter(self.state, self.state.pressure).run)
            if self.duties is not None:
                nursery.start_soon(self.duties.run)
            task_status.started()
            await trio.sleep_forever()

    async def serve(self, request: CallerRequest, answer: CallerAnswer) -> None:
        """Serve one request; cancelled when its caller disconnects.

        Raises:
            CallerLostError: The caller's connection is lost.
        """
        self.in_flight += 1
        task = RequestTask(self, request, answer)
        try:
            await task.run()
        except (trio.Cancelled, CallerLostError) as error:
            decided(
                "caller_left",
                request.id,
                cause=str(error) if isinstance(error, CallerLostError) else None,
                passed_on=task.passed_on,
                answer_bytes=answer.bytes_sent,
            )
            raise
        finally:
            self.in_flight -= 1

    @contextmanager
    def interruptible(self, scope: trio.CancelScope) -> Iterator[None]:
        """Let `interrupt_requests` cancel the sends of a request."""
        self._request_scopes.add(scope)
        try:
            yield
        finally:
            self._request_scopes.discard(scope)

    def interrupt_requests(self) -> None:
        """End all requests in flight now; their callers are told what is known of them."""
        self.is_interrupted = True
        for scope in self._request_scopes:
            scope.cancel()

    def start_task(self, task: Callable[[], Awaitable[None]]) -> None:
        """Start a task that runs until it ends or the entry stops."""
        assert self._nursery is not None, "the entry is not running"
        self._nursery.start_soon(task)

    def new_ticket(self, request_id: str) -> str:
        """Return an identifier for a send that is unique in this process."""
        self._tickets += 1
        return f"{request_id}/{self._tickets}"

    def pool(self, service: str) -> EnginePool:
        """Return the pool of a service's engines; it is created and started on first use."""
        engine_pool = self._pools_by_service.get(service)
        if engine_pool is None:
            engine_pool = EnginePool(service, self.state, self._reporting, self.crashes)
            self._pools_by_service[service] = engine_pool
            assert self._nursery is not None, "the entry is not running"
            self._nursery.start_soon(engine_pool.run)
        return engine_pool

    def waiting(self, service: str) -> int:
        """Return the number of requests queued here for an engine of a service."""
        pool = self._pools_by_service.get(service)
        return len(pool.dispatcher) if pool is not None else 0

    @property
    def return_times_by_service(self) -> dict[str, ReturnTimes]:
        """The retry times that this entry has assigned, by service."""
        found = {
            service: pool.dispatcher.return_times
            for service, pool in self._pools_by_service.items()
        }
        return {service: times for service, times in found.items() if times is not None}

    def waiting_by_urgency(self) -> Counter[int]:
        """Return the number of requests queued here for an engine, by urgency."""
        pools = self._pools_by_service.values()
        return sum((each.dispatcher.waiting_by_urgency() for each in pools), Counter())

    def pick_service(self, route: Route) -> str:
        """Return one of a route's services, chosen at random by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [each.weight for each in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def run_began(self, account: str | None, began_at: Instant) -> None:
        """Count a request that a backend server began to run; public routes have no account."""
        if self.duties is not None and account is not None:
            self.duties.count(account, began_at)

    def engine_first_event(
        self, backend_id: str, service: str, ticket: str, after: float | None
    ) -> None:
        """Record the first event of a request: the engine has finished reading its prompt.

        Args:
            backend_id: The engine.
            service: Its pool.
            ticket: The request's name on it.
            after: Measured seconds from the send to the event; None if not measured.
        """
        now = self.state.clock.monotonic()
        if after is not None and self._reporting.was_suspended(after):
            self._reporting.measurements_discarded += 1
            after = None
        if self.state.placement.first_event(backend_id, ticket, now, after) is not None:
            self._reporting.first_event(service, ticket, after)
            self._notify(service)

    def stream_gap(self, service: str, ticket: str, seconds: float) -> None:
        """Record the time between two events of a stream; plain services have no ticket."""
        if ticket:
            self._reporting.gap(service, ticket, seconds)

    @property
    def measurements_discarded(self) -> int:
        """Measurements of engines that span a suspension of this process."""
        return self._reporting.measurements_discarded

    def stream_pause_exceeded(self, backend_id: str, service: str, ticket: str) -> None:
        """Record that a stream paused for longer than its target."""
        now = self.state.clock.monotonic()
        self.state.placement.pause_exceeded(backend_id, ticket, now)
        self._reporting.pause_exceeded(service, ticket)

    def engine_call_ended(
        self, backend_id: str, service: str, ticket: str, *, failed: bool
    ) -> None:
        """Record the end of a call; calls to plain services have no ticket and are not tracked."""
        if not ticket:
            return
        retain_for = RETAINED_AFTER_LOSS if failed else 0.0
        self.state.placement.end(backend_id, ticket, self.state.clock.monotonic(), retain_for)
        self._reporting.end(service, ticket, failed=failed)
        self._notify(service)

    def _notify(self, service: str) -> None:
        pool = self._pools_by_service.get(service)
        if pool is not None:
            pool.dispatcher.notify()

    def _handle_message(self, message: PeerMessage, address: Address) -> None:
        """Dispatch a message of another entry to its handler."""
        if isinstance(message, FeedMessage):
            self.state.relay.take(message)
            return
        if isinstance(message, UsageMessage):
            if self.duties is not None:
                self.duties.take(message)
            return
        if isinstance(message, PermitRequestMessage):
            self.plain.answer_permit_request(message, address)
            return
        if isinstance(message, PermitMessage):
            self.plain.handle_permit(message)
            return
        if isinstance(message, ReportMessage):
            report, now = report_of(message), self.state.clock.monotonic()
            self.state.origins.take_report(report, now)
            if self.state.ledger.take(report, now):
                self._notify(message.pool)
            return
        if isinstance(message, OriginQueryMessage):
            self.resumption.answer_query(message, address)
            return
        if isinstance(message, OriginMessage):
            self.resumption.take_answer(message)
            return
        if isinstance(message, StreamBegunMessage):
            self.resumption.take_begun(message)
            return
        if isinstance(message, CrashMessage):
            self.crashes.take_crash(message)
            return
        if isinstance(message, SurvivalMessage):
            self.crashes.take_survival(message)
            return
        if isinstance(message, AnsweredMessage):
            self.crashes.requests.take_answered(message)
            return
        if isinstance(message, PartReleaseMessage):
            self.crashes.release(message.part, message.sender)
            return
        if isinstance(message, (PlaceMessage, WithdrawMessage, DecisionMessage)):
            if self.state.engine_traits(message.pool) is None:
                warned("message_for_unknown_pool", sender=message.sender, pool=message.pool)
                return
            pool = self.pool(message.pool)
            if isinstance(message, PlaceMessage):
                pool.scheduler.take(message, address)
            elif isinstance(message, WithdrawMessage):
                pool.scheduler.withdraw(message)
            else:
                pool.admission.take(message)

    async def _expire_runs(self) -> None:
        while True:
            await trio.sleep(0.1)
            for peer in self.state.ledger.expire(self.state.clock.monotonic()):
                decided("peer_silent", peer=peer)

    async def _drop_missing_backends(self) -> None:
        while True:
            await trio.sleep(0.02 if self.state.backends.has_missing else 0.25)
            for backend_id in self.state.backends.drop_missing(self.state.clock.monotonic()):
                self.state.backend_gone(backend_id)
                self.calls.forget(backend_id)
