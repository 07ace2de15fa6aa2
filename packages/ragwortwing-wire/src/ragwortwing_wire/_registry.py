"""Registry of encoders and decoders, filled by the decorators `encodes` and `decodes`."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import capnp

from .messages import Message

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("wire.capnp")))
"""The Cap'n Proto schema, loaded at import so that the build needs no code generator."""

Encoder = Callable[[Any, Any], None]
"""Fills an envelope from a message."""

Decoder = Callable[[Any], Message]
"""Creates a message from the union member of an envelope."""

encoders_by_type: dict[type, Encoder] = {}
decoders_by_tag: dict[str, Decoder] = {}

_EncoderT = TypeVar("_EncoderT", bound=Encoder)
_DecoderT = TypeVar("_DecoderT", bound=Decoder)


def encodes(message_type: type) -> Callable[[_EncoderT], _EncoderT]:
    """Register the decorated function as the encoder of a message type."""

    def register(function: _EncoderT) -> _EncoderT:
        encoders_by_type[message_type] = function
        return function

    return register


def decodes(tag: str) -> Callable[[_DecoderT], _DecoderT]:
    """Register the decorated function as the decoder of a union member of the envelope."""

    def register(function: _DecoderT) -> _DecoderT:
        decoders_by_tag[tag] = function
        return function

    return register
