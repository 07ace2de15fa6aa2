"""Minimal parsing of server-sent events: event boundaries, token counts and usage.

The content of most events is not decoded.
"""

from __future__ import annotations

import msgspec

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20
"""Maximum bytes of an event."""

DONE_EVENT = b"data: [DONE]\n\n"
_DATA_PREFIX = b"data: "
_CONTENT_KEYS = (b'"content":"', b'"content": "')
_EMPTY_CONTENTS = (b'"content":""', b'"content": ""')


class EventTooLongError(Exception):
    """An event is longer than any valid one, and may go on without end."""


class TokenDetails(msgspec.Struct, frozen=True):
    """Details of the prompt token count."""

    cached_tokens: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Token counts that the engine reports at the end of a response."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: TokenDetails = TokenDetails()


class _UsageEvent(msgspec.Struct):
    usage: Usage | None = None


_decode_usage = checked_decoder(msgspec.json.Decoder(_UsageEvent).decode)


def count_tokens(events: bytes) -> int:
    r"""Return how many events carry text, without decoding them.

    JSON escapes quotes within a text, so no text can contain the key that is searched for.

    Example:
        >>> count_tokens(b'data: {"choices":[{"delta":{"content":" a"}}]}\n\n')
        1
        >>> count_tokens(b'data: {"choices":[{"delta":{"role":"assistant","content":""}}]}\n\n')
        0
    """
    contents = sum(events.count(key) for key in _CONTENT_KEYS)
    return contents - sum(events.count(key) for key in _EMPTY_CONTENTS)


class EventSplitter:
    r"""Splits received bytes at event boundaries.

    An incomplete event is held back until the rest of it arrives. If it were relayed and the engine
    were then lost or preempted, the resumed response could not be appended to it.

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
        """Whether the `[DONE]` event has arrived."""
        self.last_events = b""
        """The complete events that `feed` returned last."""
        self._incomplete_event = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises:
            EventTooLongError: An event is too long.
        """
        if self._incomplete_event:
            # An event may end across the parts; the part before has been searched already.
            overlap = bytes(self._incomplete_event[-1:])
            if EVENT_END not in overlap + data:
                self._hold_back(data)
                return b""
            data = bytes(self._incomplete_event) + data
            self._incomplete_event.clear()
        if not data.endswith(EVENT_END):
            end = data.rfind(EVENT_END) + len(EVENT_END) if EVENT_END in data else 0
            self._hold_back(data[end:])
            data = data[:end]
        if data:
            self.last_events = data
            self.is_done = self.is_done or data.endswith(DONE_EVENT)
        return data

    def _hold_back(self, data: bytes) -> None:
        self._incomplete_event += data
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event of more than {MAX_EVENT_BYTES} bytes")

    def usage(self) -> Usage:
        """Return the usage in the last events, or zeros if they carry none."""
        for line in reversed(self.last_events.splitlines()):
            if line.startswith(_DATA_PREFIX) and b'"usage"' in line:
                return read_usage(line[len(_DATA_PREFIX) :])
        return Usage()


def read_usage(body: bytes) -> Usage:
    """Return the usage in an event or a complete response, or zeros if it carries none."""
    try:
        return _decode_usage(body).usage or Usage()
    except InvalidDataError:
        return Usage()
