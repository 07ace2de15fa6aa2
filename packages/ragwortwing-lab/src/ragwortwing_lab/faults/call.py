"""HTTP calls to an entry, with the partial response available while they run."""

from __future__ import annotations

from dataclasses import dataclass, field

import httpcore
import msgspec
import trio

from ..site import MODEL
from .observations import Answer, read_error, read_stream

KEY_BY_ACCOUNT = {"suva-bakery": "suva-key", "nadi-bakery": "nadi-key"}
"""API keys of the client accounts in the demo configuration."""

FIRST_ERROR_STATUS = 400
OUTCOME_HEADER = b"x-ragwortwing-outcome"
REQUEST_ID_HEADER = b"x-request-id"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """An HTTP request of a caller."""

    path: str
    body: bytes
    account: str
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def all_headers(self) -> list[tuple[str, str]]:
        """The request headers, including the content type and the account's API key."""
        return [
            ("content-type", "application/json"),
            ("authorization", f"Bearer {KEY_BY_ACCOUNT[self.account]}"),
            *self.headers,
        ]


def chat_request(prompt: str, account: str, request_class: str) -> CallerRequest:
    """Return a request for a streamed chat completion."""
    messages = [{"role": "user", "content": prompt}]
    body = msgspec.json.encode({"model": MODEL, "stream": True, "messages": messages})
    headers = (("x-request-class", request_class),)
    return CallerRequest("/v1/chat/completions", body, account, headers)


def order_request(key: str, account: str, cake: int) -> CallerRequest:
    """Return a request for an order; with an empty key it has no idempotency key."""
    headers = (("idempotency-key", key),) if key else ()
    return CallerRequest("/desk/orders", msgspec.json.encode({"cake": cake}), account, headers)


@dataclass(slots=True)
class Call:
    """A call and the part of its response received so far."""

    answer: Answer
    received: bytearray = field(default_factory=bytearray)
    headers: dict[bytes, bytes] = field(default_factory=dict)
    ended: trio.Event = field(default_factory=trio.Event)

    @property
    def events(self) -> int:
        """Number of events received so far."""
        return self.received.count(b"\n\n")

    async def run(self, request: CallerRequest) -> None:
        """Send the request and read the response; a broken connection marks it incomplete."""
        try:
            await self._exchange(request)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            self.answer.is_complete = False
        finally:
            self._read()
            self.ended.set()

    async def _exchange(self, request: CallerRequest) -> None:
        url = self.answer.entry + request.path
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream("POST", url, headers=request.all_headers, content=request.body) as response,
        ):
            self.answer.status = response.status
            self.headers = {name.lower(): value for name, value in response.headers}
            self.answer.request_id = self.headers.get(REQUEST_ID_HEADER, b"").decode()
            async for piece in response.aiter_stream():
                self.received += piece
            self.answer.is_complete = True

    def _read(self) -> None:
        if self.headers.get(b"content-type", b"").startswith(b"text/event-stream"):
            read_stream(bytes(self.received), self.answer)
        elif self.answer.is_complete and self.answer.status >= FIRST_ERROR_STATUS:
            read_error(bytes(self.received), self.answer)
        elif OUTCOME_HEADER in self.headers:
            self.answer.outcomes.append(self.headers[OUTCOME_HEADER].decode())
