"""The line before the engines: order, refusals, and when callers come back."""

from __future__ import annotations

from ragwortwing_policy.direct.admission_queue import (
    AdmissionQueue,
    Granted,
    Rejected,
    WaitingRequest,
)
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.queue_order import Waiter, place_until, retry_after_of

from .builders import TRAITS, engines, prompt


def new_line() -> AdmissionQueue:
    return AdmissionQueue("engines", Placement())


def request(ticket: str, tokens: int, tier: int, arrived_at: float = 0.0) -> WaitingRequest:
    waiter = Waiter(tier, arrived_at + 0.6, arrived_at + 5.0, arrived_at)
    return WaitingRequest(ticket, ticket, prompt(tokens, ticket), waiter)


def dispatch(line: AdmissionQueue, now: float, count: int = 1) -> list[Granted | Rejected]:
    return line.dispatch(TRAITS, lambda _: engines(count), now)


def test_urgent_tiers_go_first_whenever_they_came() -> None:
    line = new_line()
    for number in range(20):
        line.enter(request(f"draft-{number}", 9_000, tier=1), 0.0)
    line.enter(request("chat", 300, tier=0), 0.0)
    first = dispatch(line, 0.0)[0]
    assert isinstance(first, Granted)
    assert first.request.ticket == "chat"


def test_fresh_requests_go_before_late_ones() -> None:
    """In a burst, serving first come first served makes every request late."""
    line = new_line()
    line.enter(request("late", 2_500, tier=1, arrived_at=0.0), 0.0)
    line.enter(request("fresh", 2_500, tier=1, arrived_at=0.7), 0.7)
    decisions = dispatch(line, 0.7)
    assert [each.request.ticket for each in decisions] == ["fresh", "late"]
    assert isinstance(decisions[0], Granted)
    assert isinstance(decisions[1], Rejected)


def test_a_large_prompt_is_refused_a_little_later_than_others() -> None:
    """Guards against large prompts that wait for their deadline, or are refused before others."""
    line = new_line()
    line.enter(request("large", 9_000, tier=1), 0.0)
    for number in range(40):
        line.enter(request(f"other-{number}", 9_000, tier=0), 0.0)
    dispatch(line, 0.0)
    assert [
        each.request.ticket for each in dispatch(line, 0.7) if each.request.waiter.urgency
    ] == []
    (refused,) = [each for each in dispatch(line, 0.85) if each.request.waiter.urgency]
    assert isinstance(refused, Rejected)


def test_a_placement_leaves_room_for_the_error_of_its_prediction() -> None:
    """In a burst every placement fills its target, and half of them come a little late."""
    waiter = Waiter(1, 10.6, 15.0, 10.0)
    assert 10.3 < place_until(waiter, waiter.target_at) < 10.6
    back = Waiter(1, 10.6, 10.5, 10.0)
    assert place_until(back, back.target_at) < 10.5


def test_a_prompt_too_large_to_be_on_time_is_served_late() -> None:
    """A review of 50,000 tokens takes longer to read than its target. Refused for being late, it
    would be refused each time it comes back, and its caller would never get an answer."""
    line = new_line()
    line.enter(request("huge", 50_000, tier=1), 0.0)
    (decision,) = dispatch(line, 0.0)
    assert isinstance(decision, Granted)


def test_a_short_prompt_waits_for_a_place_that_is_free_a_moment_later() -> None:
    """All slots are taken when a chat comes, and one is free just after its target. Told to come
    back, the chat would have its first event seconds later."""
    line = new_line()
    for number in range(TRAITS.slots + 1):
        line.enter(request(f"chat-{number}", 300, tier=0), 0.0)
    placed = dispatch(line, 0.3)
    assert len(placed) == TRAITS.slots
    assert dispatch(line, 0.7) == []
    refused = dispatch(line, 2.0)
    assert [type(each) for each in refused] == [Rejected]


def test_a_request_past_its_chance_is_told_when_to_come_back() -> None:
    line = new_line()
    for number in range(12):
        line.enter(request(f"d-{number}", 9_000, tier=1), 0.0)
    dispatch(line, 0.0)
    waiting = len(line)
    refused = [each for each in dispatch(line, 1.5) if isinstance(each, Rejected)]
    assert len(refused) == waiting
    assert all(each.retry_after is not None for each in refused)


def test_without_engines_nobody_waits() -> None:
    line = new_line()
    line.enter(request("r", 300, tier=0), 0.0)
    (decision,) = line.dispatch(TRAITS, lambda _: [], 0.0)
    assert isinstance(decision, Rejected)
    assert decision.no_engine


def test_no_caller_is_asked_back_after_its_time() -> None:
    waiter = Waiter(0, 0.4, 1.0, 0.0)
    assert retry_after_of(waiter, 0.7) is None
    soon = retry_after_of(waiter, 0.0)
    assert soon is not None
    assert soon.total_seconds() < 0.5


def test_one_who_leaves_is_not_served() -> None:
    line = new_line()
    line.enter(request("r", 300, tier=0), 0.0)
    line.leave("r")
    assert dispatch(line, 0.0) == []


def test_what_waits_is_counted_by_urgency() -> None:
    line = new_line()
    for number in range(3):
        line.enter(request(f"draft-{number}", 9_000, tier=1), 0.0)
    line.enter(request("chat", 300, tier=0), 0.0)
    assert line.waiting_by_urgency() == {0: 1, 1: 3}
