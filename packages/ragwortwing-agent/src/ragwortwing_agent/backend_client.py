"""HTTP client for the agent's backend server.

Its errors say whether the server may have received the request, because that decides whether the
request may be sent again.
"""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import TYPE_CHECKING

import httpcore
import trio

from ragwortwing_wire.messages import Header

from .untimed_network import UntimedNetworkBackend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from datetime import timedelta

    from ragwortwing_runtime.settings import BackendSettings

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
    }
)
"""Headers of a single connection, which are not forwarded. The content length is set again."""

DEADLINE_RENEWAL_FRACTION = 0.5
"""Fraction of the idle timeout that passes before the deadline is extended again."""

SEND_STARTED = "http11.send_request_headers.started"
"""Trace event of httpcore directly before it writes the first byte of a request."""


class CallFailure(StrEnum):
    """Why a call returned no complete response."""

    NOT_SENT = "not_sent"
    """No connection could be made, so no byte reached the backend server."""
    LOST = "lost"
    """The connection broke after the call may have been sent."""
    SILENT = "silent"
    """No byte arrived within the idle timeout after the call may have been sent."""


class BackendCallError(Exception):
    """A call returned no complete response."""

    def __init__(self, failure: CallFailure) -> None:
        super().__init__(failure)
        self.failure = failure


class BackendAnswer:
    """A streaming response with an idle timeout."""

    def __init__(
        self, response: httpcore.Response, scope: trio.CancelScope, idle_timeout: timedelta
    ) -> None:
        self.status = response.status
        self.headers = _end_to_end_headers(response)
        self._response = response
        self._scope = scope
        self._idle_timeout_seconds = idle_timeout.total_seconds()
        self._renew_at = 0.0

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive."""
        async for data in self._response.aiter_stream():
            # Extending a deadline costs as much as reading a token, so it is not done for every
            # chunk. A silent server therefore times out after 1 to 1.5 times the idle timeout.
            if trio.current_time() >= self._renew_at:
                self.restart_idle_timeout()
            yield data

    def suspend_idle_timeout(self) -> None:
        """Suspend the idle timeout while the agent itself does not read."""
        self._scope.deadline = math.inf

    def restart_idle_timeout(self) -> None:
        """Restart the idle timeout from now."""
        now = trio.current_time()
        self._scope.deadline = now + self._idle_timeout_seconds * (1 + DEADLINE_RENEWAL_FRACTION)
        self._renew_at = now + self._idle_timeout_seconds * DEADLINE_RENEWAL_FRACTION


class BackendClient:
    """Makes each call on a new connection.

    If the server closed a reused connection at the moment of a call, the client could not tell
    whether an order had run. Cancelling a response closes its connection anyway.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self._url = f"http://{settings.address}"
        self._connect_seconds = settings.connect_timeout.total_seconds()
        address = settings.address
        self._origin = httpcore.Origin(b"http", address.host.encode(), address.port)
        self._network = UntimedNetworkBackend()

    async def aclose(self) -> None:
        """Do nothing: no connection outlives its call."""

    @asynccontextmanager
    async def call(
        self,
        method: str,
        path: str,
        headers: tuple[Header, ...],
        body: bytes,
        idle_timeout: timedelta,
        on_send: Callable[[], None],
    ) -> AsyncIterator[BackendAnswer]:
        """Send a request exactly once and yield its response; leaving early closes the connection.

        Args:
            method: The HTTP method.
            path: Path and query.
            headers: Request headers; hop-by-hop headers are dropped.
            body: The complete body.
            idle_timeout: How long the server may send nothing.
            on_send: Called directly before the first byte is written. An exception that it raises
                aborts the call before anything is written.

        Raises:
            BackendCallError: No complete response arrived.
        """

        async def trace(event: str, info: object) -> None:
            if event == SEND_STARTED:
                on_send()

        extensions = {"timeout": {"connect": self._connect_seconds}, "trace": trace}
        deadline = trio.current_time() + self._connect_seconds + idle_timeout.total_seconds()
        # A connection pool scans all its connections at the start and end of each call. Connections
        # are not reused here, so the call opens its own without a pool.
        connection = httpcore.AsyncHTTPConnection(self._origin, network_backend=self._network)
        try:
            with trio.CancelScope(deadline=deadline) as scope:
                async with connection.stream(
                    method,
                    self._url + path,
                    headers=[(each.name, each.value) for each in end_to_end(headers)],
                    content=body,
                    extensions=extensions,
                ) as response:
                    yield BackendAnswer(response, scope, idle_timeout)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise BackendCallError(CallFailure.NOT_SENT) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise BackendCallError(CallFailure.LOST) from error
        finally:
            await connection.aclose()
        if scope.cancelled_caught:
            raise BackendCallError(CallFailure.SILENT)


def end_to_end(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers without the hop-by-hop ones."""
    return tuple(each for each in headers if each.name.lower() not in HOP_BY_HOP_HEADERS)


def _end_to_end_headers(response: httpcore.Response) -> tuple[Header, ...]:
    return end_to_end(tuple(Header(name.lower(), value) for name, value in response.headers))
