"""HTTP server for operators: status, drain, metrics and health checks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from ragwortwing_runtime.telemetry import METRICS_CONTENT_TYPE

if TYPE_CHECKING:
    from ragwortwing_runtime.settings_reader import Address

JSON_TYPE = "application/json"
SHUTDOWN_GRACE_SECONDS = 0.2
"""Time for open responses to finish when the server closes."""


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


Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class StatusApplication:
    """ASGI application that serves the operator endpoints."""

    def __init__(self, source: StatusSource) -> None:
        self._source = source

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handle one ASGI scope."""
        if scope["type"] == "lifespan":
            await _acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
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
    """Runs the status application in an HTTP server until it is closed."""

    def __init__(self, source: StatusSource, address: Address) -> None:
        self._application = StatusApplication(source)
        self._address = address
        self._closing = trio.Event()
        self._closed = trio.Event()
        self._closed.set()

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until closed; reports the bound `ip:port` through `task_status`."""
        self._closed = trio.Event()
        config = Config()
        config.bind = [str(self._address)]
        config.include_server_header = False
        config.graceful_timeout = SHUTDOWN_GRACE_SECONDS
        config.errorlog = None
        config.accesslog = None
        try:
            async with trio.open_nursery() as nursery:
                binds: list[str] = await nursery.start(
                    partial(
                        serve,
                        self._application,
                        config,
                        shutdown_trigger=self._closing.wait,
                        mode="asgi",
                    )
                )
                task_status.started(binds[0].removeprefix("http://"))
        finally:
            self._closed.set()

    async def close(self) -> None:
        """Stop the server after open responses, such as the one to `/drain`, have finished."""
        self._closing.set()
        await self._closed.wait()


async def _acknowledge_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the ASGI lifespan events; the application needs no startup or shutdown steps."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
