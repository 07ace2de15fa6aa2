"""Orders to the engine come only from the current agent, identified by its fencing number."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest
import trio
from agent_harness import CONFIGURATION, LIMIT, MODEL, StaticConfigurationFeed, agent_settings

from ragwortwing_agent.backend_client import BackendClient
from ragwortwing_agent.engine_admin import EngineAdmin
from ragwortwing_lab.standins.batching import EngineSettings
from ragwortwing_lab.standins.engine import EngineStandIn, serve_engine
from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.in_process import running_store
from ragwortwing_lab.standins.response_cuts import head_cut
from ragwortwing_platform.product_services import StoreServices
from ragwortwing_policy.configuration import Model
from ragwortwing_runtime.system_clock import SystemClock

CONFIGURATION_FEED = StaticConfigurationFeed(
    replace(CONFIGURATION, models_by_name={MODEL: Model(MODEL, version="7")})
)


class AdjustableClock(SystemClock):
    """A clock that a test sets forward, as a process sees it after a suspension."""

    offset_seconds = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.offset_seconds


@asynccontextmanager
async def engine_and_log(fencing: bool):
    engine = EngineStandIn(EngineSettings(fencing=fencing), (MODEL,))
    async with running_store() as (log, log_address), trio.open_nursery() as nursery:
        address = await nursery.start(serve_engine, engine)
        backend = BackendClient(agent_settings(address, "engine").backend)
        platform = StoreServices(log_address)

        def start_admin(agent_id: str) -> tuple[AdjustableClock, trio.Event]:
            clock, superseded = AdjustableClock(), trio.Event()
            interval = timedelta(milliseconds=5)
            admin = EngineAdmin(
                backend, platform.log, CONFIGURATION_FEED, (MODEL,), clock, Random(1), interval
            )
            nursery.start_soon(admin.run, agent_id, "suva", superseded.set)
            return clock, superseded

        yield engine, log, start_admin
        nursery.cancel_scope.cancel()
        platform.close()


async def wait_until(condition) -> None:
    with trio.fail_after(LIMIT):
        while not condition():
            await trio.sleep(0.002)


@pytest.mark.parametrize("fencing", [True, False])
async def test_replaced_agent_sends_no_more_orders(fencing: bool) -> None:
    """Guards against orders from an agent that was replaced while its VM was suspended.

    After the suspension the old agent is due to send its orders again. An engine that checks
    fencing numbers would refuse them; one that ignores them would accept them. The old agent must
    find the start record of its successor and send none.
    """
    async with engine_and_log(fencing) as (engine, _, start_admin):
        clock, superseded = start_admin("agent-1/old")
        await wait_until(lambda: len(engine.orders) == 1)
        start_admin("agent-1/new")
        await wait_until(lambda: len(engine.orders) == 2)
        clock.offset_seconds = 1_000.0
        with trio.fail_after(LIMIT):
            await superseded.wait()
    numbers = [each.fencing_number for each in engine.orders]
    assert numbers == sorted(set(numbers))
    assert engine.orders[0].version == "7"


async def test_agent_with_another_name_does_not_supersede() -> None:
    async with engine_and_log(True) as (engine, _, start_admin):
        clock, superseded = start_admin("agent-1/0")
        await wait_until(lambda: len(engine.orders) == 1)
        start_admin("agent-2/0")
        await wait_until(lambda: len(engine.orders) == 2)
        engine._highest_fencing_number = -1
        clock.offset_seconds = 1_000.0
        await wait_until(lambda: len(engine.orders) == 3)
        assert not superseded.is_set()


async def test_no_order_is_sent_without_fencing_number() -> None:
    """Guards against orders without a fencing number if the log is down when the agent starts."""
    async with engine_and_log(True) as (engine, log, start_admin):
        log.faults.set(Fault(FaultKind.OUTAGE))
        start_admin("agent-1/0")
        await wait_until(lambda: log.counts["refused_outage"] >= 2)
        assert engine.orders == []
        log.faults.clear()
        await wait_until(lambda: len(engine.orders) == 1)


async def test_order_with_lost_reply_is_sent_again() -> None:
    async with engine_and_log(True) as (engine, _, start_admin):
        engine.faults.set(Fault(FaultKind.DROP_REPLIES))
        clock, _ = start_admin("agent-1/0")

        def was_sent_again() -> bool:
            clock.offset_seconds += 1.0
            return len(engine.orders) >= 2

        await wait_until(was_sent_again)
    assert engine.orders[0] == engine.orders[1]


@pytest.mark.parametrize("resets", [False, True])
async def test_order_whose_answer_has_a_broken_head_is_sent_again(resets: bool) -> None:
    """Guards against an order that counts as accepted by a part of the engine's answer."""
    async with engine_and_log(True) as (engine, _, start_admin):
        engine.cut = head_cut("after the framing", resets=resets)
        clock, _ = start_admin("agent-1/0")

        def was_sent_again() -> bool:
            clock.offset_seconds += 1.0
            return len(engine.orders) >= 2

        await wait_until(was_sent_again)
    assert engine.orders[0] == engine.orders[1]
