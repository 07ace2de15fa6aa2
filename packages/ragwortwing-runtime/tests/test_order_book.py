"""Tests of the order book: orders are sent at most once, under faults of the log and of agents."""

from __future__ import annotations

from contextlib import asynccontextmanager
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.in_process import running_store
from ragwortwing_platform.product_services import StoreServices
from ragwortwing_policy.order_claims import AlreadySettled, RecordedAnswer
from ragwortwing_policy.outcomes import Completed, NotRun, NotRunReason, Unknown, UnknownReason
from ragwortwing_runtime.order_book import (
    KeyedOrder,
    OrderBook,
    OrderBookSettings,
    WonClaim,
)
from ragwortwing_runtime.system_clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ORDER = KeyedOrder("suva-cakes", "wedding-1", b"digest")
STORE_TIMEOUT_S = 0.3
"""Timeout of a call to the store."""


class PausableClock(SystemClock):
    """A clock whose monotonic time can jump ahead, as after a pause of the process."""

    def __init__(self) -> None:
        self.pause_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.pause_s


def deadline_in(seconds: float = 5.0) -> float:
    return SystemClock().monotonic() + seconds


@asynccontextmanager
async def running_book(
    address: str, agent: str = "desk-1", clock: SystemClock | None = None
) -> AsyncIterator[OrderBook]:
    platform = StoreServices(address, STORE_TIMEOUT_S)
    settings = OrderBookSettings(send_window=timedelta(seconds=4))
    book = OrderBook(platform.log, clock or SystemClock(), Random(1), agent, settings)
    async with trio.open_nursery() as nursery:
        await nursery.start(book.run)
        yield book
        nursery.cancel_scope.cancel()
    platform.close()


async def wait_until_settled(book: OrderBook) -> None:
    with trio.fail_after(5):
        while not isinstance(await book.claim(ORDER, deadline_in(0.05)), AlreadySettled):
            await trio.lowlevel.checkpoint()


async def test_first_claim_wins_and_a_repeat_at_another_agent_gets_the_first_outcome() -> None:
    async with (
        running_store() as (_, address),
        running_book(address) as first,
        running_book(address, "desk-2") as second,
    ):
        won = await first.claim(ORDER, deadline_in())
        assert isinstance(won, WonClaim)
        assert first.begin_send(won) is None
        first.record(won, Completed(), 201, b"cake 7")
        repeat = await second.claim(ORDER, deadline_in())
        assert repeat == AlreadySettled(RecordedAnswer(Completed(), 201, b"cake 7"))
        other_body = KeyedOrder(ORDER.account, ORDER.key, b"other")
        assert await second.claim(other_body, deadline_in()) == NotRun(NotRunReason.KEY_REUSED)
        other_account = KeyedOrder("nadi-cakes", ORDER.key, b"digest")
        assert isinstance(await second.claim(other_account, deadline_in()), WonClaim)


async def test_a_repeat_without_a_recorded_outcome_is_unknown() -> None:
    """Guards against a wrong answer to a repeat after an agent crashed with its order sent.

    It is unknown whether the order is being carried out. So the repeat must neither run nor be
    answered `NotRun`.
    """
    async with running_store() as (_, address), running_book(address, "desk-2") as second:
        async with running_book(address) as first:
            won = await first.claim(ORDER, deadline_in())
            assert isinstance(won, WonClaim)
            assert first.begin_send(won) is None
        repeat = await second.claim(ORDER, deadline_in(0.3))
        assert repeat == Unknown(UnknownReason.NO_RECORDED_OUTCOME)


@pytest.mark.parametrize("kind", [FaultKind.LOSE_REPLY, FaultKind.SILENT])
async def test_a_lost_append_reply_is_resolved_by_reading(kind: FaultKind) -> None:
    async with running_store() as (standin, address), running_book(address) as book:
        standin.faults.set(Fault(kind))
        assert isinstance(await book.claim(ORDER, deadline_in()), WonClaim)
        assert standin.counts["lost_replies"] == 1
        assert len(book.ledger) == 1


async def test_an_order_is_refused_without_delay_during_a_log_outage() -> None:
    async with running_store() as (standin, address), running_book(address) as book:
        standin.faults.set(Fault(FaultKind.OUTAGE))
        refused = await book.claim(ORDER, deadline_in(60))
        assert isinstance(refused, NotRun)
        assert refused.reason is NotRunReason.LOG_UNAVAILABLE
        assert refused.retry_after is not None
        standin.faults.clear()
        with trio.fail_after(10):
            while not isinstance(await book.claim(ORDER, deadline_in()), WonClaim):
                await trio.lowlevel.checkpoint()


async def test_an_agent_paused_past_its_deadline_sends_nothing_and_releases_the_key() -> None:
    """Guards against a late send when a VM is paused for a minute between claim and write.

    The caller has given up by then. The check of the monotonic clock prevents the write, and the
    release of the claim lets a repeat at another agent run.
    """
    clock = PausableClock()
    async with (
        running_store() as (_, address),
        running_book(address, clock=clock) as paused,
        running_book(address, "desk-2") as other,
    ):
        won = await paused.claim(ORDER, deadline_in())
        assert isinstance(won, WonClaim)
        clock.pause_s = 60.0
        refused = paused.begin_send(won)
        assert refused is not None
        assert refused.reason is NotRunReason.DEADLINE
        assert isinstance(await other.claim(ORDER, deadline_in()), WonClaim)
        assert paused.begin_send(won) == NotRun(NotRunReason.WITHDRAWN)


async def test_a_withdrawn_order_releases_its_key_only_before_it_is_sent() -> None:
    async with running_store() as (_, address), running_book(address) as book:
        won = await book.claim(ORDER, deadline_in())
        assert isinstance(won, WonClaim)
        assert book.release(won)
        again = await book.claim(ORDER, deadline_in())
        assert isinstance(again, WonClaim)
        assert book.begin_send(again) is None
        assert not book.release(again)
        assert book.begin_send(again) == NotRun(NotRunReason.WITHDRAWN)


async def test_a_restarted_agent_reads_the_first_outcome() -> None:
    async with running_store() as (_, address):
        async with running_book(address, "desk-1.a") as book:
            won = await book.claim(ORDER, deadline_in())
            assert isinstance(won, WonClaim)
            assert book.begin_send(won) is None
            book.record(won, Completed(), 201)
            await wait_until_settled(book)
        async with running_book(address, "desk-1.b") as book:
            again = await book.claim(ORDER, deadline_in())
            assert again == AlreadySettled(RecordedAnswer(Completed(), 201))


@pytest.mark.parametrize("hours", [-7, 1])
async def test_an_order_time_outside_the_window_is_refused(hours: int) -> None:
    order_time = (SystemClock().utc_now() + timedelta(hours=hours)).timestamp()
    async with running_store() as (standin, address), running_book(address) as book:
        order = KeyedOrder("suva-cakes", "k", b"d", order_time)
        assert await book.claim(order, deadline_in()) == NotRun(NotRunReason.KEY_OUT_OF_WINDOW)
        assert standin.counts["appended"] == 0
