"""A caller gets the whole answer to its own request, whatever breaks behind the entry."""

from __future__ import annotations

import signal
from dataclasses import replace

import trio
from site_callers import Callers, end, executions, site_callers, until, until_told

from ragwortwing_lab.site import SiteShape
from ragwortwing_lab.standins.generation import answer_text

PROXIED = SiteShape(entries=2, engines=2, desks=0, proxied=True)
ONE_SLOT = ("--slots", "1")
TOKENS = 120
SOME_EVENTS = 15


def prompt(name: str) -> str:
    return f"{name} [tokens={TOKENS}]"


def assert_whole(answer, text: str) -> None:
    assert answer.outcomes == ["completed"]
    assert answer.text == answer_text(text, TOKENS)


async def silence(callers: Callers, index: int) -> None:
    """Let the open connections to an agent go silent for good, while new ones work."""
    proxy = f"proxy-agent-engine-{index}"
    await callers.site.fault(proxy, "silent")
    await callers.site.clear(proxy)


async def engine_of(callers: Callers, count: int = 1) -> int:
    """Return the index of an engine that runs at least some requests."""
    busy: list[int] = []

    async def found() -> bool:
        for index in range(callers.site.shape.engines):
            if (await callers.site.state(f"engine-{index}"))["running"] >= count:
                busy.append(index)
        return bool(busy)

    await until_told(found)
    return busy[0]


async def test_connection_is_reset(tmp_path) -> None:
    """The connection between entry and agent is reset in the middle of an answer.

    The entry dials again and goes on from the piece it has; the caller sees no gap and no repeat,
    and the engine generates the answer once.
    """
    async with site_callers(tmp_path, PROXIED) as callers:
        text = prompt("reset")
        call = callers.chat(text)
        await until(lambda: call.events >= SOME_EVENTS)
        index = await engine_of(callers)
        await callers.site.fault(f"proxy-agent-engine-{index}", "cut")
        assert_whole(await end(call), text)
        assert len(executions(callers.site, "engine")) == 1


async def test_connection_goes_silent(tmp_path) -> None:
    """Something between entry and agent loses track of the connection: nothing comes, no error.

    Heartbeats show it, a new connection works, and the answer goes on where it stopped.
    """
    async with site_callers(tmp_path, PROXIED) as callers:
        text = prompt("silent")
        call = callers.chat(text)
        await until(lambda: call.events >= SOME_EVENTS)
        index = await engine_of(callers)
        await silence(callers, index)
        assert_whole(await end(call), text)


async def test_engine_is_killed(tmp_path) -> None:
    """The engine crashes in the middle of an answer.

    The answer goes on from another engine after the text that the caller has.
    """
    async with site_callers(tmp_path, PROXIED) as callers:
        text = prompt("engine")
        call = callers.chat(text)
        await until(lambda: call.events >= SOME_EVENTS)
        callers.site.process_by_name[f"engine-{await engine_of(callers)}"].kill()
        assert_whole(await end(call), text)


async def test_agent_is_killed(tmp_path) -> None:
    """The agent beside the engine is killed in the middle of an answer.

    The entry loses the agent, not the answer: it is resumed on another engine.
    """
    async with site_callers(tmp_path, PROXIED) as callers:
        text = prompt("agent")
        call = callers.chat(text)
        await until(lambda: call.events >= SOME_EVENTS)
        callers.site.process_by_name[f"agent-engine-{await engine_of(callers)}"].kill()
        assert_whole(await end(call), text)


async def test_engine_and_connection_fail_together(tmp_path) -> None:
    """The engine crashes and the other agent's connections go silent at the same moment."""
    async with site_callers(tmp_path, PROXIED) as callers:
        text = prompt("both")
        call = callers.chat(text)
        await until(lambda: call.events >= SOME_EVENTS)
        index = await engine_of(callers)
        await silence(callers, 1 - index)
        callers.site.process_by_name[f"engine-{index}"].kill()
        assert_whole(await end(call), text)


async def test_planned_stop_of_an_agent(tmp_path) -> None:
    """An operator replaces the VM of an agent while an answer runs there.

    The answer ends whole, the process exits in good order, and new requests go elsewhere.
    """
    async with site_callers(tmp_path, PROXIED) as callers:
        site = callers.site
        text = prompt("stop")
        call = callers.chat(text)
        await until(lambda: call.events >= SOME_EVENTS)
        index = await engine_of(callers)
        codes: list[int | None] = []

        async def stop() -> None:
            codes.append(await site.process_by_name[f"agent-engine-{index}"].stop())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            later = [callers.chat(prompt(f"later {number}")) for number in range(3)]
            assert_whole(await end(call), text)
            for number, each in enumerate(later):
                assert_whole(await end(each), prompt(f"later {number}"))
        assert codes == [0]
        ran_there = site.journal_path(f"engine-{index}").read_bytes().count(b"\n")
        assert ran_there == 1


async def test_planned_stop_of_an_entry(tmp_path) -> None:
    """An operator replaces an entry's VM while it streams answers: none is cut off."""
    async with site_callers(tmp_path, PROXIED) as callers:
        texts = [prompt(f"stop {number}") for number in range(4)]
        calls = [callers.chat(text) for text in texts]
        await until(lambda: all(call.events >= SOME_EVENTS for call in calls))
        assert await callers.site.process_by_name["entry-0"].stop() == 0
        for call, text in zip(calls, texts, strict=True):
            assert_whole(await end(call), text)


async def test_list_says_that_an_agent_leaves(tmp_path) -> None:
    """An agent stops while an answer runs there, and nothing that it says reaches the entries: the
    list of VMs, not the agent, is the first to say that it leaves.

    Once the entries have read it, the agent beside that VM's engine gets nothing new.
    """
    patient = {"connections": {"heartbeat_timeout": "60s"}}
    shape = replace(PROXIED, entry_settings=patient, agent_settings=patient)
    async with site_callers(tmp_path, shape) as callers:
        site = callers.site
        call = callers.chat("held [tokens=4000]")
        await until(lambda: call.events >= SOME_EVENTS)
        index = await engine_of(callers)
        name = f"agent-engine-{index}"
        await site.fault(f"proxy-{name}", "silent", direction="to_client")
        site.process_by_name[name].handle.send_signal(signal.SIGTERM)

        async def known_as_leaving() -> bool:
            for entry in range(2):
                address = site.process_by_name[f"entry-{entry}"].listen["operator"]
                status = (await site.call("GET", f"http://{address}/status")).json()
                agents = status["agents_by_id"]
                listed = [each for each in agents if each.startswith(name)]
                if any(not agents[each]["leaving"] for each in listed):
                    return False
            return True

        await until_told(known_as_leaving)
        for number in range(6):
            text = prompt(f"leaving {number}")
            assert_whole(await end(callers.chat(text, entry=number % 2)), text)
        assert site.journal_path(f"engine-{index}").read_bytes().count(b"\n") == 1


async def test_urgent_request_takes_the_slot_of_a_draft(tmp_path) -> None:
    """A baker's long draft holds the only slot when a buyer's chat comes.

    The chat is answered first; the draft goes on after it and is whole, and the engine generated
    little twice.
    """
    shape = SiteShape(
        entries=1,
        engines=1,
        desks=0,
        engine_arguments=ONE_SLOT,
        agent_settings={"backend": {"initial_concurrency": 1, "maximum_concurrency": 1}},
    )
    async with site_callers(tmp_path, shape) as callers:
        draft_text = "a long menu [tokens=400]"
        draft = callers.chat(draft_text, request_class="draft")
        await until(lambda: draft.events >= SOME_EVENTS)
        chat_text = prompt("urgent")
        chat = callers.chat(chat_text)
        assert_whole(await end(chat), chat_text)
        assert not draft.ended.is_set()
        answer = await end(draft)
        assert answer.outcomes == ["completed"]
        assert answer.text == answer_text(draft_text, 400)
