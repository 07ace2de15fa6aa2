"""Splits the bytes of an event stream into complete events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .ports import AnswerPiece

if TYPE_CHECKING:
    from collections.abc import Iterator

END_OF_EVENT = b"\n\n"


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
        self._partial_event = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the last event is incomplete."""
        return bool(self._partial_event)

    def feed(self, data: bytes) -> Iterator[AnswerPiece]:
        """Add received bytes and yield the events that are now complete."""
        *events, self._partial_event = (self._partial_event + data).split(END_OF_EVENT)
        for event in events:
            yield AnswerPiece(event + END_OF_EVENT, _event_number(event))


def _event_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
