"""The default site of the experiments, with traffic as a share of the engines' capacity."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ragwortwing_policy.routing import BackendKind

from ..model.engine import PREFILL_RATE, STEP_BASE, STEP_PER_STREAM, BackendSpec
from ..model.site import ZONES
from ..model.workload import Lognormal, Traffic

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

BETWEEN_TOKENS = 0.045
"""Time between tokens, in seconds, at which capacity is defined."""

ENGINES = 6
DESKS = 3

CHAT = Traffic("chat", 0, Lognormal(60, 0.6), prompt_tokens=300, prefix_tokens=200, prefixes=24)
DESK_QUERIES = Traffic("desk", 0, Lognormal(40, 0.5), 250, 200, 6)
DRAFTS = Traffic("drafts", 0, Lognormal(300, 0.7), 400)
NARRATIVES = Traffic("narratives", 0, Lognormal(500, 0.6), 800, 400, 12)
ORDERS = Traffic("orders", 2.0, Lognormal(120, 0.4), kind=BackendKind.SERVICE)


def engines(speeds: Iterable[float] = (1.0,) * ENGINES) -> list[BackendSpec]:
    """Return engines with the given speeds, spread over the availability zones."""
    return [
        BackendSpec(f"engine-{number}", ZONES[number % len(ZONES)], speed)
        for number, speed in enumerate(speeds)
    ]


def desks() -> list[BackendSpec]:
    """Return the backend servers of the order desk."""
    return [
        BackendSpec(f"desk-{number}", ZONES[number % len(ZONES)], kind=BackendKind.SERVICE)
        for number in range(DESKS)
    ]


def engine_seconds(traffic: Traffic) -> float:
    """Return the engine time per request, in seconds, at speed 1 with a full batch."""
    batch = (BETWEEN_TOKENS - STEP_BASE) / STEP_PER_STREAM
    prefill = (traffic.prompt_tokens - traffic.prefix_tokens) / PREFILL_RATE
    return traffic.output.mean * BETWEEN_TOKENS / batch + prefill


def at_load(traffic: Traffic, load: float, backends: Sequence[BackendSpec]) -> Traffic:
    """Return the traffic with its rate set to a share of the engines' capacity."""
    speed = sum(each.speed for each in backends if each.kind is BackendKind.ENGINE)
    return replace(traffic, rate=load * speed / engine_seconds(traffic))
