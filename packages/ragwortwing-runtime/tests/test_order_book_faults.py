"""Tests of the order book with a faulty log: no key's order is sent twice.

Three agents share the log. Submissions are repeated, paused and abandoned at random.
"""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from random import Random

import pytest
import trio
from trio.testing import MockClock

from ragwortwing_lab.standins.in_memory import InMemoryLog, LogFaults, TrioClock
from ragwortwing_lab.standins.record_log import RecordLog
from ragwortwing_policy.order_claims import AlreadySettled
from ragwortwing_policy.outcomes import Completed, NotRun, NotRunReason
from ragwortwing_runtime.order_book import (
    KeyedOrder,
    OrderBook,
    OrderBookSettings,
    WonClaim,
)
from ragwortwing_runtime.record_log import DEFAULT_READ_LIMIT, ReadResult

FAULTS = LogFaults(refused=0.05, reply_lost=0.1, late=0.1, dropped=0.1)
KEYS = 6
SUBMISSIONS = 60


class OrderSubmitter:
    """Submits orders at random times and counts how often each key's order is sent."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.sent_by_key: Counter[str] = Counter()
        self.results: Counter[str] = Counter()
        self.unfinished = 0

    async def submit(self, book: OrderBook, key: str) -> None:
        await trio.sleep(self.random.random() * 30)
        order = KeyedOrder("suva-cakes", key, b"digest")
        sent_before = self.sent_by_key[key]
        result = await book.claim(order, trio.current_time() + 5)
        self.results[type(result).__name__] += 1
        if isinstance(result, AlreadySettled):
            assert self.sent_by_key[key] == 1
        if isinstance(result, WonClaim):
            await self.send_or_release(book, result, key)
        elif isinstance(result, NotRun) and result.reason is not NotRunReason.IN_PROGRESS:
            assert self.sent_by_key[key] <= max(1, sent_before)

    async def send_or_release(self, book: OrderBook, won: WonClaim, key: str) -> None:
        """Send the order or release its claim, possibly after a pause."""
        draw = self.random.random()
        if draw < 0.2:
            assert book.release(won)
            return
        if draw < 0.4:
            await trio.sleep(20)
        if book.begin_send(won) is not None:
            self.results["too late"] += 1
            return
        self.sent_by_key[key] += 1
        if draw < 0.6:
            self.results["crashed after the send"] += 1
            return
        await trio.sleep(self.random.random())
        book.record(won, Completed(), 201)


async def run_submissions(seed: int) -> tuple[OrderSubmitter, RecordLog]:
    submitter = OrderSubmitter(seed)
    clock = TrioClock()
    records = RecordLog(clock)
    async with trio.open_nursery() as nursery:
        log = InMemoryLog(records, Random(seed + 1), nursery, faults=FAULTS)
        books = []
        for index in range(3):
            book = OrderBook(log, clock, Random(index), f"desk-{index}", OrderBookSettings())
            await nursery.start(book.run)
            books.append(book)
        async with trio.open_nursery() as submissions:
            for _ in range(SUBMISSIONS):
                key = f"key-{submitter.random.randrange(KEYS)}"
                submissions.start_soon(submitter.submit, submitter.random.choice(books), key)
        nursery.cancel_scope.cancel()
    return submitter, records


@pytest.mark.parametrize("seed", range(12))
def test_no_key_is_sent_twice(seed: int) -> None:
    submitter, _ = trio.run(run_submissions, seed, clock=MockClock(autojump_threshold=0))
    assert submitter.sent_by_key
    assert max(submitter.sent_by_key.values()) == 1
    assert submitter.results["WonClaim"] > 0


def test_a_late_record_of_an_abandoned_claim_is_released() -> None:
    """Guards against a claim that takes effect after its caller was answered `NotRun`.

    This happens when the log is slow. Unless the agent releases the claim, every repeat of the key
    would be answered `Unknown` for hours.
    """

    async def scenario() -> object:
        clock = TrioClock()
        records = RecordLog(clock)
        async with trio.open_nursery() as nursery:
            late = LogFaults(late=1.0, late_by=0.0001)
            log = InMemoryLog(records, Random(1), nursery, faults=late)
            settings = OrderBookSettings()
            book = OrderBook(log, clock, Random(1), "desk-1", settings)
            await nursery.start(book.run)
            order = KeyedOrder("suva-cakes", "k", b"digest")
            abandoned = await book.claim(order, trio.current_time() + 0.001)
            assert abandoned == NotRun(NotRunReason.DEADLINE, abandoned.retry_after)  # type: ignore[union-attr]
            await trio.sleep(5)
            assert records.stream("orders").next_offset >= 2
            log.faults = LogFaults()
            again = await book.claim(order, trio.current_time() + 5)
            nursery.cancel_scope.cancel()
        return again

    again = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert isinstance(again, WonClaim)


def test_a_duplicate_of_a_released_claim_does_not_block_its_key() -> None:
    """Guards against a delayed append that takes effect after its repeat was won and released.

    The late record is again the first claim of a free key. Unless the agent releases it once more,
    every repeat is answered `Unknown`, although no one will ever send the order.
    """

    async def scenario() -> object:
        clock = TrioClock()
        records = RecordLog(clock)
        async with trio.open_nursery() as nursery:
            log = InMemoryLog(records, Random(1), nursery)
            book = OrderBook(log, clock, Random(1), "desk-1")
            await nursery.start(book.run)
            order = KeyedOrder("suva-cakes", "k", b"digest")
            won = await book.claim(order, trio.current_time() + 5)
            assert isinstance(won, WonClaim)
            repeated = records.stream("orders").records[0].payload
            assert book.release(won)
            await trio.sleep(1)
            records.append("orders", repeated)
            await trio.sleep(1)
            again = await book.claim(order, trio.current_time() + 5)
            nursery.cancel_scope.cancel()
        return again

    again = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert isinstance(again, WonClaim)


class SilentPollLog(InMemoryLog):
    """A log whose long-polling reads are never answered, as on a silent connection."""

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = DEFAULT_READ_LIMIT,
        wait: timedelta = timedelta(0),
    ) -> ReadResult:
        if wait:
            await trio.sleep_forever()
        return await super().read(stream, offset, limit, wait)


def test_a_claim_is_read_back_when_the_long_poll_is_never_answered() -> None:
    """Guards against orders refused until the long poll times out.

    A device between agent and log drops the state of the connection that the long poll uses. New
    connections work.
    """

    async def scenario() -> object:
        clock = TrioClock()
        async with trio.open_nursery() as nursery:
            log = SilentPollLog(RecordLog(clock), Random(1), nursery)
            book = OrderBook(log, clock, Random(1), "desk-1")
            await nursery.start(book.run)
            order = KeyedOrder("suva-cakes", "k", b"digest")
            claimed = await book.claim(order, trio.current_time() + 2)
            nursery.cancel_scope.cancel()
        return claimed

    assert isinstance(trio.run(scenario, clock=MockClock(autojump_threshold=0)), WonClaim)
