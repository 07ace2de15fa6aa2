"""Flow control for one response: buffers chunks until the entry acknowledges them."""

from __future__ import annotations

from collections import deque

from ragwortwing_wire.messages import Chunk

UNSENT_LIMIT_BYTES = 65_536
"""Unsent bytes at which the agent stops reading from the backend server."""


class AnswerBuffer:
    """Numbers chunks, limits sending to the window, and keeps chunks until acknowledged.

    Example:
        >>> buffer = AnswerBuffer("r1", window=4)
        >>> buffer.add(b"abc", tokens=1)
        >>> buffer.add(b"def", tokens=1)
        >>> [chunk.sequence for chunk in buffer.take_sendable()]
        [0]
        >>> buffer.acknowledge(1, window=4)
        >>> [chunk.sequence for chunk in buffer.take_sendable()]
        [1]
    """

    def __init__(self, request_id: str, window: int) -> None:
        self.next_sequence = 0
        """Sequence number of the next chunk to be added."""
        self._request_id = request_id
        self._window = window
        self._sent: deque[Chunk] = deque()
        self._sent_bytes = 0
        self._unsent: deque[Chunk] = deque()
        self._unsent_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the unsent bytes have reached the limit."""
        return self._unsent_bytes >= UNSENT_LIMIT_BYTES

    @property
    def is_sent(self) -> bool:
        """Whether every chunk has been sent."""
        return not self._unsent

    @property
    def held_bytes(self) -> int:
        """Bytes of all buffered chunks, sent or not."""
        return self._sent_bytes + self._unsent_bytes

    def add(self, data: bytes, tokens: int) -> None:
        """Append a chunk."""
        self._unsent.append(Chunk(self._request_id, self.next_sequence, data, tokens))
        self._unsent_bytes += len(data)
        self.next_sequence += 1

    def take_sendable(self) -> list[Chunk]:
        """Return the chunks that fit the window, and mark them as sent."""
        taken: list[Chunk] = []
        # A chunk larger than the window is sent once nothing is unacknowledged; otherwise it would
        # never be sent.
        while self._unsent and (
            not self._sent or self._sent_bytes + len(self._unsent[0].data) <= self._window
        ):
            chunk = self._unsent.popleft()
            self._unsent_bytes -= len(chunk.data)
            self._sent.append(chunk)
            self._sent_bytes += len(chunk.data)
            taken.append(chunk)
        return taken

    def acknowledge(self, sequence: int, window: int) -> None:
        """Discard the chunks before a sequence number and set the window.

        Args:
            sequence: The first sequence number that the entry has not received.
            window: Bytes that may be sent without further acknowledgement.
        """
        self._window = window
        while self._sent and self._sent[0].sequence < sequence:
            self._sent_bytes -= len(self._sent.popleft().data)

    def rewind(self, sequence: int, window: int) -> bool:
        """Mark all chunks from a sequence number on as unsent, for a new connection.

        Returns:
            Whether all of these chunks are still buffered.
        """
        first = self._sent or self._unsent
        oldest = first[0].sequence if first else self.next_sequence
        if not oldest <= sequence <= self.next_sequence:
            return False
        self.acknowledge(sequence, window)
        while self._sent:
            chunk = self._sent.pop()
            self._unsent.appendleft(chunk)
            self._unsent_bytes += len(chunk.data)
        self._sent_bytes = 0
        return True
