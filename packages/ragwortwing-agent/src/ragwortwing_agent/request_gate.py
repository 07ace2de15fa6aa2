"""Admission to the backend server: the scheduler decides when each request runs."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import logbook
import trio
from opentelemetry.trace import SpanKind

from ragwortwing_policy.outcomes import NotRun, NotRunReason
from ragwortwing_policy.reservations import (
    Grant,
    LoadReport,
    Preempt,
    Refuse,
    Requeued,
    Reservation,
)
from ragwortwing_policy.scheduler import Scheduler, SchedulerSettings
from ragwortwing_runtime.logs import LogContext, set_log_context
from ragwortwing_runtime.message_handlers import MessageHandlers, on
from ragwortwing_runtime.telemetry import trace_id_of, traceparent_of
from ragwortwing_wire.messages import (
    Attach,
    Credit,
    Detached,
    End,
    Granted,
    Refused,
    Reserve,
    Submit,
    Withdraw,
)

from . import engine_call, service_call  # noqa: F401
from .agent_metrics import AgentMetrics
from .agent_request import AgentRequest
from .calls import CallContext, CallResult, calls_by_kind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_policy.reservations import SchedulerDecision
    from ragwortwing_runtime.order_book import OrderBook
    from ragwortwing_runtime.settings import AgentSettings
    from ragwortwing_runtime.telemetry import Telemetry
    from ragwortwing_wire.messages import Message

    from .backend_client import BackendClient
    from .entry_peer import EntryPeer

log = logbook.Logger("gate")

UNCONFIGURED_RETRY_AFTER = timedelta(seconds=1)
"""Retry delay in refusals that are sent before the first configuration arrives."""

LOWEST_PRIORITY_TIER = 15
"""Tier of a request whose class is not in the configuration."""


class RequestGate(MessageHandlers):
    """Holds the requests of one backend server and executes the scheduler's decisions."""

    def __init__(
        self,
        settings: AgentSettings,
        backend: BackendClient,
        orders: OrderBook | None,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        self.requests_by_id: dict[str, AgentRequest] = {}
        self.draining = False
        self._settings = settings
        self._backend = backend
        self._orders = orders
        self._telemetry = telemetry
        self._clock = clock
        self._configuration: Configuration | None = None
        self._scheduler: Scheduler | None = None
        self._nursery: trio.Nursery | None = None
        self._metrics = AgentMetrics(telemetry.meter)
        self._metrics.register_gauges(self)
        self._settled = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the nursery of the backend calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; the first one creates the scheduler."""
        self._configuration = configuration
        if self._scheduler is not None:
            self._execute(self._scheduler.configure(configuration, self._now))
            return
        backend = self._settings.backend
        limits = SchedulerSettings(backend.initial_concurrency, backend.maximum_concurrency)
        self._scheduler = Scheduler(limits, configuration, Random())

    def load(self) -> LoadReport:
        """Return the current load and concurrency limit."""
        if self._scheduler is None:
            limit = self._settings.backend.initial_concurrency
            return LoadReport(0, 0, limit, timedelta(0), self.draining)
        return self._scheduler.load(self._now)

    def held_bytes(self) -> int:
        """Return the bytes of all buffered responses."""
        return sum(each.held_bytes for each in self.requests_by_id.values())

    def tick(self) -> None:
        """Run the scheduler's timeouts, and drop requests past the reattach limit."""
        if self._scheduler is not None:
            self._execute(self._scheduler.tick(self._now))
        keep_since = self._now - self._settings.connections.reattach_limit.total_seconds()
        for request in list(self.requests_by_id.values()):
            if request.state == "ended" and (request.ended_at or 0.0) <= keep_since:
                self._drop(request)
            elif request.lost_at is not None and request.lost_at <= keep_since:
                self._abandon(request)
        self._notify_settled()

    def drain(self) -> None:
        """Refuse queued requests and grant no more slots."""
        self.draining = True
        if self._scheduler is not None:
            self._execute(self._scheduler.drain(self._now))

    async def wait_finished(self) -> None:
        """Wait until no request is running and every outcome has been sent."""
        while any(each.is_unfinished for each in self.requests_by_id.values()):
            await self._settled.wait()

    def connection_lost(self, peer: EntryPeer) -> None:
        """Drop waiting requests of a lost connection; running ones may be attached to another."""
        for request in list(self.requests_by_id.values()):
            if request.peer is not peer:
                continue
            request.peer = None
            request.lost_at = self._now
            if request.state in ("queued", "granted"):
                self._abandon(request)
        self._notify_settled()

    @on(Reserve)
    def on_reserve(self, message: Reserve, peer: EntryPeer) -> None:
        """Offer a reservation to the scheduler, or refuse it."""
        known = self.requests_by_id.get(message.request_id)
        if known is not None and known.state != "ended":
            if known.peer is not peer:
                peer.post(Refused(message.request_id, NotRun(NotRunReason.IN_PROGRESS)))
            return
        if self._scheduler is None:
            outcome = NotRun(NotRunReason.UNCONFIGURED, UNCONFIGURED_RETRY_AFTER)
            peer.post(Refused(message.request_id, outcome))
            return
        request = AgentRequest(message, self._reservation(message), peer)
        self.requests_by_id[message.request_id] = request
        self._execute(self._scheduler.offer(request.reservation, self._now))

    @on(Withdraw)
    def on_withdraw(self, message: Withdraw, peer: EntryPeer) -> None:
        """Cancel a reservation or a running request."""
        request = self._request_of(message.request_id, peer)
        if request is not None:
            self._abandon(request)

    @on(Submit)
    def on_submit(self, message: Submit, peer: EntryPeer) -> None:
        """Start a request that holds a granted slot."""
        request = self._request_of(message.request_id, peer)
        if request is not None and request.state not in ("queued", "granted"):
            return
        if request is None or not self._take_slot(request):
            # The grant expired or was lost with an earlier connection. The body is discarded here,
            # so the request has certainly not run.
            if request is not None:
                self._abandon(request)
            peer.post(End(message.request_id, 0, NotRun(NotRunReason.OVERLOADED)))
            return
        request.accept_submit(message)
        request.advance("submit")
        self._start(request)

    @on(Credit)
    def on_credit(self, message: Credit, peer: EntryPeer) -> None:
        """Acknowledge chunks of a response and extend its send window."""
        request = self._request_of(message.request_id, peer)
        if request is not None:
            request.acknowledge(message.sequence, message.window)

    @on(Attach)
    def on_attach(self, message: Attach, peer: EntryPeer) -> None:
        """Continue a request on a new connection, if the account is the one that made it."""
        request = self.requests_by_id.get(message.request_id)
        # A guessed or mixed-up request id must not give one account another account's response.
        # Other accounts get the same reply as for a request that does not exist.
        if request is None or request.reserve.account != message.account:
            peer.post(Detached(message.request_id))
            return
        if not request.attach(peer, message.sequence, message.window):
            peer.post(Detached(message.request_id))

    def _request_of(self, request_id: str, peer: EntryPeer) -> AgentRequest | None:
        request = self.requests_by_id.get(request_id)
        # Late messages of an abandoned connection must not affect a request that has continued on
        # another connection.
        return request if request is not None and request.peer is peer else None

    def _reservation(self, message: Reserve) -> Reservation:
        return Reservation(
            request_id=message.request_id,
            request_class=message.request_class,
            account=message.account,
            model=message.target,
            deadline=self._now + message.remaining.total_seconds(),
            prompt_tokens=message.prompt_tokens,
            expected_tokens=message.expected_tokens,
            prefix_hash=message.prefix_hash,
            resumed_tokens=message.resumed_tokens,
            idempotent=message.idempotent,
        )

    def _take_slot(self, request: AgentRequest) -> bool:
        return (
            request.state == "granted"
            and self._scheduler is not None
            and self._scheduler.started(request.reservation, self._now)
        )

    def _execute(self, decisions: Iterable[SchedulerDecision]) -> None:
        for decision in decisions:
            request = self.requests_by_id.get(decision.request_id)
            if request is None:
                continue
            match decision:
                case Grant(_, expires_at):
                    self._grant(request, expires_at)
                case Refuse(_, reason, retry_after):
                    self._refuse(request, NotRun(reason, retry_after))
                case Preempt():
                    self._preempt(request)
                case Requeued():
                    log.debug("Requeued", request_id=request.request_id)

    def _grant(self, request: AgentRequest, expires_at: Instant) -> None:
        if request.state == "requeued":
            assert self._scheduler is not None
            if self._scheduler.started(request.reservation, self._now):
                request.advance("grant")
                self._start(request)
            return
        if request.state == "queued":
            request.advance("grant")
        lifetime = timedelta(seconds=expires_at - self._now)
        self._post(request, Granted(request.request_id, lifetime))

    def _refuse(self, request: AgentRequest, outcome: NotRun) -> None:
        if request.submit is not None:
            request.end(outcome, self._now)
            return
        self._post(request, Refused(request.request_id, outcome))
        self._drop(request)

    def _preempt(self, request: AgentRequest) -> None:
        if request.state == "running" and request.cancel_scope is not None:
            request.advance("preempt")
            request.cancel_scope.cancel()

    def _abandon(self, request: AgentRequest) -> None:
        """Cancel a request that no entry waits for, unless it must run to its end."""
        if self._must_not_cancel(request):
            return
        running = request.state in ("running", "preempting")
        self._drop(request)
        if running and request.cancel_scope is not None:
            request.cancel_scope.cancel()
        elif self._scheduler is not None:
            self._execute(self._scheduler.withdraw(request.request_id, self._now))

    def _must_not_cancel(self, request: AgentRequest) -> bool:
        # An order that was sent cannot be undone, and its outcome still has to be recorded.
        return request.has_begun and request.sent_to_backend and not request.reserve.idempotent

    def _drop(self, request: AgentRequest) -> None:
        request.advance("drop")
        if self.requests_by_id.get(request.request_id) is request:
            del self.requests_by_id[request.request_id]

    def _start(self, request: AgentRequest) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._run_call, request)

    async def _run_call(self, request: AgentRequest) -> None:
        assert request.submit is not None
        with self._telemetry.span(
            "backend call", SpanKind.CLIENT, request.submit.traceparent
        ) as span:
            set_log_context(LogContext(request.request_id, trace_id_of(span)))
            span.set_attribute("request.id", request.request_id)
            result = await self._call(request, traceparent_of(span))
            if result is not None:
                span.set_attribute("outcome", result.outcome.kind)
        self._call_returned(request, result)

    async def _call(self, request: AgentRequest, traceparent: str) -> CallResult | None:
        """Make the call and return its result, or None if it was cancelled."""
        context = CallContext(
            backend=self._backend,
            clock=self._clock,
            orders=self._orders,
            on_progress=self._report_progress,
            tier_of=self._tier_of,
            traceparent=traceparent,
        )
        with trio.CancelScope() as scope:
            request.cancel_scope = scope
            if request.state != "running":
                scope.cancel()
            return await calls_by_kind[self._settings.backend.kind](request, context)
        return None

    def _call_returned(self, request: AgentRequest, result: CallResult | None) -> None:
        assert self._scheduler is not None
        now = self._now
        request.cancel_scope = None
        if result is None and request.state == "preempting":
            request.advance("let_go")
            log.info("Preempted", tokens=request.tokens)
            self._metrics.record_preempted(request)
            self._execute(self._scheduler.preempted(request.request_id, now))
            return
        if result is not None and request.state != "dropped":
            request.end(result.outcome, now, result.prompt_tokens, result.cached_tokens)
            self._metrics.record_ended(request, result.outcome)
            log.info("Request ended", outcome=result.outcome.kind, tokens=request.tokens)
        self._execute(self._scheduler.finished(request.request_id, now))

    def _report_progress(self, request: AgentRequest, tokens: int) -> None:
        if self._scheduler is not None and tokens:
            self._scheduler.progressed(request.request_id, tokens, self._now)

    def _tier_of(self, request: AgentRequest) -> int:
        name = request.reserve.request_class
        configuration = self._configuration
        if configuration is None or name not in configuration.classes_by_name:
            return LOWEST_PRIORITY_TIER
        return configuration.class_in_force(name).tier

    def _post(self, request: AgentRequest, message: Message) -> None:
        if request.peer is not None:
            request.peer.post(message)

    def _notify_settled(self) -> None:
        self._settled.set()
        self._settled = trio.Event()

    @property
    def _now(self) -> Instant:
        return self._clock.monotonic()
