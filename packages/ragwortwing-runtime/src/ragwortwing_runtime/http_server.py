"""Serves an ASGI application over HTTP/1.1 and HTTP/2 with Hypercorn, in this process."""

from __future__ import annotations

import os
import resource
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta  # noqa: TC003 - evaluated by the data class
from typing import TYPE_CHECKING, Any

import h11
import logbook
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

from ragwortwing_policy.connection_table import Activity

from .connection_slots import ConnectionSlots
from .settings_reader import Address
from .tcp_sockets import limit_buffers, limit_unread_time, reset
from .unread_bodies import discards_unread_bodies

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hypercorn.events import Event

    from .unread_bodies import Application

log = logbook.Logger("http")

CLOSE_POLL_SECONDS = 0.01
"""Interval of the check whether all connections have closed."""

ACCEPT_BACKLOG = 1_024
"""Maximum number of connections that wait to be accepted."""

CLOSE_TIMEOUT_SECONDS = 1.0
"""Time for writing the last bytes of responses once no request is in flight."""

MAX_STREAMS_PER_CONNECTION = 1_000
"""Maximum number of concurrent HTTP/2 streams on a connection."""

MAX_QUEUED_BODY_PARTS = 1
"""Parts of a request's body that Hypercorn reads before the application has taken them."""

MAX_CAUSE_LENGTH = 200
"""Characters of an error's message that are logged; it may contain what the client sent."""

HEADER_LIMIT_FACTOR = 2
"""Ratio of Hypercorn's header limit to ours.

Hypercorn rejects oversized headers without our error body, so its limit is higher than ours.
"""


RESERVED_DESCRIPTORS_FRACTION = 0.25
"""Fraction of the process's descriptors that clients leave to other connections and to files."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the clients of a server."""

    header_bytes: int
    """Largest total size of a request's header names and values."""
    connections: int
    """Most connections that are open at a time, or fewer if the kernel allows less. Beyond it, one
    without a request is closed for a new one."""
    idle_timeout: timedelta
    """Time after which a connection without a request is closed."""
    send_timeout: timedelta
    """Time without progress after which a client that does not read is disconnected."""


def connection_bound(configured: int) -> int:
    """Return the most connections of clients that the process can keep open.

    Args:
        configured: The bound of the settings. That of the kernel may be lower.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return configured
    return min(configured, max(1, int(descriptors * (1.0 - RESERVED_DESCRIPTORS_FRACTION))))


class HypercornLogger:
    """Forwards Hypercorn's log messages to our log and drops its access log."""

    def __init__(self, config: Config) -> None:
        pass

    async def access(self, *args: Any) -> None:
        """Drop the message: the entry logs each request itself."""

    async def critical(self, message: str, *args: Any) -> None:
        """Log a critical message."""
        log.critical(message % args if args else message)

    async def error(self, message: str, *args: Any) -> None:
        """Log an error."""
        log.error(message % args if args else message)

    async def warning(self, message: str, *args: Any) -> None:
        """Log a warning."""
        log.warning(message % args if args else message)

    async def info(self, message: str, *args: Any) -> None:
        """Log an informational message at debug level."""
        log.debug(message % args if args else message)

    async def debug(self, message: str, *args: Any) -> None:
        """Log a debug message."""
        log.debug(message % args if args else message)

    async def exception(self, message: str, *args: Any) -> None:
        """Log a message with the current exception."""
        log.exception(message % args if args else message)


class HttpConnection(TCPServer):  # type: ignore[misc]
    """A client's connection that writes directly to the socket if it has buffer space."""

    slots: ConnectionSlots | None = None
    """Where the connection has its place."""

    async def protocol_send(self, event: Event) -> None:
        """Write response bytes directly to the socket, or delegate the event to Hypercorn.

        Hypercorn takes a lock, shields a cancel scope and yields for every write, which costs
        several times the write itself. One write per token is the entry's main work. If no other
        write is pending, this method tries the socket directly and leaves only the remaining bytes
        to Hypercorn. It looks up the file descriptor each time, because the number of a closed one
        may have been reused for another connection.
        """
        if isinstance(event, Closed):
            # The task that sent the response may be cancelled once the response is complete.
            with trio.CancelScope(shield=True):
                # Hypercorn leaves it running after a malformed head, and the connection's task
                # waits for it.
                await self.idle_task.stop()
                self.reset_if_incomplete()
                await super().protocol_send(event)
            return
        if isinstance(event, Updated) and self.slots is not None:
            self.slots.set_activity(self, Activity.IDLE if event.idle else Activity.BUSY)
        if not isinstance(event, RawData) or self.send_lock.locked():
            await super().protocol_send(event)
            return
        try:
            sent = os.write(self.stream.socket.fileno(), event.data)
        except OSError:
            # The socket is full or broken. Hypercorn waits for buffer space, or detects the error
            # and closes the connection.
            sent = 0
        if sent < len(event.data):
            await super().protocol_send(RawData(data=event.data[sent:]))

    def reset_if_incomplete(self) -> None:
        """Close the connection of an HTTP/1.0 client with a reset if a response is incomplete.

        Its body may have neither a length nor chunks, and otherwise looks complete where the
        connection ends.
        """
        protocol = getattr(self, "protocol", None)
        connection = protocol.protocol.connection if protocol is not None else None
        if not isinstance(connection, h11.Connection) or connection.their_http_version != b"1.0":
            return
        if connection.our_state is h11.SEND_BODY or self.send_lock.locked():
            with suppress(OSError):
                reset(self.stream.socket)


class HttpServer:
    """Accepts clients' connections and closes them on shutdown."""

    def __init__(self, application: Application, limits: HttpLimits) -> None:
        self._config = _hypercorn_config(limits)
        self._application = wrap_app(discards_unread_bodies(application), 0, "asgi")
        self._context = WorkerContext(None)
        self._connections: set[HttpConnection] = set()
        self._limits = limits
        self._slots = ConnectionSlots(connection_bound(limits.connections))

    async def run(
        self,
        addresses: tuple[Address, ...],
        task_status: trio.TaskStatus[tuple[str, ...]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Args:
            addresses: Addresses to listen on; the kernel chooses a port for port 0.
            task_status: Receives the bound addresses in the same order once the server listens.
        """
        listeners: list[trio.SocketListener] = []
        for address in addresses:
            listeners += await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=ACCEPT_BACKLOG
            )
        for listener in listeners:
            limit_buffers(listener.socket)
            limit_unread_time(listener.socket, self._limits.send_timeout.total_seconds())
        names = tuple(_format_address(each) for each in listeners)
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve, listeners)
            task_status.started(names)

    async def close(self) -> None:
        """Let idle connections close, then close the remaining ones forcefully."""
        await self._context.terminated.set()
        with trio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            while self._connections:
                await trio.sleep(CLOSE_POLL_SECONDS)
        # Hypercorn shields its writes from cancellation. A write to a client that does not read
        # never ends, and the process would survive a forced stop until it is killed. Closing the
        # socket ends the write.
        for connection in list(self._connections):
            connection.reset_if_incomplete()
            await trio.aclose_forcefully(connection.stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        state = ConnectionState({})
        connection = HttpConnection(self._application, self._config, self._context, state, stream)
        # The limit of the kernel can be changed while the process runs.
        self._slots.table.bound = connection_bound(self._limits.connections)
        if not self._slots.admit(connection):
            log.debug("Connection refused: all others have a request in progress")
            await trio.aclose_forcefully(stream)
            return
        connection.slots = self._slots
        self._connections.add(connection)
        try:
            with self._slots.holding(connection):
                await connection
        except Exception as error:  # noqa: BLE001 - one client must not end the process
            causes = ", ".join(each[:MAX_CAUSE_LENGTH] for each in _causes(error))
            log.warning("Connection failed", causes=causes)
        finally:
            self._connections.discard(connection)


def _causes(error: BaseException) -> Iterator[str]:
    """Yield the type and message of each error in a group."""
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from _causes(each)
    else:
        yield f"{type(error).__name__}: {error}"


def _format_address(listener: trio.SocketListener) -> str:
    host, port = listener.socket.getsockname()[:2]
    return str(Address(host, port))


def _hypercorn_config(limits: HttpLimits) -> Config:
    config = Config()
    config.logger_class = HypercornLogger
    config.include_server_header = False
    config.keep_alive_timeout = limits.idle_timeout.total_seconds()
    config.keep_alive_max_requests = 1_000_000
    config.max_app_queue_size = MAX_QUEUED_BODY_PARTS
    config.h2_max_concurrent_streams = MAX_STREAMS_PER_CONNECTION
    config.h11_max_incomplete_size = limits.header_bytes * HEADER_LIMIT_FACTOR
    config.h2_max_header_list_size = limits.header_bytes * HEADER_LIMIT_FACTOR
    return config
