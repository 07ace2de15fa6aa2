"""Limits by client account over several entries, without a counter that they would share.

Each entry enforces its own part of an account's rate and concurrency. Without reports the parts are
equal. With reports of what agents see of an account over all entries, an entry's part is its own
use and an equal part of what the site leaves unused; the parts add up to the limit again. The error
bound is stated in `docs/decisions/account-limits.md`.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from math import exp, floor
from typing import TYPE_CHECKING

from .outcomes import NotRun, NotRunReason

if TYPE_CHECKING:
    from .clock import Instant
    from .configuration import ClientAccount, Configuration

EQUAL_SHARE = 0.05
"""Part of a limit that is always split equally, so that no entry falls to nothing."""

USAGE_LIFETIME = timedelta(seconds=5)
"""Age at which a report of an account's use no longer counts."""

ADJUSTMENT_INTERVAL = timedelta(seconds=1)
"""Shortest time between two changes of an entry's part; not shorter than a report's way here."""

RATE_WINDOW = timedelta(seconds=1)
"""Time constant over which an entry measures its own rate."""

CONCURRENCY_RETRY_AFTER = timedelta(seconds=1)
"""When to come back after a concurrency limit."""


@dataclass(frozen=True, slots=True)
class AccountUsage:
    """What agents see of a client account over all entries."""

    account: str
    in_flight: int
    requests_per_second: float


class _TokenBucket:
    """Tokens that come at a rate and are kept up to a capacity."""

    def __init__(self, rate: float, capacity: float, now: Instant) -> None:
        self._rate = rate
        self._capacity = capacity
        self._tokens = capacity
        self._filled_at = now

    def take(self, now: Instant) -> timedelta | None:
        """Take a token; return the time until there is one where there is none."""
        self._fill(now)
        if self._tokens < 1.0:
            return timedelta(seconds=(1.0 - self._tokens) / self._rate)
        self._tokens -= 1.0
        return None

    def resize(self, rate: float, capacity: float, now: Instant) -> None:
        """Change rate and capacity; no token appears by it."""
        self._fill(now)
        self._rate = rate
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def _fill(self, now: Instant) -> None:
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._capacity, self._tokens + gained)
        self._filled_at = now


class _OwnUse:
    """What this entry admitted of an account: in flight, and as a smoothed rate."""

    def __init__(self, now: Instant) -> None:
        self.in_flight = 0
        self._rate = 0.0
        self._rated_at = now

    def admitted(self, now: Instant) -> None:
        """Count a request."""
        self._rate = self.rate(now) + 1.0 / RATE_WINDOW.total_seconds()
        self._rated_at = now
        self.in_flight += 1

    def rate(self, now: Instant) -> float:
        """Return the smoothed requests per second."""
        return self._rate * exp(-(now - self._rated_at) / RATE_WINDOW.total_seconds())


class _AccountShare:
    """This entry's part of one account's limits."""

    def __init__(self, account: ClientAccount, factor: float, entries: int, now: Instant) -> None:
        self.own = _OwnUse(now)
        self._account = account
        self._factor = factor
        self._entries = entries
        self._usage: AccountUsage | None = None
        self._adjusted_at = now
        self._bucket: _TokenBucket | None = None
        self._concurrency: int | None = None
        self._resize(now)

    def admit(self, now: Instant) -> NotRun | None:
        """Count a request in, or say why it is over a limit."""
        if self._usage is not None and now - self._adjusted_at > USAGE_LIFETIME.total_seconds():
            self._usage = None
            self._resize(now)
        if self._concurrency is not None and self.own.in_flight >= self._concurrency:
            return NotRun(NotRunReason.CONCURRENCY_LIMITED, CONCURRENCY_RETRY_AFTER)
        retry_after = None if self._bucket is None else self._bucket.take(now)
        if retry_after is not None:
            return NotRun(NotRunReason.RATE_LIMITED, retry_after)
        self.own.admitted(now)
        return None

    def reconfigure(
        self, account: ClientAccount, factor: float, entries: int, now: Instant
    ) -> None:
        """Take other limits, or another number of entries, into force."""
        changed = (account, factor, entries) != (self._account, self._factor, self._entries)
        self._account = account
        self._factor = factor
        self._entries = entries
        if changed:
            self._usage = None
            self._resize(now)

    def observe(self, usage: AccountUsage, now: Instant) -> None:
        """Adjust the part to what the agents see."""
        if now - self._adjusted_at < ADJUSTMENT_INTERVAL.total_seconds():
            return
        self._usage = usage
        self._adjusted_at = now
        self._resize(now)

    def _resize(self, now: Instant) -> None:
        self._resize_rate(now)
        if self._account.concurrency is None:
            self._concurrency = None
            return
        limit = self._account.concurrency * self._factor
        used = None if self._usage is None else self._usage.in_flight
        part = self._part(limit, self.own.in_flight, used)
        self._concurrency = max(1, floor(part))

    def _resize_rate(self, now: Instant) -> None:
        if self._account.requests_per_second is None:
            self._bucket = None
            return
        limit = self._account.requests_per_second * self._factor
        used = None if self._usage is None else self._usage.requests_per_second
        rate = self._part(limit, self.own.rate(now), used)
        capacity = max(1.0, self._account.burst * self._factor * rate / limit)
        if self._bucket is None:
            self._bucket = _TokenBucket(rate, capacity, now)
        else:
            self._bucket.resize(rate, capacity, now)

    def _part(self, limit: float, own: float, used: float | None) -> float:
        equal = limit / self._entries
        if used is None:
            return equal
        by_use = max(0.0, own + (limit - used) / self._entries)
        return min(limit, (1.0 - EQUAL_SHARE) * by_use + EQUAL_SHARE * equal)


class AccountLimiter:
    """Rate and concurrency limits by client account, as one entry enforces them."""

    def __init__(self, configuration: Configuration, entries: int = 1) -> None:
        self._configuration = configuration
        self._entries = max(1, entries)
        self._share_by_account: dict[str, _AccountShare] = {}

    def admit(self, account: str, now: Instant) -> NotRun | None:
        """Count a request of an account in, or return why it does not run.

        Args:
            account: The name of a configured client account.
            now: The present instant.

        Returns:
            None where the request may go on; each such request is given back by `release`.
        """
        return self._share(account, now).admit(now)

    def release(self, account: str, now: Instant) -> None:
        """Count a request out that ended in any way."""
        share = self._share_by_account.get(account)
        if share is not None and share.own.in_flight:
            share.own.in_flight -= 1

    def entries_changed(self, count: int, now: Instant) -> None:
        """Split the limits over another number of live entries."""
        self._entries = max(1, count)
        self._reconfigure(now)

    def configure(self, configuration: Configuration, now: Instant) -> None:
        """Take a newer configuration, or another preset, into force."""
        self._configuration = configuration
        self._reconfigure(now)

    def observed(self, usage: AccountUsage, now: Instant) -> None:
        """Take in what the agents see of an account over all entries."""
        if usage.account in self._configuration.accounts_by_name:
            self._share(usage.account, now).observe(usage, now)

    def _share(self, name: str, now: Instant) -> _AccountShare:
        share = self._share_by_account.get(name)
        if share is None:
            account = self._configuration.accounts_by_name[name]
            share = _AccountShare(account, self._factor, self._entries, now)
            self._share_by_account[name] = share
        return share

    def _reconfigure(self, now: Instant) -> None:
        for name, share in list(self._share_by_account.items()):
            account = self._configuration.accounts_by_name.get(name)
            if account is None:
                del self._share_by_account[name]
            else:
                share.reconfigure(account, self._factor, self._entries, now)

    @property
    def _factor(self) -> float:
        configuration = self._configuration
        return configuration.presets_by_name[configuration.preset].account_limit_factor
