"""Text of a streamed answer that the caller has received, so that an engine can resume it."""

from __future__ import annotations

import msgspec

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder

COMPACT_AT_BYTES = 16_384
"""Bytes of buffered events above which they are reduced to text; bounds a stream's memory."""

_DATA = b"data: "


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Event(msgspec.Struct):
    choices: list[_Choice] = []


_decode_event = checked_decoder(msgspec.json.Decoder(_Event).decode)


class DeliveredText:
    r"""Buffers the sent events and parses them lazily.

    Example:
        >>> delivered = DeliveredText()
        >>> delivered.add(b'data: {"choices":[{"delta":{"content":"Bula"}}]}\n\n')
        >>> delivered.text()
        'Bula'
    """

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._events = bytearray()

    def add(self, events: bytes) -> None:
        """Add complete events that were sent to the caller."""
        self._events += events
        if len(self._events) >= COMPACT_AT_BYTES:
            self._compact()

    def text(self) -> str:
        """Return the text that the caller has received."""
        self._compact()
        return self._texts[0] if self._texts else ""

    def _compact(self) -> None:
        for line in bytes(self._events).splitlines():
            if line.startswith(_DATA):
                self._texts.append(_event_text(line[len(_DATA) :]))
        self._events.clear()
        self._texts = ["".join(self._texts)]


def _event_text(data: bytes) -> str:
    try:
        event = _decode_event(data)
    except InvalidDataError:
        return ""
    return "".join(choice.delta.content or "" for choice in event.choices)
