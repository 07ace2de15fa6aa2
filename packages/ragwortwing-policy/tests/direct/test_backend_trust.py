"""Backend servers whose calls fail are excluded for a while and then used again."""

from __future__ import annotations

from ragwortwing_policy.direct.failure_tracker import MAXIMUM_EXCLUSION_SECONDS, FailureTracker

from .builders import engines


def test_a_server_with_failing_calls_is_excluded() -> None:
    """Guards against an engine that fails most requests while its health check passes."""
    failure_tracker = FailureTracker()
    servers = engines(4)
    for tick in range(3):
        failure_tracker.failed("i-0", tick / 10)
    assert [each.id for each in failure_tracker.without_excluded(servers, 0.3)] == [
        "i-1",
        "i-2",
        "i-3",
    ]


def test_occasional_failures_do_not_exclude_a_server() -> None:
    """Guards against the exclusion of a healthy plain service that fails one lookup in seven."""
    failure_tracker = FailureTracker()
    for number in range(70):
        if number % 7 == 0:
            assert not failure_tracker.failed("i-0", number / 10)
        else:
            failure_tracker.succeeded("i-0")


def test_exclusion_never_removes_most_of_a_service() -> None:
    """Guards against excluding most engines when all fail, which moves the load to the last one."""
    failure_tracker = FailureTracker()
    servers = engines(4)
    for server in servers[:3]:
        for tick in range(3):
            failure_tracker.failed(server.id, tick / 10)
    assert failure_tracker.without_excluded(servers, 0.3) == servers


def test_exclusions_grow_to_a_maximum() -> None:
    failure_tracker = FailureTracker()
    now = 0.0
    for _ in range(12):
        failure_tracker.failed("i-0", now)
        while failure_tracker.is_excluded("i-0", now):
            now += 0.1
    before = now
    failure_tracker.failed("i-0", now)
    while failure_tracker.is_excluded("i-0", now):
        now += 0.1
    assert MAXIMUM_EXCLUSION_SECONDS - 0.2 <= now - before <= MAXIMUM_EXCLUSION_SECONDS + 0.2


def test_a_restarted_server_is_not_excluded() -> None:
    failure_tracker = FailureTracker()
    for tick in range(3):
        failure_tracker.failed("i-0", tick / 10)
    failure_tracker.forget("i-0")
    assert not failure_tracker.is_excluded("i-0", 0.3)
