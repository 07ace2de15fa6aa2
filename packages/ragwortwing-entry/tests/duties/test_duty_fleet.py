"""Tests mutual exclusion among the holders of a duty under random faults in virtual time."""

from __future__ import annotations

import os
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from ragwortwing_entry.duties.duty_runner import DutyRunner
from ragwortwing_entry.duties.usage_duty import UsageDuty
from ragwortwing_policy.duties.lease import DutyLease

from .fleet_model import (
    DUE_AFTER,
    EPOCH,
    WINDOW,
    FaultRates,
    ModelEntry,
    SimulatedPlatform,
    violations,
)

if TYPE_CHECKING:
    from ragwortwing_entry.duties.permit import Permit

SEEDS = int(os.environ.get("RAGWORTWING_DUTY_SEEDS", "6"))
"""Number of simulated fleets, each with its own random seed."""

DURATION = 400.0
"""Virtual seconds for which each fleet is simulated."""

FREQUENT_FAULTS = FaultRates(
    refused=0.08, lost_reply=0.08, late=0.08, dropped=0.05, long_pause=0.08, call_failed=0.15
)


async def simulate(
    seed: int,
    fault_rates: FaultRates,
    runner: type[DutyRunner] = DutyRunner,
    duty: type[UsageDuty] = UsageDuty,
) -> SimulatedPlatform:
    """Simulate four entries that change their rankings and are killed at random."""
    random = Random(seed)
    async with trio.open_nursery() as nursery:
        platform = SimulatedPlatform(random, nursery, fault_rates)
        entries = [ModelEntry(f"entry-{number}", platform, runner) for number in range(4)]
        for entry in entries:
            entry.start(duty)
        ends = trio.current_time() + DURATION
        while trio.current_time() < ends:
            await trio.sleep(random.uniform(0.1, 3.0))
            entry = random.choice(entries)
            sender, receiver = random.choice(entries), random.choice(entries)
            if sender.candidates.known_offset >= 0:
                receiver.receive_offset(sender.candidates.known_offset)
            if random.random() < 0.25:
                entry.kill()
                entry.start(duty)
            else:
                entry.candidates.ranks_itself_first = random.random() < 0.6
        nursery.cancel_scope.cancel()
    return platform


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_holders_never_violate_mutual_exclusion(seed: int, autojump_clock: object) -> None:
    """Guards against conflicting reports of a window, decreasing tokens and alternating holders."""
    platform = await simulate(seed, FREQUENT_FAULTS)
    assert len(platform.calls) > 20
    assert violations(platform.calls) == []


async def test_every_window_is_reported_in_time_when_nothing_fails(
    autojump_clock: object,
) -> None:
    """Guards against a duty that no entry performs although the log answers."""
    async with trio.open_nursery() as nursery:
        platform = SimulatedPlatform(Random(1), nursery)
        entry = ModelEntry("entry-1", platform)
        entry.candidates.ranks_itself_first = True
        entry.start()
        await trio.sleep(200.0)
        nursery.cancel_scope.cancel()
    windows = [call.window for call in platform.calls]
    assert windows == list(range(windows[0], windows[0] + len(windows)))
    assert len(windows) >= 38
    for call in platform.calls:
        end = (call.window + 1) * WINDOW - EPOCH.timestamp()
        assert call.at - end < DUE_AFTER
    assert platform.appends <= len(windows) + 2


async def test_successor_takes_over_in_time(autojump_clock: object) -> None:
    """Guards against windows that are reported late because the holder was killed."""
    async with trio.open_nursery() as nursery:
        platform = SimulatedPlatform(Random(2), nursery)
        first, second = (ModelEntry(name, platform) for name in ("entry-1", "entry-2"))
        for entry in (first, second):
            entry.start()
        first.candidates.ranks_itself_first = True
        await trio.sleep(21.0)
        first.kill()
        first.candidates.ranks_itself_first = False
        second.candidates.ranks_itself_first = True
        await trio.sleep(30.0)
        nursery.cancel_scope.cancel()
    assert {call.holder for call in platform.calls} == {"entry-1", "entry-2"}
    for call in platform.calls:
        end = (call.window + 1) * WINDOW - EPOCH.timestamp()
        assert call.at - end < DUE_AFTER
    assert violations(platform.calls) == []


async def test_stopped_holder_releases_duty_at_once(autojump_clock: object) -> None:
    """Guards against a planned stop after which the successor waits for the lease to expire."""
    async with trio.open_nursery() as nursery:
        platform = SimulatedPlatform(Random(3), nursery)
        first, second = (ModelEntry(name, platform) for name in ("entry-1", "entry-2"))
        for entry in (first, second):
            entry.start()
        first.candidates.ranks_itself_first = True
        await trio.sleep(10.4)
        assert first.runner is not None
        await first.runner.leave()
        first.candidates.ranks_itself_first = False
        second.candidates.ranks_itself_first = True
        left_at = trio.current_time()
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    first_call_at = next(call.at for call in platform.calls if call.holder == "entry-2")
    next_end = (int((left_at + EPOCH.timestamp()) // WINDOW) + 1) * WINDOW - EPOCH.timestamp()
    assert first_call_at - next_end < 0.5


class UncheckedLease(DutyLease):
    """A defective lease that never expires."""

    def remaining(self, now: float) -> float:
        return 9.0 if self.state == "held" else 0.0


class RunnerWithoutLease(DutyRunner):
    """A defective runner that still trusts its lease after a pause."""

    def __init__(self, *args, **more) -> None:  # type: ignore[no-untyped-def]
        super().__init__(*args, **more)
        self.lease.__class__ = UncheckedLease


class UnfixedUsageDuty(UsageDuty):
    """A defective duty that sends the current counts instead of the fixed ones."""

    async def execute(self, state: bytes, permit: Permit) -> bool:
        undelivered = self._undelivered(state)
        assert undelivered is not None
        window = max(undelivered.unsent)
        counts = {self._entry_state.identity.name: self._entry_state.started}
        try:
            await self._calls.report_usage(window, counts, permit)
        except Exception:  # noqa: BLE001 - the defect is not in the calls
            return False
        return True


@pytest.mark.parametrize(
    "defect", [{"runner": RunnerWithoutLease}, {"duty": UnfixedUsageDuty}], ids=["lease", "counts"]
)
async def test_simulation_detects_defect(defect: dict[str, type], autojump_clock: object) -> None:
    """Guards against a simulation that reports no violation whatever the entries do."""
    found: list[str] = []
    for seed in range(10):
        found += violations((await simulate(seed, FREQUENT_FAULTS, **defect)).calls)
        if found:
            break
    assert found
