"""Tests of account limits that are split over several entries."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortwing_policy.account_limits import AccountLimiter, AccountUsage
from ragwortwing_policy.configuration import ClientAccount, Configuration, Preset
from ragwortwing_policy.outcomes import NotRunReason

REPORT_INTERVAL = 1.0
STEPS_PER_REPORT = 10


def configuration(rate: float | None = None, burst: int = 20, concurrency: int | None = None):
    account = ClientAccount("a", requests_per_second=rate, burst=burst, concurrency=concurrency)
    return Configuration(
        revision=1,
        preset="ordinary",
        accounts_by_name={"a": account},
        presets_by_name={
            "ordinary": Preset("ordinary"),
            "peak": Preset("peak", account_limit_factor=0.5),
        },
    )


def admitted(limiter: AccountLimiter, attempts: int, now: float) -> int:
    return sum(limiter.admit("a", now) is None for _ in range(attempts))


def test_burst_is_followed_by_rate_limit_with_retry_delay() -> None:
    limiter = AccountLimiter(configuration(rate=2.0, burst=5))
    assert admitted(limiter, 10, 0.0) == 5
    refusal = limiter.admit("a", 0.0)
    assert refusal is not None
    assert refusal.reason is NotRunReason.RATE_LIMITED
    assert refusal.retry_after == timedelta(seconds=0.5)
    assert admitted(limiter, 10, 1.0) == 2


def test_concurrency_is_freed_by_release() -> None:
    limiter = AccountLimiter(configuration(concurrency=2))
    assert admitted(limiter, 3, 0.0) == 2
    refusal = limiter.admit("a", 0.0)
    assert refusal is not None
    assert refusal.reason is NotRunReason.CONCURRENCY_LIMITED
    limiter.release("a", 0.1)
    assert admitted(limiter, 3, 0.1) == 1


def test_limits_are_split_over_entries_and_resizing_adds_no_tokens() -> None:
    limiter = AccountLimiter(configuration(rate=10.0, burst=20, concurrency=8), entries=4)
    assert admitted(limiter, 10, 0.0) == 2
    limiter.entries_changed(1, 0.0)
    assert admitted(limiter, 10, 0.0) == 3


def test_preset_factor_applies_at_once() -> None:
    limiter = AccountLimiter(configuration(concurrency=8))
    assert admitted(limiter, 3, 0.0) == 3
    limiter.configure(replace(configuration(concurrency=8), preset="peak"), 1.0)
    assert admitted(limiter, 8, 1.0) == 1


def test_share_follows_usage_when_one_entry_gets_all_calls() -> None:
    """Guards against an account being held to a quarter of its limit.

    All calls of the account reach one of four entries. With usage reports, that entry's share must
    grow from a quarter to nearly the whole limit.
    """
    limiter = AccountLimiter(configuration(concurrency=40), entries=4)
    assert admitted(limiter, 40, 0.0) == 10
    for second in range(1, 20):
        limiter.observed(AccountUsage("a", local_in_flight(limiter), 0.0), float(second))
        admitted(limiter, 40, float(second))
    assert local_in_flight(limiter) >= 30


def test_share_becomes_equal_again_when_reports_stop() -> None:
    limiter = AccountLimiter(configuration(concurrency=40), entries=4)
    for second in range(1, 20):
        limiter.observed(AccountUsage("a", local_in_flight(limiter), 0.0), float(second))
        admitted(limiter, 40, float(second))
    for _ in range(local_in_flight(limiter)):
        limiter.release("a", 30.0)
    assert admitted(limiter, 40, 30.0) == 10


def local_in_flight(limiter: AccountLimiter) -> int:
    return limiter._share_by_account["a"].local_usage.in_flight if limiter._share_by_account else 0


demand = st.lists(st.lists(st.integers(0, 12), min_size=3, max_size=3), min_size=5, max_size=40)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(demand)
def test_overshoot_is_bounded_while_demand_moves_between_entries(demand) -> None:
    """Guards against unbounded overshoot with stale usage reports.

    Demand moves between three entries while usage reports are one interval old. The requests of the
    whole site must stay below twice the rate limit plus the bursts.
    """
    rate, burst, entries = 9.0, 9, 3
    limiters = [AccountLimiter(configuration(rate, burst), entries) for _ in range(entries)]
    counts = [0]
    for second, attempts in enumerate(demand):
        count = 0
        for limiter, each in zip(limiters, attempts, strict=True):
            if second > 1:
                usage = AccountUsage("a", 0, float(counts[-2]))
                limiter.observed(usage, second * REPORT_INTERVAL)
            for step in range(STEPS_PER_REPORT):
                now = second * REPORT_INTERVAL + step / STEPS_PER_REPORT
                count += admitted(limiter, each, now)
        counts.append(count)
    total = len(demand) * REPORT_INTERVAL * 2 * rate + burst + 2 * entries
    assert sum(counts) <= total


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(1, 8), st.integers(1, 60))
def test_equal_shares_exceed_limit_by_at_most_one_request_per_entry(entries, limit) -> None:
    limiters = [AccountLimiter(configuration(concurrency=limit), entries) for _ in range(entries)]
    total = sum(admitted(each, limit + 1, 0.0) for each in limiters)
    assert total <= max(limit, entries)
    assert total > limit - entries
