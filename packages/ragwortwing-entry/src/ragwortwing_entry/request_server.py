"""Runs validated requests from arrival to outcome, with logs, metrics and traces."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

import logbook
import trio
from opentelemetry.trace import SpanKind

from ragwortwing_policy.outcomes import Completed, Failed, FailedReason, NotRun, NotRunReason
from ragwortwing_runtime.logs import LogContext, set_log_context
from ragwortwing_runtime.telemetry import trace_id_of, traceparent_of

from .answers import outcome_answer
from .delivery import deliver
from .request_context import TRACEPARENT

if TYPE_CHECKING:
    from collections.abc import Callable

    from opentelemetry.trace import Span

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_policy.outcomes import Outcome
    from ragwortwing_runtime.settings import EntrySettings
    from ragwortwing_runtime.telemetry import Telemetry

    from .account_admission import AccountAdmission
    from .caller_request import CallerRequest
    from .entry_metrics import EntryMetrics
    from .http_call import HttpCall
    from .request_journal import RequestJournal
    from .request_run import RequestRun

log = logbook.Logger("request")

RETRY_DELAY = timedelta(seconds=1)
"""Delay after which a rejected caller should retry, at this or another entry."""


class RequestServer:
    """Admits, runs and records every validated request."""

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        telemetry: Telemetry,
        journal: RequestJournal,
        metrics: EntryMetrics,
        admission: AccountAdmission,
        new_run: Callable[[CallerRequest], RequestRun],
    ) -> None:
        self.draining = False
        """Whether new requests are refused because the entry is shutting down."""
        self._settings = settings
        self._clock = clock
        self._telemetry = telemetry
        self._journal = journal
        self._metrics = metrics
        self._new_run = new_run
        self._admission = admission
        self._nothing_in_flight = trio.Event()

    async def wait_nothing_in_flight(self) -> None:
        """Wait until every request has ended."""
        while self._journal.in_flight:
            self._nothing_in_flight = trio.Event()
            await self._nothing_in_flight.wait()

    async def serve(
        self, call: HttpCall, request: CallerRequest, configuration: Configuration
    ) -> None:
        """Run a request and deliver its answer.

        Args:
            call: The HTTP call to answer.
            request: The validated request.
            configuration: The configuration that the request was validated against.
        """
        traceparent = call.header(TRACEPARENT).decode("latin-1")
        name = f"entry {request.method} {request.target}"
        with self._telemetry.span(name, SpanKind.SERVER, traceparent) as span:
            set_log_context(LogContext(request.request_id, trace_id_of(span)))
            run = self._new_run(replace(request, traceparent=traceparent_of(span)))
            self._journal.begin(run, self._clock.utc_now(), trace_id_of(span))
            outcome: Outcome | None = None
            try:
                outcome = await self._run(call, run, configuration)
            finally:
                run.close()
                self._record_end(run, outcome or run.outcome, span)

    async def _run(
        self, call: HttpCall, run: RequestRun, configuration: Configuration
    ) -> Outcome | None:
        request = run.request
        refusal = self._check_admission(request, configuration)
        if refusal is not None:
            await call.answer(outcome_answer(refusal, request.request_id))
            return refusal
        seconds = self._settings.requests.keep_alive_interval.total_seconds()
        try:
            return await deliver(call, run, self._clock, seconds)
        finally:
            self._admission.release(request.account, self._clock.monotonic())

    def _check_admission(
        self, request: CallerRequest, configuration: Configuration
    ) -> NotRun | None:
        if self.draining:
            return NotRun(NotRunReason.DRAINING, RETRY_DELAY)
        if not configuration.admits(request.request_class):
            return NotRun(NotRunReason.SHED_BY_PRESET)
        if len(self._journal.in_flight) > self._settings.requests.open_requests:
            return NotRun(NotRunReason.OVERLOADED, RETRY_DELAY)
        return self._admission.admit(request.account, configuration, self._clock.monotonic())

    def _record_end(self, run: RequestRun, outcome: Outcome | None, span: Span) -> None:
        # There is no outcome if the process was stopped while the request was in flight.
        outcome = outcome or Failed(FailedReason.STOPPED)
        record = self._journal.end(run, outcome, self._clock.monotonic())
        self._metrics.count_ended(record)
        span.set_attribute("ragwortwing.request_id", record.request_id)
        span.set_attribute("ragwortwing.class", record.request_class)
        span.set_attribute("ragwortwing.outcome", record.outcome)
        span.set_attribute("ragwortwing.reason", record.reason)
        span.set_attribute("ragwortwing.tokens", record.tokens)
        level = log.info if isinstance(outcome, Completed | NotRun) else log.warning
        level(
            "Request ended",
            account=record.account,
            request_class=record.request_class,
            target=record.target,
            agent=record.agent,
            outcome=record.outcome,
            reason=record.reason,
            tokens=record.tokens,
            seconds=round(record.ended_after.total_seconds(), 4) if record.ended_after else 0,
        )
        if not self._journal.in_flight:
            self._nothing_in_flight.set()
