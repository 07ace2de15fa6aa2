"""Calls to a plain service: one call each, and an order with a key only under its own claim."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.order_claims import ANSWER_LIMIT_BYTES, AlreadySettled, RecordedAnswer
from ragwortwing_policy.outcomes import (
    Completed,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from ragwortwing_policy.routing import BackendKind
from ragwortwing_runtime.order_book import KeyedOrder, WonClaim
from ragwortwing_wire.messages import Header

from .backend_client import BackendCallError, CallFailure
from .calls import CallResult, calls, wait_room

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ragwortwing_runtime.order_book import OrderBook

    from .agent_request import AgentRequest
    from .calls import CallTools

ANSWER_SILENCE = timedelta(seconds=60)
"""Time without a byte after which a service is not waited for; its outcome is then unknown."""

SERVER_ERROR = 500

ANSWER_HEADER = b"x-ragwortwing-answer"
"""Says `not-recorded` where a repeat of a key gets the outcome without the answer's body."""


class SendForbiddenError(Exception):
    """The claim of an order no longer allows to write it."""

    def __init__(self, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


@dataclass(slots=True)
class _KeptAnswer:
    """What is kept of an answer, to be recorded with its outcome."""

    status: int = 0
    body: bytes = b""
    content_type: str = ""


@calls(BackendKind.SERVICE)
async def call_service(request: AgentRequest, tools: CallTools) -> CallResult:
    """Make the call; where it is an order, at most once."""
    if not request.reserve.order_key:
        return CallResult(await _send(request, tools, _KeptAnswer(), lambda: None))
    if tools.orders is None:
        return CallResult(NotRun(NotRunReason.LOG_UNAVAILABLE))
    return CallResult(await _send_claimed(request, tools, tools.orders))


async def _send_claimed(request: AgentRequest, tools: CallTools, orders: OrderBook) -> Outcome:
    reserve = request.reserve
    order = KeyedOrder(reserve.account, reserve.order_key, reserve.body_digest, reserve.order_time)
    claim = await orders.claim(order, request.reservation.deadline)
    match claim:
        case WonClaim():
            return await _send_won(request, tools, orders, claim)
        case AlreadySettled(recorded):
            _give_again(request, recorded)
            return recorded.outcome
        case _:
            return claim


def _give_again(request: AgentRequest, recorded: RecordedAnswer) -> None:
    """Give a repeat of a key the answer of the first submission, or say that it is not kept."""
    if not recorded.status:
        return
    headers = []
    if recorded.content_type:
        headers.append(Header(b"content-type", recorded.content_type.encode("latin-1")))
    if not recorded.is_whole:
        headers.append(Header(ANSWER_HEADER, b"not-recorded"))
    request.add_head(recorded.status, tuple(headers))
    request.add_piece(recorded.answer)


async def _send_won(
    request: AgentRequest, tools: CallTools, orders: OrderBook, won: WonClaim
) -> Outcome:
    kept = _KeptAnswer()

    def begin_send() -> None:
        refusal = orders.begin_send(won)
        if refusal is not None:
            raise SendForbiddenError(refusal)

    try:
        outcome = await _send(request, tools, kept, begin_send)
    except SendForbiddenError as error:
        return error.refusal
    except trio.Cancelled:
        # Withdrawn, or the process is stopped: before the write the key is free again, after it
        # nobody can say whether the order ran.
        if not orders.release(won):
            orders.record(won, Unknown(UnknownReason.BACKEND_LOST))
        raise
    if request.sent_to_backend:
        orders.record(won, outcome, kept.status, kept.body, kept.content_type)
    else:
        orders.release(won, NotRunReason.NO_BACKEND)
    return outcome


async def _send(
    request: AgentRequest, tools: CallTools, kept: _KeptAnswer, before_write: Callable[[], None]
) -> Outcome:
    submit = request.submit
    assert submit is not None
    headers = (
        *submit.headers,
        Header(b"x-request-id", request.request_id.encode()),
        Header(b"traceparent", tools.traceparent.encode()),
    )

    def on_send() -> None:
        before_write()
        request.sent_to_backend = True

    try:
        async with tools.backend.call(
            submit.method, submit.path, headers, submit.body, ANSWER_SILENCE, on_send
        ) as answer:
            kept.status = answer.status
            kept.content_type = _content_type(answer.headers)
            request.add_head(answer.status, answer.headers)
            async for data in answer.pieces():
                request.add_piece(data)
                kept.body = (kept.body + data)[: ANSWER_LIMIT_BYTES + 1]
                if request.is_full:
                    await wait_room(request, answer)
    except BackendCallError as error:
        return _outcome_of(error.failure, request)
    if kept.status >= SERVER_ERROR:
        return Failed(FailedReason.BACKEND_ERROR, kept.status)
    return Completed()


def _content_type(headers: Iterable[Header]) -> str:
    named = (each.value for each in headers if each.name.lower() == b"content-type")
    return next(named, b"").decode("latin-1")


def _outcome_of(failure: CallFailure, request: AgentRequest) -> Outcome:
    if not request.sent_to_backend:
        return NotRun(NotRunReason.NO_BACKEND)
    if failure is CallFailure.SILENT:
        return Unknown(UnknownReason.TIMEOUT)
    return Unknown(UnknownReason.BACKEND_LOST)
