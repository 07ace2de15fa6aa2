"""Measures a cost at several sizes and fits a line: the slope is the cost per additional unit."""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import dataclass
from statistics import correlation, linear_regression
from time import process_time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MIN_ROUND_CPU_SECONDS = 0.05
"""Minimum CPU time, in seconds, of one round of calls."""

ROUNDS = 7


@dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted to a cost at three or more sizes."""

    name: str
    unit: str
    """Unit of the cost; the slope is this unit per additional element."""
    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    slope: float
    intercept: float
    fit: float
    """Coefficient of determination (r²); 1 is a perfect line."""

    def at(self, size: float) -> float:
        """Return the fitted cost at a size."""
        return self.intercept + self.slope * size


@dataclass(frozen=True, slots=True)
class MessageCost:
    """Encoded size and CPU time of one message."""

    name: str
    wire_bytes: int
    encode_microseconds: float
    decode_microseconds: float


def fit(name: str, unit: str, sizes: Sequence[int], cost: Callable[[int], float]) -> Slope:
    """Measure a cost at each size and fit a line.

    Args:
        name: Name of the measured quantity.
        unit: Unit of the cost.
        sizes: Three or more sizes to measure at.
        cost: Measures the cost at a size.
    """
    costs = tuple(cost(size) for size in sizes)
    slope, intercept = linear_regression(sizes, costs)
    r_squared = 1.0 if len(set(costs)) == 1 else correlation(sizes, costs) ** 2
    return Slope(name, unit, tuple(sizes), costs, slope, intercept, r_squared)


def memory_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that Python allocates for the object that a function builds."""
    gc.collect()
    tracemalloc.start()
    try:
        retained = build()
        gc.collect()
        allocated, _ = tracemalloc.get_traced_memory()
        del retained
    finally:
        tracemalloc.stop()
    return float(allocated)


def cpu_microseconds(act: Callable[[], object]) -> float:
    """Return the CPU time of one call: the minimum over several rounds of calls.

    Other work on the machine evicts caches and can only add to a round, so the minimum is the most
    stable figure.
    """
    return min(_round_microseconds(act) for _ in range(ROUNDS))


def _round_microseconds(act: Callable[[], object]) -> float:
    calls = 0
    start = process_time()
    while (cpu_seconds := process_time() - start) < MIN_ROUND_CPU_SECONDS:
        act()
        calls += 1
    return cpu_seconds / calls * 1e6
