"""HTTP/1.1 client connection, based on h11."""

from __future__ import annotations

import errno
import re
from enum import StrEnum
from typing import TYPE_CHECKING

import h11

from .tcp_sockets import RECEIVE_BYTES, broke_connection, connect, is_idle, reset, send_all

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import trio

    Headers = list[tuple[bytes, bytes]]


KEEP_ALIVE = b"keep-alive"

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")

MAX_HEAD_BYTES = 32_768
"""Maximum bytes of the head of an answer, of the head of a chunk, and of trailers."""

MAX_INTERIM_ANSWERS = 16
"""Maximum interim answers (1xx) before an answer."""

MAX_FRAMING_BYTES = 65_536
"""Maximum bytes beside the body of an answer: its head and the framing of its chunks."""

FRAMING_BYTES_PER_BODY_BYTE = 16
"""Bytes that each byte of a body adds to that maximum: a chunk may hold a single byte."""


class ConnectionLoss(StrEnum):
    """How a connection was lost."""

    REFUSED = "refused"
    """Nothing listens at the address."""
    CLOSED = "closed"
    """The peer closed or reset the connection."""
    INVALID = "invalid"
    """The peer sent bytes that are not a valid answer."""
    EXCESSIVE = "excessive"
    """The peer sent more than any valid answer holds, and may have gone on without end."""
    LOCAL = "local"
    """This process, or its machine, has no descriptor or no memory left for it."""
    FAILED = "failed"
    """Any other failure of the network, such as a timeout."""


CLOSED_BY_PEER = frozenset({errno.ECONNRESET, errno.EPIPE})
SHORT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class ConnectionLostError(Exception):
    """The connection failed or closed, or it received bytes that are not a valid answer."""

    def __init__(self, cause: str, loss: ConnectionLoss = ConnectionLoss.INVALID) -> None:
        super().__init__(cause)
        self.loss = loss

    @classmethod
    def of(cls, step: str, error: OSError) -> ConnectionLostError:
        """Return the error for a step that failed in the operating system."""
        loss = ConnectionLoss.FAILED
        if error.errno == errno.ECONNREFUSED:
            loss = ConnectionLoss.REFUSED
        elif error.errno in CLOSED_BY_PEER:
            loss = ConnectionLoss.CLOSED
        elif error.errno in SHORT_OF_RESOURCES:
            loss = ConnectionLoss.LOCAL
        return cls(f"{step}: {error.strerror or error}", loss)


class ClientConnection:
    """A client connection that carries one request at a time."""

    def __init__(self, sock: trio.socket.SocketType, address: str) -> None:
        self._sock = sock
        self.address = address
        self._h11 = _parser()
        self._request: h11.Request | None = None
        self._framing_left = MAX_FRAMING_BYTES
        """Bytes beside the body that may still be received for the current answer."""
        self._body_sent = False
        self._break: OSError | None = None
        """Why a send failed if the connection broke."""
        self._is_reused = False
        """Whether it has carried an earlier answer."""
        self.request_ids: set[str] = set()
        """Ids of the requests that it has carried."""
        self.is_suspect = False
        """Whether it may deliver bytes that would be taken for the answer to a later request."""
        self.peer_was_asked = False
        """Whether the process at the other end has been asked when it started."""
        self.peer_started_at: int | None = None
        """Its answer in Unix ms; None if it did not state it."""
        self.is_over = False
        """Whether it cannot carry another request after that answer."""
        self.idle_since = 0.0
        self.idle_limit: float | None = None
        """Seconds after which the peer closes the connection when idle; None if not announced."""

    @classmethod
    async def open(cls, host: str, port: int) -> ClientConnection:
        """Open a connection.

        Raises:
            ConnectionLostError: The connection attempt failed, or the address is not valid.
        """
        try:
            return cls(await connect(host, port), f"{host}:{port}")
        except OSError as error:
            raise ConnectionLostError.of("connect", error) from error
        except ValueError as error:
            raise ConnectionLostError(f"connect: {error}", ConnectionLoss.FAILED) from error

    async def send_request(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a request; after any failure the peer may or may not have received it.

        Raises:
            ConnectionLostError: The connection failed.
        """
        self._body_sent = False
        request = h11.Request(method=method, target=target, headers=headers)
        self._request = request
        try:
            head = self._h11.send(request) or b""
            data = self._h11.send(h11.Data(data=body)) or b"" if body else b""
            data += self._h11.send(h11.EndOfMessage()) or b""
            await send_all(self._sock, head + data)
        except OSError as error:
            if broke_connection(error):
                self._break = error
            raise ConnectionLostError.of("send", error) from error
        self._body_sent = True

    async def receive_head(self) -> h11.Response:
        """Return the head of the answer.

        Raises:
            ConnectionLostError: The connection failed before the head was complete.
        """
        for _ in range(1 + MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if self._is_reused and _contains_status_line(event):
                    raise ConnectionLostError("head within a part of another head")
                self._read_idle_limit(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError(
                    "connection closed before an answer", ConnectionLoss.CLOSED
                )
        raise ConnectionLostError("too many interim answers", ConnectionLoss.EXCESSIVE)

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer.

        Raises:
            ConnectionLostError: The body ended early.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                self._framing_left += (1 + FRAMING_BYTES_PER_BODY_BYTE) * len(event.data)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionLostError(
                    "connection closed in the middle of an answer", ConnectionLoss.CLOSED
                )

    def expect_another_answer(self) -> None:
        """Prepare to receive another answer, after one that belongs to an earlier request.

        A backend server may send an answer twice. The second copy then arrives in place of the next
        request's answer. h11 expects one answer per request, so a new parser, which is told of the
        same request, continues with the bytes after the first answer. It only needs the method: a
        head that announces a body would demand that the body is sent again.
        """
        self.is_suspect = self._is_reused = True
        rest, ended = self._h11.trailing_data
        assert self._request is not None
        method, target = self._request.method, self._request.target
        self._h11 = _parser()
        self._framing_left = MAX_FRAMING_BYTES
        self._h11.send(h11.Request(method=method, target=target, headers=[(b"host", b"")]))
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._receive_data(rest)
        if ended:
            self._h11.receive_data(b"")

    def prepare_next_request(self, now: float) -> bool:
        """Prepare for the next request; return False if the connection cannot be reused."""
        if self.is_suspect or not self._body_sent or self._h11.trailing_data[0]:
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._framing_left = MAX_FRAMING_BYTES
        self._is_reused = True
        self.idle_since = now
        return True

    def is_usable(self, now: float, margin: float) -> bool:
        """Return whether the peer should still keep this idle connection open."""
        if self.idle_limit is not None and now - self.idle_since > self.idle_limit - margin:
            return False
        return is_idle(self._sock)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer stops processing at once."""
        reset(self._sock)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                unread, closed = self._h11.trailing_data
                loss = ConnectionLoss.CLOSED if closed else ConnectionLoss.INVALID
                if len(unread) > MAX_HEAD_BYTES:
                    loss = ConnectionLoss.EXCESSIVE
                raise ConnectionLostError(f"invalid answer: {error}", loss) from error
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self._framing_left < 0:
                raise ConnectionLostError(
                    "too many bytes beside the body", ConnectionLoss.EXCESSIVE
                )
            try:
                data = await self._sock.recv(RECEIVE_BYTES)
            except OSError as error:
                raise ConnectionLostError.of("receive", error) from error
            if not data and self._break is not None:
                raise ConnectionLostError.of("receive", self._break) from self._break
            self._receive_data(data)

    def _receive_data(self, data: bytes) -> None:
        # Bytes of the body are added again when they are read.
        self._framing_left -= len(data)
        self._h11.receive_data(data)

    def _read_idle_limit(self, response: h11.Response) -> None:
        values = [value for name, value in response.headers if name == KEEP_ALIVE]
        for token in b"".join(values[:1]).split(b","):
            key, _, seconds = token.strip().partition(b"=")
            if key == b"timeout" and seconds.isdigit():
                self.idle_limit = float(seconds)


def _contains_status_line(response: h11.Response) -> bool:
    """Return whether a part of another head precedes that of the answer, and took in its start."""
    values = (response.reason, *(value for _, value in response.headers))
    return any(STATUS_LINE.search(value) for value in values)


def _parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
