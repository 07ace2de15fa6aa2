"""One request at an entry, event by event."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import pytest

from ragwortwing_policy.dispatch import (
    WIDEN_AFTER,
    Ask,
    Conclude,
    Dispatch,
    DispatchDecision,
    SendBody,
    WithdrawFrom,
)
from ragwortwing_policy.outcomes import (
    Completed,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from ragwortwing_policy.reservations import LoadReport
from ragwortwing_policy.retries import RESUME_WINDOW, RetryBudget, RetrySettings
from ragwortwing_policy.routing import HEAD_START, AgentView, BackendKind, RouteQuery, Router

LATE = NotRun(NotRunReason.OVERLOADED, timedelta(seconds=3))
SOON = NotRun(NotRunReason.DRAINING, timedelta(seconds=1))
FULL = LoadReport(16, 4, 16, timedelta(seconds=1))


def router(agents: int, load: LoadReport = FULL, kind: BackendKind = BackendKind.ENGINE) -> Router:
    result = Router("suva", Random(1))
    for number in range(agents):
        result.update(AgentView(f"a{number}", "suva", kind, frozenset({"m"}), load=load), 0.0)
    return result


def dispatch(
    agents: int,
    *,
    idempotent: bool = True,
    budget: RetryBudget | None = None,
    kind: BackendKind = BackendKind.ENGINE,
) -> Dispatch:
    query = RouteQuery("r", "m", kind, idempotent=idempotent)
    return Dispatch(query, router(agents, kind=kind), budget or RetryBudget(), deadline=10.0)


def asked(decisions: list[DispatchDecision]) -> list[str]:
    return [each.agent_id for each in decisions if isinstance(each, Ask)]


def outcome(decisions: list[DispatchDecision]) -> object:
    (conclusion,) = (each for each in decisions if isinstance(each, Conclude))
    return conclusion.outcome


def run_at_first(request: Dispatch) -> str:
    """Have the first agent asked grant the slot and return its id."""
    first = asked(request.on_start(0.0))[0]
    assert SendBody(first) in request.on_granted(first, 0.1)
    return first


def test_first_grant_gets_the_body_and_the_others_are_withdrawn() -> None:
    request = dispatch(4)
    first, second = asked(request.on_start(0.0))
    assert request.on_granted(second, 0.1) == [SendBody(second), WithdrawFrom(first)]
    assert request.on_granted(first, 0.2) == [WithdrawFrom(first)]
    assert request.on_ended(second, Completed(5), 1.0) == [Conclude(Completed(5))]
    assert request.wake_at is None


def test_an_agent_with_a_free_slot_is_asked_a_moment_before_the_others() -> None:
    idle = router(3, LoadReport(0, 0, 16, timedelta(0)))
    request = Dispatch(RouteQuery("r", "m", BackendKind.ENGINE), idle, RetryBudget(), 10.0)
    first = asked(request.on_start(0.0))
    assert request.wake_at == HEAD_START.total_seconds()
    second = asked(request.on_tick(request.wake_at))
    assert len(first) == len(second) == 1
    assert first != second


def test_all_refuse_then_the_best_reason_and_the_earliest_time_are_told_at_once() -> None:
    request = dispatch(3)
    first, second = asked(request.on_start(0.0))
    assert request.on_refused(first, LATE, 0.1) == []
    (third,) = asked(request.on_refused(second, SOON, 0.1))
    decisions = request.on_refused(third, SOON, 0.1)
    assert outcome(decisions) == NotRun(NotRunReason.OVERLOADED, timedelta(seconds=1))


def test_no_agent_is_told_at_once() -> None:
    told = outcome(dispatch(0).on_start(0.0))
    assert isinstance(told, NotRun)
    assert told.reason is NotRunReason.NO_BACKEND


def test_a_reason_that_lies_in_the_request_ends_it() -> None:
    request = dispatch(3)
    first, second = asked(request.on_start(0.0))
    refusal = NotRun(NotRunReason.KEY_REUSED)
    assert request.on_refused(first, refusal, 0.1) == [WithdrawFrom(second), Conclude(refusal)]


def test_the_deadline_passes_before_any_grant() -> None:
    request = dispatch(2)
    request.on_start(0.0)
    now, decisions = 0.0, list[DispatchDecision]()
    while not decisions:
        assert request.wake_at is not None
        now = request.wake_at
        decisions = request.on_tick(now)
    assert now == 10.0
    assert outcome(decisions) == NotRun(NotRunReason.DEADLINE)


def test_a_request_that_waits_is_asked_for_where_a_slot_should_be_free() -> None:
    """A buyer's chat waits at two engines full of chat while a third runs only menu drafts.

    The third would make room at once, so it is asked too before the two give up; a fourth engine
    that is as full as the first two is not.
    """
    free, full = LoadReport(16, 0, 16, timedelta(0)), FULL
    routing = router(4)
    request = Dispatch(RouteQuery("r", "m", BackendKind.ENGINE), routing, RetryBudget(), 10.0)
    first = asked(request.on_start(0.0))
    others = [f"a{each}" for each in range(4) if f"a{each}" not in first]
    for agent_id, load in zip(others, (free, full), strict=True):
        view = AgentView(agent_id, "suva", BackendKind.ENGINE, frozenset({"m"}), load=load)
        routing.update(view, 0.1)
    assert request.on_tick(WIDEN_AFTER.total_seconds()) == [Ask(others[0])]


def test_an_agent_lost_before_the_submit_is_replaced() -> None:
    request = dispatch(3)
    first, second = asked(request.on_start(0.0))
    assert request.on_agent_lost(first, 0.1) == []
    assert len(asked(request.on_agent_lost(second, 0.1))) == 1


def test_an_order_lost_after_the_submit_is_unknown_and_never_sent_again() -> None:
    """A baker's order was sent to the desk and the desk's VM died.

    The entry must not send it elsewhere, for two cakes would be baked; and it must not say that
    the order was not run, for the desk may have run it.
    """
    request = dispatch(3, idempotent=False, kind=BackendKind.SERVICE)
    lost = run_at_first(request)
    assert request.on_agent_lost(lost, 1.0) == [Conclude(Unknown(UnknownReason.BACKEND_LOST))]


def test_an_order_that_gets_no_answer_by_its_deadline_is_unknown() -> None:
    request = dispatch(3, idempotent=False, kind=BackendKind.SERVICE)
    run_at_first(request)
    assert request.on_tick(10.0) == [Conclude(Unknown(UnknownReason.TIMEOUT))]


def test_an_idempotent_call_is_run_again_from_the_budget() -> None:
    request = dispatch(3)
    lost = run_at_first(request)
    again = asked(request.on_agent_lost(lost, 1.0))
    assert len(again) == 2
    assert lost not in again


def test_an_empty_budget_forbids_the_second_run() -> None:
    request = dispatch(3, budget=RetryBudget(RetrySettings(floor=0.0)))
    lost = run_at_first(request)
    assert outcome(request.on_agent_lost(lost, 1.0)) == Unknown(UnknownReason.BACKEND_LOST)


def test_a_stream_is_resumed_elsewhere_and_outlives_a_moment_without_slots() -> None:
    """A fund's narrative stops in mid-sentence because its engine crashed.

    The other engines are full for a moment and refuse. The entry asks again, and the caller gets
    the rest of the text from another engine.
    """
    request = dispatch(3)
    lost = run_at_first(request)
    request.on_progress(lost, 40, 0.5)
    for refusing in asked(request.on_agent_lost(lost, 30.0)):
        assert not any(isinstance(x, Conclude) for x in request.on_refused(refusing, LATE, 30.0))
    assert request.wake_at is not None
    first, *_ = asked(request.on_tick(request.wake_at))
    assert SendBody(first, resumed=True) in request.on_granted(first, 31.0)
    assert first != lost


def test_a_resume_that_finds_no_slot_in_time_has_failed_and_is_not_called_not_run() -> None:
    request = dispatch(1)
    lost = run_at_first(request)
    request.on_progress(lost, 40, 0.5)
    request.on_agent_lost(lost, 1.0)
    told = outcome(request.on_tick(1.0 + RESUME_WINDOW.total_seconds()))
    assert told == Failed(FailedReason.BACKEND_LOST)


def test_a_body_that_came_after_its_grant_expired_goes_elsewhere() -> None:
    request = dispatch(3)
    late = run_at_first(request)
    again = asked(request.on_refused(late, SOON, 0.5))
    assert again
    assert late not in again


def test_an_agents_reason_after_the_submit_is_told_where_no_other_agent_is_left() -> None:
    """An order's claim fails at every agent because the log is down.

    The caller is to hear that, not that no backend server was there: the last agent's word counts.
    """
    request = dispatch(1, idempotent=False, kind=BackendKind.SERVICE)
    agent = run_at_first(request)
    log_down = NotRun(NotRunReason.LOG_UNAVAILABLE, timedelta(seconds=2))
    assert outcome(request.on_ended(agent, log_down, 0.2)) == log_down


def test_a_reason_that_lies_in_the_request_ends_it_after_the_submit_too() -> None:
    """An order's key was used with another body, which its agent finds when it claims the key.

    Every other agent would find the same, so the caller is told at once and no other is asked.
    """
    request = dispatch(3, idempotent=False, kind=BackendKind.SERVICE)
    agent = run_at_first(request)
    reused = NotRun(NotRunReason.KEY_REUSED)
    assert request.on_ended(agent, reused, 0.2) == [Conclude(reused)]


def test_a_caller_who_leaves_cancels_a_stream_but_not_an_order() -> None:
    stream = dispatch(2)
    runner = run_at_first(stream)
    assert WithdrawFrom(runner) in stream.on_caller_gone(1.0)
    order = dispatch(2, idempotent=False, kind=BackendKind.SERVICE)
    run_at_first(order)
    assert order.on_caller_gone(1.0) == [Conclude(Unknown(UnknownReason.TIMEOUT))]


def test_an_answer_leaves_a_silent_engine() -> None:
    """A buyer's reply freezes in mid-word while the connection lives on.

    The engine gave nothing to anyone for seconds, so the router ejects it, and the reply goes on
    at another engine.
    """
    request = dispatch(4)
    frozen = run_at_first(request)
    request.on_progress(frozen, 4, 0.5)
    decisions: list[DispatchDecision] = []
    while not decisions:
        assert request.wake_at is not None
        assert request.wake_at < 10.0
        decisions = request.on_tick(request.wake_at)
    assert decisions[0] == WithdrawFrom(frozen)
    assert asked(decisions)


@pytest.mark.parametrize("idempotent", [True, False])
def test_every_request_ends_once(idempotent: bool) -> None:
    request = dispatch(3, idempotent=idempotent)
    runner = run_at_first(request)
    assert len(request.on_ended(runner, Completed(1), 1.0)) == 1
    assert request.on_ended(runner, Completed(1), 1.0) == []
    assert request.on_caller_gone(1.0) == []
    assert request.on_tick(11.0) == []
