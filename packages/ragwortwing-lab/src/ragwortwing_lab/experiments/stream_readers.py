"""Callers that read streams as cheaply as possible, so that a run measures the other side."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import trio

from ..site import MODEL

if TYPE_CHECKING:
    from collections.abc import Callable

READ_SIZE = 65_536
TOKEN_MARK = b'"content":" '
"""Stands once in each event with a token; words of the stand-in begin with a space."""

KEY = "suva-key"
REQUEST_CLASS = "draft"
"""A class whose targets a full engine meets, so that nothing is refused."""

SUCCESS = b"HTTP/1.1 200"


class RefusedStreamError(Exception):
    """A stream was answered with something else than tokens."""


@dataclass(slots=True)
class ReadCounts:
    """What the readers got so far."""

    tokens: int = 0
    bytes: int = 0
    reads: int = 0
    """Reads that brought tokens."""
    first_tokens: list[float] = field(default_factory=list)
    """Seconds from each request to its first token."""


async def read_stream(
    address: str, index: int, tokens: int, counts: ReadCounts, enough: Callable[[], bool]
) -> None:
    """Ask for one answer and read it until the counts are enough, or to its end."""
    host, _, port = address.rpartition(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        asked_at = trio.current_time()
        await stream.send_all(_request(index, tokens))
        first = True
        async for data in stream:
            if first and data.startswith(b"HTTP") and not data.startswith(SUCCESS):
                raise RefusedStreamError(data[:READ_SIZE])
            found = data.count(TOKEN_MARK)
            counts.bytes += len(data)
            if not found:
                continue
            counts.tokens += found
            counts.reads += 1
            if first:
                counts.first_tokens.append(trio.current_time() - asked_at)
                first = False
            if enough():
                return


async def read_first_token(address: str, index: int) -> float:
    """Return the seconds that a one-token answer takes to its token."""
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
