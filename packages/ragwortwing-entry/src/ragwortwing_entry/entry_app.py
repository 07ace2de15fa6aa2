"""The entry process."""

from __future__ import annotations

import secrets
from random import Random
from typing import TYPE_CHECKING, Any

import logbook
import trio

from ragwortwing_policy.outcomes import NotRun, NotRunReason
from ragwortwing_policy.retries import RetryBudget
from ragwortwing_policy.routing import Router
from ragwortwing_runtime.app import App
from ragwortwing_runtime.logs import LogContext, set_log_context
from ragwortwing_runtime.members import Member, MemberRole, MemberState
from ragwortwing_runtime.telemetry import Telemetry

from . import model_routes, operator_routes
from .account_gate import AccountGate
from .agent_pool import AgentPool
from .answers import fault_answer, outcome_answer
from .caller_faults import CallerFault, CallerFaultCode
from .entry_metrics import EntryMetrics
from .http_call import HttpCall
from .http_server import HttpServer
from .intake import Intake, new_intake, new_request_id
from .request_journal import RequestJournal
from .request_run import RequestRun
from .request_server import COME_BACK, RequestServer
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
"""Time between two looks at the timers of answers that are streaming."""

LEAVE_TIMEOUT = 0.5
"""Seconds for leaving the list of VMs at the end of the process; the line lapses without it."""

ROUTE_MODULES = (model_routes, operator_routes)
"""Imported for the routes that they register."""


class EntryApp(App):
    """Takes callers' requests, has agents run them, and tells callers the truth."""

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
            AccountGate(members),
            self._new_run,
        )
        self._server = HttpServer(self, settings.requests.header_bytes)
        self._operator_port = 0
        self._address = ""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first was seen."""
        return self._source.current

    async def mount(self) -> Mapping[str, str]:
        """Follow the platform's services and listen for callers."""
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
        """Let the balancer notice, then take nothing new and wait for what is in flight."""
        self.pool.draining = True
        self._announce(MemberState.LEAVING)
        await trio.sleep(self.settings.shutdown.leaving_delay.total_seconds())
        self.requests.draining = True
        await self.requests.wait_nothing_in_flight()

    def unfinished(self) -> tuple[str, ...]:
        """Return the ids of the requests in flight."""
        return self.journal.in_flight

    async def unmount(self) -> None:
        """Leave the list, close the callers' connections and send the last spans."""
        with trio.move_on_after(LEAVE_TIMEOUT):
            await self._members.leave()
        await self._server.finish()
        await self.telemetry.flush()

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Answer one request of the ASGI server."""
        if scope["type"] == "http":
            await self._answer(HttpCall(scope, receive, send))

    async def require_configuration(self, call: HttpCall) -> Configuration | None:
        """Return the configuration in force, or answer that there is none."""
        if self.configuration is None:
            outcome = NotRun(NotRunReason.UNCONFIGURED, COME_BACK)
            await call.answer(outcome_answer(outcome, new_request_id()))
        return self.configuration

    async def answer_fault(self, call: HttpCall, fault: CallerFault) -> None:
        """Answer a request that the caller got wrong."""
        request_id = new_request_id()
        self.metrics.faulted(fault.code)
        set_log_context(LogContext(request_id))
        log.info("Request refused", code=fault.code, status=fault.status)
        await call.answer(fault_answer(fault, request_id))

    def intake(self, configuration: Configuration, account: str, class_name: str) -> Intake:
        """Give a new request its id and its deadline."""
        request_class = configuration.class_in_force(class_name)
        return new_intake(account, request_class, self.clock.monotonic())

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

    async def _answer(self, call: HttpCall) -> None:
        fault = call.check_headers(self.settings.requests.header_bytes)
        if fault is not None:
            await self.answer_fault(call, fault)
            return
        at_operator = call.server[1] == self._operator_port
        audience = Audience.OPERATOR if at_operator else Audience.CALLER
        handlers = find_handlers(call.path, audience)
        if handlers is not None:
            await self._answer_known_path(call, handlers)
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

    async def _answer_known_path(self, call: HttpCall, handlers: Mapping[str, Any]) -> None:
        handler = handlers.get(call.method)
        if handler is not None:
            await handler(self, call)
            return
        message = f"allowed: {', '.join(sorted(handlers))}"
        await self.answer_fault(call, CallerFault(CallerFaultCode.METHOD_NOT_ALLOWED, message))
