"""Decayed usage and demand of client accounts, and the shares that follow from them.

Usage and demand are sums of predicted engine seconds that decay exponentially. They are compared in
the units of the most recent rescaling, so the decay costs nothing between two requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nlargest
from math import exp, inf, isnan, sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from ragwortwing_policy.clock import Instant

DECAY_SECONDS = 4.0
"""Time in which usage and demand decay to 1/e. Bursts take 3 to 9 s; a scheduler that takes over
lacks at most this much of the usage."""

TOLERANCE = 0.05
"""Fraction by which an account may exceed its share before its requests follow those of others."""

USED_FRACTION = 0.9
"""Fraction of its share up to which an account with more requests than that may fill the engines'
backlogs. It goes beyond by what is granted in one pass and between two computations of shares: with
1.0, an account at ten times its rate got 61 answers on time where an equal division was 56."""

DEVIATIONS = 2.0
"""Standard deviations by which an account's usage may exceed an equal division of the engine time
before its requests follow those of others. Requests arrive at random, so accounts that send alike
differ within the window: with a fixed tolerance of a tenth, those that happened to send a little
more were refused first, and each in turn was refused more often than without shares."""

LEVEL_INTERVAL = 0.05
"""Minimum seconds for which computed shares are kept."""

LEVEL_INTERVAL_PER_ACCOUNT = 1e-4
"""Seconds for each account for which computed shares are kept: computing them takes about 1 µs an
account, so it takes about a hundredth of the time with any number of accounts."""

RESCALE_EXPONENT = 30.0
"""Exponent of the growing scale beyond which the sums are rescaled, far from an overflow."""

NEGLIGIBLE_SECONDS = 1e-4
"""Decayed engine seconds below which an account is forgotten."""


@dataclass(frozen=True, slots=True)
class Standing:
    """An account's usage and share, as fractions of the engine time granted in its urgency."""

    account: str
    usage: float
    share: float
    """Infinite while the engines suffice for all accounts."""


@dataclass(slots=True)
class _Account:
    weight: float = 1.0
    usage: float = 0.0
    """Granted engine seconds, in scaled units."""
    demand: float = 0.0
    """Requested engine seconds, granted ones included, in scaled units."""


class UsageWindow:
    """Decayed usage and demand of all accounts in one urgency of a pool.

    Example:
        >>> window = UsageWindow()
        >>> for account, demand, usage in (("small", 1.0, 1.0), ("large", 10.0, 4.0)):
        ...     window.demanded(account, demand, 0.0)
        ...     window.used(account, usage, 0.0)
        >>> window.level(0.0)
        4.0
    """

    def __init__(self, decay: float = DECAY_SECONDS) -> None:
        self._decay = decay
        self._epoch: Instant = 0.0
        self._accounts: dict[str, _Account] = {}
        self._level = inf
        self._level_at: Instant = -inf
        self._equal = 0.0
        """Granted engine seconds for each unit of weight of all accounts, scaled."""
        self._total = 0.0
        """Granted engine seconds of all accounts, scaled; summed anew with each level."""

    def __len__(self) -> int:
        return len(self._accounts)

    def weigh(self, account: str, weight: float) -> None:
        """Set the weight of an account; it must be valid."""
        self._account(account).weight = weight

    def demanded(self, account: str, seconds: float, at: Instant) -> None:
        """Add requested engine time; a negative value takes back an earlier one of that time."""
        scale, found = self._scale(at), self._account(account)
        found.demand = max(0.0, found.demand + seconds * scale)

    def used(self, account: str, seconds: float, at: Instant) -> None:
        """Add granted engine time; a negative value takes back an earlier one of that time."""
        scale, found = self._scale(at), self._account(account)
        before = found.usage
        found.usage = max(0.0, before + seconds * scale)
        self._total += found.usage - before

    def level(self, now: Instant) -> float:
        """Return the engine seconds of the decayed window that each unit of weight may use.

        Infinite if the granted time suffices for all demands.
        """
        self._refresh(now)
        return self._level / self._scale(now)

    def ranks(self, waiting: Iterable[tuple[str, str, float]], now: Instant) -> Mapping[str, float]:
        """Return the ranks of the waiting requests that are beyond their account's share.

        A request is charged with those of its account before it, so a pass over the queue divides
        what is free as well as what was used.

        Args:
            waiting: Ticket, account and engine seconds of the requests in their order of service.
            now: The current instant.

        Returns:
            By ticket, the multiple of its share that the account has used when the request's turn
            comes. Requests within the share of their account are not contained.
        """
        self._refresh(now)
        if self._level == inf:
            return {}
        scale = self._scale(now)
        level = max(self._level, NEGLIGIBLE_SECONDS)
        taken: dict[str, float] = {}
        ranks: dict[str, float] = {}
        for ticket, account, seconds in waiting:
            found = self._account(account)
            start = taken.get(account)
            if start is None:
                start = found.usage / found.weight
            own = seconds * scale / found.weight
            taken[account] = start + own
            if start > self._limit(own):
                ranks[ticket] = start / level
        return ranks

    def is_beyond(self, account: str, now: Instant) -> bool:
        """Return whether an account has used its share by now."""
        self._refresh(now)
        found = self._account(account)
        return found.usage / found.weight > self._level * USED_FRACTION

    def _limit(self, own: float) -> float:
        """Return the usage for each unit of weight beyond which a request is beyond the share.

        The variance of a sum of requests that arrive at random and decay is half their cost times
        the sum.

        Args:
            own: Cost of the request for each unit of weight, scaled.
        """
        by_chance = self._equal + DEVIATIONS * sqrt(self._equal * own / 2)
        return max(self._level * (1.0 + TOLERANCE), by_chance)

    def standing(self, account: str, now: Instant) -> Standing:
        """Return an account's usage and share."""
        self._refresh(now)
        found = self._accounts.get(account, _Account())
        total = self._total or 1.0
        return Standing(account, found.usage / total, found.weight * self._level / total)

    def usage(self) -> Iterator[tuple[str, float]]:
        """Return each account's usage, in scaled engine seconds."""
        return ((name, each.usage) for name, each in self._accounts.items())

    def largest(self, count: int, now: Instant) -> list[Standing]:
        """Return the standings of the accounts with the largest usage."""
        names = nlargest(count, self._accounts, key=lambda each: self._accounts[each].usage)
        return [self.standing(each, now) for each in names]

    def _account(self, account: str) -> _Account:
        found = self._accounts.get(account)
        if found is None:
            found = self._accounts[account] = _Account()
        return found

    def _scale(self, at: Instant) -> float:
        """Return the growing scale at an instant: what was added earlier weighs less."""
        exponent = (at - self._epoch) / self._decay
        if exponent > RESCALE_EXPONENT:
            self._rescale(at)
            exponent = 0.0
        return exp(exponent)

    def _rescale(self, at: Instant) -> None:
        factor = exp(-(at - self._epoch) / self._decay)
        self._epoch = at
        for each in self._accounts.values():
            each.usage *= factor
            each.demand *= factor
        self._level *= factor
        self._equal *= factor
        self._total *= factor
        if isnan(self._level):  # An infinite level times zero, after a very long idle time.
            self._level = inf

    def _refresh(self, now: Instant) -> None:
        scale = self._scale(now)
        interval = max(LEVEL_INTERVAL, LEVEL_INTERVAL_PER_ACCOUNT * len(self._accounts))
        if 0.0 <= now - self._level_at < interval:
            return
        self._level_at = now
        negligible = NEGLIGIBLE_SECONDS * scale
        for name in [
            name
            for name, each in self._accounts.items()
            if each.demand < negligible and each.usage < negligible
        ]:
            del self._accounts[name]
        accounts = self._accounts.values()
        self._total = sum([each.usage for each in accounts])
        self._equal = self._total / (sum([each.weight for each in accounts]) or 1.0)
        self._level = self._water_level()

    def _water_level(self) -> float:
        """Return the amount for each unit of weight at which capped demands add up to the usage."""
        accounts = self._accounts.values()
        needs = [
            (each.demand if each.demand > each.usage else each.usage) / each.weight
            for each in accounts
        ]
        weights = [each.weight for each in accounts]
        by_need: Iterable[tuple[float, float]]
        if min(weights, default=1.0) == max(weights, default=1.0):
            # Numbers are sorted several times faster than pairs.
            by_need = zip(sorted(needs), weights, strict=True)
        else:
            by_need = sorted(zip(needs, weights, strict=True))
            weights = [each for _, each in by_need]
        left, weight = self._total, sum(weights)
        for need, own in by_need:
            if need * weight > left:
                return left / weight
            left -= need * own
            weight -= own
        return inf
