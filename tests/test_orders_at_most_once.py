"""Tests that orders run at most once and are reported correctly despite crashes and lost data."""

from __future__ import annotations

import pytest
import trio
from site_callers import (
    Callers,
    executions,
    site_callers,
    wait_for_answer,
    wait_until,
    wait_until_async,
)

from ragwortwing_lab.site import SiteShape
from ragwortwing_runtime.order_book import OrderBookSettings

DESKS = SiteShape(entries=2, engines=0, desks=2)
SLOW_DESKS = SiteShape(entries=2, engines=0, desks=2, desk_arguments=("--work-seconds", "1.5"))


async def resubmit_until_resolved(callers: Callers, key: str, entry: int):
    """Resubmit an order until the response is something other than a temporary refusal."""
    while True:
        answer = await wait_for_answer(callers.order(key, entry))
        if answer.reason not in ("no_backend", "in_progress", "overloaded", "withdrawn"):
            return answer
        await trio.sleep(0.1)


def executing_desk(callers: Callers) -> int:
    """Return the index of the first desk that has executed an order."""
    site = callers.site
    for index in range(site.shape.desks):
        path = site.journal_path(f"desk-{index}")
        if path.exists() and path.read_bytes():
            return index
    raise AssertionError("no desk has executed an order")


async def test_order_outcome_is_unknown_after_the_agent_is_killed(tmp_path) -> None:
    """The agent is killed while its desk executes an order.

    The outcome must be unknown, never not run. A resubmission through another entry must get
    unknown too: the claim in the log has no outcome, so the order must not run a second time.
    """
    async with site_callers(tmp_path, SLOW_DESKS) as callers:
        call = callers.order("wedding")
        await wait_until(lambda: executions(callers.site, "desk"))
        index = executing_desk(callers)
        callers.site.process_by_name[f"agent-desk-{index}"].kill()
        first = await wait_for_answer(call)
        again = await resubmit_until_resolved(callers, "wedding", entry=1)
        assert (first.outcome, again.outcome) == ("unknown", "unknown")
        assert len(executions(callers.site, "desk")) == 1


async def test_order_runs_once_after_the_entry_is_killed(tmp_path) -> None:
    """The entry is killed after it has sent the order's body, which breaks the caller's connection.

    A resubmission through the other entry must get the first run's result, or unknown if the agent
    abandoned the run when it lost the entry. The desk must have one order either way.
    """
    async with site_callers(tmp_path, SLOW_DESKS) as callers:
        call = callers.order("wedding")
        await wait_until(lambda: executions(callers.site, "desk"))
        callers.site.process_by_name["entry-0"].kill()
        assert not (await wait_for_answer(call)).is_complete
        again = await resubmit_until_resolved(callers, "wedding", entry=1)
        assert again.outcome in ("completed", "unknown")
        assert len(executions(callers.site, "desk")) == 1


async def test_order_outcome_is_unknown_after_the_desk_is_killed(tmp_path) -> None:
    """The desk crashes during an order and restarts.

    Nobody can know whether the order took effect, so the outcome must be unknown, and a
    resubmission must not reach the restarted desk.
    """
    async with site_callers(tmp_path, SLOW_DESKS) as callers:
        call = callers.order("wedding")
        await wait_until(lambda: executions(callers.site, "desk"))
        index = executing_desk(callers)
        desk = callers.site.process_by_name[f"desk-{index}"]
        port = int(desk.listen["http"].rpartition(":")[2])
        desk.kill()
        assert (await wait_for_answer(call)).outcome == "unknown"
        await desk.wait_exited()
        await callers.site.start_backend("desk", index, port)
        assert (await resubmit_until_resolved(callers, "wedding", entry=1)).outcome == "unknown"
        assert len(executions(callers.site, "desk")) == 1


@pytest.mark.parametrize("fault", ["lose_reply", "silent"])
async def test_order_completes_after_the_claim_reply_is_lost(tmp_path, fault) -> None:
    """The log accepts the claim, but its reply never arrives.

    The agent must find its claim in the log and continue: the order completes and runs once.
    """
    async with site_callers(tmp_path, DESKS) as callers:
        await callers.site.fault("store", fault, count=1)
        assert (await wait_for_answer(callers.order("wedding"))).outcome == "completed"
        assert len(executions(callers.site, "desk")) == 1


async def test_order_is_refused_in_a_log_outage_and_runs_afterwards(tmp_path) -> None:
    """An order arrives during a log outage.

    It must be refused at once as not run, with a retry-after time. After the outage the same key
    must run once.
    """
    async with site_callers(tmp_path, DESKS) as callers:
        await callers.site.fault("store", "outage")
        call = callers.order("wedding")
        refused = await wait_for_answer(call)
        assert (refused.outcome, refused.reason) == ("not_run", "log_unavailable")
        assert int(call.headers[b"retry-after"]) >= 1
        assert not executions(callers.site, "desk")
        await callers.site.clear("store")

        async def runs() -> bool:
            return (await wait_for_answer(callers.order("wedding"))).outcome == "completed"

        await wait_until_async(runs)
        assert len(executions(callers.site, "desk")) == 1


async def test_order_runs_at_most_once_when_agents_freeze_during_the_claim(tmp_path) -> None:
    """Both agents are suspended beyond every timeout while a claim is on its way to a slow log.

    The caller gets a response without them and resubmits the key through the other entry. A resumed
    agent must not send an order that another agent may have taken over by then.
    """
    async with site_callers(tmp_path, DESKS) as callers:
        site = callers.site
        await site.fault("store", "slow", seconds=0.5)
        call = callers.order("wedding")

        async def claimed() -> bool:
            streams = (await site.state("store"))["streams"]
            return streams.get(OrderBookSettings().stream, {}).get("next_offset", 0) > 0

        await wait_until_async(claimed)
        agents = [site.process_by_name[f"agent-desk-{index}"] for index in range(2)]
        agents[0].freeze()
        agents[1].freeze()
        await site.clear("store")
        await trio.sleep(2.5)  # length of the suspension, longer than the heartbeat timeout
        for agent in agents:
            agent.unfreeze()
        first = await wait_for_answer(call)
        again = await resubmit_until_resolved(callers, "wedding", entry=1)
        assert len(executions(site, "desk")) <= 1
        assert first.outcome != "not_run" or first.request_id not in {
            each.request_id for each in executions(site, "desk")
        }
        assert again.outcome in ("completed", "unknown")


async def test_idempotency_key_is_bound_to_body_and_scoped_to_account(tmp_path) -> None:
    """A key is reused with a different body, and by another client account.

    The first reuse must be refused and not run. The second is a separate order, because keys are
    scoped to a client account.
    """
    async with site_callers(tmp_path, DESKS) as callers:
        assert (await wait_for_answer(callers.order("wedding"))).outcome == "completed"
        other_body = await wait_for_answer(callers.order("wedding", entry=1, cake=2))
        assert (other_body.outcome, other_body.reason) == ("not_run", "key_reused")
        other_account = await wait_for_answer(
            callers.order("wedding", entry=1, account="nadi-bakery")
        )
        assert other_account.outcome == "completed"
        assert len(executions(callers.site, "desk")) == 2
