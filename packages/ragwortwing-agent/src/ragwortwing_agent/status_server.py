"""The agent's HTTP address for operators: status, drain, metrics, health."""

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
CLOSE_SECONDS = 0.2


class StatusSource(Protocol):
    """What the server tells and asks of the agent."""

    def status(self) -> dict[str, object]:
        """Return what the agent does now."""
        ...

    def begin_drain(self) -> None:
        """Ask for a planned stop."""
        ...

    def metrics_text(self) -> bytes:
        """Return the metrics."""
        ...

    @property
    def is_ready(self) -> bool:
        """Whether new work is taken."""
        ...


Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class StatusApplication:
    """ASGI application over the agent."""

    def __init__(self, source: StatusSource) -> None:
        self._source = source

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one request."""
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
    """Serves the agent's status until it is closed."""

    def __init__(self, source: StatusSource, address: Address) -> None:
        self._application = StatusApplication(source)
        self._address = address
        self._closing = trio.Event()
        self._closed = trio.Event()
        self._closed.set()

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve; the `ip:port` is told once it listens."""
        self._closed = trio.Event()
        config = Config()
        config.bind = [str(self._address)]
        config.include_server_header = False
        config.graceful_timeout = CLOSE_SECONDS
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
        """Let the answers under way end, the one to `drain` among them, and stop."""
        self._closing.set()
        await self._closed.wait()


async def _acknowledge_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop; the application object has its own life cycle."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
