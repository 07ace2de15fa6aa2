"""A small HTTP/1.1 server on h11 for the stand-ins of backend servers.

The stand-ins write to the socket themselves for two reasons. Some of their faults lie below HTTP,
such as a connection that breaks in the middle of a response or that reads bytes and never answers.
An engine also has to send the tokens of a step to all its streams in one pass of the event loop.
Everything else in the lab is served by hypercorn.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec
import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from .faults import Faults

from .faults import FaultKind
from .loopback import LOOPBACK

READ_SIZE = 65_536
JSON_TYPE = (b"content-type", b"application/json")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` value (on, zero seconds): closing the socket resets the connection."""

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, list[str]]
    headers_by_name: dict[str, str]
    body: bytes


class ConnectionCutError(Exception):
    """Raised by a handler to close the connection without a complete response."""

    def __init__(self, *, resets: bool = False) -> None:
        super().__init__("reset" if resets else "closed")
        self.resets = resets
        """Whether the connection ends with a TCP reset instead of an orderly end of stream."""


@dataclass(slots=True)
class ResponseCut:
    """Ends a connection in the middle of a response."""

    find: Callable[[bytes], int]
    """Returns how many bytes of a response to send, given those so far; -1 to wait for more."""
    resets: bool = False
    """Whether the connection ends with a TCP reset instead of an orderly end of stream."""
    on_kept_connection: list[bool] = field(default_factory=list)
    """For each response that was cut, whether its connection had carried a request before."""


class Exchange:
    """One request and the means to respond to it."""

    def __init__(
        self, request: HttpRequest, state: h11.Connection, stream: trio.SocketStream, faults: Faults
    ) -> None:
        self.request = request
        self.previous: HttpRequest | None = None
        """The request before this one on the same connection."""
        self.cut: ResponseCut | None = None
        """Where to end the connection; None sends the response as it is."""
        self._written = b""
        """The bytes of the response so far; only kept if it is to be cut."""
        self._state = state
        self._stream = stream
        self._faults = faults

    async def respond(self, status: int, body: bytes, headers: Headers = (JSON_TYPE,)) -> None:
        """Send a complete response."""
        length = (b"content-length", str(len(body)).encode())
        head = h11.Response(status_code=status, headers=[*headers, length])
        await self._write(
            self._encode(head)
            + self._encode(h11.Data(data=body))
            + self._encode(h11.EndOfMessage())
        )

    async def respond_json(self, status: int, value: object) -> None:
        """Send a complete response with a JSON body."""
        await self.respond(status, msgspec.json.encode(value))

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""
        await self._write(self._encode(h11.Response(status_code=status, headers=list(headers))))

    async def write(self, data: bytes) -> None:
        """Send part of the body of a streamed response."""
        await self._write(self._encode(h11.Data(data=data)))

    async def finish(self) -> None:
        """End a streamed response."""
        await self._write(self._encode(h11.EndOfMessage()))

    async def write_raw(self, data: bytes) -> None:
        """Send bytes without HTTP framing, as a faulty server would."""
        await self._write(data)

    def _encode(self, event: h11.Event) -> bytes:
        return self._state.send(event) or b""

    async def _write(self, data: bytes) -> None:
        await self._faults.wait_cleared(FaultKind.FREEZE)
        await self._faults.wait_cleared(FaultKind.SILENT)
        if self.cut is not None:
            await self._write_until_cut(self.cut, data)
        else:
            await self._stream.send_all(data)

    async def _write_until_cut(self, cut: ResponseCut, data: bytes) -> None:
        start = len(self._written)
        self._written += data
        size = cut.find(self._written)
        if size < 0:
            await self._stream.send_all(data)
            return
        cut.on_kept_connection.append(self.previous is not None)
        await self._stream.send_all(data[: max(0, size - start)])
        raise ConnectionCutError(resets=cut.resets)


if TYPE_CHECKING:
    Handler = Callable[[Exchange], Awaitable[None]]


async def serve_http(
    handler: Handler,
    faults: Faults,
    port: int,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    send_buffer: int | None = None,
    host: str = LOOPBACK,
) -> None:
    """Serve on loopback until cancelled; reports its `ip:port` through `task_status`.

    Args:
        handler: Handles each request.
        faults: The active faults.
        port: Port to listen on; 0 lets the kernel choose.
        task_status: Told the address once it listens.
        send_buffer: Bytes that the kernel may hold for a client; by default its choice, some MB on
            loopback.
        host: Loopback address to listen on.
    """

    async def serve_connection(stream: trio.SocketStream) -> None:
        try:
            await _serve_connection(stream, handler, faults)
        except ConnectionCutError as error:
            if error.resets:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await trio.aclose_forcefully(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(stream)
        except h11.RemoteProtocolError:
            await trio.aclose_forcefully(stream)

    listeners = await trio.open_tcp_listeners(port, host=host)
    if send_buffer is not None:
        listeners[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    bound_port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, serve_connection, listeners)
        task_status.started(f"{host}:{bound_port}")


async def _serve_connection(stream: trio.SocketStream, handler: Handler, faults: Faults) -> None:
    state = h11.Connection(h11.SERVER)
    previous: HttpRequest | None = None
    while True:
        request = await _read_request(stream, state)
        if request is None:
            return
        await faults.wait_cleared(FaultKind.FREEZE)
        exchange = Exchange(request, state, stream, faults)
        exchange.previous, previous = previous, request
        await _handle_while_connected(exchange, handler, stream, state)
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            return
        state.start_next_cycle()


async def _handle_while_connected(
    exchange: Exchange, handler: Handler, stream: trio.SocketStream, state: h11.Connection
) -> None:
    """Run the handler and cancel it if the client closes the connection."""
    failure: Exception | None = None

    async def cancel_on_disconnect(scope: trio.CancelScope) -> None:
        while True:
            try:
                data = await stream.receive_some(READ_SIZE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            state.receive_data(data)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_on_disconnect, nursery.cancel_scope)
        try:
            await handler(exchange)
        except Exception as error:  # noqa: BLE001 - raised below, not as an exception group
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _read_request(stream: trio.SocketStream, state: h11.Connection) -> HttpRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            state.receive_data(await stream.receive_some(READ_SIZE))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _request_of(head, bytes(body))
        else:
            return None


def _request_of(head: h11.Request, body: bytes) -> HttpRequest:
    url = urlsplit(head.target.decode("latin-1"))
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    return HttpRequest(head.method.decode(), url.path, parse_qs(url.query), headers, body)
