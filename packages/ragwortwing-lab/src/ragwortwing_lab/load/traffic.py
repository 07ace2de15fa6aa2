"""What kinds of callers there are, and when each of them calls."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class CallKind(StrEnum):
    """What a caller asks for."""

    STREAM = "stream"
    """A chat completion that comes token by token."""
    WHOLE = "whole"
    """A chat completion that comes in one piece."""
    ORDER = "order"
    """An order with an idempotency key."""
    LOOKUP = "lookup"
    """A lookup at the order desk."""


@dataclass(frozen=True, slots=True)
class Traffic:
    """Callers of one request class."""

    request_class: str
    kind: CallKind
    rate: float
    """Calls a second over all accounts."""
    keys: tuple[str, ...]
    """API keys, used in turn by chance."""
    shortest: int = 8
    """Tokens of the shortest answer."""
    longest: int = 60
    first_token_target: timedelta = timedelta(seconds=1.5)
    """Time to the first token, or to the whole answer, that counts as attained."""
    between_token_target: timedelta = timedelta(milliseconds=45)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call that will be made, whatever became of the earlier ones."""

    index: int
    at: float
    """Seconds after the start."""
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
"""The mix of the demo's site."""


def schedule(traffic: Sequence[Traffic], seconds: float, seed: int) -> list[Arrival]:
    """Return the calls of a run in the order of time.

    Args:
        traffic: The kinds of callers; each comes by a Poisson process of its own.
        seconds: Length of the run.
        seed: Seed of every random choice.

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
