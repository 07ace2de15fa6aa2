"""Orders to the engine: only from the present agent, which is told apart by its fencing number."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest
import trio
from agent_harness import CONFIGURATION, LIMIT, MODEL, FixedSource, agent_settings

from ragwortwing_agent.backend_client import BackendClient
from ragwortwing_agent.engine_admin import EngineAdmin
from ragwortwing_lab.standins.batching import EngineSettings
from ragwortwing_lab.standins.engine import EngineStandIn, serve_engine
from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.in_process import running_store
from ragwortwing_platform.product_services import StoreServices
from ragwortwing_policy.configuration import Model
from ragwortwing_runtime.system_clock import SystemClock

SOURCE = FixedSource(replace(CONFIGURATION, models_by_name={MODEL: Model(MODEL, version="7")}))


class PausableClock(SystemClock):
    """A clock that a test moves on, as a stopped process sees it."""

    pause = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.pause


@asynccontextmanager
async def engine_and_log(fencing: bool):
    engine = EngineStandIn(EngineSettings(fencing=fencing), (MODEL,))
    async with running_store() as (log, log_address), trio.open_nursery() as nursery:
        address = await nursery.start(serve_engine, engine)
        backend = BackendClient(agent_settings(address, "engine").backend)
        platform = StoreServices(log_address)

        def start_admin(agent_id: str) -> tuple[PausableClock, trio.Event]:
            clock, superseded = PausableClock(), trio.Event()
            interval = timedelta(milliseconds=5)
            admin = EngineAdmin(backend, platform.log, SOURCE, (MODEL,), clock, Random(1), interval)
            nursery.start_soon(admin.run, agent_id, "suva", superseded.set)
            return clock, superseded

        yield engine, log, start_admin
        nursery.cancel_scope.cancel()
        platform.close()


async def until(condition) -> None:
    with trio.fail_after(LIMIT):
        while not condition():
            await trio.sleep(0.002)


@pytest.mark.parametrize("fencing", [True, False])
async def test_replaced_agent_gives_no_more_orders(fencing: bool) -> None:
    """An agent's VM stands still; a new one takes its place; the old one goes on.

    It is due to give its orders again. An engine that checks the number would refuse them, one that
    ignores it would take them; the old agent finds its successor's start record and gives none.
    """
    async with engine_and_log(fencing) as (engine, _, start_admin):
        clock, superseded = start_admin("agent-1/old")
        await until(lambda: len(engine.orders) == 1)
        start_admin("agent-1/new")
        await until(lambda: len(engine.orders) == 2)
        clock.pause = 1_000.0
        with trio.fail_after(LIMIT):
            await superseded.wait()
    numbers = [each.fencing_number for each in engine.orders]
    assert numbers == sorted(set(numbers))
    assert engine.orders[0].version == "7"


async def test_agents_of_other_engines_do_not_supersede() -> None:
    async with engine_and_log(True) as (engine, _, start_admin):
        clock, superseded = start_admin("agent-1/0")
        await until(lambda: len(engine.orders) == 1)
        start_admin("agent-2/0")
        await until(lambda: len(engine.orders) == 2)
        engine._highest_fencing_number = -1
        clock.pause = 1_000.0
        await until(lambda: len(engine.orders) == 3)
        assert not superseded.is_set()


async def test_no_order_without_a_number() -> None:
    """The log is down when the agent starts: without a number it gives no order."""
    async with engine_and_log(True) as (engine, log, start_admin):
        log.faults.set(Fault(FaultKind.OUTAGE))
        start_admin("agent-1/0")
        await until(lambda: log.counts["refused_outage"] >= 2)
        assert engine.orders == []
        log.faults.clear()
        await until(lambda: len(engine.orders) == 1)


async def test_order_whose_reply_was_lost_is_given_again() -> None:
    async with engine_and_log(True) as (engine, _, start_admin):
        engine.faults.set(Fault(FaultKind.DROP_REPLIES))
        clock, _ = start_admin("agent-1/0")

        def given_again() -> bool:
            clock.pause += 1.0
            return len(engine.orders) >= 2

        await until(given_again)
    assert engine.orders[0] == engine.orders[1]
