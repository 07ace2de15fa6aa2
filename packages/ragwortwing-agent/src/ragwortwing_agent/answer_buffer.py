"""Pieces of one answer that the entry has not yet confirmed, and how many more may be sent."""

from __future__ import annotations

from collections import deque

from ragwortwing_wire.messages import Chunk

UNSENT_LIMIT = 65_536
"""Bytes that may wait for credit; above it the backend server is not read any further."""


class AnswerBuffer:
    """Numbers the pieces and keeps them until they are confirmed.

    Example:
        >>> buffer = AnswerBuffer("r1", window=4)
        >>> buffer.add(b"abc", tokens=1)
        >>> buffer.add(b"def", tokens=1)
        >>> [chunk.sequence for chunk in buffer.take_sendable()]
        [0]
        >>> buffer.confirm(1, window=4)
        >>> [chunk.sequence for chunk in buffer.take_sendable()]
        [1]
    """

    def __init__(self, request_id: str, window: int) -> None:
        self.next_sequence = 0
        """Sequence number of the piece that is added next."""
        self._request_id = request_id
        self._window = window
        self._sent: deque[Chunk] = deque()
        self._sent_bytes = 0
        self._unsent: deque[Chunk] = deque()
        self._unsent_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether as many bytes wait for credit as may."""
        return self._unsent_bytes >= UNSENT_LIMIT

    @property
    def is_sent(self) -> bool:
        """Whether every piece was sent."""
        return not self._unsent

    @property
    def held_bytes(self) -> int:
        """Bytes kept."""
        return self._sent_bytes + self._unsent_bytes

    def add(self, data: bytes, tokens: int) -> None:
        """Add a piece."""
        self._unsent.append(Chunk(self._request_id, self.next_sequence, data, tokens))
        self._unsent_bytes += len(data)
        self.next_sequence += 1

    def take_sendable(self) -> list[Chunk]:
        """Return the pieces that may be sent now, and count them as sent."""
        taken: list[Chunk] = []
        # A piece larger than the window still goes once nothing is under way, or it never would.
        while self._unsent and (
            not self._sent or self._sent_bytes + len(self._unsent[0].data) <= self._window
        ):
            chunk = self._unsent.popleft()
            self._unsent_bytes -= len(chunk.data)
            self._sent.append(chunk)
            self._sent_bytes += len(chunk.data)
            taken.append(chunk)
        return taken

    def confirm(self, sequence: int, window: int) -> None:
        """Forget the pieces before a sequence number; the entry takes so many bytes after it."""
        self._window = window
        while self._sent and self._sent[0].sequence < sequence:
            self._sent_bytes -= len(self._sent.popleft().data)

    def rewind(self, sequence: int, window: int) -> bool:
        """Count everything from a sequence number on as not sent, for a new connection.

        Returns:
            Whether all of it is still kept.
        """
        first = self._sent or self._unsent
        oldest = first[0].sequence if first else self.next_sequence
        if not oldest <= sequence <= self.next_sequence:
            return False
        self.confirm(sequence, window)
        while self._sent:
            chunk = self._sent.pop()
            self._unsent.appendleft(chunk)
            self._unsent_bytes += len(chunk.data)
        self._sent_bytes = 0
        return True
