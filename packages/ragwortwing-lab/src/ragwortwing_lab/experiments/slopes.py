"""Cost against size, fitted to a line: what one more of something takes."""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import dataclass
from statistics import correlation, linear_regression
from time import process_time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SMALLEST_CPU_SAMPLE = 0.05
"""Seconds of processor time that one round of calls covers at the least."""

ROUNDS = 7


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line fitted to a cost at three or more sizes."""

    name: str
    unit: str
    """Unit of the cost; the slope is in this unit for each one more."""
    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    slope: float
    intercept: float
    fit: float
    """Square of the correlation; 1 is a straight line."""

    def at(self, size: float) -> float:
        """Return the fitted cost at a size."""
        return self.intercept + self.slope * size


@dataclass(frozen=True, slots=True)
class MessageCost:
    """Size and processor time of one message."""

    name: str
    wire_bytes: int
    encode_microseconds: float
    decode_microseconds: float


def fit(name: str, unit: str, sizes: Sequence[int], cost: Callable[[int], float]) -> Slope:
    """Measure a cost at each size and fit a line.

    Args:
        name: What grows.
        unit: Unit of the cost.
        sizes: Three or more sizes.
        cost: Measures the cost at a size.
    """
    costs = tuple(cost(size) for size in sizes)
    slope, intercept = linear_regression(sizes, costs)
    straight = 1.0 if len(set(costs)) == 1 else correlation(sizes, costs) ** 2
    return Slope(name, unit, tuple(sizes), costs, slope, intercept, straight)


def memory_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that Python allocates for what a function builds and keeps."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return float(held)


def cpu_microseconds(act: Callable[[], object]) -> float:
    """Return the processor time of one call, the least of several rounds of calls.

    Other work on the machine only ever adds to a round, by evicting caches, so the least is the
    steadiest figure.
    """
    return min(_round_microseconds(act) for _ in range(ROUNDS))


def _round_microseconds(act: Callable[[], object]) -> float:
    calls = 0
    start = process_time()
    while (spent := process_time() - start) < SMALLEST_CPU_SAMPLE:
        act()
        calls += 1
    return spent / calls * 1e6
