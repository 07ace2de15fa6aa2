"""Reads server-sent events only as far as the agent has to: whole events, and counts."""

from __future__ import annotations

import msgspec

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
_DATA = b"data: "
_CONTENT_KEYS = (b'"content":"', b'"content": "')
_EMPTY_CONTENTS = (b'"content":""', b'"content": ""')


class TokenDetails(msgspec.Struct, frozen=True):
    """Where the prompt's tokens came from."""

    cached_tokens: int = 0


class Usage(msgspec.Struct, frozen=True):
    """The engine's own count at the end of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: TokenDetails = TokenDetails()


class _UsageEvent(msgspec.Struct):
    usage: Usage | None = None


_usage_decoder = msgspec.json.Decoder(_UsageEvent)


def count_tokens(events: bytes) -> int:
    r"""Return how many events carry text, without reading them.

    A quote within a text is escaped in JSON, so no text can look like the key.

    Example:
        >>> count_tokens(b'data: {"choices":[{"delta":{"content":" a"}}]}\n\n')
        1
        >>> count_tokens(b'data: {"choices":[{"delta":{"role":"assistant","content":""}}]}\n\n')
        0
    """
    contents = sum(events.count(key) for key in _CONTENT_KEYS)
    return contents - sum(events.count(key) for key in _EMPTY_CONTENTS)


class EventSplitter:
    r"""Cuts received bytes into whole events.

    An engine that is lost or preempted within an event would leave half of one, to which the
    resumed answer could not be joined; so half an event waits here for its rest.

    Example:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"data: a\n\ndata: ")
        b'data: a\n\n'
        >>> splitter.feed(b"[DONE]\n\n")
        b'data: [DONE]\n\n'
        >>> splitter.is_done
        True
    """

    def __init__(self) -> None:
        self.is_done = False
        """Whether the event that ends the stream has come."""
        self.last_events = b""
        """The newest whole events."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the whole events so far."""
        if self._rest:
            data = self._rest + data
            self._rest = b""
        if not data.endswith(EVENT_END):
            end = data.rfind(EVENT_END) + len(EVENT_END) if EVENT_END in data else 0
            data, self._rest = data[:end], data[end:]
        if data:
            self.last_events = data
            self.is_done = self.is_done or data.endswith(DONE_EVENT)
        return data

    def usage(self) -> Usage:
        """Return the count that the last events carry, zeros where there is none."""
        for line in reversed(self.last_events.splitlines()):
            if line.startswith(_DATA) and b'"usage"' in line:
                return read_usage(line[len(_DATA) :])
        return Usage()


def read_usage(body: bytes) -> Usage:
    """Return the count in an event or in a whole answer, zeros where there is none."""
    try:
        return _usage_decoder.decode(body).usage or Usage()
    except msgspec.MsgspecError:
        return Usage()
