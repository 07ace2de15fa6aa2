"""Calls to a model engine: the answer is relayed as it comes, and can be resumed after a cut."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec

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

from .backend_client import BackendCallError, CallFailure, response_headers
from .calls import CallResult, calls
from .event_stream import EventSplitter, Usage, count_tokens, read_usage

if TYPE_CHECKING:
    import httpcore

    from .agent_request import AgentRequest
    from .calls import CallTools

ENGINE_SILENCE = timedelta(seconds=10)
"""Time without a byte after which an engine counts as lost."""

WHOLE_ANSWER_SILENCE = timedelta(seconds=120)
"""The same for an answer that is not streamed, of which nothing comes before its end."""

SUCCESS = 200
EVENT_STREAM = b"text/event-stream"
USAGE_TAIL = 65_536
"""Bytes of a whole answer that are looked through for the engine's count."""


@calls(BackendKind.ENGINE)
async def call_engine(request: AgentRequest, tools: CallTools) -> CallResult:
    """Run, or go on with, a request at the engine."""
    submit = request.submit
    assert submit is not None
    body = _engine_body(request, tools)
    headers = (
        *submit.headers,
        Header(b"x-request-id", request.request_id.encode()),
        Header(b"traceparent", tools.traceparent.encode()),
    )
    silence = ENGINE_SILENCE if body.get("stream") else WHOLE_ANSWER_SILENCE

    def note_sent() -> None:
        request.sent_to_backend = True

    try:
        async with tools.backend.call(
            submit.method, submit.path, headers, msgspec.json.encode(body), silence, note_sent
        ) as response:
            return await _relay(response, request, tools)
    except BackendCallError as error:
        return CallResult(_outcome_of(error.failure, request))


def _outcome_of(failure: CallFailure, request: AgentRequest) -> Outcome:
    if failure is CallFailure.NOT_SENT and not request.sent_to_backend:
        return NotRun(NotRunReason.NO_BACKEND)
    return Failed(FailedReason.BACKEND_LOST)


def _engine_body(request: AgentRequest, tools: CallTools) -> dict[str, Any]:
    assert request.submit is not None
    body: dict[str, Any] = msgspec.json.decode(request.submit.body)
    body["priority"] = tools.tier_of(request)
    text = request.submit.resume_text + request.text.text()
    if text:
        tokens = request.reserve.resumed_tokens + request.tokens
        body["resume"] = {"text": text, "tokens": tokens}
    return body


async def _relay(
    response: httpcore.Response, request: AgentRequest, tools: CallTools
) -> CallResult:
    headers = response_headers(response)
    request.add_head(response.status, headers)
    is_stream = any(
        each.name == b"content-type" and each.value.startswith(EVENT_STREAM) for each in headers
    )
    if response.status != SUCCESS or not is_stream:
        return await _relay_whole(response, request, tools)
    return await _relay_events(response, request, tools)


async def _relay_events(
    response: httpcore.Response, request: AgentRequest, tools: CallTools
) -> CallResult:
    splitter = EventSplitter()
    async for data in response.aiter_stream():
        events = splitter.feed(data)
        if not events:
            continue
        tokens = count_tokens(events)
        request.text.add(events)
        request.add_piece(events, tokens)
        tools.progressed(request, tokens)
        await request.wait_room()
    # An engine that ends the connection in good order in mid-answer has not completed it; the event
    # that ends a stream tells the two apart.
    if not splitter.is_done:
        return CallResult(Failed(FailedReason.BACKEND_LOST))
    return _completed(request, splitter.usage())


async def _relay_whole(
    response: httpcore.Response, request: AgentRequest, tools: CallTools
) -> CallResult:
    tail = b""
    async for data in response.aiter_stream():
        request.add_piece(data)
        tail = (tail + data)[-USAGE_TAIL:]
        await request.wait_room()
    if response.status != SUCCESS:
        return CallResult(Failed(FailedReason.BACKEND_ERROR, response.status))
    usage = read_usage(tail)
    tools.progressed(request, usage.completion_tokens)
    return _completed(request, usage)


def _completed(request: AgentRequest, usage: Usage) -> CallResult:
    generated = request.reserve.resumed_tokens + request.tokens
    return CallResult(
        Completed(usage.completion_tokens or generated),
        usage.prompt_tokens,
        usage.prompt_tokens_details.cached_tokens,
    )
