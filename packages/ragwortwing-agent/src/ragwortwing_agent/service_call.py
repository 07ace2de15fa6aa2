"""Calls to a plain service.

Each call is sent once. An order with an idempotency key is sent only after this agent has won the
claim of the key.
"""

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
from .calls import CallResult, register_call, wait_for_space

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ragwortwing_runtime.order_book import OrderBook

    from .agent_request import AgentRequest
    from .calls import CallContext

SERVICE_IDLE_TIMEOUT = timedelta(seconds=60)
"""Time without a byte after which a call is given up; its outcome is then unknown."""

SERVER_ERROR = 500

ANSWER_HEADER = b"x-ragwortwing-answer"
"""Set to `not-recorded` if a repeated key gets the outcome without the complete response body."""


class SendForbiddenError(Exception):
    """The claim of an order no longer permits sending it."""

    def __init__(self, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


@dataclass(slots=True)
class _CapturedAnswer:
    """The part of a response that is recorded with its outcome."""

    status: int = 0
    body: bytes = b""
    content_type: str = ""


@register_call(BackendKind.SERVICE)
async def call_service(request: AgentRequest, context: CallContext) -> CallResult:
    """Make the call. An order with an idempotency key is sent at most once."""
    if not request.reserve.order_key:
        return CallResult(await _send(request, context, _CapturedAnswer(), lambda: None))
    if context.orders is None:
        return CallResult(NotRun(NotRunReason.LOG_UNAVAILABLE))
    return CallResult(await _claim_and_send(request, context, context.orders))


async def _claim_and_send(
    request: AgentRequest, context: CallContext, orders: OrderBook
) -> Outcome:
    reserve = request.reserve
    order = KeyedOrder(reserve.account, reserve.order_key, reserve.body_digest, reserve.order_time)
    claim = await orders.claim(order, request.reservation.deadline)
    match claim:
        case WonClaim():
            return await _send_with_claim(request, context, orders, claim)
        case AlreadySettled(recorded):
            _replay_recorded_answer(request, recorded)
            return recorded.outcome
        case _:
            return claim


def _replay_recorded_answer(request: AgentRequest, recorded: RecordedAnswer) -> None:
    """Send the recorded response to a repeated key; a header says if its body is incomplete."""
    if not recorded.status:
        return
    headers = []
    if recorded.content_type:
        headers.append(Header(b"content-type", recorded.content_type.encode("latin-1")))
    if not recorded.is_whole:
        headers.append(Header(ANSWER_HEADER, b"not-recorded"))
    request.add_head(recorded.status, tuple(headers))
    request.add_chunk(recorded.answer)


async def _send_with_claim(
    request: AgentRequest, context: CallContext, orders: OrderBook, claim: WonClaim
) -> Outcome:
    captured = _CapturedAnswer()

    def begin_send() -> None:
        refusal = orders.begin_send(claim)
        if refusal is not None:
            raise SendForbiddenError(refusal)

    try:
        outcome = await _send(request, context, captured, begin_send)
    except SendForbiddenError as error:
        return error.refusal
    except trio.Cancelled:
        # The request was withdrawn or the process is stopping. Before the first byte was written,
        # the key can be released; afterwards it is unknown whether the order ran.
        if not orders.release(claim):
            orders.record(claim, Unknown(UnknownReason.BACKEND_LOST))
        raise
    if request.sent_to_backend:
        orders.record(claim, outcome, captured.status, captured.body, captured.content_type)
    else:
        orders.release(claim, NotRunReason.NO_BACKEND)
    return outcome


async def _send(
    request: AgentRequest,
    context: CallContext,
    captured: _CapturedAnswer,
    before_write: Callable[[], None],
) -> Outcome:
    submit = request.submit
    assert submit is not None
    headers = (
        *submit.headers,
        Header(b"x-request-id", request.request_id.encode()),
        Header(b"traceparent", context.traceparent.encode()),
    )

    def on_send() -> None:
        before_write()
        request.sent_to_backend = True

    try:
        async with context.backend.call(
            submit.method, submit.path, headers, submit.body, SERVICE_IDLE_TIMEOUT, on_send
        ) as answer:
            captured.status = answer.status
            captured.content_type = _content_type(answer.headers)
            request.add_head(answer.status, answer.headers)
            async for data in answer.iter_body():
                request.add_chunk(data)
                captured.body = (captured.body + data)[: ANSWER_LIMIT_BYTES + 1]
                if request.is_full:
                    await wait_for_space(request, answer)
    except BackendCallError as error:
        return _outcome_of(error.failure, request)
    if captured.status >= SERVER_ERROR:
        return Failed(FailedReason.BACKEND_ERROR, captured.status)
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
