"""Serves the entry's application over HTTP/1.1 and HTTP/2 in this process."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import logbook
import trio
from hypercorn.config import Config
from hypercorn.events import RawData
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

from ragwortwing_runtime.settings_reader import Address

if TYPE_CHECKING:
    from hypercorn.events import Event

log = logbook.Logger("http")

KEEP_ALIVE_SECONDS = 75.0
"""Idle time of a connection; longer than balancers keep theirs, so that they close first."""

CLOSE_POLL_SECONDS = 0.01

BACKLOG = 1_024
"""Connections that may wait to be accepted."""

CLOSE_SECONDS = 1.0
"""Time for the last bytes of answers once nothing is in flight any more."""

STREAMS_PER_CONNECTION = 1_000
"""HTTP/2 streams that a balancer may open on one connection."""

HEADER_MARGIN = 2
"""The library refuses oversized headers without a body of ours, so its own limit lies higher."""


class ServerLog:
    """Sends the server library's messages to our log, and no access log."""

    def __init__(self, config: Config) -> None:
        pass

    async def access(self, *args: Any) -> None:
        """Write nothing: each request has its own line."""

    async def critical(self, message: str, *args: Any) -> None:
        """Write a critical message."""
        log.critical(message % args if args else message)

    async def error(self, message: str, *args: Any) -> None:
        """Write an error."""
        log.error(message % args if args else message)

    async def warning(self, message: str, *args: Any) -> None:
        """Write a warning."""
        log.warning(message % args if args else message)

    async def info(self, message: str, *args: Any) -> None:
        """Write a message."""
        log.debug(message % args if args else message)

    async def debug(self, message: str, *args: Any) -> None:
        """Write a message for debugging."""
        log.debug(message % args if args else message)

    async def exception(self, message: str, *args: Any) -> None:
        """Write the exception being handled."""
        log.exception(message % args if args else message)


class CallerConnection(TCPServer):  # type: ignore[misc]
    """A caller's connection, which writes at once where the socket has room."""

    async def protocol_send(self, event: Event) -> None:
        """Write bytes of an answer, or pass the event on.

        The library takes a lock, shields a cancel scope and yields for every write, which costs
        several times the write itself; one write a token is the entry's main work. Where nothing
        waits to be written the socket is tried directly, and only what it does not take goes the
        library's way. The descriptor is asked for each time, as a closed one may stand for another
        connection by then.
        """
        if not isinstance(event, RawData) or self.send_lock.locked():
            await super().protocol_send(event)
            return
        try:
            sent = os.write(self.stream.socket.fileno(), event.data)
        except OSError:
            # Full, or broken: the library's way waits for room, or finds the failure and closes.
            sent = 0
        if sent < len(event.data):
            await super().protocol_send(RawData(data=event.data[sent:]))


class HttpServer:
    """Listens for callers and owns their connections."""

    def __init__(self, application: Any, header_bytes: int) -> None:
        self._config = _library_config(header_bytes)
        self._application = wrap_app(application, 0, "asgi")
        self._context = WorkerContext(None)
        self._streams: set[trio.SocketStream] = set()

    async def run(
        self,
        addresses: tuple[Address, ...],
        task_status: trio.TaskStatus[tuple[str, ...]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Args:
            addresses: Where to listen; port 0 lets the kernel choose.
            task_status: Told the addresses in order, once it listens.
        """
        listeners: list[trio.SocketListener] = []
        for address in addresses:
            listeners += await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=BACKLOG
            )
        names = tuple(_name_of(each) for each in listeners)
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve, listeners)
            task_status.started(names)

    async def finish(self) -> None:
        """Let idle connections close, then close what is left."""
        await self._context.terminated.set()
        with trio.move_on_after(CLOSE_SECONDS):
            while self._streams:
                await trio.sleep(CLOSE_POLL_SECONDS)
        # The library shields its writes from cancellation. To a caller that does not read such a
        # write would never end, and the process would outlive a forced stop until it is killed;
        # a closed socket ends the write.
        for stream in list(self._streams):
            await trio.aclose_forcefully(stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        state = ConnectionState({})
        self._streams.add(stream)
        try:
            await CallerConnection(self._application, self._config, self._context, state, stream)
        finally:
            self._streams.discard(stream)


def _name_of(listener: trio.SocketListener) -> str:
    host, port = listener.socket.getsockname()[:2]
    return str(Address(host, port))


def _library_config(header_bytes: int) -> Config:
    config = Config()
    config.logger_class = ServerLog
    config.include_server_header = False
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = 1_000_000
    config.h2_max_concurrent_streams = STREAMS_PER_CONNECTION
    config.h11_max_incomplete_size = header_bytes * HEADER_MARGIN
    config.h2_max_header_list_size = header_bytes * HEADER_MARGIN
    return config
