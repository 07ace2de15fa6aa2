"""The agent over real loopback sockets, with the engine's stand-in beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
import trio
from agent_harness import LIMIT, Answer, agent_bench

from ragwortwing_agent.answer_buffer import UNSENT_LIMIT
from ragwortwing_lab.fault_proxy import FaultProxy
from ragwortwing_lab.standins.batching import EngineSettings
from ragwortwing_lab.standins.engine import EVENT_STREAM
from ragwortwing_lab.standins.faults import Direction, Fault, FaultKind
from ragwortwing_lab.standins.generation import answer_text
from ragwortwing_policy.outcomes import Completed, Failed, FailedReason, NotRun, NotRunReason
from ragwortwing_policy.reservations import Preempt

if TYPE_CHECKING:
    from ragwortwing_lab.standins.http_server import Exchange

MENU = "a menu [tokens=120]"
ENDLESS = "a catalogue [tokens=1000000]"


async def test_streamed_answer_comes_whole_and_counted() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", MENU)
        answer = await entry.ended("r1")
    assert answer.end.outcome == Completed(120)
    assert answer.end.prompt_tokens == 3
    assert answer.tokens == 120
    assert answer.text == answer_text(MENU, 120)
    assert answer.body.endswith(b"data: [DONE]\n\n")
    assert answer.head.status == 200


async def test_cut_connection_is_taken_up_on_a_new_one() -> None:
    """A family waits for a long menu; the connection to the agent is reset in mid-answer.

    The entry dials anew and attaches. The caller sees one whole answer, in order; `TestEntry`
    checks that no piece is missing or comes twice.
    """
    answers: dict[str, Answer] = {}
    async with agent_bench() as bench:
        proxy = FaultProxy(bench.wire)
        address = await bench.nursery.start(proxy.serve)
        async with bench.entry(answers, address) as entry:
            await entry.chat("r1", MENU)
            await entry.until(lambda: entry.answer("r1").tokens >= 10)
            proxy.set_fault(Fault(FaultKind.CUT))
            with trio.fail_after(LIMIT):
                while entry.connection.closed is None:
                    await trio.sleep(0.002)
        async with bench.entry(answers, address) as entry:
            await entry.attach("r1")
            answer = await entry.ended("r1")
    assert answer.text == answer_text(MENU, 120)
    assert answer.end.outcome == Completed(120)
    assert bench.engine.state()["started_by_id"] == {"r1": 1}


async def test_silent_connection_is_taken_up_on_a_new_one() -> None:
    """Something between the two ends forgets the connection: it takes bytes and gives none.

    New connections work. The entry attaches on one while the agent still writes to the old, and
    what the agent wrote there is sent again.
    """
    answers: dict[str, Answer] = {}
    async with agent_bench() as bench:
        proxy = FaultProxy(bench.wire)
        address = await bench.nursery.start(proxy.serve)
        async with bench.entry(answers, address) as old:
            await old.chat("r1", MENU)
            await old.until(lambda: old.answer("r1").tokens >= 10)
            proxy.set_fault(Fault(FaultKind.SILENT, existing_only=True))
            async with bench.entry(answers, address) as entry:
                await entry.attach("r1")
                answer = await entry.ended("r1")
    assert answer.text == answer_text(MENU, 120)
    assert answer.end.outcome == Completed(120)


async def test_outcome_that_was_sent_into_silence_is_sent_again() -> None:
    """The whole answer and its outcome left on a connection that had gone silent."""
    async with agent_bench() as bench:
        proxy = FaultProxy(bench.wire)
        address = await bench.nursery.start(proxy.serve)
        async with bench.entry(address=address) as old:
            await old.granted("r1")
            proxy.set_fault(Fault(FaultKind.SILENT, direction=Direction.TO_CLIENT))
            await old.submit_chat("r1", MENU)
            request = bench.app.gate.requests_by_id["r1"]
            await bench.until(lambda: request.state == "ended" and not request.is_unfinished)
            async with bench.entry() as entry:
                await entry.attach("r1")
                answer = await entry.ended("r1")
    assert answer.text == answer_text(MENU, 120)
    assert answer.head.status == 200
    assert answer.end.outcome == Completed(120)


async def test_late_words_of_a_connection_that_was_given_up_are_ignored() -> None:
    """An entry took its request up on a new connection; then its old one delivers a withdrawal."""
    async with agent_bench() as bench, bench.entry() as old:
        old.gives_credit = False
        await old.chat("r1", MENU)
        await old.until(lambda: old.answer("r1").tokens >= 10)
        async with bench.entry() as entry:
            await entry.attach("r1")
            await entry.until(lambda: entry.answer("r1").tokens >= 20)
            await old.withdraw("r1")
            answer = await entry.ended("r1")
    assert answer.text == answer_text(MENU, 120)


async def test_answer_nobody_fetches_is_cancelled_after_a_while() -> None:
    connections = {"reattach_limit": "200ms"}
    async with agent_bench(connections=connections) as bench:
        async with bench.entry() as entry:
            await entry.chat("r1", ENDLESS)
            await entry.until(lambda: entry.answer("r1").tokens >= 5)
        await bench.until(lambda: bench.engine.state()["cancelled_by_id"] == {"r1": 1})
        async with bench.entry() as entry:
            await entry.attach("r1")
            await entry.until(lambda: entry.answer("r1").detached)
    assert bench.app.gate.requests_by_id == {}


async def test_answer_is_given_only_to_the_account_that_asked() -> None:
    """A request id of one bakery reaches an entry on behalf of another, which attaches with it.

    It learns nothing, not even that the request exists, and the owner's answer is not disturbed.
    """
    async with agent_bench() as bench, bench.entry() as entry:
        entry.gives_credit = False
        await entry.chat("r1", MENU)
        await entry.until(lambda: entry.answer("r1").tokens >= 5)
        async with bench.entry() as stranger:
            await stranger.attach("r1", account="other")
            await stranger.until(lambda: stranger.answer("r1").detached)
            assert stranger.answer("r1").pieces == []
        answer = await entry.ended("r1")
    assert answer.text == answer_text(MENU, 120)


async def test_engine_lost_in_mid_answer_is_resumed_elsewhere() -> None:
    """An engine crashes in mid-answer. The outcome says so, and another agent goes on.

    The caller's text is the answer as one run would have given it, and no token is made twice.
    """
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", MENU)
        await entry.until(lambda: entry.answer("r1").tokens >= 10)
        bench.crash_backend()
        cut = await entry.ended("r1")
    assert cut.end.outcome == Failed(FailedReason.BACKEND_LOST)
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", MENU, resume_text=cut.text, resumed_tokens=cut.tokens)
        rest = await entry.ended("r1")
    assert cut.text + rest.text == answer_text(MENU, 120)
    assert rest.end.outcome == Completed(120)
    assert bench.engine.state()["counts"]["generated_tokens"] == 120 - cut.tokens


async def test_stream_that_ends_early_in_good_order_is_not_complete() -> None:
    """An engine closes a stream properly but without its last event; the caller lacks the rest."""

    async def answer_half(exchange: Exchange) -> None:
        await exchange.start(200, EVENT_STREAM)
        await exchange.write(b'data: {"choices":[{"delta":{"content":" half"}}]}\n\n')
        await exchange.finish()

    async with agent_bench() as bench, bench.entry() as entry:
        bench.engine._handlers_by_route["POST", "/v1/chat/completions"] = answer_half
        await entry.chat("r1", MENU)
        answer = await entry.ended("r1")
    assert answer.end.outcome == Failed(FailedReason.BACKEND_LOST)
    assert answer.text == " half"


async def test_engine_that_is_down_has_run_nothing() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        bench.crash_backend()
        await entry.chat("r1", MENU)
        answer = await entry.ended("r1")
    assert answer.end.outcome == NotRun(NotRunReason.NO_BACKEND)


async def test_slow_reader_holds_up_only_itself_and_a_bounded_memory() -> None:
    """One caller stops reading a long answer while another's chat goes on beside it.

    Without credit the agent would keep the whole of the long answer, and without a stop of reading
    at the engine so would this process's memory grow.
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
        assert slow.held_bytes <= window + 2 * UNSENT_LIMIT
        entry.gives_credit = True
        await entry.credit("slow")
        answer = await entry.ended("slow")
    assert answer.text == answer_text("x [tokens=2500]", 2500)


async def test_preempted_answer_goes_on_as_one() -> None:
    """A draft gives its slot to an urgent request and is resumed; the caller sees one answer."""
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", MENU, request_class="draft")
        for at_least in (10, 40):
            await entry.until(lambda n=at_least: entry.answer("r1").tokens >= n)
            bench.app.gate._execute([Preempt("r1")])
        answer = await entry.ended("r1")
    assert answer.text == answer_text(MENU, 120)
    assert answer.tokens == 120
    state = bench.engine.state()
    assert state["started_by_id"] == {"r1": 3}
    assert state["cancelled_by_id"] == {"r1": 2}


@pytest.mark.parametrize("extra", [{}, {"logprobs": False}], ids=["assembled", "passed on"])
async def test_whole_answer_survives_preemption(extra: dict) -> None:
    """A caller that does not stream is preempted too; its one answer is whole all the same.

    Where the body allows it the answer is put together from a stream and goes on at its offset.
    """
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.granted("r1", request_class="draft")
        await entry.submit_chat("r1", MENU, stream=False, **extra)
        state = bench.engine.state
        await bench.until(lambda: state()["counts"].get("generated_tokens", 0) >= 10)
        bench.app.gate._execute([Preempt("r1")])
        answer = await entry.ended("r1")
    whole = msgspec.json.decode(answer.body)
    assert whole["choices"][0]["message"]["content"] == answer_text(MENU, 120)
    assert whole["choices"][0]["finish_reason"] == "stop"
    assert whole["id"] == "chatcmpl-r1"
    assert whole["usage"]["completion_tokens"] == 120
    assert answer.end.outcome == Completed(120)
    assert state()["cancelled_by_id"] == {"r1": 1}
    assert (state()["counts"]["resumed_tokens"] > 0) is (not extra)


async def test_error_of_the_engine_is_passed_on() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.granted("r1")
        await entry.submit_chat("r1", MENU, model="other")
        answer = await entry.ended("r1")
    assert answer.head.status == 404
    assert answer.end.outcome == Failed(FailedReason.BACKEND_ERROR, 404)


async def test_hang_up_cancels_the_work_in_the_engine() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", ENDLESS)
        await entry.until(lambda: entry.answer("r1").tokens >= 5)
        await entry.withdraw("r1")
        await bench.until(lambda: bench.engine.state()["cancelled_by_id"] == {"r1": 1})
        await bench.until(lambda: bench.app.gate.load().running == 0)
    assert entry.answer("r1").end is None


async def test_lost_connection_frees_the_slots_it_held() -> None:
    limits = {"initial_concurrency": 1, "maximum_concurrency": 1}
    async with agent_bench(backend_limits=limits) as bench:
        async with bench.entry() as entry:
            await entry.granted("r1")
        async with bench.entry() as entry:
            await entry.chat("r2", MENU)
            assert (await entry.ended("r2")).tokens == 120


async def test_body_without_a_grant_is_not_run() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.submit_chat("r1", MENU)
        answer = await entry.ended("r1")
    assert answer.end.outcome == NotRun(NotRunReason.OVERLOADED)
    assert bench.engine.state()["started_by_id"] == {}


async def test_drain_finishes_what_runs_and_takes_nothing_new() -> None:
    limits = {"initial_concurrency": 1, "maximum_concurrency": 1}
    async with agent_bench(backend_limits=limits) as bench, bench.entry() as entry:
        await entry.chat("running", MENU)
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
    assert answer.text == answer_text(MENU, 120)
    assert bench.exit_code == 0


async def test_second_signal_cuts_and_says_so() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        await entry.chat("r1", ENDLESS)
        await entry.until(lambda: entry.answer("r1").tokens >= 5)
        bench.app.stop()
        bench.app.stop()
        await bench.until(lambda: bench.exit_code is not None)
    assert bench.exit_code == 3
