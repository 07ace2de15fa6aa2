"""Relays the answer of a request to its caller and reports the outcome."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.outcomes import Completed, Outcome

from .answers import (
    EVENT_STREAM,
    KEEP_ALIVE_COMMENT,
    Answer,
    outcome_answer,
    outcome_event,
    outcome_headers,
    with_content_length,
)
from .request_run import AnswerData, Ended, Idle, Part

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock

    from .answers import HeaderList
    from .http_call import HttpCall
    from .request_run import RequestRun

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"date",
        b"keep-alive",
        b"proxy-authenticate",
        b"server",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Response headers that apply to a single connection and are not forwarded."""


async def deliver(
    call: HttpCall, run: RequestRun, clock: Clock, keep_alive_seconds: float
) -> Outcome | None:
    """Deliver the answer of a run, and stop the run at once if the caller disconnects.

    Args:
        call: The caller's request.
        run: The request in flight.
        clock: Monotonic clock for the keep-alive timer.
        keep_alive_seconds: Interval of keep-alive comments while a stream waits for its
            first token.

    Returns:
        The outcome; None only if the task was cancelled first.
    """
    outcome: Outcome | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_for_disconnect, call, run, nursery.cancel_scope)
        run.start()
        if run.request.streamed:
            outcome = await _deliver_stream(call, run, clock, keep_alive_seconds)
        else:
            outcome = await _deliver_whole(call, run)
        nursery.cancel_scope.cancel()
    return outcome or run.outcome


async def _watch_for_disconnect(call: HttpCall, run: RequestRun, scope: trio.CancelScope) -> None:
    await call.wait_disconnected()
    await run.caller_disconnected()
    scope.cancel()


async def _deliver_stream(
    call: HttpCall, run: RequestRun, clock: Clock, keep_alive_seconds: float
) -> Outcome:
    request_id = run.request.request_id
    started = False
    idle_at = clock.monotonic() + keep_alive_seconds
    while True:
        part = await run.next_part(idle_at)
        if isinstance(part, Ended):
            break
        if not started:
            await call.start(200, _stream_headers(request_id))
            started = True
        if isinstance(part, AnswerData):
            idle_at = math.inf
            await call.send(part.data)
        else:
            idle_at = clock.monotonic() + keep_alive_seconds
            await call.send(KEEP_ALIVE_COMMENT)
    if started:
        await call.finish(outcome_event(part.outcome, request_id))
    elif isinstance(part.outcome, Completed):
        await call.start(200, _stream_headers(request_id))
        await call.finish(outcome_event(part.outcome, request_id))
    else:
        await call.answer(outcome_answer(part.outcome, request_id))
    return part.outcome


async def _deliver_whole(call: HttpCall, run: RequestRun) -> Outcome:
    request_id = run.request.request_id
    body = b""
    while True:
        part = await run.next_part(math.inf)
        if isinstance(part, AnswerData) and run.outcome is None:
            return await _deliver_large(call, run, part)
        if isinstance(part, AnswerData):
            body = part.data
        elif not isinstance(part, Idle):
            break
    if isinstance(part.outcome, Completed) and run.head is not None:
        headers = [*_relayed_headers(run), *outcome_headers(part.outcome, request_id)]
        await call.answer(with_content_length(Answer(run.head.status, headers, body)))
    else:
        await call.answer(outcome_answer(part.outcome, request_id))
    return part.outcome


async def _deliver_large(call: HttpCall, run: RequestRun, first: AnswerData) -> Outcome:
    """Relay a large answer as it arrives, and leave its body incomplete if the run fails.

    The response head is sent before the outcome is known, so a truncated body is the only way to
    signal a failure.
    """
    assert run.head is not None
    headers = [*_relayed_headers(run), (b"x-request-id", run.request.request_id.encode())]
    await call.start(run.head.status, headers)
    part: Part = first
    while not isinstance(part, Ended):
        if isinstance(part, AnswerData):
            await call.send(part.data)
        part = await run.next_part(math.inf)
    if isinstance(part.outcome, Completed):
        await call.finish()
    return part.outcome


def _stream_headers(request_id: str) -> HeaderList:
    return [
        (b"content-type", EVENT_STREAM),
        (b"cache-control", b"no-cache"),
        (b"x-request-id", request_id.encode()),
    ]


def _relayed_headers(run: RequestRun) -> HeaderList:
    assert run.head is not None
    return [
        (header.name.lower(), header.value)
        for header in run.head.headers
        if header.name.lower() not in HOP_BY_HOP_HEADERS and header.name.lower() != b"x-request-id"
    ]
