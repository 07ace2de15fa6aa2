"""Calls to plain services: the outcome of each failure, and that an order is sent at most once."""

from __future__ import annotations

from contextlib import asynccontextmanager
from random import Random

import pytest
from agent_harness import agent_bench

from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.in_process import running_store
from ragwortwing_platform.product_services import StoreServices
from ragwortwing_policy.outcomes import (
    Completed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from ragwortwing_runtime.order_book import OrderBook
from ragwortwing_runtime.system_clock import SystemClock

ORDER_KEY_FIELDS = {"order_key": "wedding-1", "body_digest": b"digest"}


@asynccontextmanager
async def order_bench():
    async with running_store() as (log, address):
        platform = StoreServices(address)
        book = OrderBook(platform.log, SystemClock(), Random(1), "agent-1/0")
        async with agent_bench("service", orders=book) as bench:
            yield bench, log
        platform.close()


@pytest.mark.parametrize(
    ("fault", "method", "outcome", "executions"),
    [
        (None, "POST", Completed(), 1),
        (None, "GET", Completed(), 0),
        (FaultKind.DROP_REPLIES, "POST", Unknown(UnknownReason.BACKEND_LOST), 1),
        (FaultKind.DROP_REPLIES, "GET", Unknown(UnknownReason.BACKEND_LOST), 0),
        (FaultKind.CRASH, "POST", NotRun(NotRunReason.NO_BACKEND), 0),
        (FaultKind.CRASH, "GET", NotRun(NotRunReason.NO_BACKEND), 0),
    ],
)
async def test_outcome_of_each_failure(
    fault: FaultKind | None, method: str, outcome: Outcome, executions: int
) -> None:
    async with agent_bench("service") as bench, bench.entry() as entry:
        if fault is FaultKind.CRASH:
            bench.crash_backend()
        elif fault is not None:
            bench.desk.faults.set(Fault(fault))
        path = "/orders" if method == "POST" else "/orders/o1"
        await entry.order("r1", method, path)
        answer = await entry.ended("r1")
    assert answer.end.outcome == outcome
    assert bench.desk.state()["executions"] == executions


async def test_withdrawn_order_runs_to_its_end_once_sent() -> None:
    """Guards against losing the outcome of an order whose caller disconnects while it runs.

    The order cannot be undone, so it runs to its end and is recorded. A repeat with the same key
    gets the recorded response.
    """
    async with order_bench() as (bench, _), bench.entry() as entry:
        bench.desk.faults.set(Fault(FaultKind.FREEZE))
        await entry.order("r1", **ORDER_KEY_FIELDS)
        await bench.until(lambda: bench.app.gate.requests_by_id["r1"].sent_to_backend)
        await entry.withdraw("r1")
        await entry.order("r2", **ORDER_KEY_FIELDS)
        bench.desk.faults.clear()
        answer = await entry.ended("r2")
    assert answer.end.outcome == Completed()
    assert bench.desk.state()["executions_by_id"] == {"r1": 1}


async def test_order_with_expired_claim_is_not_sent() -> None:
    """Guards against sending an order if the process was suspended after it won the claim.

    The caller has already been told that the order did not run.
    """
    refusal = NotRun(NotRunReason.DEADLINE)
    async with order_bench() as (bench, _), bench.entry() as entry:
        bench.app._orders.begin_send = lambda won: refusal
        await entry.order("r1", **ORDER_KEY_FIELDS)
        answer = await entry.ended("r1")
    assert answer.end.outcome == refusal
    assert bench.desk.state()["executions"] == 0


async def test_repeated_key_gets_the_first_response() -> None:
    async with order_bench() as (bench, _), bench.entry() as entry:
        await entry.order("r1", **ORDER_KEY_FIELDS)
        first = await entry.ended("r1")
        await entry.order("r2", **ORDER_KEY_FIELDS)
        second = await entry.ended("r2")
        await entry.order("r3", order_key="wedding-1", body_digest=b"another")
        third = await entry.ended("r3")
    assert first.end.outcome == second.end.outcome == Completed()
    assert second.body == first.body
    assert second.head.status == first.head.status == 201
    assert [each.value for each in second.head.headers] == [b"application/json"]
    assert third.end.outcome == NotRun(NotRunReason.KEY_REUSED)
    assert bench.desk.state()["executions_by_id"] == {"r1": 1}


async def test_unsent_order_releases_its_key() -> None:
    async with order_bench() as (bench, _), bench.entry() as entry:
        bench.crash_backend()
        await entry.order("r1", **ORDER_KEY_FIELDS)
        answer = await entry.ended("r1")
        assert answer.end.outcome == NotRun(NotRunReason.NO_BACKEND)
        await entry.order("r2", **ORDER_KEY_FIELDS)
        again = await entry.ended("r2")
    assert again.end.outcome == NotRun(NotRunReason.NO_BACKEND)


async def test_order_with_a_lost_reply_is_never_sent_again() -> None:
    """Guards against running an order twice if its reply is lost and the caller repeats the key."""
    async with order_bench() as (bench, _), bench.entry() as entry:
        bench.desk.faults.set(Fault(FaultKind.DROP_REPLIES))
        await entry.order("r1", **ORDER_KEY_FIELDS)
        assert (await entry.ended("r1")).end.outcome == Unknown(UnknownReason.BACKEND_LOST)
        bench.desk.faults.clear()
        await entry.order("r2", **ORDER_KEY_FIELDS)
        again = await entry.ended("r2")
    assert again.end.outcome == Unknown(UnknownReason.BACKEND_LOST)
    assert bench.desk.state()["executions_by_id"] == {"r1": 1}


async def test_order_withdrawn_before_its_claim_is_confirmed_is_not_sent() -> None:
    async with order_bench() as (bench, log), bench.entry() as entry:
        log.faults.set(Fault(FaultKind.SLOW, seconds=0.2))
        await entry.order("r1", **ORDER_KEY_FIELDS)
        await bench.until(lambda: bench.app.gate.load().running == 1)
        await entry.withdraw("r1")
        await bench.until(lambda: bench.app.gate.load().running == 0)
        log.faults.clear()
        await entry.order("r2", **ORDER_KEY_FIELDS)
        answer = await entry.ended("r2")
    assert answer.end.outcome == Completed()
    assert bench.desk.state()["executions_by_id"] == {"r2": 1}


async def test_order_is_not_run_while_the_log_is_down() -> None:
    async with order_bench() as (bench, log), bench.entry() as entry:
        log.faults.set(Fault(FaultKind.OUTAGE))
        await entry.order("r1", **ORDER_KEY_FIELDS)
        answer = await entry.ended("r1")
    assert isinstance(answer.end.outcome, NotRun)
    assert answer.end.outcome.reason is NotRunReason.LOG_UNAVAILABLE
    assert bench.desk.state()["executions"] == 0
