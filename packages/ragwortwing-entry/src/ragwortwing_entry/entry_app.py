"""The entry process: accepts requests of callers and runs them through agents."""

from __future__ import annotations

import secrets
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

import logbook
import trio

from ragwortwing_policy.direct.memory_guard import ALWAYS_RECEIVED_BYTES, MemoryBounds
from ragwortwing_policy.outcomes import NotRun, NotRunReason
from ragwortwing_policy.retries import RetryBudget
from ragwortwing_policy.routing import Router
from ragwortwing_runtime.app import App
from ragwortwing_runtime.http_server import HttpLimits, HttpServer
from ragwortwing_runtime.logs import LogContext, set_log_context
from ragwortwing_runtime.members import Member, MemberRole, MemberState
from ragwortwing_runtime.telemetry import Telemetry

from . import model_routes, operator_routes
from .account_admission import AccountAdmission
from .agent_pool import AgentPool
from .answers import fault_answer, outcome_answer
from .caller_faults import CallerFault, CallerFaultCode
from .direct.relay_buffer import CallerMemory
from .entry_metrics import EntryMetrics
from .http_call import HttpCall
from .request_context import RequestContext, new_request_context, new_request_id
from .request_journal import RequestJournal
from .request_run import RequestRun
from .request_server import RETRY_DELAY, RequestServer
from .routes import Audience, find_handlers
from .service_routes import call_service, find_service

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_runtime.members import MemberSource
    from ragwortwing_runtime.settings import EntrySettings

    from .agent_pool import ConfigurationSource
    from .caller_request import CallerRequest

log = logbook.Logger("entry")

TICK_SECONDS = 0.1
"""Interval at which the timers of streaming answers are checked."""

IDLE_TIMEOUT = timedelta(seconds=75)
"""Idle timeout of a connection; longer than that of load balancers, so that they close first."""

LEAVE_TIMEOUT_SECONDS = 0.5
"""Timeout for leaving the membership list on exit; without it, the membership expires."""

ROUTE_MODULES = (model_routes, operator_routes)
"""Modules that register routes when they are imported."""


class EntryApp(App):
    """ASGI application that validates requests, runs them through agents and reports outcomes."""

    def __init__(
        self,
        settings: EntrySettings,
        source: ConfigurationSource,
        members: MemberSource,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(settings.name, settings.shutdown, clock)
        self.settings = settings
        self.telemetry = Telemetry("ragwortwing", settings.name, settings.zone, settings.telemetry)
        self.journal = RequestJournal()
        self._source = source
        self._members = members
        self._router = Router(settings.zone, Random())
        self._budget = RetryBudget()
        self.pool = AgentPool(
            f"{settings.name}/{secrets.token_hex(4)}",
            settings.zone,
            settings.connections,
            self._router,
            source,
            self.clock,
        )
        self.metrics = EntryMetrics(
            self.telemetry.meter,
            lambda: len(self.journal.in_flight),
            lambda: len(self.pool.agents_by_id),
        )
        self.requests = RequestServer(
            settings,
            self.clock,
            self.telemetry,
            self.journal,
            self.metrics,
            AccountAdmission(members),
            self._new_run,
        )
        limits = HttpLimits(
            settings.requests.header_bytes,
            settings.requests.open_connections,
            IDLE_TIMEOUT,
            settings.requests.send_timeout,
        )
        self._server = HttpServer(self, limits)
        bounds = MemoryBounds(
            settings.requests.total_body_bytes, always_received_bytes=ALWAYS_RECEIVED_BYTES
        )
        self._memory = CallerMemory(bounds, self.clock)
        self._operator_port = 0
        self._address = ""

    @property
    def configuration(self) -> Configuration | None:
        """The active configuration; None until the first one has arrived."""
        return self._source.current

    async def mount(self) -> Mapping[str, str]:
        """Start the background tasks and the HTTP listeners, and announce the entry."""
        self.nursery.start_soon(self.telemetry.send_spans)
        self.nursery.start_soon(self._tick)
        await self.nursery.start(self._source.run)
        await self.nursery.start(self._members.run)
        await self.nursery.start(self.pool.follow_members, self._members, self.nursery)
        listen = self.settings.listen
        http, operator = await self.nursery.start(self._server.run, (listen.http, listen.operator))
        self._operator_port = int(operator.rsplit(":", 1)[1])
        self._address = http
        self._announce(MemberState.LIVE)
        return {"http": http, "operator": operator}

    async def drain(self) -> None:
        """Announce the shutdown, then refuse new requests and wait for those in flight.

        The delay before refusing gives the load balancer time to stop sending requests.
        """
        self.pool.draining = True
        self._announce(MemberState.LEAVING)
        await trio.sleep(self.settings.shutdown.leaving_delay.total_seconds())
        self.requests.draining = True
        await self.requests.wait_nothing_in_flight()

    def unfinished(self) -> tuple[str, ...]:
        """Return the IDs of the requests in flight."""
        return self.journal.in_flight

    async def unmount(self) -> None:
        """Leave the membership list, close the callers' connections and flush the spans."""
        with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
            await self._members.leave()
        await self._server.close()
        await self.telemetry.flush()

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Handle one ASGI request."""
        if scope["type"] == "http":
            call = HttpCall(scope, receive, send, self._memory)
            try:
                await self._handle(call)
            finally:
                call.close()

    async def require_configuration(self, call: HttpCall) -> Configuration | None:
        """Return the active configuration, or answer the call if there is none."""
        if self.configuration is None:
            outcome = NotRun(NotRunReason.UNCONFIGURED, RETRY_DELAY)
            await call.answer(outcome_answer(outcome, new_request_id()))
        return self.configuration

    async def answer_fault(self, call: HttpCall, fault: CallerFault) -> None:
        """Log and count an invalid request and answer it with the fault."""
        request_id = new_request_id()
        self.metrics.count_rejected(fault.code)
        set_log_context(LogContext(request_id))
        log.info("Request refused", code=fault.code, status=fault.status)
        await call.answer(fault_answer(fault, request_id))

    def new_context(
        self, configuration: Configuration, account: str, class_name: str
    ) -> RequestContext:
        """Create the context of a new request: its ID, class and deadline."""
        request_class = configuration.class_in_force(class_name)
        return new_request_context(account, request_class, self.clock.monotonic())

    def _announce(self, state: MemberState) -> None:
        settings = self.settings
        member = Member(settings.name, self._address, settings.zone, MemberRole.ENTRY, state)
        self._members.announce(member)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            self.journal.tick(self.clock.monotonic())

    def _new_run(self, request: CallerRequest) -> RequestRun:
        window = self.settings.connections.stream_window
        return RequestRun(request, self.pool, self._router, self._budget, self.clock, window)

    async def _handle(self, call: HttpCall) -> None:
        fault = call.check_headers(self.settings.requests.header_bytes)
        if fault is not None:
            await self.answer_fault(call, fault)
            return
        is_operator_listener = call.server[1] == self._operator_port
        audience = Audience.OPERATOR if is_operator_listener else Audience.CALLER
        handlers = find_handlers(call.path, audience)
        if handlers is not None:
            await self._call_handler(call, handlers)
            return
        configuration = await self.require_configuration(call)
        if configuration is None:
            return
        service = find_service(configuration, call.path)
        if service is not None:
            await call_service(self, call, configuration, service)
            return
        message = f"there is no path {call.path!r}"
        await self.answer_fault(call, CallerFault(CallerFaultCode.UNKNOWN_PATH, message))

    async def _call_handler(self, call: HttpCall, handlers: Mapping[str, Any]) -> None:
        handler = handlers.get(call.method)
        if handler is not None:
            await handler(self, call)
            return
        message = f"allowed: {', '.join(sorted(handlers))}"
        await self.answer_fault(call, CallerFault(CallerFaultCode.METHOD_NOT_ALLOWED, message))
