"""Encoders and decoders of the messages that an agent sends to an entry about a request."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from ._registry import decodes, encodes
from ._values import (
    read_headers,
    read_outcome,
    to_microseconds,
    write_headers,
    write_outcome,
)
from .messages import Chunk, Chunks, Detached, End, Granted, Refused, ResponseHead


@encodes(Granted)
def _write_granted(message: Granted, envelope: Any) -> None:
    builder = envelope.init("granted")
    builder.requestId = message.request_id
    builder.lifetime = to_microseconds(message.lifetime)


@decodes("granted")
def _read_granted(reader: Any) -> Granted:
    return Granted(reader.requestId, timedelta(microseconds=reader.lifetime))


@encodes(Refused)
def _write_refused(message: Refused, envelope: Any) -> None:
    builder = envelope.init("refused")
    builder.requestId = message.request_id
    write_outcome(message.outcome, builder.init("outcome"))


@decodes("refused")
def _read_refused(reader: Any) -> Refused:
    return Refused(reader.requestId, read_outcome(reader.outcome))


@encodes(ResponseHead)
def _write_response_head(message: ResponseHead, envelope: Any) -> None:
    builder = envelope.init("responseHead")
    builder.requestId = message.request_id
    builder.status = message.status
    write_headers(message.headers, builder.init("headers", len(message.headers)))


@decodes("responseHead")
def _read_response_head(reader: Any) -> ResponseHead:
    return ResponseHead(reader.requestId, reader.status, read_headers(reader.headers))


@encodes(Chunks)
def _write_chunks(message: Chunks, envelope: Any) -> None:
    builders = envelope.init("chunks", len(message.chunks))
    for index, chunk in enumerate(message.chunks):
        builder = builders[index]
        builder.requestId = chunk.request_id
        builder.sequence = chunk.sequence
        builder.data = chunk.data
        builder.tokens = chunk.tokens


@decodes("chunks")
def _read_chunks(readers: Any) -> Chunks:
    return Chunks(
        tuple(Chunk(each.requestId, each.sequence, each.data, each.tokens) for each in readers)
    )


@encodes(End)
def _write_end(message: End, envelope: Any) -> None:
    builder = envelope.init("end")
    builder.requestId = message.request_id
    builder.sequence = message.sequence
    write_outcome(message.outcome, builder.init("outcome"))
    builder.promptTokens = message.prompt_tokens
    builder.cachedTokens = message.cached_tokens


@decodes("end")
def _read_end(reader: Any) -> End:
    return End(
        request_id=reader.requestId,
        sequence=reader.sequence,
        outcome=read_outcome(reader.outcome),
        prompt_tokens=reader.promptTokens,
        cached_tokens=reader.cachedTokens,
    )


@encodes(Detached)
def _write_detached(message: Detached, envelope: Any) -> None:
    envelope.init("detached").requestId = message.request_id


@decodes("detached")
def _read_detached(reader: Any) -> Detached:
    return Detached(reader.requestId)
