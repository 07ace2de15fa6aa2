"""Rate limits announced by backend servers: shared by all entries and lifted when they end."""

from __future__ import annotations

import pytest

from ragwortwing_policy.direct.admission_queue import AdmissionQueue, Granted, WaitingRequest
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.rate_limits import (
    MINIMUM_HOLD_SECONDS,
    MINIMUM_RATE,
    LimitNotice,
    RateLimits,
)

from .builders import TRAITS, engines, prompt

STEP = 0.01
"""Seconds between two send attempts."""

SPAN = 4.0
"""Window in seconds in which at most one and a half times the limit, and five more requests, may
be sent."""


def send_times(limits: RateLimits, seconds: float, share: float = 1.0) -> list[float]:
    """Send whenever the limit allows it, and return the send times."""
    sent = []
    for step in range(int(seconds / STEP)):
        now = step * STEP
        if limits.wait_for("i-1", now, share) <= 0.0:
            limits.spend("i-1")
            sent.append(now)
    return sent


def most_in_span(sent: list[float]) -> int:
    return max((sum(1 for at in sent if start <= at < start + SPAN) for start in sent), default=0)


@pytest.mark.parametrize("rate", [0.0, 0.1, 0.5, 1.0, 3.4, 20.0, 60.0])
def test_no_window_exceeds_the_limit(rate: float) -> None:
    """Guards against bursts after a pause, and against servers that are never sent to again."""
    limits = RateLimits()
    limits.observe("i-1", rate, sent_at=0.0, now=0.0)
    sent = send_times(limits, 30.0)
    assert most_in_span(sent) <= 1.5 * rate * SPAN + 5
    assert len(sent) >= 0.8 * 30.0 * max(MINIMUM_RATE, 0.8 * rate) - 1


def test_independent_entries_share_a_limit() -> None:
    """Guards against a fleet without a scheduler in which each entry uses the whole limit."""
    sent = []
    for _ in range(10):
        limits = RateLimits()
        limits.observe("i-1", 4.0, sent_at=0.0, now=0.0)
        sent += send_times(limits, 20.0, share=0.1)
    assert most_in_span(sorted(sent)) <= 1.5 * 4.0 * SPAN + 5


def test_a_limit_survives_answers_without_it() -> None:
    """Guards against a limit that is lifted by an answer to a request sent before the limit was
    announced."""
    limits = RateLimits()
    limits.observe("i-1", 2.0, sent_at=0.0, now=1.0)
    limits.observe("i-1", None, sent_at=0.5, now=1.5)
    limits.observe("i-1", None, sent_at=1.2, now=1.4)
    limits.observe("i-1", None, sent_at=0.9, now=1.0 + MINIMUM_HOLD_SECONDS)
    assert limits.rate("i-1") == 2.0
    limits.observe("i-1", None, sent_at=1.2, now=1.0 + MINIMUM_HOLD_SECONDS)
    assert limits.rate("i-1") is None


def test_an_observed_limit_applies_to_all_entries() -> None:
    """Guards against a scheduler that does not know a limit announced to other entries."""
    one, other = RateLimits(), RateLimits()
    one.observe("i-1", 2.0, sent_at=0.0, now=1.0)
    for backend_id, notice in one.notices(1.5).items():
        other.update_from_peer(backend_id, notice, now=100.0)
    assert other.rate("i-1") == 2.0
    assert not other.notices(100.0)
    one.observe("i-1", None, sent_at=2.0, now=1.0 + MINIMUM_HOLD_SECONDS)
    for backend_id, notice in one.notices(3.5).items():
        other.update_from_peer(backend_id, notice, now=102.0)
    assert other.rate("i-1") is None


def test_an_older_notice_does_not_restore_a_limit() -> None:
    """Guards against a lifted limit that a delayed status of a peer puts in force again."""
    limits = RateLimits()
    limits.observe("i-1", 2.0, sent_at=0.0, now=1.0)
    limits.observe("i-1", None, sent_at=1.5, now=1.0 + MINIMUM_HOLD_SECONDS)
    limits.update_from_peer("i-1", LimitNotice(2.0, age=1.5), now=3.5)
    assert limits.rate("i-1") is None
    limits.update_from_peer("i-1", LimitNotice(2.0, age=0.1), now=3.5)
    assert limits.rate("i-1") == 2.0


def test_only_large_reductions_are_announced_at_once() -> None:
    """Guards against a status for each small change of a limit, and against none for a large
    reduction."""
    limits = RateLimits()
    limits.observe("i-1", 4.0, sent_at=0.0, now=1.0)
    assert limits.urgent_changes == 1
    for number in range(10):
        limits.observe("i-1", 4.0 - number / 20, sent_at=1.0, now=1.1)
    assert limits.urgent_changes == 1
    limits.observe("i-1", 2.0, sent_at=1.0, now=1.2)
    assert limits.urgent_changes == 2
    limits.observe("i-1", 0.0, sent_at=1.0, now=1.3)
    limits.observe("i-1", 0.0, sent_at=1.0, now=1.4)
    assert limits.urgent_changes == 3


def waiting(ticket: str) -> WaitingRequest:
    return WaitingRequest(ticket, ticket, prompt(300, ticket), Waiter(0, 0.6, 5.0, 0.0))


def test_requests_go_to_unlimited_engines_or_wait() -> None:
    """Guards against bursts to limited engines, and against refusals while other engines have
    room."""
    limits = RateLimits()
    queue = AdmissionQueue("engines", Placement(), limits)
    for number in range(6):
        queue.enter(waiting(f"chat-{number}"), 0.0)
    first, second = engines(2)
    limits.observe(first.id, 1.0, sent_at=0.0, now=0.0)
    granted = queue.dispatch(TRAITS, lambda _: [first], 0.0)
    assert granted == []
    granted = queue.dispatch(TRAITS, lambda _: [first, second], 0.0)
    assert {each.backend.id for each in granted if isinstance(each, Granted)} == {second.id}


def test_one_pass_over_the_queue_sends_a_limited_engine_one_request() -> None:
    """Guards against a whole queue sent to an engine as soon as its limit allows one request."""
    limits = RateLimits()
    queue = AdmissionQueue("engines", Placement(), limits)
    (engine,) = engines(1)
    limits.observe(engine.id, 1.0, sent_at=0.0, now=-2.0)
    for number in range(6):
        queue.enter(waiting(f"chat-{number}"), 0.0)
    granted = queue.dispatch(TRAITS, lambda _: [engine], 0.0)
    assert len(granted) == 1
