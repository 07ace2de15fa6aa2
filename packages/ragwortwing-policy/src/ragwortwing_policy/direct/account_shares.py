"""Shares of client accounts in the engines of a pool, while requests wait for them.

Load: one account sends many times its usual rate while requests wait for engines. Without shares,
waiting requests are ordered by target, so every account is refused in proportion to what all
accounts send, also those that send no more than usual.

Within one urgency of one pool, engine time is divided by weighted max-min fairness. The share of an
account is what it would get if the engine time that the pool has recently granted were divided so
that no account gets more than it asked for and all others get equal amounts by weight. Only the
order of waiting requests and the choice of whom to refuse depend on it: engine time that nobody
else asks for goes to whoever does.

Usage and demand are sums of predicted engine seconds that decay exponentially. They are compared in
the units of the most recent rescaling, so the decay costs nothing between two requests.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from heapq import nlargest
from math import exp, inf, isfinite, isnan, sqrt
from typing import TYPE_CHECKING, Protocol

from ragwortwing_policy.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from .engine_load import EngineLoad, PrefillPlan
    from .prompt_parts import Prompt

DECAY_SECONDS = 4.0
"""Time in which usage and demand decay to 1/e. Bursts take 3 to 9 s; a scheduler that takes over
lacks at most this much of the usage."""

DECODE_STEP_SECONDS = 0.01
"""Assumed seconds of one decode step of a full engine; the step serves every running request."""

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

RATE_SECONDS = 0.5
"""Time in which the measured rate of grants decays to 1/e."""

RATE_WARM_UP_SECONDS = 0.2
"""Seconds for which requests must have waited without interruption before the rate of grants
predicts a wait: the first grants after an idle time only fill the engines."""

CONTENTION_SECONDS = 0.5
"""Seconds after the last pass that left requests waiting for which shares stay in force."""

RESCALE_EXPONENT = 30.0
"""Exponent of the growing scale beyond which the sums are rescaled, far from an overflow."""

NEGLIGIBLE_SECONDS = 1e-4
"""Decayed engine seconds below which an account is forgotten."""

MAXIMUM_CHARGE_AGE = 120.0
"""Seconds after which a charge can no longer be corrected. The end of a run may never be heard
of; no configured deadline is as long."""

SHARED_ACCOUNT = ""
"""Name under which all requests without an account (public routes) have one share."""

STATED_ACCOUNTS = 10_000
"""Maximum number of accounts for which an ignored weight is logged, once each."""

REPORTED_ACCOUNTS = 10
"""Number of accounts with the largest usage that the gauges name."""


def predicted_engine_seconds(prefill_seconds: float, output_tokens: int, slots: int) -> float:
    """Return the predicted engine time of a run: its prefill, and its part of the decode steps.

    Args:
        prefill_seconds: Predicted prefill time on an otherwise idle engine.
        output_tokens: Maximum tokens of the answer.
        slots: Requests that the engine runs concurrently; they share each decode step.

    Example:
        >>> round(predicted_engine_seconds(0.03, 320, slots=64), 3)
        0.08
    """
    return prefill_seconds + _decode_seconds(output_tokens, slots)


def _decode_seconds(output_tokens: int, slots: int) -> float:
    return output_tokens * DECODE_STEP_SECONDS / max(1, slots)


def is_valid_weight(weight: float) -> bool:
    """Return whether a weight is a positive finite number."""
    return isfinite(weight) and weight > 0.0


@dataclass(frozen=True, slots=True)
class Standing:
    """An account's usage and share, as fractions of the engine time granted in its urgency."""

    account: str
    usage: float
    share: float
    """Infinite while the engines suffice for all accounts."""


@dataclass(frozen=True, slots=True)
class RunCost:
    """The predicted engine time of a run, and what is needed to correct it."""

    prefill_seconds: float
    output_tokens: int
    slots: int

    @property
    def seconds(self) -> float:
        """Predicted engine seconds."""
        return predicted_engine_seconds(self.prefill_seconds, self.output_tokens, self.slots)

    @classmethod
    def on(cls, load: EngineLoad, reading: PrefillPlan, prompt: Prompt) -> RunCost:
        """Return the cost of a run on an engine."""
        return cls(load.predicted_prefill_seconds(reading), prompt.output_tokens, load.traits.slots)

    def unused(self, until_read: float | None, after_read: float) -> float:
        """Return the predicted engine seconds that a run did not use.

        A run never counts for more than predicted: an engine that takes longer is slowed by the
        prompts of others.

        Args:
            until_read: Seconds from the send to the first event; None if there was none.
            after_read: Seconds from the first event, or without one from the send, to the end.
        """
        decode = _decode_seconds(self.output_tokens, self.slots)
        if until_read is None:
            return decode + max(0.0, self.prefill_seconds - after_read)
        return max(0.0, decode - after_read / max(1, self.slots))


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
        self._total = sum(each.usage for each in self._accounts.values())
        self._equal = self._total / (sum(each.weight for each in self._accounts.values()) or 1.0)
        self._level = self._water_level()

    def _water_level(self) -> float:
        """Return the amount for each unit of weight at which capped demands add up to the usage."""
        by_need = sorted(
            (max(each.demand, each.usage) / each.weight, each.weight)
            for each in self._accounts.values()
        )
        left, weight = self._total, sum(each for _, each in by_need)
        for need, own in by_need:
            if need * weight > left:
                return left / weight
            left -= need * own
            weight -= own
        return inf


@dataclass(slots=True)
class _GrantRate:
    """Engine seconds a second that are granted while requests wait without interruption."""

    since: Instant | None = None
    _granted: float = 0.0
    _updated_at: Instant = 0.0

    def granted(self, seconds: float, now: Instant) -> None:
        """Count a grant."""
        if self.since is not None:
            self._decay(now)
            self._granted += seconds

    def observe(self, now: Instant, *, waiting: bool) -> None:
        """Record after a pass over the queue whether requests are left that wait."""
        if not waiting:
            self.since = None
        elif self.since is None:
            self.since = self._updated_at = now
            self._granted = 0.0

    def rate(self, now: Instant, besides: float) -> float | None:
        """Return the rate; None while it is not known, also if no engine could be used so far.

        Args:
            now: The current instant.
            besides: Engine seconds that count as granted besides: without a grant for a while the
                next one is not infinitely far.
        """
        if self.since is None or now - self.since < RATE_WARM_UP_SECONDS or not self._granted:
            return None
        self._decay(now)
        granted = self._granted + besides
        return granted / (RATE_SECONDS * (1.0 - exp(-(now - self.since) / RATE_SECONDS)))

    def _decay(self, now: Instant) -> None:
        self._granted *= exp(-max(0.0, now - self._updated_at) / RATE_SECONDS)
        self._updated_at = now


@dataclass(slots=True)
class _Request:
    """A waiting request."""

    account: str
    urgency: int
    seconds: float
    arrived_at: Instant
    beyond: bool = False
    """Whether it was beyond its account's share in the last pass."""


@dataclass(slots=True)
class _Charge:
    """A run that was charged to its account."""

    account: str
    urgency: int
    cost: RunCost
    sent_at: Instant
    read_at: Instant | None = None


class Shares(Protocol):
    """What the admission queue of a pool asks and tells about client accounts."""

    def arrived(
        self,
        ticket: str,
        account: str | None,
        weight: float,
        urgency: int,
        cost: RunCost,
        now: Instant,
    ) -> None:
        """Count a request that begins to wait."""

    def left(self, ticket: str) -> None:
        """Take back a request that is neither granted nor refused here."""

    def granted(self, ticket: str, cost: RunCost, now: Instant) -> None:
        """Charge a waiting request's account with its run."""

    def refused(self, ticket: str, now: Instant) -> Standing | None:
        """Count the refusal of a waiting request; return the standing of its account."""

    def ranks(self, tickets: Iterable[str], now: Instant) -> Mapping[str, float]:
        """Return the ranks of those waiting requests that are beyond their account's share.

        Args:
            tickets: The waiting requests in the order in which they would be served without shares.
            now: The current instant.
        """

    def is_beyond(self, ticket: str, now: Instant) -> bool:
        """Return whether the account of a waiting request has used its share by now."""

    def standing(self, account: str | None, urgency: int, now: Instant) -> Standing | None:
        """Return an account's standing; None if shares are off."""

    def passed(self, waiting: Mapping[int, int], now: Instant) -> None:
        """Record how many requests of each urgency wait after a pass over the queue."""

    def is_contended(self, now: Instant) -> bool:
        """Return whether requests have waited lately."""

    def wait_seconds(self, ticket: str, ahead: float, now: Instant) -> float:
        """Return the predicted wait behind `ahead` engine seconds; 0 if it is not known."""

    def seconds(self, ticket: str) -> float:
        """Return the predicted engine seconds of a waiting request."""


class NoShares:
    """Shares of a pool without client accounts: nothing is beyond a share."""

    def arrived(
        self,
        ticket: str,
        account: str | None,
        weight: float,
        urgency: int,
        cost: RunCost,
        now: Instant,
    ) -> None:
        """Do nothing."""

    def left(self, ticket: str) -> None:
        """Do nothing."""

    def granted(self, ticket: str, cost: RunCost, now: Instant) -> None:
        """Do nothing."""

    def refused(self, ticket: str, now: Instant) -> Standing | None:
        """Return None."""
        return None

    def ranks(self, tickets: Iterable[str], now: Instant) -> Mapping[str, float]:
        """Return no rank: the order stays as it is."""
        return {}

    def is_beyond(self, ticket: str, now: Instant) -> bool:
        """Return False."""
        return False

    def standing(self, account: str | None, urgency: int, now: Instant) -> Standing | None:
        """Return None."""
        return None

    def passed(self, waiting: Mapping[int, int], now: Instant) -> None:
        """Do nothing."""

    def is_contended(self, now: Instant) -> bool:
        """Return False."""
        return False

    def wait_seconds(self, ticket: str, ahead: float, now: Instant) -> float:
        """Return 0: nothing is refused early."""
        return 0.0

    def seconds(self, ticket: str) -> float:
        """Return 0."""
        return 0.0


class PoolShares:
    """Shares of the client accounts in the engines of one pool.

    Its state is bounded: accounts with negligible usage are forgotten, waiting requests are those
    of the queue, and charges are those of runs on engines, for at most `MAXIMUM_CHARGE_AGE`.
    """

    def __init__(self) -> None:
        self.refusals: Counter[str] = Counter()
        """Refusals of requests `within` and `beyond` the share of their account."""
        self.invalid_weights = 0
        """Requests whose weight was ignored because it is not a positive finite number."""
        self._windows: dict[int, UsageWindow] = {}
        self._rates: dict[int, _GrantRate] = {}
        self._waiting: dict[str, _Request] = {}
        self._charges: dict[str, _Charge] = {}
        self._invalid: dict[str, float] = {}
        self._stated: set[str] = set()
        self._contended_at: Instant = -inf

    def __len__(self) -> int:
        """Return the number of accounts with usage, counted by urgency."""
        return sum(len(each) for each in self._windows.values())

    @property
    def charges(self) -> int:
        """Number of charged runs that may still be corrected."""
        return len(self._charges)

    def arrived(
        self,
        ticket: str,
        account: str | None,
        weight: float,
        urgency: int,
        cost: RunCost,
        now: Instant,
    ) -> None:
        """Count a request that begins to wait."""
        name = account or SHARED_ACCOUNT
        window = self._window(urgency)
        window.weigh(name, self._valid(name, weight))
        window.demanded(name, cost.seconds, now)
        self._waiting[ticket] = _Request(name, urgency, cost.seconds, now)

    def left(self, ticket: str) -> None:
        """Take back a request that is neither granted nor refused here."""
        found = self._waiting.pop(ticket, None)
        if found is not None:
            self._window(found.urgency).demanded(found.account, -found.seconds, found.arrived_at)

    def granted(self, ticket: str, cost: RunCost, now: Instant) -> None:
        """Charge a waiting request's account with its run."""
        found = self._waiting.get(ticket)
        if found is None:
            return
        self.left(ticket)
        self._charge(ticket, _Charge(found.account, found.urgency, cost, now))
        self._rate(found.urgency).granted(cost.seconds, now)

    def began(
        self, ticket: str, account: str | None, urgency: int, cost: RunCost, sent_at: Instant
    ) -> None:
        """Charge a run that was placed elsewhere, unless it is charged already.

        A scheduler learns of the runs of all entries from their reports. One that takes over thus
        has the usage of all that runs; the usage of runs that have ended is lost.
        """
        if ticket not in self._charges:
            name = account or SHARED_ACCOUNT
            self._charge(ticket, _Charge(name, urgency, cost, sent_at))

    def first_event(self, ticket: str, now: Instant) -> None:
        """Record that the prompt of a run has been read."""
        found = self._charges.get(ticket)
        if found is not None and found.read_at is None:
            found.read_at = now

    def ended(self, ticket: str, now: Instant) -> None:
        """Credit an account with the part of a charge that its run did not use."""
        found = self._charges.pop(ticket, None)
        if found is None:
            return
        until_read = None if found.read_at is None else found.read_at - found.sent_at
        since = found.sent_at if found.read_at is None else found.read_at
        unused = found.cost.unused(until_read, now - since)
        if unused > 0.0:
            window = self._window(found.urgency)
            window.used(found.account, -unused, found.sent_at)
            window.demanded(found.account, -unused, found.sent_at)

    def refused(self, ticket: str, now: Instant) -> Standing | None:
        """Count the refusal of a waiting request; return the standing of its account."""
        found = self._waiting.pop(ticket, None)
        if found is None:
            return None
        self.refusals["beyond" if found.beyond else "within"] += 1
        return self._window(found.urgency).standing(found.account, now)

    def ranks(self, tickets: Iterable[str], now: Instant) -> Mapping[str, float]:
        """Return the ranks of those waiting requests that are beyond their account's share."""
        by_urgency: dict[int, list[tuple[str, str, float]]] = {}
        for ticket in tickets:
            found = self._waiting.get(ticket)
            if found is None:  # Queued before the configuration had client accounts.
                continue
            found.beyond = False
            each = (ticket, found.account, found.seconds)
            by_urgency.setdefault(found.urgency, []).append(each)
        ranks: dict[str, float] = {}
        for urgency, waiting in by_urgency.items():
            ranks.update(self._window(urgency).ranks(waiting, now))
        return ranks

    def is_beyond(self, ticket: str, now: Instant) -> bool:
        """Return whether the account of a waiting request has used its share by now.

        Unlike its rank, this does not count the requests before it that could not be placed.
        """
        found = self._waiting.get(ticket)
        if found is None:
            return False
        window = self._window(found.urgency)
        found.beyond = window.is_beyond(found.account, now)
        return found.beyond

    def standing(self, account: str | None, urgency: int, now: Instant) -> Standing | None:
        """Return an account's usage and share in an urgency."""
        return self._window(urgency).standing(account or SHARED_ACCOUNT, now)

    def passed(self, waiting: Mapping[int, int], now: Instant) -> None:
        """Record how many requests of each urgency wait after a pass over the queue."""
        for urgency in self._windows:
            self._rate(urgency).observe(now, waiting=bool(waiting.get(urgency)))
        if any(waiting.values()):
            self._contended_at = now

    def is_contended(self, now: Instant) -> bool:
        """Return whether requests have waited lately."""
        return now - self._contended_at < CONTENTION_SECONDS

    def wait_seconds(self, ticket: str, ahead: float, now: Instant) -> float:
        """Return the predicted wait behind `ahead` engine seconds; 0 if it is not known.

        The rate is that of the request's own urgency while requests of it waited, so time that
        more urgent requests take is accounted for.
        """
        found = self._waiting[ticket]
        rate = self._rate(found.urgency).rate(now, besides=found.seconds)
        return ahead / rate if rate else 0.0

    def seconds(self, ticket: str) -> float:
        """Return the predicted engine seconds of a waiting request."""
        found = self._waiting.get(ticket)
        return 0.0 if found is None else found.seconds

    def usage(self) -> Iterator[tuple[str, float]]:
        """Return each account's usage, in units that are comparable within an urgency."""
        for window in self._windows.values():
            yield from window.usage()

    def largest(
        self, now: Instant, count: int = REPORTED_ACCOUNTS
    ) -> Iterator[tuple[int, Standing]]:
        """Return urgency and standing of the accounts with the largest usage in each urgency."""
        for urgency, window in sorted(self._windows.items()):
            for standing in window.largest(count, now):
                yield urgency, standing

    def take_invalid_weights(self) -> Mapping[str, float]:
        """Return the accounts whose weight was ignored for the first time since the last call."""
        found, self._invalid = self._invalid, {}
        return found

    def _charge(self, ticket: str, charge: _Charge) -> None:
        window = self._window(charge.urgency)
        window.used(charge.account, charge.cost.seconds, charge.sent_at)
        window.demanded(charge.account, charge.cost.seconds, charge.sent_at)
        self._charges[ticket] = charge
        oldest = next(iter(self._charges))
        if self._charges[oldest].sent_at < charge.sent_at - MAXIMUM_CHARGE_AGE:
            del self._charges[oldest]

    def _valid(self, account: str, weight: float) -> float:
        if is_valid_weight(weight):
            return weight
        self.invalid_weights += 1
        if account not in self._stated and len(self._stated) < STATED_ACCOUNTS:
            self._stated.add(account)
            self._invalid[account] = weight
        return 1.0

    def _window(self, urgency: int) -> UsageWindow:
        found = self._windows.get(urgency)
        if found is None:
            found = self._windows[urgency] = self._new_window()
        return found

    def _new_window(self) -> UsageWindow:
        return UsageWindow()

    def _rate(self, urgency: int) -> _GrantRate:
        found = self._rates.get(urgency)
        if found is None:
            found = self._rates[urgency] = _GrantRate()
        return found


class AccountShares:
    """The shares of client accounts in all pools, as one entry knows them.

    Off until a configuration with client accounts is accepted.
    """

    def __init__(self) -> None:
        self.by_pool: dict[str, PoolShares] = {}
        self._enabled = False

    @property
    def enabled(self) -> bool:
        """Whether the configuration has client accounts."""
        return self._enabled

    @enabled.setter
    def enabled(self, enabled: bool) -> None:
        self._enabled = enabled
        if not enabled:
            self.by_pool.clear()

    def pool(self, name: str) -> Shares:
        """Return the shares of a pool."""
        return self._of(name) if self._enabled else NO_SHARES

    def began(
        self,
        pool: str,
        ticket: str,
        account: str | None,
        urgency: int,
        cost: RunCost,
        sent_at: Instant,
    ) -> None:
        """Charge a run that was placed elsewhere."""
        if self._enabled:
            self._of(pool).began(ticket, account, urgency, cost, sent_at)

    def first_event(self, pool: str, ticket: str, now: Instant) -> None:
        """Record that the prompt of a run has been read."""
        if self._enabled:
            self._of(pool).first_event(ticket, now)

    def ended(self, ticket: str, now: Instant) -> None:
        """Correct the charge of a run that has ended, on whichever pool it was."""
        for each in self.by_pool.values():
            each.ended(ticket, now)

    def _of(self, pool: str) -> PoolShares:
        found = self.by_pool.get(pool)
        if found is None:
            found = self.by_pool[pool] = PoolShares()
        return found


NO_SHARES = NoShares()
