"""Limits that backend servers name: kept by one entry for all, and lifted when they end."""

from __future__ import annotations

import pytest

from ragwortwing_policy.direct.admission_queue import AdmissionQueue, Granted, WaitingRequest
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.rate_limits import HOLD, LEAST_RATE, LimitNotice, RateLimits

from .builders import TRAITS, engines, prompt

STEP = 0.01
"""Seconds between two attempts to send."""

SPAN = 4.0
"""Seconds in which at most one and a half times the limit, and five requests, may be sent."""


def send_times(limits: RateLimits, seconds: float, share: float = 1.0) -> list[float]:
    """Send whenever the limit allows; return when."""
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
def test_no_span_has_more_than_the_limit_allows(rate: float) -> None:
    """Guards against bursts after a pause, and against servers that are never sent to again."""
    limits = RateLimits()
    limits.observe("i-1", rate, sent_at=0.0, now=0.0)
    sent = send_times(limits, 30.0)
    assert most_in_span(sent) <= 1.5 * rate * SPAN + 5
    assert len(sent) >= 0.8 * 30.0 * max(LEAST_RATE, 0.8 * rate) - 1


def test_entries_that_decide_alone_keep_a_limit_between_them() -> None:
    """Guards against a fleet without a scheduler that sends the limit once for each entry."""
    sent = []
    for _ in range(10):
        limits = RateLimits()
        limits.observe("i-1", 4.0, sent_at=0.0, now=0.0)
        sent += send_times(limits, 20.0, share=0.1)
    assert most_in_span(sorted(sent)) <= 1.5 * 4.0 * SPAN + 5


def test_a_limit_that_not_every_answer_names_goes_on() -> None:
    """Guards against a limit that is dropped by an answer which was sent before it was named."""
    limits = RateLimits()
    limits.observe("i-1", 2.0, sent_at=0.0, now=1.0)
    limits.observe("i-1", None, sent_at=0.5, now=1.5)
    limits.observe("i-1", None, sent_at=1.2, now=1.4)
    limits.observe("i-1", None, sent_at=0.9, now=1.0 + HOLD)
    assert limits.rate("i-1") == 2.0
    limits.observe("i-1", None, sent_at=1.2, now=1.0 + HOLD)
    assert limits.rate("i-1") is None


def test_what_one_entry_observes_holds_at_all() -> None:
    """Guards against a scheduler that does not know the limit which other entries were told."""
    one, other = RateLimits(), RateLimits()
    one.observe("i-1", 2.0, sent_at=0.0, now=1.0)
    for backend_id, notice in one.notices(1.5).items():
        other.hear(backend_id, notice, now=100.0)
    assert other.rate("i-1") == 2.0
    assert not other.notices(100.0)
    one.observe("i-1", None, sent_at=2.0, now=1.0 + HOLD)
    for backend_id, notice in one.notices(3.5).items():
        other.hear(backend_id, notice, now=102.0)
    assert other.rate("i-1") is None


def test_older_news_do_not_bring_a_limit_back() -> None:
    """Guards against a limit that is lifted and, by a late status of a peer, in force again."""
    limits = RateLimits()
    limits.observe("i-1", 2.0, sent_at=0.0, now=1.0)
    limits.observe("i-1", None, sent_at=1.5, now=1.0 + HOLD)
    limits.hear("i-1", LimitNotice(2.0, age=1.5), now=3.5)
    assert limits.rate("i-1") is None
    limits.hear("i-1", LimitNotice(2.0, age=0.1), now=3.5)
    assert limits.rate("i-1") == 2.0


def test_changes_that_others_act_on_are_news() -> None:
    """Guards against statuses for each small change of a limit, and against none for a fall."""
    limits = RateLimits()
    limits.observe("i-1", 4.0, sent_at=0.0, now=1.0)
    assert limits.news == 1
    for number in range(10):
        limits.observe("i-1", 4.0 - number / 20, sent_at=1.0, now=1.1)
    assert limits.news == 1
    limits.observe("i-1", 2.0, sent_at=1.0, now=1.2)
    assert limits.news == 2
    limits.observe("i-1", 0.0, sent_at=1.0, now=1.3)
    limits.observe("i-1", 0.0, sent_at=1.0, now=1.4)
    assert limits.news == 3


def waiting(ticket: str) -> WaitingRequest:
    return WaitingRequest(ticket, ticket, prompt(300, ticket), Waiter(0, 0.6, 5.0, 0.0))


def test_requests_go_to_engines_without_a_limit_or_wait() -> None:
    """Guards against engines in need that are sent a burst, and refusals while others have room."""
    limits = RateLimits()
    line = AdmissionQueue("engines", Placement(), limits)
    for number in range(6):
        line.enter(waiting(f"chat-{number}"), 0.0)
    first, second = engines(2)
    limits.observe(first.id, 1.0, sent_at=0.0, now=0.0)
    granted = line.dispatch(TRAITS, lambda _: [first], 0.0)
    assert granted == []
    granted = line.dispatch(TRAITS, lambda _: [first, second], 0.0)
    assert {each.backend.id for each in granted if isinstance(each, Granted)} == {second.id}


def test_one_pass_over_the_queue_sends_a_limited_engine_one_request() -> None:
    """Guards against a queue that is emptied onto an engine as soon as its limit allows one."""
    limits = RateLimits()
    line = AdmissionQueue("engines", Placement(), limits)
    (engine,) = engines(1)
    limits.observe(engine.id, 1.0, sent_at=0.0, now=-2.0)
    for number in range(6):
        line.enter(waiting(f"chat-{number}"), 0.0)
    granted = line.dispatch(TRAITS, lambda _: [engine], 0.0)
    assert len(granted) == 1
