"""Tests of a request run: back-pressure by credits, duplicate chunks, partial events, buffering."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import Any

import pytest
import trio

from ragwortwing_entry.caller_request import CallerRequest
from ragwortwing_entry.request_run import (
    MAX_BUFFERED_ANSWER_BYTES,
    AnswerData,
    Ended,
    Idle,
    RequestRun,
)
from ragwortwing_policy.retries import RetryBudget
from ragwortwing_policy.routing import AgentView, BackendKind, Router
from ragwortwing_runtime.system_clock import SystemClock
from ragwortwing_wire.messages import Chunk, Credit, End, Granted, Submit

WINDOW = 4_096
AGENT = "agent-1/1"
EVENT = b'data: {"choices":[{"delta":{"content":" x"}}]}\n\n'


class FakeLink:
    """Records the messages that a run sends to its agent."""

    is_open = True

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def add_run(self, run: RequestRun) -> None:
        pass

    def remove_run(self, request_id: str) -> None:
        pass

    async def send(self, message: Any) -> None:
        self.sent.append(message)

    def credits(self) -> list[Credit]:
        return [each for each in self.sent if isinstance(each, Credit)]


class FakePool:
    """Agent pool with a single link."""

    def __init__(self, link: FakeLink) -> None:
        self.link = link

    def get_link(self, agent_id: str) -> FakeLink:
        return self.link


async def started_run(
    link: FakeLink, streamed: bool = True, kind: BackendKind = BackendKind.ENGINE
) -> RequestRun:
    clock = SystemClock()
    now = clock.monotonic()
    router = Router("suva", Random(1))
    router.update(AgentView(AGENT, "suva", kind, frozenset({"writer"})), now)
    request = CallerRequest(
        request_id="r",
        account="suva",
        request_class="chat",
        tier=0,
        kind=kind,
        target="writer",
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"{}",
        arrived_at=now,
        deadline=now + 60,
        streamed=streamed,
    )
    pool: Any = FakePool(link)
    run = RequestRun(request, pool, router, RetryBudget(), clock, WINDOW)
    run.start()
    assert isinstance(await run.next_part(now), Idle)
    run.granted(AGENT, Granted("r", timedelta(seconds=1)))
    assert isinstance(await run.next_part(now), Idle)
    assert isinstance(link.sent[-1], Submit)
    return run


async def test_credit_is_sent_only_for_delivered_bytes() -> None:
    """Guards against unbounded buffering for a caller that reads slower than its engine writes.

    The agent may send one window and must then stop until the caller has taken the buffered data.
    """
    link = FakeLink()
    run = await started_run(link)
    count = WINDOW // len(EVENT)
    for sequence in range(count):
        run.chunk_received(AGENT, Chunk("r", sequence, EVENT, 1))
    assert await run.next_part(0.0) == AnswerData(EVENT * count)
    assert link.credits() == []
    with trio.move_on_after(0):
        await run.next_part(0.0)
    assert link.credits() == [Credit("r", count, WINDOW)]


@pytest.mark.parametrize("cut", [1, 20, len(EVENT) - 1])
async def test_only_complete_events_are_relayed(cut: int) -> None:
    """Guards against a partial event reaching the caller, wherever a chunk splits it."""
    run = await started_run(FakeLink())
    run.chunk_received(AGENT, Chunk("r", 0, EVENT + EVENT[:cut], 1))
    assert await run.next_part(0.0) == AnswerData(EVENT)
    run.chunk_received(AGENT, Chunk("r", 1, EVENT[cut:], 1))
    assert await run.next_part(0.0) == AnswerData(EVENT)


async def test_repeated_and_foreign_chunks_are_ignored() -> None:
    """Guards against duplicate text from a reattached or an abandoned agent."""
    run = await started_run(FakeLink())
    run.chunk_received(AGENT, Chunk("r", 0, EVENT, 1))
    run.chunk_received(AGENT, Chunk("r", 0, EVENT, 1))
    run.chunk_received("agent-2/1", Chunk("r", 1, EVENT, 1))
    assert await run.next_part(0.0) == AnswerData(EVENT)
    assert run.tokens == 1


async def test_large_service_answer_is_relayed_unbuffered() -> None:
    """Guards against a large download that fills memory or is retried after partial delivery."""
    link = FakeLink()
    run = await started_run(link, streamed=False, kind=BackendKind.SERVICE)
    piece = b"x" * (MAX_BUFFERED_ANSWER_BYTES // 2 + 1)
    run.chunk_received(AGENT, Chunk("r", 0, piece, 0))
    assert isinstance(await run.next_part(0.0), Idle)
    run.chunk_received(AGENT, Chunk("r", 1, piece, 0))
    assert await run.next_part(0.0) == AnswerData(piece * 2)
    run.agent_lost(AGENT)
    assert isinstance(await run.next_part(0.0), Ended)


async def test_unstreamed_answer_is_buffered_until_outcome() -> None:
    """Guards against relaying part of an answer whose run may still fail."""
    run = await started_run(FakeLink(), streamed=False)
    run.chunk_received(AGENT, Chunk("r", 0, b'{"a":', 0))
    assert isinstance(await run.next_part(0.0), Idle)
    run.chunk_received(AGENT, Chunk("r", 1, b"1}", 0))
    run.ended(AGENT, End("r", 2))
    assert await run.next_part(0.0) == AnswerData(b'{"a":1}')
    assert isinstance(await run.next_part(0.0), Ended)
