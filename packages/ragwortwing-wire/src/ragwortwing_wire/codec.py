"""Messages to frames and back, with Cap'n Proto as the codec."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import capnp

from . import _answer_codec, _request_codec, _session_codec  # noqa: F401
from ._registry import SCHEMA, decoders_by_tag, encoders_by_type

if TYPE_CHECKING:
    from .messages import Message

MAXIMUM_FRAME = 16 * 1024 * 1024
"""Bytes a frame may have; it bounds what a peer can make this process hold."""

TRAVERSAL_FACTOR = 4
TRAVERSAL_ALLOWANCE = 64
WORD = 8


class MalformedReason(StrEnum):
    """Why bytes are no message."""

    TOO_LARGE = "too_large"
    NOT_CAPNP = "not_capnp"
    UNKNOWN_TAG = "unknown_tag"
    BAD_VALUE = "bad_value"


@dataclass(frozen=True, slots=True)
class MalformedFrame:
    """Bytes that are no message of ours."""

    reason: MalformedReason


class FrameTooLargeError(Exception):
    """A message is larger than a frame may be, so that no peer would take it."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self.size = size


def encode(message: Message) -> bytes:
    """Return a message as a frame, without its length.

    Example:
        >>> from ragwortwing_wire.messages import Withdraw
        >>> decode(encode(Withdraw("r1")))
        Withdraw(request_id='r1')

    Raises:
        FrameTooLargeError: The message does not fit a frame.
    """
    envelope = SCHEMA.Envelope.new_message()
    encoders_by_type[type(message)](message, envelope)
    frame: bytes = envelope.to_bytes()
    if len(frame) > MAXIMUM_FRAME:
        raise FrameTooLargeError(len(frame))
    return frame


def decode(frame: bytes) -> Message | MalformedFrame:
    """Return the message of a frame.

    Example:
        >>> decode(b"x" * 8)
        MalformedFrame(reason=<MalformedReason.NOT_CAPNP: 'not_capnp'>)
    """
    if len(frame) > MAXIMUM_FRAME:
        return MalformedFrame(MalformedReason.TOO_LARGE)
    try:
        return _read(frame)
    except capnp.KjException:
        return MalformedFrame(MalformedReason.NOT_CAPNP)
    except (ValueError, OverflowError):
        return MalformedFrame(MalformedReason.BAD_VALUE)


def _read(frame: bytes) -> Message | MalformedFrame:
    # A few bytes can claim a list of millions of empty elements. The limit on words read, a small
    # multiple of the frame's own, makes such a frame an error before the elements are made.
    limit = len(frame) // WORD * TRAVERSAL_FACTOR + TRAVERSAL_ALLOWANCE
    with SCHEMA.Envelope.from_bytes(frame, traversal_limit_in_words=limit) as envelope:
        tag = envelope.which()
        decoder = decoders_by_tag.get(str(tag))
        if decoder is None:
            return MalformedFrame(MalformedReason.UNKNOWN_TAG)
        return decoder(getattr(envelope, str(tag)))
