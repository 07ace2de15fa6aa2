"""Length-prefixed framing over a byte stream."""

from __future__ import annotations

from .codec import MAX_FRAME_BYTES, MalformedFrame, MalformedReason

LENGTH_BYTES = 4
"""Size of the length prefix, a big-endian integer."""


def with_length(frame: bytes) -> bytes:
    """Return a frame with its length prefix.

    Example:
        >>> with_length(b"ab").hex()
        '000000026162'
    """
    return len(frame).to_bytes(LENGTH_BYTES, "big") + frame


class FrameBuffer:
    """Collects received bytes and returns complete frames.

    Example:
        >>> buffer = FrameBuffer()
        >>> buffer.feed(with_length(b"one") + bytes(1))
        >>> buffer.next_frame()
        b'one'
        >>> buffer.next_frame() is None
        True
    """

    def __init__(self) -> None:
        self._bytes = bytearray()
        self._start = 0

    def feed(self, data: bytes | bytearray) -> None:
        """Add received bytes."""
        del self._bytes[: self._start]
        self._start = 0
        self._bytes += data

    def next_frame(self) -> bytes | MalformedFrame | None:
        """Return the next complete frame, or None if more bytes are needed."""
        body = self._start + LENGTH_BYTES
        if len(self._bytes) < body:
            return None
        length = int.from_bytes(self._bytes[self._start : body], "big")
        if length > MAX_FRAME_BYTES:
            return MalformedFrame(MalformedReason.TOO_LARGE)
        end = body + length
        if len(self._bytes) < end:
            return None
        self._start = end
        return bytes(self._bytes[body:end])
