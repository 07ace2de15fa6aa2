"""Checks that the operator documentation lists every reason, fault code and settings key."""

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
REASONS_WITHOUT_CALLER = {NotRunReason.WITHDRAWN, FailedReason.CALLER_GONE}
"""Reasons that no caller ever receives, because the caller has disconnected."""

OUTCOMES: list[Outcome] = [
    *(NotRun(reason) for reason in NotRunReason if reason not in REASONS_WITHOUT_CALLER),
    *(Failed(reason) for reason in FailedReason if reason not in REASONS_WITHOUT_CALLER),
]


def rows(page: str) -> list[list[str]]:
    lines = (PAGES / page).read_text().splitlines()
    return [[cell.strip(" `") for cell in line.split("|")[1:-1]] for line in lines if "|" in line]


@pytest.mark.parametrize("outcome", OUTCOMES, ids=str)
def test_each_outcome_is_documented_with_its_status(outcome: NotRun | Failed) -> None:
    assert [outcome.reason.value, str(status_of(outcome))] in [
        row[:2] for row in rows("outcomes.md")
    ]


def test_each_unknown_reason_is_documented() -> None:
    named = {row[0] for row in rows("outcomes.md")}
    assert {reason.value for reason in UnknownReason} <= named
    assert status_of(Unknown(UnknownReason.TIMEOUT)) == 504


def test_each_caller_fault_is_documented_with_its_status() -> None:
    named = [row[:2] for row in rows("outcomes.md")]
    for code, status in STATUS_BY_FAULT.items():
        assert [code.value, str(status)] in named


@pytest.mark.parametrize("settings_type", [EntrySettings, AgentSettings])
def test_each_settings_key_is_documented_with_allowed_values(settings_type: type) -> None:
    named = [row[:2] for row in rows("settings.md")]
    for key in settings_keys(settings_type):
        assert [key.key, key.allowed] in named
