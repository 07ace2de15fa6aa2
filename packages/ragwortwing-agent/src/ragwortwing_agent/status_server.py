"""HTTP server for operators: status, drain, metrics and health checks."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import trio

from ragwortwing_runtime.http_server import HttpLimits, HttpServer
from ragwortwing_runtime.telemetry import METRICS_CONTENT_TYPE

if TYPE_CHECKING:
    from ragwortwing_runtime.settings_reader import Address
    from ragwortwing_runtime.unread_bodies import Receive, Send

JSON_TYPE = "application/json"

LIMITS = HttpLimits(
    header_bytes=8192,
    connections=64,
    idle_timeout=timedelta(seconds=5),
    send_timeout=timedelta(seconds=5),
)
"""Limits on the connections of operators and monitoring."""


class StatusSource(Protocol):
    """The part of the agent that the status server needs."""

    def status(self) -> dict[str, object]:
        """Return the current state of the agent."""
        ...

    def begin_drain(self) -> None:
        """Start a graceful stop."""
        ...

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...

    @property
    def is_ready(self) -> bool:
        """Whether the agent accepts new requests."""
        ...


class StatusApplication:
    """ASGI application that serves the operator endpoints."""

    def __init__(self, source: StatusSource) -> None:
        self._source = source

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handle one ASGI scope."""
        if scope["type"] == "http":
            status, content_type, body = self._answer(scope["method"], scope["path"])
            headers = [(b"content-type", content_type.encode())]
            await send({"type": "http.response.start", "status": status, "headers": headers})
            await send({"type": "http.response.body", "body": body})

    def _answer(self, method: str, path: str) -> tuple[int, str, bytes]:
        source = self._source
        if (method, path) == ("POST", "/drain"):
            source.begin_drain()
            return 202, JSON_TYPE, msgspec.json.encode(source.status())
        if method != "GET":
            return 405, JSON_TYPE, b"{}"
        if path == "/status":
            return 200, JSON_TYPE, msgspec.json.encode(source.status())
        if path == "/metrics":
            return 200, METRICS_CONTENT_TYPE, source.metrics_text()
        if path == "/healthz":
            return 200, JSON_TYPE, b"{}"
        if path == "/readyz":
            return (200 if source.is_ready else 503), JSON_TYPE, b"{}"
        return 404, JSON_TYPE, b"{}"


class StatusServer:
    """Serves the status application until it is closed."""

    def __init__(self, source: StatusSource, address: Address) -> None:
        self._server = HttpServer(StatusApplication(source), LIMITS)
        self._address = address

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; reports the bound `ip:port` through `task_status`."""
        async with trio.open_nursery() as nursery:
            (address,) = await nursery.start(self._server.run, (self._address,))
            task_status.started(address)

    async def close(self) -> None:
        """Close the connections after open responses, such as the one to `/drain`."""
        await self._server.close()
