"""Calls to the one backend server beside the agent, with every way to fail told apart."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import TYPE_CHECKING

import httpcore
import trio

from ragwortwing_wire.messages import Header

from .direct_network import DirectBackend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from datetime import timedelta

    from ragwortwing_runtime.settings import BackendSettings

HOP_HEADERS = frozenset(
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
"""Headers of one connection, which are not passed on; the length is set anew."""

RENEWAL_SHARE = 0.5
"""Share of the silence allowed after which the deadline is moved on."""

SEND_STARTED = "http11.send_request_headers.started"
"""Event of the HTTP library directly before the first byte of a request is written."""


class CallFailure(StrEnum):
    """Why a call gave no whole answer."""

    NOT_SENT = "not_sent"
    """No connection could be made, so no byte reached the backend server."""
    LOST = "lost"
    """The connection broke after the call may have been sent."""
    SILENT = "silent"
    """No byte came for the timeout after the call may have been sent."""


class BackendCallError(Exception):
    """A call gave no whole answer."""

    def __init__(self, failure: CallFailure) -> None:
        super().__init__(failure)
        self.failure = failure


class BackendAnswer:
    """An answer as it comes in, with a watch over the server's silence."""

    def __init__(
        self, response: httpcore.Response, scope: trio.CancelScope, silence: timedelta
    ) -> None:
        self.status = response.status
        self.headers = _passed_on(response)
        self._response = response
        self._scope = scope
        self._seconds = silence.total_seconds()
        self._renew_at = 0.0

    async def pieces(self) -> AsyncIterator[bytes]:
        """Give the body's pieces as they come."""
        async for data in self._response.aiter_stream():
            # Moving a deadline costs as much as reading a token, so it is moved now and then: a
            # silent server is given up after one to one and a half times the silence allowed.
            if trio.current_time() >= self._renew_at:
                self.expect_more()
            yield data

    def expect_nothing(self) -> None:
        """Let any time pass, because it is this side that does not read."""
        self._scope.deadline = math.inf

    def expect_more(self) -> None:
        """Count the server's silence from now on."""
        now = trio.current_time()
        self._scope.deadline = now + self._seconds * (1 + RENEWAL_SHARE)
        self._renew_at = now + self._seconds * RENEWAL_SHARE


class BackendClient:
    """Makes each call on a connection of its own.

    A kept connection that the server closes at the moment of the call would leave open whether an
    order had run; and cancelling an answer closes its connection anyway.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self._url = f"http://{settings.address}"
        self._connect_seconds = settings.connect_timeout.total_seconds()
        address = settings.address
        self._origin = httpcore.Origin(b"http", address.host.encode(), address.port)
        self._network = DirectBackend()

    async def aclose(self) -> None:
        """Close what is kept between calls, which is nothing."""

    @asynccontextmanager
    async def call(
        self,
        method: str,
        path: str,
        headers: tuple[Header, ...],
        body: bytes,
        silence: timedelta,
        on_send: Callable[[], None],
    ) -> AsyncIterator[BackendAnswer]:
        """Make one call, once, and give its answer; leaving early closes the connection.

        Args:
            method: The HTTP method.
            path: Path and query.
            headers: End-to-end headers.
            body: The whole body.
            silence: How long the server may give no byte.
            on_send: Called directly before the first byte is written; what it raises stops the call
                before that.

        Raises:
            BackendCallError: No whole answer came.
        """

        async def trace(event: str, info: object) -> None:
            if event == SEND_STARTED:
                on_send()

        extensions = {"timeout": {"connect": self._connect_seconds}, "trace": trace}
        deadline = trio.current_time() + self._connect_seconds + silence.total_seconds()
        # A pool looks at every connection that it has for each call and each end of one; as none is
        # used twice, the call has its own without a pool.
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
                    yield BackendAnswer(response, scope, silence)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise BackendCallError(CallFailure.NOT_SENT) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise BackendCallError(CallFailure.LOST) from error
        finally:
            await connection.aclose()
        if scope.cancelled_caught:
            raise BackendCallError(CallFailure.SILENT)


def end_to_end(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are passed on."""
    return tuple(each for each in headers if each.name.lower() not in HOP_HEADERS)


def _passed_on(response: httpcore.Response) -> tuple[Header, ...]:
    return end_to_end(tuple(Header(name.lower(), value) for name, value in response.headers))
