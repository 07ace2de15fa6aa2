"""An order runs at most once, whatever is killed, frozen or lost, and callers hear the truth."""

from __future__ import annotations

import pytest
import trio
from site_callers import Callers, end, executions, site_callers, until, until_told

from ragwortwing_lab.site import SiteShape
from ragwortwing_runtime.order_book import OrderBookSettings

DESKS = SiteShape(entries=2, engines=0, desks=2)
SLOW_DESKS = SiteShape(entries=2, engines=0, desks=2, desk_arguments=("--work-seconds", "1.5"))


async def repeat_until_answered(callers: Callers, key: str, entry: int):
    """Submit a key again until it is told something other than that nothing is there to run it."""
    while True:
        answer = await end(callers.order(key, entry))
        if answer.reason not in ("no_backend", "in_progress", "overloaded", "withdrawn"):
            return answer
        await trio.sleep(0.1)


def running_desk(callers: Callers) -> int:
    """Return the index of the desk that has run the only order."""
    site = callers.site
    for index in range(site.shape.desks):
        path = site.journal_path(f"desk-{index}")
        if path.exists() and path.read_bytes():
            return index
    raise AssertionError("no desk ran anything")


async def test_agent_killed_while_the_order_runs(tmp_path) -> None:
    """A family orders a cake; the desk is at work on it when the agent beside it is killed.

    The caller is told unknown, never not run. It repeats the key through another entry, and is told
    unknown again: the claim in the log has no outcome, and nobody may run the order a second time.
    """
    async with site_callers(tmp_path, SLOW_DESKS) as callers:
        call = callers.order("wedding")
        await until(lambda: executions(callers.site, "desk"))
        index = running_desk(callers)
        callers.site.process_by_name[f"agent-desk-{index}"].kill()
        first = await end(call)
        again = await repeat_until_answered(callers, "wedding", entry=1)
        assert (first.outcome, again.outcome) == ("unknown", "unknown")
        assert len(executions(callers.site, "desk")) == 1


async def test_entry_killed_while_the_order_runs(tmp_path) -> None:
    """The entry dies after it sent the order's body; the caller's connection breaks.

    The caller repeats the key through the other entry and gets the first run's own answer or, where
    the agent gave the run up with its entry, unknown. The desk has one order either way.
    """
    async with site_callers(tmp_path, SLOW_DESKS) as callers:
        call = callers.order("wedding")
        await until(lambda: executions(callers.site, "desk"))
        callers.site.process_by_name["entry-0"].kill()
        assert not (await end(call)).whole
        again = await repeat_until_answered(callers, "wedding", entry=1)
        assert again.outcome in ("completed", "unknown")
        assert len(executions(callers.site, "desk")) == 1


async def test_desk_killed_while_the_order_runs(tmp_path) -> None:
    """The desk itself crashes in the middle of an order and comes back.

    Whether the cake was booked cannot be known, so the caller is told unknown, and a repeat of the
    key is not sent to the desk that came back.
    """
    async with site_callers(tmp_path, SLOW_DESKS) as callers:
        call = callers.order("wedding")
        await until(lambda: executions(callers.site, "desk"))
        index = running_desk(callers)
        desk = callers.site.process_by_name[f"desk-{index}"]
        port = int(desk.listen["http"].rpartition(":")[2])
        desk.kill()
        assert (await end(call)).outcome == "unknown"
        await desk.wait_dead()
        await callers.site.start_backend("desk", index, port)
        assert (await repeat_until_answered(callers, "wedding", entry=1)).outcome == "unknown"
        assert len(executions(callers.site, "desk")) == 1


@pytest.mark.parametrize("fault", ["lose_reply", "silent"])
async def test_reply_of_the_claim_is_lost(tmp_path, fault) -> None:
    """The log takes the claim, but its reply never arrives.

    The agent reads the log, finds its own claim there and goes on; the caller sees a completed
    order, and the desk has it once.
    """
    async with site_callers(tmp_path, DESKS) as callers:
        await callers.site.fault("store", fault, count=1)
        assert (await end(callers.order("wedding"))).outcome == "completed"
        assert len(executions(callers.site, "desk")) == 1


async def test_log_is_down(tmp_path) -> None:
    """The log is in an outage when an order comes.

    The caller is told at once that it was not run and when to come back; after the outage the same
    key runs, once.
    """
    async with site_callers(tmp_path, DESKS) as callers:
        await callers.site.fault("store", "outage")
        call = callers.order("wedding")
        refused = await end(call)
        assert (refused.outcome, refused.reason) == ("not_run", "log_unavailable")
        assert int(call.headers[b"retry-after"]) >= 1
        assert not executions(callers.site, "desk")
        await callers.site.clear("store")

        async def runs() -> bool:
            return (await end(callers.order("wedding"))).outcome == "completed"

        await until_told(runs)
        assert len(executions(callers.site, "desk")) == 1


async def test_agent_frozen_between_claim_and_send(tmp_path) -> None:
    """The agent is paused while its claim is on the way to a slow log, past every timeout.

    The caller gets an answer without it and repeats the key through the other entry and the other
    agent. When the paused agent goes on it must not send what others now decide over.
    """
    async with site_callers(tmp_path, DESKS) as callers:
        site = callers.site
        await site.fault("store", "slow", seconds=0.5)
        call = callers.order("wedding")

        async def claimed() -> bool:
            streams = (await site.state("store"))["streams"]
            return streams.get(OrderBookSettings().stream, {}).get("next_offset", 0) > 0

        await until_told(claimed)
        agents = [site.process_by_name[f"agent-desk-{index}"] for index in range(2)]
        agents[0].freeze()
        agents[1].freeze()
        await site.clear("store")
        await trio.sleep(2.5)  # the length of the pause itself, beyond the heartbeat timeout
        for agent in agents:
            agent.thaw()
        first = await end(call)
        again = await repeat_until_answered(callers, "wedding", entry=1)
        assert len(executions(site, "desk")) <= 1
        assert first.outcome != "not_run" or first.request_id not in {
            each.request_id for each in executions(site, "desk")
        }
        assert again.outcome in ("completed", "unknown")


async def test_key_with_another_body_and_another_account(tmp_path) -> None:
    """A key is used again with a different cake, and the same key by another client account.

    The first is refused and not run; the second is another order, since keys are scoped.
    """
    async with site_callers(tmp_path, DESKS) as callers:
        assert (await end(callers.order("wedding"))).outcome == "completed"
        other_body = await end(callers.order("wedding", entry=1, cake=2))
        assert (other_body.outcome, other_body.reason) == ("not_run", "key_reused")
        other_account = await end(callers.order("wedding", entry=1, account="nadi-bakery"))
        assert other_account.outcome == "completed"
        assert len(executions(callers.site, "desk")) == 2
