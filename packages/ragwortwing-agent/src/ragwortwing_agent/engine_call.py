"""Calls to a model engine.

The response is relayed as it arrives. The text sent so far is recorded, so that an engine can
resume the response after a preemption or a failure.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder
from ragwortwing_policy.outcomes import (
    Completed,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
)
from ragwortwing_policy.routing import BackendKind
from ragwortwing_wire.messages import Header

from .backend_client import BackendAnswer, BackendCallError, CallFailure
from .calls import CallResult, register_call, wait_for_space
from .event_stream import EventSplitter, EventTooLongError, Usage, count_tokens, read_usage
from .whole_answer import assemble, can_stream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .agent_request import AgentRequest
    from .calls import CallContext

    Relay = Callable[[BackendAnswer, AgentRequest, CallContext], Awaitable[CallResult]]

ENGINE_IDLE_TIMEOUT = timedelta(seconds=10)
"""Time without a byte after which an engine is considered lost."""

WHOLE_ANSWER_IDLE_TIMEOUT = timedelta(seconds=120)
"""Idle timeout for a response that is not streamed, which arrives only when it is complete."""

SUCCESS = 200
JSON_TYPE = Header(b"content-type", b"application/json")
MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size of a response that is not streamed; it must fit into one frame."""


_decode_body = checked_decoder(msgspec.json.Decoder(dict[str, Any]).decode)


@register_call(BackendKind.ENGINE)
async def call_engine(request: AgentRequest, context: CallContext) -> CallResult:
    """Run a request at the engine, or resume it after the text generated so far."""
    submit = request.submit
    assert submit is not None
    try:
        body = _decode_body(submit.body)
        relay = _choose_relay(body)
        _add_extensions(body, request, context)
        encoded_body = msgspec.json.encode(body)
    except (InvalidDataError, RecursionError):
        return CallResult(NotRun(NotRunReason.INTERNAL_ERROR))
    headers = (
        *submit.headers,
        Header(b"x-request-id", request.request_id.encode()),
        Header(b"traceparent", context.traceparent.encode()),
    )
    idle_timeout = WHOLE_ANSWER_IDLE_TIMEOUT if relay is _relay_whole else ENGINE_IDLE_TIMEOUT

    def note_sent() -> None:
        request.sent_to_backend = True

    try:
        async with context.backend.call(
            submit.method, submit.path, headers, encoded_body, idle_timeout, note_sent
        ) as answer:
            if answer.status != SUCCESS:
                return await _relay_whole(answer, request, context)
            return await relay(answer, request, context)
    except BackendCallError as error:
        return CallResult(_outcome_of(error.failure, request))
    except EventTooLongError:
        return CallResult(Failed(FailedReason.BACKEND_LOST))


def _choose_relay(body: dict[str, Any]) -> Relay:
    if body.get("stream"):
        return _relay_events
    if not can_stream(body):
        return _relay_whole
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    return _relay_assembled


def _outcome_of(failure: CallFailure, request: AgentRequest) -> Outcome:
    if failure is CallFailure.NOT_SENT and not request.sent_to_backend:
        return NotRun(NotRunReason.NO_BACKEND)
    return Failed(FailedReason.BACKEND_LOST)


def _add_extensions(body: dict[str, Any], request: AgentRequest, context: CallContext) -> None:
    assert request.submit is not None
    body["priority"] = context.tier_of(request)
    text = request.submit.resume_text + request.text.text()
    if text:
        tokens = request.reserve.resumed_tokens + request.tokens
        body["resume"] = {"text": text, "tokens": tokens}


async def _relay_events(
    answer: BackendAnswer, request: AgentRequest, context: CallContext
) -> CallResult:
    """Relay the events as they arrive."""
    request.add_head(answer.status, answer.headers)
    splitter = EventSplitter()
    async for data in answer.iter_body():
        events = splitter.feed(data)
        if not events:
            continue
        tokens = count_tokens(events)
        request.add_text(events, tokens)
        request.add_chunk(events, tokens)
        context.on_progress(request, tokens)
        if request.is_full:
            await wait_for_space(request, answer)
    # An engine may close the connection cleanly before the response is complete. Only the final
    # `[DONE]` event shows that it is complete.
    if not splitter.is_done:
        return CallResult(Failed(FailedReason.BACKEND_LOST))
    return _completed(request, splitter.usage())


async def _relay_assembled(
    answer: BackendAnswer, request: AgentRequest, context: CallContext
) -> CallResult:
    """Assemble the streamed events into one response and send it when it is complete."""
    assert request.submit is not None
    splitter = EventSplitter()
    async for data in answer.iter_body():
        events = splitter.feed(data)
        tokens = count_tokens(events)
        request.add_text(events, tokens)
        context.on_progress(request, tokens)
    if not splitter.is_done:
        return CallResult(Failed(FailedReason.BACKEND_LOST))
    result = _completed(request, splitter.usage())
    text = request.submit.resume_text + request.text.text()
    request.add_head(SUCCESS, (JSON_TYPE,))
    request.add_chunk(assemble(splitter.last_events, text, splitter.usage()))
    return result


async def _relay_whole(
    answer: BackendAnswer, request: AgentRequest, context: CallContext
) -> CallResult:
    """Relay a response that is not streamed once it has arrived completely.

    A preempted request restarts from the beginning, so nothing may be sent before the end.
    """
    body = bytearray()
    async for data in answer.iter_body():
        body += data
        if len(body) > MAX_WHOLE_ANSWER_BYTES:
            return CallResult(Failed(FailedReason.BACKEND_ERROR, answer.status))
    request.add_head(answer.status, answer.headers)
    request.add_chunk(bytes(body))
    if answer.status != SUCCESS:
        return CallResult(Failed(FailedReason.BACKEND_ERROR, answer.status))
    usage = read_usage(bytes(body))
    context.on_progress(request, usage.completion_tokens)
    return _completed(request, usage)


def _completed(request: AgentRequest, usage: Usage) -> CallResult:
    generated = request.reserve.resumed_tokens + request.tokens
    return CallResult(
        Completed(usage.completion_tokens or generated),
        usage.prompt_tokens,
        usage.prompt_tokens_details.cached_tokens,
    )
