"""Minimal stream readers whose own cost barely affects what a run measures."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import trio

from ..site import MODEL

if TYPE_CHECKING:
    from collections.abc import Callable

READ_SIZE = 65_536
TOKEN_MARKER = b'"content":" '
"""Occurs once per event with a token; the stand-in engine's words begin with a space."""

KEY = "suva-key"
REQUEST_CLASS = "draft"
"""A class whose targets a full engine still meets, so no request is refused."""

SUCCESS = b"HTTP/1.1 200"


class RefusedStreamError(Exception):
    """The response to a stream request was not a success."""


@dataclass(slots=True)
class ReadCounts:
    """Running totals over all readers."""

    tokens: int = 0
    bytes: int = 0
    reads: int = 0
    """Reads that contained at least one token."""
    first_tokens: list[float] = field(default_factory=list)
    """Seconds from each request to its first token."""


async def read_stream(
    address: str, index: int, tokens: int, counts: ReadCounts, enough: Callable[[], bool]
) -> None:
    """Request one answer and read it until `enough` returns true or the stream ends."""
    host, _, port = address.rpartition(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        requested_at = trio.current_time()
        await stream.send_all(_request(index, tokens))
        first = True
        async for data in stream:
            if first and data.startswith(b"HTTP") and not data.startswith(SUCCESS):
                raise RefusedStreamError(data[:READ_SIZE])
            found = data.count(TOKEN_MARKER)
            counts.bytes += len(data)
            if not found:
                continue
            counts.tokens += found
            counts.reads += 1
            if first:
                counts.first_tokens.append(trio.current_time() - requested_at)
                first = False
            if enough():
                return


async def read_first_token(address: str, index: int) -> float:
    """Return the time to first token, in seconds, of a one-token answer."""
    counts = ReadCounts()
    await read_stream(address, index, 1, counts, lambda: True)
    return counts.first_tokens[0]


def _request(index: int, tokens: int) -> bytes:
    prompt = f"stream {index} [tokens={tokens}]"
    body = msgspec.json.encode(
        {"model": MODEL, "stream": True, "messages": [{"role": "user", "content": prompt}]}
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        "host: relay\r\n"
        f"authorization: Bearer {KEY}\r\n"
        f"x-request-class: {REQUEST_CLASS}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
