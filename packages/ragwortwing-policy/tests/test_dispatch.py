"""Tests of the state machine of one request at an entry."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import pytest

from ragwortwing_policy.dispatch import (
    WIDEN_AFTER,
    CancelAtAgent,
    Conclude,
    Dispatch,
    DispatchDecision,
    RequestReservation,
    SendBody,
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

OVERLOADED_REFUSAL = NotRun(NotRunReason.OVERLOADED, timedelta(seconds=3))
DRAINING_REFUSAL = NotRun(NotRunReason.DRAINING, timedelta(seconds=1))
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
    return [each.agent_id for each in decisions if isinstance(each, RequestReservation)]


def outcome(decisions: list[DispatchDecision]) -> object:
    (conclusion,) = (each for each in decisions if isinstance(each, Conclude))
    return conclusion.outcome


def start_run(request: Dispatch) -> str:
    """Let the first asked agent grant a slot, and return its id."""
    first = asked(request.on_start(0.0))[0]
    assert SendBody(first) in request.on_granted(first, 0.1)
    return first


def test_body_is_sent_to_first_grant_and_others_are_withdrawn() -> None:
    request = dispatch(4)
    first, second = asked(request.on_start(0.0))
    assert request.on_granted(second, 0.1) == [SendBody(second), CancelAtAgent(first)]
    assert request.on_granted(first, 0.2) == [CancelAtAgent(first)]
    assert request.on_ended(second, Completed(5), 1.0) == [Conclude(Completed(5))]
    assert request.wake_at is None


def test_agent_with_free_slot_is_asked_before_the_others() -> None:
    idle = router(3, LoadReport(0, 0, 16, timedelta(0)))
    request = Dispatch(RouteQuery("r", "m", BackendKind.ENGINE), idle, RetryBudget(), 10.0)
    first = asked(request.on_start(0.0))
    assert request.wake_at == HEAD_START.total_seconds()
    second = asked(request.on_tick(request.wake_at))
    assert len(first) == len(second) == 1
    assert first != second


def test_best_reason_and_shortest_delay_are_returned_if_all_refuse() -> None:
    request = dispatch(3)
    first, second = asked(request.on_start(0.0))
    assert request.on_refused(first, OVERLOADED_REFUSAL, 0.1) == []
    (third,) = asked(request.on_refused(second, DRAINING_REFUSAL, 0.1))
    decisions = request.on_refused(third, DRAINING_REFUSAL, 0.1)
    assert outcome(decisions) == NotRun(NotRunReason.OVERLOADED, timedelta(seconds=1))


def test_missing_agents_are_reported_immediately() -> None:
    conclusion_outcome = outcome(dispatch(0).on_start(0.0))
    assert isinstance(conclusion_outcome, NotRun)
    assert conclusion_outcome.reason is NotRunReason.NO_BACKEND


def test_final_refusal_ends_request() -> None:
    """Guards against asking other agents after a refusal caused by the request itself."""
    request = dispatch(3)
    first, second = asked(request.on_start(0.0))
    refusal = NotRun(NotRunReason.KEY_REUSED)
    assert request.on_refused(first, refusal, 0.1) == [CancelAtAgent(second), Conclude(refusal)]


def test_deadline_without_grant_is_reported_as_not_run() -> None:
    request = dispatch(2)
    request.on_start(0.0)
    now, decisions = 0.0, list[DispatchDecision]()
    while not decisions:
        assert request.wake_at is not None
        now = request.wake_at
        decisions = request.on_tick(now)
    assert now == 10.0
    assert outcome(decisions) == NotRun(NotRunReason.DEADLINE)


def test_waiting_request_asks_agent_with_low_predicted_wait() -> None:
    """Guards against waiting at full engines while another engine would free a slot at once.

    The request waits at two engines that are full of chats. A third engine runs only preemptible
    drafts and must be asked too, but not a fourth one that is as full as the first two.
    """
    free, full = LoadReport(16, 0, 16, timedelta(0)), FULL
    routing = router(4)
    request = Dispatch(RouteQuery("r", "m", BackendKind.ENGINE), routing, RetryBudget(), 10.0)
    first = asked(request.on_start(0.0))
    others = [f"a{each}" for each in range(4) if f"a{each}" not in first]
    for agent_id, load in zip(others, (free, full), strict=True):
        view = AgentView(agent_id, "suva", BackendKind.ENGINE, frozenset({"m"}), load=load)
        routing.update(view, 0.1)
    assert request.on_tick(WIDEN_AFTER.total_seconds()) == [RequestReservation(others[0])]


def test_agent_lost_before_submit_is_replaced() -> None:
    """Guards against waiting for agents that were lost before they granted a slot."""
    request = dispatch(3)
    first, second = asked(request.on_start(0.0))
    assert request.on_agent_lost(first, 0.1) == []
    assert len(asked(request.on_agent_lost(second, 0.1))) == 1


def test_order_lost_after_submit_is_unknown_and_not_repeated() -> None:
    """Guards against running an order twice after its VM was lost.

    The order may have run. The entry must neither send it to another agent nor report it as not
    run.
    """
    request = dispatch(3, idempotent=False, kind=BackendKind.SERVICE)
    lost_agent = start_run(request)
    assert request.on_agent_lost(lost_agent, 1.0) == [Conclude(Unknown(UnknownReason.BACKEND_LOST))]


def test_order_without_answer_by_its_deadline_is_unknown() -> None:
    """Guards against reporting an order as not run or failed although it may have run."""
    request = dispatch(3, idempotent=False, kind=BackendKind.SERVICE)
    start_run(request)
    assert request.on_tick(10.0) == [Conclude(Unknown(UnknownReason.TIMEOUT))]


def test_idempotent_call_is_retried_within_budget() -> None:
    request = dispatch(3)
    lost_agent = start_run(request)
    asked_again = asked(request.on_agent_lost(lost_agent, 1.0))
    assert len(asked_again) == 2
    assert lost_agent not in asked_again


def test_exhausted_budget_prevents_retry() -> None:
    """Guards against retries beyond the budget of the entry."""
    request = dispatch(3, budget=RetryBudget(RetrySettings(floor=0.0)))
    lost_agent = start_run(request)
    assert outcome(request.on_agent_lost(lost_agent, 1.0)) == Unknown(UnknownReason.BACKEND_LOST)


def test_stream_is_resumed_although_other_engines_are_briefly_full() -> None:
    """Guards against ending an interrupted answer because all other engines are briefly full.

    The engine crashes mid-answer and the other engines refuse at first. The entry must ask again
    and resume the answer on another engine.
    """
    request = dispatch(3)
    lost_agent = start_run(request)
    request.on_progress(lost_agent, 40, 0.5)
    for refusing in asked(request.on_agent_lost(lost_agent, 30.0)):
        assert not any(
            isinstance(x, Conclude) for x in request.on_refused(refusing, OVERLOADED_REFUSAL, 30.0)
        )
    assert request.wake_at is not None
    first, *_ = asked(request.on_tick(request.wake_at))
    assert SendBody(first, resumed=True) in request.on_granted(first, 31.0)
    assert first != lost_agent


def test_resume_without_slot_in_time_fails() -> None:
    """Guards against reporting a request as not run after part of its answer was delivered."""
    request = dispatch(1)
    lost_agent = start_run(request)
    request.on_progress(lost_agent, 40, 0.5)
    request.on_agent_lost(lost_agent, 1.0)
    conclusion_outcome = outcome(request.on_tick(1.0 + RESUME_WINDOW.total_seconds()))
    assert conclusion_outcome == Failed(FailedReason.BACKEND_LOST)


def test_body_refused_after_expired_grant_goes_to_another_agent() -> None:
    """Guards against losing a request whose body arrived after its grant had expired."""
    request = dispatch(3)
    late_agent = start_run(request)
    asked_again = asked(request.on_refused(late_agent, DRAINING_REFUSAL, 0.5))
    assert asked_again
    assert late_agent not in asked_again


def test_refusal_after_submit_is_returned_if_no_agent_is_left() -> None:
    """Guards against reporting a missing backend server when the log is unavailable.

    The order's claim fails at the only agent because the log is down. The caller must get this
    reason.
    """
    request = dispatch(1, idempotent=False, kind=BackendKind.SERVICE)
    agent = start_run(request)
    log_down = NotRun(NotRunReason.LOG_UNAVAILABLE, timedelta(seconds=2))
    assert outcome(request.on_ended(agent, log_down, 0.2)) == log_down


def test_final_refusal_after_submit_ends_request() -> None:
    """Guards against asking other agents after a refusal that every agent would repeat.

    The agent finds that the order's key was used with another body when it claims the key. The
    request must end with this reason immediately.
    """
    request = dispatch(3, idempotent=False, kind=BackendKind.SERVICE)
    agent = start_run(request)
    reused = NotRun(NotRunReason.KEY_REUSED)
    assert request.on_ended(agent, reused, 0.2) == [Conclude(reused)]


def test_caller_disconnect_cancels_stream_but_not_order() -> None:
    stream = dispatch(2)
    runner = start_run(stream)
    assert CancelAtAgent(runner) in stream.on_caller_gone(1.0)
    order = dispatch(2, idempotent=False, kind=BackendKind.SERVICE)
    start_run(order)
    assert order.on_caller_gone(1.0) == [Conclude(Unknown(UnknownReason.TIMEOUT))]


def test_answer_moves_away_from_silent_engine() -> None:
    """Guards against an answer hanging on a frozen engine whose connection stays open.

    The engine sends no tokens for seconds, so the router ejects it. The answer must move to another
    engine.
    """
    request = dispatch(4)
    frozen_agent = start_run(request)
    request.on_progress(frozen_agent, 4, 0.5)
    decisions: list[DispatchDecision] = []
    while not decisions:
        assert request.wake_at is not None
        assert request.wake_at < 10.0
        decisions = request.on_tick(request.wake_at)
    assert decisions[0] == CancelAtAgent(frozen_agent)
    assert asked(decisions)


@pytest.mark.parametrize("idempotent", [True, False])
def test_request_ends_exactly_once(idempotent: bool) -> None:
    request = dispatch(3, idempotent=idempotent)
    runner = start_run(request)
    assert len(request.on_ended(runner, Completed(1), 1.0)) == 1
    assert request.on_ended(runner, Completed(1), 1.0) == []
    assert request.on_caller_gone(1.0) == []
    assert request.on_tick(11.0) == []
