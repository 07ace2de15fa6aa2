"""An HTTP request and its response, on top of the ASGI interface."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

import trio

from .caller_faults import CallerFault, CallerFaultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ragwortwing_runtime.settings import RequestLimitSettings

    from .answers import Answer, HeaderList
    from .direct.relay_buffer import CallerMemory

Receive = "Callable[[], Awaitable[dict[str, Any]]]"
Send = "Callable[[dict[str, Any]], Awaitable[None]]"

CONTENT_LENGTH = b"content-length"


class CallerLeft(Enum):
    """The caller closed the connection before the request was complete."""

    CALLER_LEFT = "caller_left"


class HttpCall:
    """An HTTP request that is read within limits, and the response to it."""

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
        memory: CallerMemory,
    ) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.raw_path: bytes = scope["raw_path"]
        self.query: bytes = scope["query_string"]
        self.server: tuple[str, int] = scope["server"]
        self.headers: list[tuple[bytes, bytes]] = list(scope["headers"])
        self._values_by_name = dict(self.headers)
        self._receive = receive
        self._send = send
        self._account = memory.account()

    def close(self) -> None:
        """Release the body once the request has ended."""
        self._account.release()

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, empty if it was not sent."""
        return self._values_by_name.get(name, b"")

    def check_headers(self, limit: int) -> CallerFault | None:
        """Return a fault if the headers are larger than the limit in bytes."""
        if sum(len(name) + len(value) for name, value in self.headers) <= limit:
            return None
        return CallerFault(
            CallerFaultCode.HEADERS_TOO_LARGE, f"headers may have {limit:,} bytes together"
        )

    async def read_body(self, limits: RequestLimitSettings) -> bytes | CallerFault | CallerLeft:
        """Read the complete body, or stop as soon as it exceeds a limit."""
        seconds = limits.body_timeout.total_seconds()
        with trio.move_on_after(seconds):
            return await self._receive_body(limits.body_bytes)
        return CallerFault(
            CallerFaultCode.BODY_TIMEOUT, f"a body has to be received within {seconds:g} s"
        )

    async def _receive_body(self, limit: int) -> bytes | CallerFault | CallerLeft:
        fault = CallerFault(CallerFaultCode.BODY_TOO_LARGE, f"a body may have {limit:,} bytes")
        declared_length = self.header(CONTENT_LENGTH)
        # The length may have more digits than `int` accepts.
        if declared_length.isdigit() and float(declared_length) > limit:
            return fault
        body = bytearray()
        while True:
            await self._account.wait_for_room()
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return CallerLeft.CALLER_LEFT
            data = message.get("body", b"")
            self._account.hold(len(data))
            body += data
            if len(body) > limit:
                return fault
            if not message.get("more_body", False):
                return bytes(body)

    async def wait_disconnected(self) -> None:
        """Wait until the caller closes the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def answer(self, answer: Answer) -> None:
        """Send a complete response."""
        await self.start(answer.status, answer.headers)
        await self.finish(answer.body)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the status and headers of the response."""
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send(self, data: bytes) -> None:
        """Send a chunk of the response body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self, data: bytes = b"") -> None:
        """Send the last chunk of the response body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": False})
