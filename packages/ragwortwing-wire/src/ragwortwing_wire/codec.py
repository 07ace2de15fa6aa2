"""Encodes messages as Cap'n Proto frames and decodes frames into messages."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import capnp

from . import _answer_codec, _request_codec, _session_codec  # noqa: F401
from ._registry import SCHEMA, decoders_by_tag, encoders_by_type

if TYPE_CHECKING:
    from .messages import Message

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Largest frame in bytes; bounds the memory that a peer can make this process allocate."""

TRAVERSAL_FACTOR = 4
"""Words that the decoder may read for each word of the frame."""

TRAVERSAL_EXTRA_WORDS = 64
"""Words that the decoder may read in addition."""

WORD_BYTES = 8


class MalformedReason(StrEnum):
    """Reason why a frame cannot be decoded."""

    TOO_LARGE = "too_large"
    NOT_CAPNP = "not_capnp"
    UNKNOWN_TAG = "unknown_tag"
    BAD_VALUE = "bad_value"


@dataclass(frozen=True, slots=True)
class MalformedFrame:
    """Result of decoding a frame that is not a valid message."""

    reason: MalformedReason


class FrameTooLargeError(Exception):
    """An encoded message exceeds `MAX_FRAME_BYTES`, so the peer would reject it."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self.size = size


def encode(message: Message) -> bytes:
    """Encode a message as a frame, without the length prefix.

    Example:
        >>> from ragwortwing_wire.messages import Withdraw
        >>> decode(encode(Withdraw("r1")))
        Withdraw(request_id='r1')

    Raises:
        FrameTooLargeError: The encoded message exceeds `MAX_FRAME_BYTES`.
    """
    envelope = SCHEMA.Envelope.new_message()
    encoders_by_type[type(message)](message, envelope)
    frame: bytes = envelope.to_bytes()
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(len(frame))
    return frame


def decode(frame: bytes) -> Message | MalformedFrame:
    """Decode a frame; return a `MalformedFrame` if it is not a valid message.

    Example:
        >>> decode(b"x" * 8)
        MalformedFrame(reason=<MalformedReason.NOT_CAPNP: 'not_capnp'>)
    """
    if len(frame) > MAX_FRAME_BYTES:
        return MalformedFrame(MalformedReason.TOO_LARGE)
    try:
        return _read(frame)
    except capnp.KjException:
        return MalformedFrame(MalformedReason.NOT_CAPNP)
    except (ValueError, OverflowError):
        return MalformedFrame(MalformedReason.BAD_VALUE)


def _read(frame: bytes) -> Message | MalformedFrame:
    # A frame of a few bytes can declare a list of millions of empty elements. The traversal limit
    # is a small multiple of the frame's size, so such a frame fails before the list is built.
    limit = len(frame) // WORD_BYTES * TRAVERSAL_FACTOR + TRAVERSAL_EXTRA_WORDS
    with SCHEMA.Envelope.from_bytes(frame, traversal_limit_in_words=limit) as envelope:
        tag = envelope.which()
        decoder = decoders_by_tag.get(str(tag))
        if decoder is None:
            return MalformedFrame(MalformedReason.UNKNOWN_TAG)
        return decoder(getattr(envelope, str(tag)))
