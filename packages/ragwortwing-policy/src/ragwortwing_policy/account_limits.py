"""Enforces client account limits across several entries without a shared counter.

Each entry enforces its own share of an account's rate and concurrency. Without usage reports the
shares are equal. Agents report an account's usage over all entries. With such a report, an entry's
share is its own usage plus an equal part of the unused capacity, so the shares still add up to the
limit. The error bound is stated in `docs/decisions/account-limits.md`.
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

EQUALLY_SPLIT_FRACTION = 0.05
"""Fraction of a limit that is always split equally, so that no entry's share drops to zero."""

USAGE_LIFETIME = timedelta(seconds=5)
"""Age at which a usage report is ignored."""

ADJUSTMENT_INTERVAL = timedelta(seconds=1)
"""Minimum time between two changes of an entry's share; at least the delivery time of a report."""

RATE_WINDOW = timedelta(seconds=1)
"""Time constant of the smoothed request rate that an entry measures."""

CONCURRENCY_RETRY_AFTER = timedelta(seconds=1)
"""Retry delay returned when the concurrency limit is reached."""


@dataclass(frozen=True, slots=True)
class AccountUsage:
    """Usage of a client account over all entries, as reported by agents."""

    account: str
    in_flight: int
    requests_per_second: float


class _TokenBucket:
    """Token bucket with a refill rate and a capacity."""

    def __init__(self, rate: float, capacity: float, now: Instant) -> None:
        self._rate = rate
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_at = now

    def take(self, now: Instant) -> timedelta | None:
        """Take a token, or return the time until the next token if the bucket is empty."""
        self._refill(now)
        if self._tokens < 1.0:
            return timedelta(seconds=(1.0 - self._tokens) / self._rate)
        self._tokens -= 1.0
        return None

    def resize(self, rate: float, capacity: float, now: Instant) -> None:
        """Change rate and capacity without adding tokens."""
        self._refill(now)
        self._rate = rate
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def _refill(self, now: Instant) -> None:
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(self._capacity, self._tokens + gained)
        self._refilled_at = now


class _LocalUsage:
    """Requests of an account that this entry admitted: number in flight and smoothed rate."""

    def __init__(self, now: Instant) -> None:
        self.in_flight = 0
        self._rate = 0.0
        self._rate_updated_at = now

    def record_admitted(self, now: Instant) -> None:
        """Count an admitted request."""
        self._rate = self.rate(now) + 1.0 / RATE_WINDOW.total_seconds()
        self._rate_updated_at = now
        self.in_flight += 1

    def rate(self, now: Instant) -> float:
        """Return the smoothed requests per second."""
        return self._rate * exp(-(now - self._rate_updated_at) / RATE_WINDOW.total_seconds())


class _AccountShare:
    """This entry's share of one account's limits."""

    def __init__(self, account: ClientAccount, factor: float, entries: int, now: Instant) -> None:
        self.local_usage = _LocalUsage(now)
        self._account = account
        self._limit_factor = factor
        self._entry_count = entries
        self._reported_usage: AccountUsage | None = None
        self._adjusted_at = now
        self._bucket: _TokenBucket | None = None
        self._concurrency: int | None = None
        self._resize(now)

    def admit(self, now: Instant) -> NotRun | None:
        """Admit a request, or return the limit that it exceeds."""
        if (
            self._reported_usage is not None
            and now - self._adjusted_at > USAGE_LIFETIME.total_seconds()
        ):
            self._reported_usage = None
            self._resize(now)
        if self._concurrency is not None and self.local_usage.in_flight >= self._concurrency:
            return NotRun(NotRunReason.CONCURRENCY_LIMITED, CONCURRENCY_RETRY_AFTER)
        retry_after = None if self._bucket is None else self._bucket.take(now)
        if retry_after is not None:
            return NotRun(NotRunReason.RATE_LIMITED, retry_after)
        self.local_usage.record_admitted(now)
        return None

    def reconfigure(
        self, account: ClientAccount, factor: float, entries: int, now: Instant
    ) -> None:
        """Apply changed limits or a changed number of entries."""
        changed = (account, factor, entries) != (
            self._account,
            self._limit_factor,
            self._entry_count,
        )
        self._account = account
        self._limit_factor = factor
        self._entry_count = entries
        if changed:
            self._reported_usage = None
            self._resize(now)

    def observe(self, usage: AccountUsage, now: Instant) -> None:
        """Adjust the share to the usage that agents report."""
        if now - self._adjusted_at < ADJUSTMENT_INTERVAL.total_seconds():
            return
        self._reported_usage = usage
        self._adjusted_at = now
        self._resize(now)

    def _resize(self, now: Instant) -> None:
        self._resize_rate(now)
        if self._account.concurrency is None:
            self._concurrency = None
            return
        limit = self._account.concurrency * self._limit_factor
        total_usage = None if self._reported_usage is None else self._reported_usage.in_flight
        share = self._local_limit(limit, self.local_usage.in_flight, total_usage)
        self._concurrency = max(1, floor(share))

    def _resize_rate(self, now: Instant) -> None:
        if self._account.requests_per_second is None:
            self._bucket = None
            return
        limit = self._account.requests_per_second * self._limit_factor
        total_usage = (
            None if self._reported_usage is None else self._reported_usage.requests_per_second
        )
        rate = self._local_limit(limit, self.local_usage.rate(now), total_usage)
        capacity = max(1.0, self._account.burst * self._limit_factor * rate / limit)
        if self._bucket is None:
            self._bucket = _TokenBucket(rate, capacity, now)
        else:
            self._bucket.resize(rate, capacity, now)

    def _local_limit(self, limit: float, local_usage: float, total_usage: float | None) -> float:
        equal = limit / self._entry_count
        if total_usage is None:
            return equal
        usage_based = max(0.0, local_usage + (limit - total_usage) / self._entry_count)
        return min(
            limit, (1.0 - EQUALLY_SPLIT_FRACTION) * usage_based + EQUALLY_SPLIT_FRACTION * equal
        )


class AccountLimiter:
    """Enforces one entry's share of the rate and concurrency limits of client accounts."""

    def __init__(self, configuration: Configuration, entries: int = 1) -> None:
        self._configuration = configuration
        self._entry_count = max(1, entries)
        self._share_by_account: dict[str, _AccountShare] = {}

    def admit(self, account: str, now: Instant) -> NotRun | None:
        """Admit a request of an account, or return why it is not run.

        Args:
            account: The name of a configured client account.
            now: The current time.

        Returns:
            None if the request is admitted. The caller must call `release` when it ends.
        """
        return self._share(account, now).admit(now)

    def release(self, account: str, now: Instant) -> None:
        """Count the end of an admitted request, whatever its outcome."""
        share = self._share_by_account.get(account)
        if share is not None and share.local_usage.in_flight:
            share.local_usage.in_flight -= 1

    def entries_changed(self, count: int, now: Instant) -> None:
        """Split the limits over a changed number of live entries."""
        self._entry_count = max(1, count)
        self._reconfigure(now)

    def configure(self, configuration: Configuration, now: Instant) -> None:
        """Apply a newer configuration or preset."""
        self._configuration = configuration
        self._reconfigure(now)

    def observed(self, usage: AccountUsage, now: Instant) -> None:
        """Apply a usage report that covers all entries."""
        if usage.account in self._configuration.accounts_by_name:
            self._share(usage.account, now).observe(usage, now)

    def _share(self, name: str, now: Instant) -> _AccountShare:
        share = self._share_by_account.get(name)
        if share is None:
            account = self._configuration.accounts_by_name[name]
            share = _AccountShare(account, self._limit_factor, self._entry_count, now)
            self._share_by_account[name] = share
        return share

    def _reconfigure(self, now: Instant) -> None:
        for name, share in list(self._share_by_account.items()):
            account = self._configuration.accounts_by_name.get(name)
            if account is None:
                del self._share_by_account[name]
            else:
                share.reconfigure(account, self._limit_factor, self._entry_count, now)

    @property
    def _limit_factor(self) -> float:
        configuration = self._configuration
        return configuration.presets_by_name[configuration.preset].account_limit_factor
