"""Splits the bytes of an event stream into complete events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .ports import AnswerPiece

if TYPE_CHECKING:
    from collections.abc import Iterator

END_OF_EVENT = b"\n\n"

MAX_EVENT_BYTES = 1 << 20
"""Maximum bytes of an event."""

MAX_UNNUMBERED_EVENTS = 1_024
"""Maximum events, comments among them, between two events with higher numbers than before."""

MAX_UNNUMBERED_BYTES = 1 << 20
"""Maximum bytes of such events."""


MAX_NUMBER_DIGITS = 18
"""Maximum digits of the number of an event, so that it fits into 64 bits."""


class EventStreamError(Exception):
    """A stream holds more than any valid one, and may go on without end."""


class EventSplitter:
    """Splits a stream at blank lines and buffers the incomplete event at its end.

    Example:
        >>> splitter = EventSplitter()
        >>> stream = b"id: 1|data: a||id: 2".replace(b"|", END_OF_EVENT[:1])
        >>> [piece.event for piece in splitter.feed(stream)]
        [1]
        >>> splitter.has_partial_event
        True
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Bytes of the buffer in which no event ends."""
        self._last_number = -1
        self._unnumbered_events = 0
        self._unnumbered_bytes = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the last event is incomplete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[AnswerPiece]:
        """Add received bytes and yield the events that are now complete.

        Raises:
            EventStreamError: An event or its number is too long, or too many events do not advance
                the stream.
        """
        self._buffer += data
        start = 0
        while (end := self._buffer.find(END_OF_EVENT, max(start, self._searched - 1))) >= 0:
            event = bytes(self._buffer[start:end])
            start = self._searched = end + len(END_OF_EVENT)
            number = _event_number(event)
            self._check_progress(number, len(event))
            yield AnswerPiece(event + END_OF_EVENT, number)
        del self._buffer[:start]
        self._searched = len(self._buffer)
        if self._searched > MAX_EVENT_BYTES:
            raise EventStreamError(f"event of more than {MAX_EVENT_BYTES} bytes")

    def _check_progress(self, number: int | None, size: int) -> None:
        if number is not None and number > self._last_number:
            self._last_number = number
            self._unnumbered_events = self._unnumbered_bytes = 0
            return
        self._unnumbered_events += 1
        self._unnumbered_bytes += size
        if (
            self._unnumbered_events > MAX_UNNUMBERED_EVENTS
            or self._unnumbered_bytes > MAX_UNNUMBERED_BYTES
        ):
            raise EventStreamError("too many events that do not advance the stream")


def _event_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        digits = value.strip()
        if name == b"id" and digits.isdigit():
            if len(digits) > MAX_NUMBER_DIGITS:
                raise EventStreamError(f"event number of {len(digits)} digits")
            return int(digits)
    return None
