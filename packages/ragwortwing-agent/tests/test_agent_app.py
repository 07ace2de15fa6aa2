"""The agent over loopback sockets, with a simulated engine as its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
import trio
from agent_harness import LIMIT, Answer, agent_bench

from ragwortwing_agent.answer_buffer import UNSENT_LIMIT_BYTES
from ragwortwing_lab.fault_proxy import FaultProxy
from ragwortwing_lab.standins.batching import EngineSettings
from ragwortwing_lab.standins.engine import EVENT_STREAM
from ragwortwing_lab.standins.faults import Direction, Fault, FaultKind
from ragwortwing_lab.standins.generation import answer_text
from ragwortwing_policy.outcomes import Completed, Failed, FailedReason, NotRun, NotRunReason
from ragwortwing_policy.reservations import Preempt

if TYPE_CHECKING:
    from ragwortwing_lab.standins.http_server import Exchange

CHAT_PROMPT = "a menu [tokens=120]"
ENDLESS_PROMPT = "a catalogue [tokens=1000000]"


async def test_streamed_answer_is_complete_with_token_counts() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", CHAT_PROMPT)
        answer = await entry.ended("r1")
    assert answer.end.outcome == Completed(120)
    assert answer.end.prompt_tokens == 3
    assert answer.tokens == 120
    assert answer.text == answer_text(CHAT_PROMPT, 120)
    assert answer.body.endswith(b"data: [DONE]\n\n")
    assert answer.head.status == 200


async def test_answer_continues_on_new_connection_after_reset() -> None:
    """Guards against lost or repeated chunks when a connection is reset during a response.

    The entry reconnects and attaches to the request. `TestEntry` checks that the chunks arrive once
    and in order.
    """
    answers: dict[str, Answer] = {}
    async with agent_bench() as bench:
        proxy = FaultProxy(bench.wire)
        address = await bench.nursery.start(proxy.serve)
        async with bench.entry(answers, address) as entry:
            await entry.chat("r1", CHAT_PROMPT)
            await entry.until(lambda: entry.answer("r1").tokens >= 10)
            proxy.set_fault(Fault(FaultKind.CUT))
            with trio.fail_after(LIMIT):
                while entry.connection.closed is None:
                    await trio.sleep(0.002)
        async with bench.entry(answers, address) as entry:
            await entry.attach("r1")
            answer = await entry.ended("r1")
    assert answer.text == answer_text(CHAT_PROMPT, 120)
    assert answer.end.outcome == Completed(120)
    assert bench.engine.state()["started_by_id"] == {"r1": 1}


async def test_answer_continues_on_new_connection_when_old_one_is_silent() -> None:
    """Guards against losing chunks that were sent on a connection that no longer delivers data.

    A proxy accepts bytes on the old connection but forwards none; new connections work. The entry
    attaches on a new one while the agent still writes to the old one, and those chunks are sent
    again.
    """
    answers: dict[str, Answer] = {}
    async with agent_bench() as bench:
        proxy = FaultProxy(bench.wire)
        address = await bench.nursery.start(proxy.serve)
        async with bench.entry(answers, address) as old:
            await old.chat("r1", CHAT_PROMPT)
            await old.until(lambda: old.answer("r1").tokens >= 10)
            proxy.set_fault(Fault(FaultKind.SILENT, existing_only=True))
            async with bench.entry(answers, address) as entry:
                await entry.attach("r1")
                answer = await entry.ended("r1")
    assert answer.text == answer_text(CHAT_PROMPT, 120)
    assert answer.end.outcome == Completed(120)


async def test_outcome_lost_on_silent_connection_is_sent_again() -> None:
    """Guards against losing the head and outcome with a connection that delivers no data."""
    async with agent_bench() as bench:
        proxy = FaultProxy(bench.wire)
        address = await bench.nursery.start(proxy.serve)
        async with bench.entry(address=address) as old:
            await old.granted("r1")
            proxy.set_fault(Fault(FaultKind.SILENT, direction=Direction.TO_CLIENT))
            await old.submit_chat("r1", CHAT_PROMPT)
            request = bench.app.gate.requests_by_id["r1"]
            await bench.until(lambda: request.state == "ended" and not request.is_unfinished)
            async with bench.entry() as entry:
                await entry.attach("r1")
                answer = await entry.ended("r1")
    assert answer.text == answer_text(CHAT_PROMPT, 120)
    assert answer.head.status == 200
    assert answer.end.outcome == Completed(120)


async def test_late_message_of_abandoned_connection_is_ignored() -> None:
    """Guards against a late withdrawal on an abandoned connection cancelling a moved request."""
    async with agent_bench() as bench, bench.entry() as old:
        old.gives_credit = False
        await old.chat("r1", CHAT_PROMPT)
        await old.until(lambda: old.answer("r1").tokens >= 10)
        async with bench.entry() as entry:
            await entry.attach("r1")
            await entry.until(lambda: entry.answer("r1").tokens >= 20)
            await old.withdraw("r1")
            answer = await entry.ended("r1")
    assert answer.text == answer_text(CHAT_PROMPT, 120)


async def test_detached_answer_is_cancelled_after_reattach_limit() -> None:
    connections = {"reattach_limit": "200ms"}
    async with agent_bench(connections=connections) as bench:
        async with bench.entry() as entry:
            await entry.chat("r1", ENDLESS_PROMPT)
            await entry.until(lambda: entry.answer("r1").tokens >= 5)
        await bench.until(lambda: bench.engine.state()["cancelled_by_id"] == {"r1": 1})
        async with bench.entry() as entry:
            await entry.attach("r1")
            await entry.until(lambda: entry.answer("r1").detached)
    assert bench.app.gate.requests_by_id == {}


async def test_attach_of_another_account_is_rejected() -> None:
    """Guards against giving a response to an account that only knows the request id.

    The other account does not even learn that the request exists, and the owner's response
    continues.
    """
    async with agent_bench() as bench, bench.entry() as entry:
        entry.gives_credit = False
        await entry.chat("r1", CHAT_PROMPT)
        await entry.until(lambda: entry.answer("r1").tokens >= 5)
        async with bench.entry() as other_entry:
            await other_entry.attach("r1", account="other")
            await other_entry.until(lambda: other_entry.answer("r1").detached)
            assert other_entry.answer("r1").pieces == []
        answer = await entry.ended("r1")
    assert answer.text == answer_text(CHAT_PROMPT, 120)


async def test_answer_resumes_at_another_agent_after_engine_crash() -> None:
    """Guards against lost or repeated text when an engine crashes during a response.

    The outcome reports the loss and another agent resumes. The joined text equals that of a single
    run, and no token is generated twice.
    """
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", CHAT_PROMPT)
        await entry.until(lambda: entry.answer("r1").tokens >= 10)
        bench.crash_backend()
        cut = await entry.ended("r1")
    assert cut.end.outcome == Failed(FailedReason.BACKEND_LOST)
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", CHAT_PROMPT, resume_text=cut.text, resumed_tokens=cut.tokens)
        rest = await entry.ended("r1")
    assert cut.text + rest.text == answer_text(CHAT_PROMPT, 120)
    assert rest.end.outcome == Completed(120)
    assert bench.engine.state()["counts"]["generated_tokens"] == 120 - cut.tokens


async def test_stream_closed_without_done_event_is_not_completed() -> None:
    """Guards against reporting a response as completed that the engine closed without `[DONE]`."""

    async def answer_half(exchange: Exchange) -> None:
        await exchange.start(200, EVENT_STREAM)
        await exchange.write(b'data: {"choices":[{"delta":{"content":" half"}}]}\n\n')
        await exchange.finish()

    async with agent_bench() as bench, bench.entry() as entry:
        bench.engine._handlers_by_route["POST", "/v1/chat/completions"] = answer_half
        await entry.chat("r1", CHAT_PROMPT)
        answer = await entry.ended("r1")
    assert answer.end.outcome == Failed(FailedReason.BACKEND_LOST)
    assert answer.text == " half"


async def test_unreachable_engine_gives_not_run() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        bench.crash_backend()
        await entry.chat("r1", CHAT_PROMPT)
        answer = await entry.ended("r1")
    assert answer.end.outcome == NotRun(NotRunReason.NO_BACKEND)


async def test_slow_reader_does_not_delay_others_and_memory_is_bounded() -> None:
    """Guards against unbounded buffering when one caller stops reading a long response.

    Without credit the agent must stop reading from the engine, or it would buffer the whole
    response. Another request must proceed meanwhile.
    """
    window = 4_096
    fast = EngineSettings(step_seconds=0.0002)
    async with agent_bench(engine=fast) as bench, bench.entry() as entry:
        entry.gives_credit = False
        await entry.chat("slow", "x [tokens=2500]", window=window)
        await bench.until(lambda: bench.engine.state()["finished_by_id"] == {"slow": 1})
        await entry.chat("quick", "y [tokens=20]")
        assert (await entry.ended("quick")).tokens == 20
        slow = bench.app.gate.requests_by_id["slow"]
        assert sum(map(len, entry.answer("slow").pieces)) <= window
        assert slow.held_bytes <= window + 2 * UNSENT_LIMIT_BYTES
        entry.gives_credit = True
        await entry.credit("slow")
        answer = await entry.ended("slow")
    assert answer.text == answer_text("x [tokens=2500]", 2500)


async def test_preempted_stream_resumes_without_gap() -> None:
    """Guards against a gap or repetition in a response that is preempted and resumed twice."""
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", CHAT_PROMPT, request_class="draft")
        for at_least in (10, 40):
            await entry.until(lambda n=at_least: entry.answer("r1").tokens >= n)
            bench.app.gate._execute([Preempt("r1")])
        answer = await entry.ended("r1")
    assert answer.text == answer_text(CHAT_PROMPT, 120)
    assert answer.tokens == 120
    state = bench.engine.state()
    assert state["started_by_id"] == {"r1": 3}
    assert state["cancelled_by_id"] == {"r1": 2}


@pytest.mark.parametrize("extra", [{}, {"logprobs": False}], ids=["assembled", "passed on"])
async def test_unstreamed_answer_is_complete_after_preemption(extra: dict) -> None:
    """Guards against an incomplete response when a request without streaming is preempted.

    If the body allows it, the response is assembled from a stream and resumes where it stopped.
    Otherwise it restarts.
    """
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.granted("r1", request_class="draft")
        await entry.submit_chat("r1", CHAT_PROMPT, stream=False, **extra)
        state = bench.engine.state
        await bench.until(lambda: state()["counts"].get("generated_tokens", 0) >= 10)
        bench.app.gate._execute([Preempt("r1")])
        answer = await entry.ended("r1")
    whole = msgspec.json.decode(answer.body)
    assert whole["choices"][0]["message"]["content"] == answer_text(CHAT_PROMPT, 120)
    assert whole["choices"][0]["finish_reason"] == "stop"
    assert whole["id"] == "chatcmpl-r1"
    assert whole["usage"]["completion_tokens"] == 120
    assert answer.end.outcome == Completed(120)
    assert state()["cancelled_by_id"] == {"r1": 1}
    assert (state()["counts"]["resumed_tokens"] > 0) is (not extra)


async def test_engine_error_response_is_forwarded() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.granted("r1")
        await entry.submit_chat("r1", CHAT_PROMPT, model="other")
        answer = await entry.ended("r1")
    assert answer.head.status == 404
    assert answer.end.outcome == Failed(FailedReason.BACKEND_ERROR, 404)


async def test_withdrawn_request_is_cancelled_in_the_engine() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", ENDLESS_PROMPT)
        await entry.until(lambda: entry.answer("r1").tokens >= 5)
        await entry.withdraw("r1")
        await bench.until(lambda: bench.engine.state()["cancelled_by_id"] == {"r1": 1})
        await bench.until(lambda: bench.app.gate.load().running == 0)
    assert entry.answer("r1").end is None


async def test_lost_connection_releases_its_granted_slots() -> None:
    limits = {"initial_concurrency": 1, "maximum_concurrency": 1}
    async with agent_bench(backend_limits=limits) as bench:
        async with bench.entry() as entry:
            await entry.granted("r1")
        async with bench.entry() as entry:
            await entry.chat("r2", CHAT_PROMPT)
            assert (await entry.ended("r2")).tokens == 120


async def test_submit_without_grant_is_not_run() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.submit_chat("r1", CHAT_PROMPT)
        answer = await entry.ended("r1")
    assert answer.end.outcome == NotRun(NotRunReason.OVERLOADED)
    assert bench.engine.state()["started_by_id"] == {}


async def test_drain_finishes_running_requests_and_refuses_others() -> None:
    limits = {"initial_concurrency": 1, "maximum_concurrency": 1}
    async with agent_bench(backend_limits=limits) as bench, bench.entry() as entry:
        await entry.chat("running", CHAT_PROMPT)
        await entry.until(lambda: entry.answer("running").tokens >= 5)
        bench.engine.faults.set(Fault(FaultKind.FREEZE))
        await entry.reserve("queued", request_class="draft")
        await bench.until(lambda: bench.app.gate.load().queued == 1)
        bench.app.begin_drain()
        bench.app.begin_drain()
        await entry.until(lambda: entry.answer("queued").refused is not None)
        assert entry.answer("running").end is None
        await entry.until(lambda: entry.heartbeats[-1].leaving)
        await entry.reserve("new")
        await entry.until(lambda: entry.answer("new").refused is not None)
        bench.engine.faults.clear()
        answer = await entry.ended("running")
        await bench.until(lambda: bench.exit_code is not None)
    assert entry.answer("queued").refused.outcome == NotRun(NotRunReason.DRAINING)
    assert entry.answer("new").refused.outcome == NotRun(NotRunReason.DRAINING)
    assert answer.text == answer_text(CHAT_PROMPT, 120)
    assert bench.exit_code == 0


async def test_second_stop_aborts_running_requests_with_own_exit_code() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", ENDLESS_PROMPT)
        await entry.until(lambda: entry.answer("r1").tokens >= 5)
        bench.app.stop()
        bench.app.stop()
        await bench.until(lambda: bench.exit_code is not None)
    assert bench.exit_code == 3
