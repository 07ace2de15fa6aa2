"""Measures group commit for orders: claim throughput and added latency at the log's append rate."""

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
ONE_WAY_SECONDS = 0.001
"""One-way delay in seconds from an agent to the log, as between two availability zones."""
SUBMISSION_SECONDS = 6.0
"""Virtual time in seconds during which orders are submitted."""
CLAIM_TIMEOUT = 5.0
"""Seconds after which a caller gives up waiting for its claim."""
OFFERED_RATES = (30, 100, 140, 200, 300, 600, 1200)
"""Offered orders per second over all agents."""
APPEND_INTERVAL = timedelta(seconds=AGENTS / DEFAULT_APPENDS_PER_SECOND)
"""Append interval that gives each agent an equal share of the log's append rate."""
BATCH_LIMITS_BY_NAME = {"unbatched": 1, "batched": 256}


@dataclass(frozen=True, slots=True)
class ClaimFigures:
    """Figures of one variant at one offered rate."""

    variant: str
    offered_per_second: int
    won_per_second: float
    """Claims per second won during the submission period; later ones are not counted."""
    not_run_share: float
    latency_p50: float | None
    """Seconds from submission to permission to send, for claims that won."""
    latency_p99: float | None
    records_per_second: float


@dataclass(frozen=True, slots=True)
class ClaimComparison:
    """Figures of both variants at every offered rate."""

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
class _Counters:
    """Counters of one variant's run."""

    latencies: list[float] = field(default_factory=list)
    results: Counter[str] = field(default_factory=Counter)
    won_in_time: int = 0


@experiment("order-claims")
def run(seed: int) -> ClaimComparison:
    """Compare unbatched with batched claims of orders, in virtual time."""
    figures = tuple(
        _measure(name, offered, seed) for offered in OFFERED_RATES for name in BATCH_LIMITS_BY_NAME
    )
    return ClaimComparison(seed, DEFAULT_APPENDS_PER_SECOND, figures)


def _measure(variant: str, offered: int, seed: int) -> ClaimFigures:
    clock = MockClock(autojump_threshold=0)
    counters, records = trio.run(_submit_all, variant, offered, seed, clock=clock)
    ordered = sorted(counters.latencies)
    submitted = counters.results.total()
    return ClaimFigures(
        variant,
        offered,
        counters.won_in_time / SUBMISSION_SECONDS,
        1 - len(ordered) / submitted,
        quantile(ordered, 0.5),
        quantile(ordered, 0.99),
        records / SUBMISSION_SECONDS,
    )


async def _submit_all(variant: str, offered: int, seed: int) -> tuple[_Counters, int]:
    clock, random, counters = TrioClock(), Random(seed), _Counters()
    stored = RecordLog(clock)
    settings = OrderBookSettings(
        append_interval=APPEND_INTERVAL, batch_limit=BATCH_LIMITS_BY_NAME[variant]
    )
    async with trio.open_nursery() as nursery:
        log = InMemoryLog(stored, Random(seed), nursery, ONE_WAY_SECONDS)
        books = [
            OrderBook(log, clock, Random(index), f"desk-{index}", settings)
            for index in range(AGENTS)
        ]
        for book in books:
            await nursery.start(book.run)
        start = trio.current_time()
        async with trio.open_nursery() as submissions:
            number = 0
            while trio.current_time() < start + SUBMISSION_SECONDS:
                submissions.start_soon(_submit, books[number % AGENTS], number, counters)
                number += 1
                await trio.sleep(random.expovariate(offered))
            counters.won_in_time = counters.results["won"]
            records = stored.stream(settings.stream).next_offset
        nursery.cancel_scope.cancel()
    return counters, records


async def _submit(book: OrderBook, number: int, counters: _Counters) -> None:
    started = trio.current_time()
    order = KeyedOrder("suva-cakes", f"order-{number}", b"digest")
    result = await book.claim(order, started + CLAIM_TIMEOUT)
    if not isinstance(result, WonClaim) or book.begin_send(result) is not None:
        counters.results["not run"] += 1
        return
    counters.results["won"] += 1
    counters.latencies.append(trio.current_time() - started)
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
