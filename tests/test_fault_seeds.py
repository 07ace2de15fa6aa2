"""Seeds of the fault runner that once showed a fault; each stays, so that it does not come back."""

from __future__ import annotations

import pytest
import trio

from ragwortwing_lab.faults.runner import run_faults

SEEDS = [
    pytest.param(1, id="1-answer-without-an-end-after-both-entries-were-frozen"),
    pytest.param(54, id="54-runner-used-a-connection-that-was-being-closed"),
]


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_promise_is_broken(seed: int, tmp_path) -> None:
    """Random faults hit a site while callers stream answers and submit orders.

    Nothing may run twice, be told wrongly, be cut off or be left without an end, and the site must
    serve again afterwards.
    """
    with trio.fail_after(150):
        result = await run_faults(seed, tmp_path)
    assert result.requests > 0
    assert result.violations == ()
