"""Regression tests: seeds of the fault runner that once exposed a defect."""

from __future__ import annotations

import pytest
import trio

from ragwortwing_lab.faults.runner import run_faults

SEEDS = [
    pytest.param(1, id="1-answer-without-an-end-after-both-entries-were-frozen"),
    pytest.param(54, id="54-runner-used-a-connection-that-was-being-closed"),
]


@pytest.mark.parametrize("seed", SEEDS)
async def test_random_faults_cause_no_violation(seed: int, tmp_path) -> None:
    """Random faults hit a site while callers stream chats and submit orders.

    No request may run twice, get a false outcome, be cut off or never end, and the site must serve
    again afterwards.
    """
    with trio.fail_after(150):
        result = await run_faults(seed, tmp_path)
    assert result.requests > 0
    assert result.violations == ()
