"""Converts outcomes to HTTP responses: status, headers, error body, final events of a stream."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from ragwortwing_policy.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    Completed,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeKind,
    Unknown,
)

if TYPE_CHECKING:
    from .caller_faults import CallerFault

JSON_CONTENT_TYPE = b"application/json"
EVENT_STREAM = b"text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
KEEP_ALIVE_COMMENT = b": keep-alive\n\n"

STATUS_BY_NOT_RUN_REASON = {
    NotRunReason.RATE_LIMITED: 429,
    NotRunReason.CONCURRENCY_LIMITED: 429,
    NotRunReason.KEY_OUT_OF_WINDOW: 409,
    NotRunReason.KEY_REUSED: 409,
    NotRunReason.IN_PROGRESS: 409,
}
"""HTTP status of each reason that does not use `NOT_RUN_STATUS`."""

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504
FAILED_STATUS = 502
DEADLINE_STATUS = 504

HeaderList = list[tuple[bytes, bytes]]


class ErrorDetail(msgspec.Struct, omit_defaults=True):
    """Error object that describes the outcome of a request."""

    type: str
    code: str
    message: str
    request_id: str
    retry_after_ms: int | None = None
    tokens: int | None = None


class ErrorBody(msgspec.Struct):
    """JSON body of a response to a request that did not complete."""

    error: ErrorDetail


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP response."""

    status: int
    headers: HeaderList
    body: bytes


def status_of(outcome: Outcome) -> int:
    """Return the HTTP status code of an outcome.

    Example:
        >>> status_of(NotRun(NotRunReason.OVERLOADED))
        503
    """
    if isinstance(outcome, NotRun):
        return STATUS_BY_NOT_RUN_REASON.get(outcome.reason, NOT_RUN_STATUS)
    if isinstance(outcome, Unknown):
        return UNKNOWN_STATUS
    if isinstance(outcome, Failed):
        return DEADLINE_STATUS if outcome.reason is FailedReason.DEADLINE else FAILED_STATUS
    return 200


def outcome_headers(outcome: Outcome, request_id: str) -> HeaderList:
    """Return the response headers that describe an outcome."""
    headers = [
        (OUTCOME_HEADER.encode(), outcome.kind.encode()),
        (b"x-request-id", request_id.encode()),
    ]
    if not isinstance(outcome, Completed):
        headers.append((REASON_HEADER.encode(), outcome.reason.encode()))
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        seconds = max(1, math.ceil(outcome.retry_after.total_seconds()))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


def outcome_answer(outcome: Outcome, request_id: str) -> Answer:
    """Return the response for an outcome if nothing was sent to the caller yet."""
    body = msgspec.json.encode(ErrorBody(_detail(outcome, request_id)))
    headers = [*outcome_headers(outcome, request_id), (b"content-type", JSON_CONTENT_TYPE)]
    return with_content_length(Answer(status_of(outcome), headers, body))


def fault_answer(fault: CallerFault, request_id: str) -> Answer:
    """Return the response to an invalid request."""
    detail = ErrorDetail(OutcomeKind.NOT_RUN, fault.code, fault.message, request_id)
    headers = [
        (OUTCOME_HEADER.encode(), OutcomeKind.NOT_RUN.encode()),
        (REASON_HEADER.encode(), fault.code.encode()),
        (b"x-request-id", request_id.encode()),
        (b"content-type", JSON_CONTENT_TYPE),
    ]
    return with_content_length(
        Answer(fault.status, headers, msgspec.json.encode(ErrorBody(detail)))
    )


def json_answer(value: object, status: int = 200) -> Answer:
    """Return a response with a JSON body."""
    return with_content_length(
        Answer(status, [(b"content-type", JSON_CONTENT_TYPE)], msgspec.json.encode(value))
    )


def with_content_length(answer: Answer) -> Answer:
    """Return the response with a `content-length` header added."""
    length = (b"content-length", str(len(answer.body)).encode())
    return Answer(answer.status, [*answer.headers, length], answer.body)


def outcome_event(outcome: Outcome, request_id: str) -> bytes:
    """Return the final events of a stream that has started: the outcome and `[DONE]`."""
    detail = msgspec.json.encode(ErrorBody(_detail(outcome, request_id)))
    return b"event: outcome\ndata: " + detail + b"\n\n" + DONE_EVENT


def _detail(outcome: Outcome, request_id: str) -> ErrorDetail:
    if isinstance(outcome, Completed):
        return ErrorDetail(
            outcome.kind, outcome.kind, "the whole answer", request_id, tokens=outcome.tokens
        )
    detail = ErrorDetail(outcome.kind, outcome.reason, _MESSAGES_BY_KIND[outcome.kind], request_id)
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        detail.retry_after_ms = math.ceil(outcome.retry_after / timedelta(milliseconds=1))
    return detail


_MESSAGES_BY_KIND = {
    OutcomeKind.NOT_RUN: "the request was not run",
    OutcomeKind.UNKNOWN: "the request may or may not have run",
    OutcomeKind.FAILED: "the request ran and did not complete",
}
