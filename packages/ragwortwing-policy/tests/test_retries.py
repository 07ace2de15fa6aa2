"""Tests of the retry rules and the retry budget."""

from __future__ import annotations

import pytest

from ragwortwing_policy.outcomes import (
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from ragwortwing_policy.retries import (
    MAXIMUM_RUNS,
    Interruption,
    Resume,
    RetryBudget,
    RetrySettings,
    RunAgain,
    StopRetrying,
    decide_after_loss,
    decide_after_outcome,
)
from ragwortwing_policy.routing import BackendKind

ENGINE, SERVICE = BackendKind.ENGINE, BackendKind.SERVICE
LOST_UNKNOWN = Unknown(UnknownReason.BACKEND_LOST)
LOST_MID_STREAM = Failed(FailedReason.BACKEND_LOST)


@pytest.mark.parametrize(
    ("interruption", "expected"),
    [
        (Interruption(SERVICE, False, 1, 10.0, False), StopRetrying(LOST_UNKNOWN)),
        (Interruption(ENGINE, False, 1, 10.0, True), StopRetrying(LOST_UNKNOWN)),
        (Interruption(SERVICE, True, 1, 10.0, False), RunAgain()),
        (Interruption(SERVICE, True, 1, 10.0, True), StopRetrying(LOST_MID_STREAM)),
        (Interruption(SERVICE, True, 1, 1.0, False), StopRetrying(LOST_UNKNOWN)),
        (Interruption(ENGINE, True, 1, 10.0, False), RunAgain()),
        (Interruption(ENGINE, True, 1, 60.0, True), Resume(60.0)),
        (Interruption(ENGINE, True, 1, 1.0, True), Resume(21.0)),
        (Interruption(ENGINE, True, MAXIMUM_RUNS, 60.0, True), StopRetrying(LOST_MID_STREAM)),
        (Interruption(ENGINE, True, MAXIMUM_RUNS, 60.0, False), StopRetrying(LOST_UNKNOWN)),
    ],
)
def test_decision_after_loss(interruption: Interruption, expected: object) -> None:
    assert decide_after_loss(interruption, RetryBudget(), now=1.0) == expected


@pytest.mark.parametrize(
    ("outcome", "repeated"),
    [
        (NotRun(NotRunReason.DRAINING), True),
        (LOST_UNKNOWN, False),
        (Failed(FailedReason.BACKEND_ERROR, 500), False),
    ],
)
def test_order_is_retried_only_if_not_run(outcome: Outcome, repeated: bool) -> None:
    order = Interruption(SERVICE, False, 1, 10.0, False)
    decision = decide_after_outcome(outcome, order, RetryBudget(), now=1.0)
    assert decision == (RunAgain() if repeated else StopRetrying(outcome))


def test_retries_are_limited_to_share_of_successes() -> None:
    """Guards against retries that double the load while every engine fails."""
    budget = RetryBudget(RetrySettings(share=0.1, floor=3.0))
    for each in range(100):
        budget.succeeded(each * 0.01)
    allowed = sum(budget.try_spend(1.0) for _ in range(200))
    assert 12 <= allowed <= 13


def test_old_successes_decay() -> None:
    budget = RetryBudget(RetrySettings(floor=0.0))
    for _ in range(100):
        budget.succeeded(0.0)
    assert budget.available(0.0) == 10
    assert not budget.try_spend(60.0)
