"""Routes for load balancers, operators and metrics scrapers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_runtime.app import Phase
from ragwortwing_runtime.telemetry import METRICS_CONTENT_TYPE

from .answers import Answer, json_answer, with_content_length
from .caller_faults import CallerFault, CallerFaultCode
from .routes import Audience, route

if TYPE_CHECKING:
    from ragwortwing_policy.routing import AgentView

    from .entry_app import EntryApp
    from .http_call import HttpCall

REQUESTS_PATH = "/requests/"


@route("GET", "/healthz")
async def health(app: EntryApp, call: HttpCall) -> None:
    """Report that the process is alive."""
    await call.answer(json_answer({"phase": app.phase}))


@route("GET", "/readyz")
async def readiness(app: EntryApp, call: HttpCall) -> None:
    """Report whether the load balancer should send requests to this entry."""
    configured = app.configuration is not None
    # Until the entry has tried to connect to its agents, it would refuse requests that another
    # entry can run.
    ready = app.phase is Phase.SERVING and configured and app.pool.initial_dials_finished
    body = {"ready": ready, "phase": app.phase, "configured": configured}
    await call.answer(json_answer(body, 200 if ready else 503))


@route("GET", "/metrics")
async def metrics(app: EntryApp, call: HttpCall) -> None:
    """Return the metrics in the Prometheus text format."""
    headers = [(b"content-type", METRICS_CONTENT_TYPE.encode())]
    await call.answer(with_content_length(Answer(200, headers, app.telemetry.metrics_text())))


@route("GET", "/status", (Audience.OPERATOR,))
async def status(app: EntryApp, call: HttpCall) -> None:
    """Return the state of the entry and its agents."""
    await call.answer(json_answer(entry_status(app)))


@route("GET", REQUESTS_PATH + "*", (Audience.OPERATOR,))
async def show_request(app: EntryApp, call: HttpCall) -> None:
    """Return the record of a request."""
    request_id = call.path.removeprefix(REQUESTS_PATH)
    record = app.journal.get(request_id)
    if record is None:
        message = f"no request {request_id!r} is remembered here"
        await app.answer_fault(call, CallerFault(CallerFaultCode.UNKNOWN_PATH, message))
        return
    await call.answer(json_answer(record))


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """State of a connected agent."""

    zone: str
    targets: list[str]
    leaving: bool
    running: int
    queued: int
    limit: int


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """State of the entry and its connected agents."""

    name: str
    zone: str
    phase: Phase
    revision: int
    preset: str
    in_flight: int
    agents_by_id: dict[str, AgentStatus]


def entry_status(app: EntryApp) -> EntryStatus:
    """Return the current state of the entry."""
    configuration = app.configuration
    return EntryStatus(
        name=app.name,
        zone=app.settings.zone,
        phase=app.phase,
        revision=-1 if configuration is None else configuration.revision,
        preset="" if configuration is None else configuration.preset,
        in_flight=len(app.journal.in_flight),
        agents_by_id={each: _agent_status(view) for each, view in app.pool.agents_by_id.items()},
    )


def _agent_status(view: AgentView) -> AgentStatus:
    load = view.load
    targets = sorted(view.targets)
    return AgentStatus(view.zone, targets, view.leaving, load.running, load.queued, load.limit)
