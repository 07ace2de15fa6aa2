"""The agent over real loopback sockets, with the engine's stand-in beside it."""

from __future__ import annotations

from agent_harness import agent_bench

from ragwortwing_lab.standins.generation import answer_text
from ragwortwing_policy.outcomes import Completed


async def test_streamed_answer_comes_whole_and_counted() -> None:
    async with agent_bench() as bench, bench.entry() as entry:
        prompt = "a menu [tokens=40]"
        await entry.chat("r1", prompt)
        answer = await entry.ended("r1")
    assert answer.end.outcome == Completed(40)
    assert answer.tokens == 40
    assert answer.text == answer_text(prompt, 40)
    assert answer.body.endswith(b"data: [DONE]\n\n")
    assert answer.head.status == 200
