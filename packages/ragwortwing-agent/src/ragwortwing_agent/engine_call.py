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

from .backend_client import BackendAnswer, BackendCallError, CallFailure
from .calls import CallResult, calls, wait_room
from .event_stream import EventSplitter, Usage, count_tokens, read_usage
from .whole_answer import assemble, can_stream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .agent_request import AgentRequest
    from .calls import CallTools

    Relay = Callable[[BackendAnswer, AgentRequest, CallTools], Awaitable[CallResult]]

ENGINE_SILENCE = timedelta(seconds=10)
"""Time without a byte after which an engine counts as lost."""

WHOLE_ANSWER_SILENCE = timedelta(seconds=120)
"""The same for an answer that is not streamed, of which nothing comes before its end."""

SUCCESS = 200
JSON_TYPE = Header(b"content-type", b"application/json")
WHOLE_ANSWER_LIMIT = 8 * 1024 * 1024
"""Bytes of an answer that is not streamed; a frame must be able to hold it."""


@calls(BackendKind.ENGINE)
async def call_engine(request: AgentRequest, tools: CallTools) -> CallResult:
    """Run, or go on with, a request at the engine."""
    submit = request.submit
    assert submit is not None
    body: dict[str, Any] = msgspec.json.decode(submit.body)
    relay = _choose_relay(body)
    _add_extensions(body, request, tools)
    headers = (
        *submit.headers,
        Header(b"x-request-id", request.request_id.encode()),
        Header(b"traceparent", tools.traceparent.encode()),
    )
    silence = WHOLE_ANSWER_SILENCE if relay is _relay_whole else ENGINE_SILENCE

    def note_sent() -> None:
        request.sent_to_backend = True

    try:
        async with tools.backend.call(
            submit.method, submit.path, headers, msgspec.json.encode(body), silence, note_sent
        ) as answer:
            if answer.status != SUCCESS:
                return await _relay_whole(answer, request, tools)
            return await relay(answer, request, tools)
    except BackendCallError as error:
        return CallResult(_outcome_of(error.failure, request))


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


def _add_extensions(body: dict[str, Any], request: AgentRequest, tools: CallTools) -> None:
    assert request.submit is not None
    body["priority"] = tools.tier_of(request)
    text = request.submit.resume_text + request.text.text()
    if text:
        tokens = request.reserve.resumed_tokens + request.tokens
        body["resume"] = {"text": text, "tokens": tokens}


async def _relay_events(
    answer: BackendAnswer, request: AgentRequest, tools: CallTools
) -> CallResult:
    """Pass the events on as they come."""
    request.add_head(answer.status, answer.headers)
    splitter = EventSplitter()
    async for data in answer.pieces():
        events = splitter.feed(data)
        if not events:
            continue
        tokens = count_tokens(events)
        request.add_text(events, tokens)
        request.add_piece(events, tokens)
        tools.progressed(request, tokens)
        if request.is_full:
            await wait_room(request, answer)
    # An engine that ends the connection in good order in mid-answer has not completed it; the event
    # that ends a stream tells the two apart.
    if not splitter.is_done:
        return CallResult(Failed(FailedReason.BACKEND_LOST))
    return _completed(request, splitter.usage())


async def _relay_assembled(
    answer: BackendAnswer, request: AgentRequest, tools: CallTools
) -> CallResult:
    """Put the events together and pass the whole answer on."""
    assert request.submit is not None
    splitter = EventSplitter()
    async for data in answer.pieces():
        events = splitter.feed(data)
        tokens = count_tokens(events)
        request.add_text(events, tokens)
        tools.progressed(request, tokens)
    if not splitter.is_done:
        return CallResult(Failed(FailedReason.BACKEND_LOST))
    result = _completed(request, splitter.usage())
    text = request.submit.resume_text + request.text.text()
    request.add_head(SUCCESS, (JSON_TYPE,))
    request.add_piece(assemble(splitter.last_events, text, splitter.usage()))
    return result


async def _relay_whole(
    answer: BackendAnswer, request: AgentRequest, tools: CallTools
) -> CallResult:
    """Pass a whole answer on once it is there.

    A preempted request runs anew, so that nothing of an earlier run may have been passed on.
    """
    body = bytearray()
    async for data in answer.pieces():
        body += data
        if len(body) > WHOLE_ANSWER_LIMIT:
            return CallResult(Failed(FailedReason.BACKEND_ERROR, answer.status))
    request.add_head(answer.status, answer.headers)
    request.add_piece(bytes(body))
    if answer.status != SUCCESS:
        return CallResult(Failed(FailedReason.BACKEND_ERROR, answer.status))
    usage = read_usage(bytes(body))
    tools.progressed(request, usage.completion_tokens)
    return _completed(request, usage)


def _completed(request: AgentRequest, usage: Usage) -> CallResult:
    generated = request.reserve.resumed_tokens + request.tokens
    return CallResult(
        Completed(usage.completion_tokens or generated),
        usage.prompt_tokens,
        usage.prompt_tokens_details.cached_tokens,
    )
