"""Generates the workload: arrivals per class, lengths, accounts, surges and retry behaviour."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import accumulate
from math import exp, log
from random import Random
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.routing import BackendKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

MODEL = "baker-large"
"""Name of the model that all engines serve."""

DESK = "orders"
"""Name of the plain service that accepts orders."""


class RetryStyle(Enum):
    """Behaviour of a caller whose request was not run."""

    NEVER = auto()
    AFTER = auto()
    """Retries after the time given in the refusal."""
    AT_ONCE = auto()


@dataclass(frozen=True, slots=True)
class Lognormal:
    """Lognormal distribution of lengths; the policy does not know the drawn length in advance."""

    median: float
    sigma: float

    def draw(self, random: Random) -> int:
        """Return a random length of at least one."""
        return max(1, round(random.lognormvariate(log(self.median), self.sigma)))

    @property
    def mean(self) -> float:
        """Mean of the distribution."""
        return self.median * exp(self.sigma**2 / 2)


@dataclass(frozen=True, slots=True)
class Surge:
    """A period in which a class sends a multiple of its rate."""

    start: Instant
    end: Instant
    factor: float


@dataclass(frozen=True, slots=True)
class AccountShare:
    """Relative share of a client account in the requests of a class."""

    name: str
    share: float


def equal_accounts(count: int) -> tuple[AccountShare, ...]:
    """Return accounts with equal shares."""
    return tuple(AccountShare(f"account-{each}", 1.0) for each in range(count))


@dataclass(frozen=True, slots=True)
class Traffic:
    """Traffic of one request class."""

    class_name: str
    rate: float
    """Requests per second outside of surges."""
    output: Lognormal
    """Tokens of an answer or, for a plain service, milliseconds of work."""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    """Tokens at the start of the prompt that are shared with other requests."""
    prefixes: int = 0
    """Number of shared prefixes, used equally often; 0 for none."""
    hot_share: float = 0.0
    """Share of requests that use the first prefix, in addition to its equal share of the rest."""
    accounts: tuple[AccountShare, ...] = field(default_factory=lambda: equal_accounts(10))
    surges: tuple[Surge, ...] = ()
    retry: RetryStyle = RetryStyle.NEVER
    kind: BackendKind = BackendKind.ENGINE

    @property
    def target(self) -> str:
        """Name of the model or service that serves the class."""
        return MODEL if self.kind is BackendKind.ENGINE else DESK


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request from a caller."""

    at: Instant
    class_name: str
    account: str
    kind: BackendKind
    target: str
    prompt_tokens: int
    prefix_tokens: int
    prefix_hash: int
    output: int
    retry: RetryStyle
    attempt: int = 0

    @property
    def idempotent(self) -> bool:
        """Whether the request may run twice; an order may not."""
        return self.kind is BackendKind.ENGINE


def arrivals(traffics: Sequence[Traffic], duration: Instant, seed: int) -> list[Arrival]:
    """Return all arrivals without retries; each class has its own random stream."""
    result: list[Arrival] = []
    for traffic in traffics:
        random = Random(f"{seed}/{traffic.class_name}")
        result.extend(_arrivals_of_class(traffic, duration, random))
    return sorted(result, key=lambda each: each.at)


def _arrivals_of_class(traffic: Traffic, duration: Instant, random: Random) -> Iterator[Arrival]:
    cumulative = list(accumulate(each.share for each in traffic.accounts))
    highest = max([1.0, *(each.factor for each in traffic.surges)])
    now = 0.0
    while traffic.rate > 0:
        now += random.expovariate(traffic.rate * highest)
        if now >= duration:
            return
        if random.random() * highest > _surge_factor(traffic, now):
            continue
        (account,) = random.choices(traffic.accounts, cum_weights=cumulative)
        yield Arrival(
            at=now,
            class_name=traffic.class_name,
            account=account.name,
            kind=traffic.kind,
            target=traffic.target,
            prompt_tokens=traffic.prompt_tokens,
            prefix_tokens=traffic.prefix_tokens if traffic.prefixes else 0,
            prefix_hash=_prefix_hash(traffic, random),
            output=traffic.output.draw(random),
            retry=traffic.retry,
        )


def _surge_factor(traffic: Traffic, now: Instant) -> float:
    for surge in traffic.surges:
        if surge.start <= now < surge.end:
            return surge.factor
    return 1.0


def _prefix_hash(traffic: Traffic, random: Random) -> int:
    if not traffic.prefixes:
        return 0
    number = 0 if random.random() < traffic.hot_share else random.randrange(traffic.prefixes)
    return Random(f"{traffic.class_name}/{number}").getrandbits(63) | 1
