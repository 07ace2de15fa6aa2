"""Three agents, one log that goes wrong, pauses and repeats: no key's order is sent twice."""

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


class Desk:
    """Submits orders through its agents and counts what is sent."""

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
            await self.go_on(book, result, key)
        elif isinstance(result, NotRun) and result.reason is not NotRunReason.IN_PROGRESS:
            assert self.sent_by_key[key] <= max(1, sent_before)

    async def go_on(self, book: OrderBook, won: WonClaim, key: str) -> None:
        """Send the order, give it up, or be paused first."""
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
            self.results["died after the send"] += 1
            return
        await trio.sleep(self.random.random())
        book.record(won, Completed(), 201)


async def run_desk(seed: int) -> tuple[Desk, RecordLog]:
    desk = Desk(seed)
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
                key = f"key-{desk.random.randrange(KEYS)}"
                submissions.start_soon(desk.submit, desk.random.choice(books), key)
        nursery.cancel_scope.cancel()
    return desk, records


@pytest.mark.parametrize("seed", range(12))
def test_no_key_is_sent_twice(seed: int) -> None:
    desk, _ = trio.run(run_desk, seed, clock=MockClock(autojump_threshold=0))
    assert desk.sent_by_key
    assert max(desk.sent_by_key.values()) == 1
    assert desk.results["WonClaim"] > 0


def test_a_late_record_of_a_given_up_claim_is_released() -> None:
    """The log is slow: the claim comes to stand in it after its caller was told it did not run.

    Without the release by its holder, every repeat of the key would be told `Unknown` for hours.
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
            given_up = await book.claim(order, trio.current_time() + 0.001)
            assert given_up == NotRun(NotRunReason.DEADLINE, given_up.retry_after)  # type: ignore[union-attr]
            await trio.sleep(5)
            assert records.stream("orders").next_offset >= 2
            log.faults = LogFaults()
            again = await book.claim(order, trio.current_time() + 5)
            nursery.cancel_scope.cancel()
        return again

    again = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert isinstance(again, WonClaim)


def test_a_claim_read_twice_does_not_take_its_key_again_after_the_release() -> None:
    """An append is lost, repeated, won and released; then the lost one comes to stand after all.

    It is the first claim of a free key again. Unless its holder releases it once more, every
    repeat is told `Unknown`, of an order that nobody will ever send.
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
    """A log whose held reads are never answered, as on a connection that went silent."""

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


def test_a_claim_is_read_back_although_the_held_read_is_silent() -> None:
    """Something between agent and log forgets the connection on which the agent waits for records.

    New connections work. Orders would be refused until the held read times out.
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
