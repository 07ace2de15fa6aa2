"""Tests of backoff from backend servers that ask for it."""

from __future__ import annotations

from random import Random

from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.backoff import (
    JITTER_FRACTION,
    MAXIMUM_BACKOFF_SECONDS,
    RECOVERY_SECONDS,
    Backoffs,
)

SERVERS = tuple(BackendServer(f"i-{number}", "desk", "", "suva", slots=3) for number in range(2))


def in_backoff(seconds: float, *servers: BackendServer) -> Backoffs:
    backoffs = Backoffs(Random(1))
    for server in servers or SERVERS[:1]:
        backoffs.begin(server.id, seconds, now=0.0)
    return backoffs


def test_a_shorter_backoff_does_not_end_a_longer_one() -> None:
    """Guards against an answer that cuts short what an earlier one asked for."""
    backoffs = in_backoff(5.0)
    assert backoffs.begin("i-0", 0.0, now=1.0) >= 5.0
    assert backoffs.blocked_until("i-0", 0, now=4.9) >= 5.0


def test_entries_asked_at_once_return_at_different_times() -> None:
    """Guards against a fleet that returns to a server at the same moment."""
    ends = {Backoffs(Random(seed)).begin("i-0", 3.0, now=0.0) for seed in range(20)}
    assert len(ends) == 20
    assert min(ends) >= 3.0
    assert max(ends) <= 3.0 * (1 + JITTER_FRACTION)


def test_an_absurd_backoff_is_bounded() -> None:
    """Guards against a value that overflows, or takes a server out of service for good."""
    backoffs = Backoffs(Random(1))
    assert backoffs.begin("i-0", 1e300, now=0.0) <= 2 * MAXIMUM_BACKOFF_SECONDS
    assert backoffs.retry_after(SERVERS[:1], now=0.0) is not None


def test_concurrent_requests_grow_with_each_accepted_one_up_to_the_slots() -> None:
    """Guards against a burst at the end of a backoff."""
    backoffs = in_backoff(1.0)
    backoffs.accepted(SERVERS[0], now=0.5)
    limits = []
    for _ in range(4):
        limits.append(next(n for n in range(9) if backoffs.blocked_until("i-0", n, 2.0) > 2.0))
        backoffs.accepted(SERVERS[0], now=2.0)
    assert limits == [1, 2, 3, 3]


def test_recovery_ends() -> None:
    """Guards against a server that stays limited long after its backoff."""
    backoffs = in_backoff(1.0)
    assert backoffs.blocked_until("i-0", 99, now=2.0 + RECOVERY_SECONDS) < 2.0


def test_callers_return_when_the_first_backoff_ends() -> None:
    """Guards against callers that return too early, or although a server is available."""
    backoffs = in_backoff(3.0, *SERVERS)
    after = backoffs.retry_after(SERVERS, now=1.0)
    assert after is not None
    assert after >= 2.0
    assert in_backoff(3.0).retry_after(SERVERS, now=1.0) is None
    assert backoffs.retry_after((), now=1.0) is None
