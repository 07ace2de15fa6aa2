"""The fleet's budget for repeated sends, shared by entries without coordination."""

from __future__ import annotations

from datetime import timedelta

from ragwortwing_policy.direct.repeat_budget import RepeatAllowance, RepeatBudget

ALLOWANCE = RepeatAllowance(ratio=0.2, extra=50, window=timedelta(seconds=10))


def spend_all(budget: RepeatBudget, now: float) -> int:
    count = 0
    while budget.try_spend(now):
        count += 1
    return count


def test_entries_together_stay_within_the_budget() -> None:
    """Guards against entries that together exceed the fleet's budget when a service fails.

    Each entry considers only its own requests and its share of the extra.
    """
    spent = 0
    for _ in range(26):
        budget = RepeatBudget(ALLOWANCE)
        budget.entries = 26
        for number in range(40):
            budget.count_request(number / 10)
        spent += spend_all(budget, 4.0)
    assert spent <= ALLOWANCE.ratio * 26 * 40 + ALLOWANCE.extra
    assert spent > 0.5 * ALLOWANCE.ratio * 26 * 40


def test_the_extra_is_unused_while_the_entry_count_is_unknown() -> None:
    budget = RepeatBudget(ALLOWANCE)
    budget.count_request(0.0)
    assert spend_all(budget, 0.0) == 0
    budget.entries = 5
    assert spend_all(budget, 0.0) == 8


def test_a_spent_budget_recovers_after_the_window() -> None:
    budget = RepeatBudget(ALLOWANCE)
    budget.entries = 5
    assert spend_all(budget, 0.0) == 8
    assert spend_all(budget, 9.9) == 0
    assert spend_all(budget, 10.1) == 8


def test_a_repeat_that_is_not_sent_can_be_spent_again() -> None:
    """Guards against a budget that shrinks although nothing is repeated."""
    budget = RepeatBudget(ALLOWANCE)
    budget.entries = 50
    for _ in range(5):
        budget.count_request(0.0)
    assert budget.try_spend(1.0)
    assert not budget.try_spend(2.0)
    budget.refund(1.0)
    budget.refund(1.0)
    assert budget.left(2.0) == 0.8 * (0.2 * 5 + 1)
    assert budget.try_spend(2.0)
