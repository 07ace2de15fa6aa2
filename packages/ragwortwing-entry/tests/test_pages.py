"""The operators' pages name every reason, code and key that the code has."""

from __future__ import annotations

from pathlib import Path

import pytest

from ragwortwing_entry.answers import status_of
from ragwortwing_entry.caller_faults import STATUS_BY_FAULT
from ragwortwing_policy.outcomes import (
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from ragwortwing_runtime.settings import AgentSettings, EntrySettings
from ragwortwing_runtime.settings_reader import settings_keys

PAGES = Path(__file__).parents[3] / "docs" / "operators"
UNSEEN = {NotRunReason.WITHDRAWN, FailedReason.CALLER_GONE}
"""Outcomes of which no caller is left to be told."""

OUTCOMES: list[Outcome] = [
    *(NotRun(reason) for reason in NotRunReason if reason not in UNSEEN),
    *(Failed(reason) for reason in FailedReason if reason not in UNSEEN),
]


def rows(page: str) -> list[list[str]]:
    lines = (PAGES / page).read_text().splitlines()
    return [[cell.strip(" `") for cell in line.split("|")[1:-1]] for line in lines if "|" in line]


@pytest.mark.parametrize("outcome", OUTCOMES, ids=str)
def test_each_outcome_stands_with_its_status(outcome: NotRun | Failed) -> None:
    assert [outcome.reason.value, str(status_of(outcome))] in [
        row[:2] for row in rows("outcomes.md")
    ]


def test_each_unknown_reason_stands_under_its_status() -> None:
    named = {row[0] for row in rows("outcomes.md")}
    assert {reason.value for reason in UnknownReason} <= named
    assert status_of(Unknown(UnknownReason.TIMEOUT)) == 504


def test_each_fault_of_a_caller_stands_with_its_status() -> None:
    named = [row[:2] for row in rows("outcomes.md")]
    for code, status in STATUS_BY_FAULT.items():
        assert [code.value, str(status)] in named


@pytest.mark.parametrize("settings_type", [EntrySettings, AgentSettings])
def test_each_key_of_the_settings_stands_with_what_is_allowed(settings_type: type) -> None:
    named = [row[:2] for row in rows("settings.md")]
    for key in settings_keys(settings_type):
        assert [key.key, key.allowed] in named
