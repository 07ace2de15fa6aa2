"""The fleet's budget for repeated sends, shared by entries without coordination."""

from __future__ import annotations

from datetime import timedelta

import pytest

from ragwortwing_policy.direct.repeat_budget import EntryCount, RepeatAllowance, RepeatBudget

ALLOWANCE = RepeatAllowance(ratio=0.2, extra=50, window=timedelta(seconds=10))


def shared_by(entries: int) -> RepeatBudget:
    count = EntryCount()
    count.update(entries, now=0.0)
    return RepeatBudget(ALLOWANCE, count)


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
        budget = shared_by(26)
        for number in range(40):
            budget.count_request(number / 10)
        spent += spend_all(budget, 4.0)
    assert spent <= ALLOWANCE.ratio * 26 * 40 + ALLOWANCE.extra
    assert spent > 0.5 * ALLOWANCE.ratio * 26 * 40


def test_the_extra_is_unused_while_the_entry_count_is_unknown() -> None:
    count = EntryCount()
    budget = RepeatBudget(ALLOWANCE, count)
    budget.count_request(0.0)
    assert spend_all(budget, 0.0) == 0
    count.update(5, now=0.0)
    assert spend_all(budget, 0.0) == 8


def test_a_spent_budget_recovers_after_the_window() -> None:
    budget = shared_by(5)
    assert spend_all(budget, 0.0) == 8
    assert spend_all(budget, 9.9) == 0
    assert spend_all(budget, 10.1) == 8


def test_a_repeat_that_is_not_sent_can_be_spent_again() -> None:
    """Guards against a budget that shrinks although nothing is repeated."""
    budget = shared_by(50)
    for _ in range(5):
        budget.count_request(0.0)
    assert budget.try_spend(1.0)
    assert not budget.try_spend(2.0)
    budget.refund(1.0)
    budget.refund(1.0)
    assert budget.left(2.0) == 0.8 * (0.2 * 5 + 1)
    assert budget.try_spend(2.0)


@pytest.mark.parametrize("notices_after", [0.0, 8.0])
def test_shares_of_entries_that_are_no_longer_counted_stay_theirs(notices_after: float) -> None:
    """Guards against a survivor that takes shares which others have used in the same window.

    They may be killed, or be cut off from the store and go on for some seconds.
    """
    counts = [EntryCount(delay=10.0 + notices_after) for _ in range(5)]
    budgets = [RepeatBudget(ALLOWANCE, each) for each in counts]
    for each in counts:
        each.update(5, now=0.0)
    sent: list[float] = []

    def spend(number: int, now: float) -> None:
        sent.extend([now] * spend_all(budgets[number], now))

    counts[0].update(1, now=20.0)
    for tenths in range(600):
        now = tenths / 10
        spend(0, now)
        if now <= 20.0 + notices_after:
            for number in range(1, 5):
                spend(number, now)
    highest = max(sum(start <= each < start + 10.0 for each in sent) for start in sent)
    assert highest <= ALLOWANCE.extra
    assert sum(each >= 50.0 for each in sent) == 0.8 * ALLOWANCE.extra


def test_more_entries_share_the_extra_at_once() -> None:
    count = EntryCount(delay=10.0)
    budget = RepeatBudget(ALLOWANCE, count)
    count.update(1, now=0.0)
    count.update(None, now=1.0)
    assert spend_all(budget, 1.0) == 0
    count.update(10, now=2.0)
    assert spend_all(budget, 2.0) == 4
