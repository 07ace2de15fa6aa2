"""Defines the traffic of the load generator and schedules its calls."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class CallKind(StrEnum):
    """Kind of call."""

    STREAM = "stream"
    """A streamed chat completion."""
    WHOLE = "whole"
    """A chat completion returned in one response."""
    ORDER = "order"
    """An order with an idempotency key."""
    LOOKUP = "lookup"
    """A lookup at the order desk."""


@dataclass(frozen=True, slots=True)
class Traffic:
    """Calls of one kind in one request class."""

    request_class: str
    kind: CallKind
    rate: float
    """Calls per second over all accounts."""
    keys: tuple[str, ...]
    """API keys; each call uses a random one."""
    shortest: int = 8
    """Minimum answer length in tokens."""
    longest: int = 60
    """Maximum answer length in tokens."""
    first_token_target: timedelta = timedelta(seconds=1.5)
    """Target for the time to the first token, or to the whole answer if it is not streamed."""
    between_token_target: timedelta = timedelta(milliseconds=45)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One scheduled call, made regardless of the outcome of earlier calls (open loop)."""

    index: int
    at: float
    """Seconds after the start of the run."""
    traffic: Traffic
    key: str
    tokens: int


DEMO_KEYS = ("suva-key", "nadi-key")

DEMO_TRAFFIC = (
    Traffic("chat", CallKind.STREAM, 6.0, DEMO_KEYS, 8, 40),
    Traffic("chat", CallKind.WHOLE, 1.0, DEMO_KEYS, 8, 30),
    Traffic(
        "draft",
        CallKind.STREAM,
        2.0,
        DEMO_KEYS,
        60,
        200,
        timedelta(seconds=20),
        timedelta(milliseconds=200),
    ),
    Traffic("order", CallKind.ORDER, 2.0, DEMO_KEYS, 0, 0, timedelta(seconds=2)),
    Traffic("lookup", CallKind.LOOKUP, 2.0, DEMO_KEYS, 0, 0, timedelta(seconds=2)),
)
"""Traffic mix of the demo site."""


def schedule(traffic: Sequence[Traffic], seconds: float, seed: int) -> list[Arrival]:
    """Return the calls of a run in chronological order.

    Args:
        traffic: Traffic to schedule; each element is an independent Poisson process.
        seconds: Length of the run.
        seed: Seed of the random generator.

    Example:
        >>> first = schedule(DEMO_TRAFFIC, 5.0, seed=1)
        >>> first == schedule(DEMO_TRAFFIC, 5.0, seed=1)
        True
    """
    random = Random(seed)
    arrivals: list[Arrival] = []
    for each in traffic:
        at = random.expovariate(each.rate) if each.rate > 0 else seconds
        while at < seconds:
            key = random.choice(each.keys)
            tokens = random.randint(each.shortest, each.longest)
            arrivals.append(Arrival(0, at, each, key, tokens))
            at += random.expovariate(each.rate)
    arrivals.sort(key=lambda arrival: arrival.at)
    return [
        Arrival(index, each.at, each.traffic, each.key, each.tokens)
        for index, each in enumerate(arrivals)
    ]
