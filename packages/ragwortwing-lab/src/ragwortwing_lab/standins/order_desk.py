"""Stand-in for an order desk: a service that runs a repeated order again.

Tests use the execution counts to detect orders that were sent twice.
"""

from __future__ import annotations

import os
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import click
import trio

from .faults import Fault, FaultKind, Faults, control_app
from .http_server import ConnectionCutError, Exchange, ResponseCut, serve_http
from .journal import Execution, Journal
from .serving import print_ready, start_app, stop_on_signal

if TYPE_CHECKING:
    from collections.abc import Callable

CRASH_EXIT_CODE = 70
ORDERS_PATH = "/orders"
KEY_HEADER = "idempotency-key"


class OrderDeskStandIn:
    """Runs every order it receives and counts executions by request and by idempotency key."""

    def __init__(self, work_seconds: float = 0.01, journal: Journal | None = None) -> None:
        self._journal = journal or Journal()
        self.faults = Faults()
        self.cut: ResponseCut | None = None
        """Where the connection ends within a response; None sends responses as they are."""
        self.executions_by_id: Counter[str] = Counter()
        self.executions_by_key: Counter[str] = Counter()
        self.lookups = 0
        self.on_crash: Callable[[], None] = lambda: os._exit(CRASH_EXIT_CODE)
        self.control = control_app(self.faults, self.state, self.on_fault)
        self._work_seconds = work_seconds

    def state(self) -> dict[str, object]:
        """Return the counters that `GET /state` reports."""
        return {
            "executions_by_id": dict(self.executions_by_id),
            "executions_by_key": dict(self.executions_by_key),
            "executions": self.executions_by_id.total(),
            "lookups": self.lookups,
        }

    def on_fault(self, fault: Fault) -> None:
        """Crash at once if the new fault is a crash."""
        if fault.kind is FaultKind.CRASH:
            self.on_crash()

    async def handle(self, exchange: Exchange) -> None:
        """Dispatch one HTTP request to its handler."""
        exchange.cut = self.cut
        await self.faults.hold()
        request = exchange.request
        if (request.method, request.path) == ("POST", ORDERS_PATH):
            await self._run_order(exchange)
        elif request.method == "GET" and request.path.startswith(f"{ORDERS_PATH}/"):
            await self._look_up(exchange, request.path.removeprefix(f"{ORDERS_PATH}/"))
        else:
            await exchange.respond_json(404, {"error": "no_route"})

    async def _run_order(self, exchange: Exchange) -> None:
        headers = exchange.request.headers_by_name
        request_id = headers.get("x-request-id", "none")
        self.executions_by_id[request_id] += 1
        self._journal.append(Execution(request_id, headers.get(KEY_HEADER, "")))
        if KEY_HEADER in headers:
            self.executions_by_key[headers[KEY_HEADER]] += 1
        await trio.sleep(self._work_seconds)
        self._drop_reply_if_faulty()
        await exchange.respond_json(201, {"id": request_id, "status": "accepted"})

    async def _look_up(self, exchange: Exchange, order_id: str) -> None:
        self.lookups += 1
        self._drop_reply_if_faulty()
        executions = self.executions_by_id[order_id]
        status = 200 if executions else 404
        await exchange.respond_json(status, {"id": order_id, "executions": executions})

    def _drop_reply_if_faulty(self) -> None:
        if self.faults.active(FaultKind.DROP_REPLIES):
            raise ConnectionCutError


async def serve_order_desk(
    desk: OrderDeskStandIn,
    port: int = 0,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an order desk until cancelled; reports its `ip:port` through `task_status`."""
    await serve_http(desk.handle, desk.faults, port, task_status)


async def _run(desk: OrderDeskStandIn, name: str, port: int, control_port: int) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, nursery.cancel_scope.cancel)
        http = await nursery.start(serve_order_desk, desk, port)
        control = await start_app(nursery, desk.control, control_port)
        print_ready(name, {"http": http, "control": control})


@click.command("order-desk")
@click.option("--name", default="order-desk", show_default=True)
@click.option("--port", default=0, help="Port of the order desk; 0 selects a free port.")
@click.option("--control-port", default=0, help="Port of the control address.")
@click.option("--work-seconds", default=0.01, show_default=True)
@click.option(
    "--journal", type=click.Path(path_type=Path), help="File that executions are appended to."
)
def order_desk_command(
    name: str, port: int, control_port: int, work_seconds: float, journal: Path | None
) -> None:
    """Run the stand-in for an order desk."""
    desk = OrderDeskStandIn(work_seconds, Journal(journal))
    trio.run(_run, desk, name, port, control_port)
