"""Shares of client accounts in the engines of a pool, while requests wait for them.

Load: one account sends many times its usual rate while requests wait for engines. Without shares,
waiting requests are ordered by target, so every account is refused in proportion to what all
accounts send, also those that send no more than usual.

Within one urgency of one pool, engine time is divided by weighted max-min fairness. The share of an
account is what it would get if the engine time that the pool has recently granted were divided so
that no account gets more than it asked for and all others get equal amounts by weight. Only the
order of waiting requests and the choice of whom to refuse depend on it: engine time that nobody
else asks for goes to whoever does.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import exp, inf, isfinite
from typing import TYPE_CHECKING, Protocol

from ragwortwing_policy.clock import Instant

from .run_cost import RunCost
from .usage_window import Standing, UsageWindow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping


RATE_SECONDS = 0.5
"""Time in which the measured rate of grants decays to 1/e."""

RATE_WARM_UP_SECONDS = 0.2
"""Seconds for which requests must have waited without interruption before the rate of grants
predicts a wait: the first grants after an idle time only fill the engines."""

CONTENTION_SECONDS = 0.5
"""Seconds after the last pass that left requests waiting for which shares stay in force."""

MAXIMUM_CHARGE_AGE = 120.0
"""Seconds after which a charge can no longer be corrected. The end of a run may never be heard
of; no configured deadline is as long."""

SHARED_ACCOUNT = ""
"""Name under which all requests without an account (public routes) have one share."""

STATED_ACCOUNTS = 10_000
"""Maximum number of accounts for which an ignored weight is logged, once each."""

REPORTED_ACCOUNTS = 10
"""Number of accounts with the largest usage that the gauges name."""


def is_valid_weight(weight: float) -> bool:
    """Return whether a weight is a positive finite number."""
    return isfinite(weight) and weight > 0.0


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
        seconds = cost.seconds
        window.demanded(name, seconds, now)
        self._waiting[ticket] = _Request(name, urgency, seconds, now)

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
        seconds = charge.cost.seconds
        window.used(charge.account, seconds, charge.sent_at)
        window.demanded(charge.account, seconds, charge.sent_at)
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
