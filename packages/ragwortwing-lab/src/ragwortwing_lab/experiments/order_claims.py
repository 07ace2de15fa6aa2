"""What group commit does for orders: claims a second and added latency at the log's append rate."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import trio
from trio.testing import MockClock

from ragwortwing_policy.outcomes import Completed
from ragwortwing_runtime.order_book import KeyedOrder, OrderBook, OrderBookSettings, WonClaim

from ..standins.in_memory import InMemoryLog, TrioClock
from ..standins.record_log import DEFAULT_APPENDS_PER_SECOND, RecordLog
from .figures import quantile
from .registry import experiment

AGENTS = 3
ONE_WAY = 0.001
"""Seconds between an agent and the log, as between two availability zones."""
SECONDS = 6.0
"""Virtual time for which orders are submitted."""
PATIENCE = 5.0
"""Seconds that a caller waits for its claim."""
OFFERED = (30, 100, 140, 200, 300, 600, 1200)
"""Orders a second over all agents."""
APPEND_INTERVAL = timedelta(seconds=AGENTS / DEFAULT_APPENDS_PER_SECOND)
"""Each agent's even share of the append rate."""
BATCH_LIMITS_BY_NAME = {"unbatched": 1, "batched": 256}


@dataclass(frozen=True, slots=True)
class ClaimFigures:
    """One offered rate under one variant."""

    variant: str
    offered_per_second: int
    won_per_second: float
    """Claims that won while orders were submitted; those that won later are left out."""
    not_run_share: float
    latency_p50: float | None
    """Seconds from the submission to the right to send, of those that won."""
    latency_p99: float | None
    records_per_second: float


@dataclass(frozen=True, slots=True)
class ClaimComparison:
    """Every offered rate under both variants."""

    seed: int
    appends_per_second: float
    figures: tuple[ClaimFigures, ...]

    def render(self) -> str:
        """Return the figures as a table."""
        lines = [
            f"Order claims, {AGENTS} agents, {self.appends_per_second:g} appends/s, "
            f"seed {self.seed}",
            "",
            "| variant | offered/s | won/s | not run | p50 ms | p99 ms | records/s |",
            "|---|---|---|---|---|---|---|",
        ]
        lines += [_row(each) for each in self.figures]
        return "\n".join(lines)


@dataclass(slots=True)
class _Run:
    """What is counted while one variant runs."""

    latencies: list[float] = field(default_factory=list)
    results: Counter[str] = field(default_factory=Counter)
    won_in_time: int = 0


@experiment("order-claims")
def run(seed: int) -> ClaimComparison:
    """Compare unbatched with batched claims of orders, in virtual time."""
    figures = tuple(
        _measure(name, offered, seed) for offered in OFFERED for name in BATCH_LIMITS_BY_NAME
    )
    return ClaimComparison(seed, DEFAULT_APPENDS_PER_SECOND, figures)


def _measure(variant: str, offered: int, seed: int) -> ClaimFigures:
    clock = MockClock(autojump_threshold=0)
    counted, records = trio.run(_submit_all, variant, offered, seed, clock=clock)
    ordered = sorted(counted.latencies)
    submitted = counted.results.total()
    return ClaimFigures(
        variant,
        offered,
        counted.won_in_time / SECONDS,
        1 - len(ordered) / submitted,
        quantile(ordered, 0.5),
        quantile(ordered, 0.99),
        records / SECONDS,
    )


async def _submit_all(variant: str, offered: int, seed: int) -> tuple[_Run, int]:
    clock, random, counted = TrioClock(), Random(seed), _Run()
    stored = RecordLog(clock)
    settings = OrderBookSettings(
        append_interval=APPEND_INTERVAL, batch_limit=BATCH_LIMITS_BY_NAME[variant]
    )
    async with trio.open_nursery() as nursery:
        log = InMemoryLog(stored, Random(seed), nursery, ONE_WAY)
        books = [
            OrderBook(log, clock, Random(index), f"desk-{index}", settings)
            for index in range(AGENTS)
        ]
        for book in books:
            await nursery.start(book.run)
        start = trio.current_time()
        async with trio.open_nursery() as submissions:
            number = 0
            while trio.current_time() < start + SECONDS:
                submissions.start_soon(_submit, books[number % AGENTS], number, counted)
                number += 1
                await trio.sleep(random.expovariate(offered))
            counted.won_in_time = counted.results["won"]
            records = stored.stream(settings.stream).next_offset
        nursery.cancel_scope.cancel()
    return counted, records


async def _submit(book: OrderBook, number: int, counted: _Run) -> None:
    started = trio.current_time()
    order = KeyedOrder("suva-cakes", f"order-{number}", b"digest")
    result = await book.claim(order, started + PATIENCE)
    if not isinstance(result, WonClaim) or book.begin_send(result) is not None:
        counted.results["not run"] += 1
        return
    counted.results["won"] += 1
    counted.latencies.append(trio.current_time() - started)
    book.record(result, Completed(), 201)


def _row(figures: ClaimFigures) -> str:
    cells = (
        figures.variant,
        str(figures.offered_per_second),
        f"{figures.won_per_second:.0f}",
        f"{figures.not_run_share:.1%}",
        _milliseconds(figures.latency_p50),
        _milliseconds(figures.latency_p99),
        f"{figures.records_per_second:.0f}",
    )
    return f"| {' | '.join(cells)} |"


def _milliseconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.1f}"
