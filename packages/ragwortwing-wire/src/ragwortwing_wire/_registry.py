"""Registry of encoders and decoders, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import capnp

from .messages import Message

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("wire.capnp")))
"""The schema, read at import so that the build needs no generator."""

Encoder = Callable[[Any, Any], None]
"""Fills an envelope from a message."""

Decoder = Callable[[Any], Message]
"""Makes a message from the envelope's member."""

encoders_by_type: dict[type, Encoder] = {}
decoders_by_tag: dict[str, Decoder] = {}

_EncoderT = TypeVar("_EncoderT", bound=Encoder)
_DecoderT = TypeVar("_DecoderT", bound=Decoder)


def encodes(message_type: type) -> Callable[[_EncoderT], _EncoderT]:
    """Register the encoder of a message type."""

    def register(function: _EncoderT) -> _EncoderT:
        encoders_by_type[message_type] = function
        return function

    return register


def decodes(tag: str) -> Callable[[_DecoderT], _DecoderT]:
    """Register the decoder of a member of the envelope."""

    def register(function: _DecoderT) -> _DecoderT:
        decoders_by_tag[tag] = function
        return function

    return register
