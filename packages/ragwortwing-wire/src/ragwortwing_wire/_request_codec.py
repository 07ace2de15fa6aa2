"""Encoders and decoders of the messages that an entry sends to an agent about a request."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from ._registry import decodes, encodes
from ._values import read_headers, to_microseconds, write_headers
from .messages import Attach, Credit, Reserve, Submit, Withdraw


@encodes(Reserve)
def _write_reserve(message: Reserve, envelope: Any) -> None:
    builder = envelope.init("reserve")
    builder.requestId = message.request_id
    builder.requestClass = message.request_class
    builder.account = message.account
    builder.target = message.target
    builder.remaining = to_microseconds(message.remaining)
    builder.promptTokens = message.prompt_tokens
    builder.expectedTokens = message.expected_tokens
    builder.prefixHash = message.prefix_hash
    builder.resumedTokens = message.resumed_tokens
    builder.idempotent = message.idempotent
    builder.orderKey = message.order_key
    builder.bodyDigest = message.body_digest
    builder.orderTime = message.order_time


@decodes("reserve")
def _read_reserve(reader: Any) -> Reserve:
    return Reserve(
        request_id=reader.requestId,
        request_class=reader.requestClass,
        account=reader.account,
        target=reader.target,
        remaining=timedelta(microseconds=reader.remaining),
        prompt_tokens=reader.promptTokens,
        expected_tokens=reader.expectedTokens,
        prefix_hash=reader.prefixHash,
        resumed_tokens=reader.resumedTokens,
        idempotent=reader.idempotent,
        order_key=reader.orderKey,
        body_digest=reader.bodyDigest,
        order_time=reader.orderTime,
    )


@encodes(Withdraw)
def _write_withdraw(message: Withdraw, envelope: Any) -> None:
    envelope.init("withdraw").requestId = message.request_id


@decodes("withdraw")
def _read_withdraw(reader: Any) -> Withdraw:
    return Withdraw(reader.requestId)


@encodes(Submit)
def _write_submit(message: Submit, envelope: Any) -> None:
    builder = envelope.init("submit")
    builder.requestId = message.request_id
    builder.method = message.method
    builder.path = message.path
    write_headers(message.headers, builder.init("headers", len(message.headers)))
    builder.body = message.body
    builder.traceparent = message.traceparent
    builder.resumeText = message.resume_text
    builder.window = message.window


@decodes("submit")
def _read_submit(reader: Any) -> Submit:
    return Submit(
        request_id=reader.requestId,
        method=reader.method,
        path=reader.path,
        headers=read_headers(reader.headers),
        body=reader.body,
        traceparent=reader.traceparent,
        resume_text=reader.resumeText,
        window=reader.window,
    )


@encodes(Credit)
def _write_credit(message: Credit, envelope: Any) -> None:
    builder = envelope.init("credit")
    builder.requestId = message.request_id
    builder.sequence = message.sequence
    builder.window = message.window


@decodes("credit")
def _read_credit(reader: Any) -> Credit:
    return Credit(reader.requestId, reader.sequence, reader.window)


@encodes(Attach)
def _write_attach(message: Attach, envelope: Any) -> None:
    builder = envelope.init("attach")
    builder.requestId = message.request_id
    builder.account = message.account
    builder.sequence = message.sequence
    builder.window = message.window


@decodes("attach")
def _read_attach(reader: Any) -> Attach:
    return Attach(reader.requestId, reader.account, reader.sequence, reader.window)
