"""Holders of a duty against the rules of a singleton, under random trouble in virtual time."""

from __future__ import annotations

import os
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from ragwortwing_entry.duties.duty_runner import DutyRunner
from ragwortwing_entry.duties.usage_duty import UsageDuty
from ragwortwing_policy.duties.lease import DutyLease

from .fleet_model import DUE_AFTER, EPOCH, WINDOW, ModelEntry, Trouble, World, violations

if TYPE_CHECKING:
    from ragwortwing_entry.duties.permit import Permit

SEEDS = int(os.environ.get("RAGWORTWING_DUTY_SEEDS", "6"))
"""Fleets that are played; more of them by hand."""

SPAN = 400.0
"""Virtual seconds of each."""

HARD = Trouble(
    refused=0.08, lost_reply=0.08, late=0.08, dropped=0.05, paused=0.08, call_failed=0.15
)


async def play(
    seed: int,
    trouble: Trouble,
    runner: type[DutyRunner] = DutyRunner,
    duty: type[UsageDuty] = UsageDuty,
) -> World:
    """Let four entries believe and die at random."""
    random = Random(seed)
    async with trio.open_nursery() as nursery:
        world = World(random, nursery, trouble)
        entries = [ModelEntry(f"entry-{number}", world, runner) for number in range(4)]
        for entry in entries:
            entry.start(duty)
        ends = trio.current_time() + SPAN
        while trio.current_time() < ends:
            await trio.sleep(random.uniform(0.1, 3.0))
            entry = random.choice(entries)
            teller, hearer = random.choice(entries), random.choice(entries)
            if teller.candidates.known_offset >= 0:
                hearer.hear_of(teller.candidates.known_offset)
            if random.random() < 0.25:
                entry.kill()
                entry.start(duty)
            else:
                entry.candidates.believes_first = random.random() < 0.6
        nursery.cancel_scope.cancel()
    return world


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_no_two_holders_act_against_each_other(seed: int, autojump_clock: object) -> None:
    """Guards against two reports for a window, tokens that go back, and holders by turns."""
    world = await play(seed, HARD)
    assert len(world.acts) > 20
    assert violations(world.acts) == []


async def test_every_window_is_reported_in_time_when_nothing_fails(
    autojump_clock: object,
) -> None:
    """Guards against a duty that nobody performs although the log answers."""
    async with trio.open_nursery() as nursery:
        world = World(Random(1), nursery)
        entry = ModelEntry("entry-1", world)
        entry.candidates.believes_first = True
        entry.start()
        await trio.sleep(200.0)
        nursery.cancel_scope.cancel()
    windows = [act.window for act in world.acts]
    assert windows == list(range(windows[0], windows[0] + len(windows)))
    assert len(windows) >= 38
    for act in world.acts:
        end = (act.window + 1) * WINDOW - EPOCH.timestamp()
        assert act.at - end < DUE_AFTER
    assert world.appends <= len(windows) + 2


async def test_a_successor_takes_over_in_time(autojump_clock: object) -> None:
    """Guards against windows that are late because the holder was killed."""
    async with trio.open_nursery() as nursery:
        world = World(Random(2), nursery)
        one, other = (ModelEntry(name, world) for name in ("entry-1", "entry-2"))
        for entry in (one, other):
            entry.start()
        one.candidates.believes_first = True
        await trio.sleep(21.0)
        one.kill()
        one.candidates.believes_first = False
        other.candidates.believes_first = True
        await trio.sleep(30.0)
        nursery.cancel_scope.cancel()
    assert {act.holder for act in world.acts} == {"entry-1", "entry-2"}
    for act in world.acts:
        end = (act.window + 1) * WINDOW - EPOCH.timestamp()
        assert act.at - end < DUE_AFTER
    assert violations(world.acts) == []


async def test_a_stop_hands_over_at_once(autojump_clock: object) -> None:
    """Guards against a planned stop after which the successor waits for the lease's end."""
    async with trio.open_nursery() as nursery:
        world = World(Random(3), nursery)
        one, other = (ModelEntry(name, world) for name in ("entry-1", "entry-2"))
        for entry in (one, other):
            entry.start()
        one.candidates.believes_first = True
        await trio.sleep(10.4)
        assert one.runner is not None
        await one.runner.leave()
        one.candidates.believes_first = False
        other.candidates.believes_first = True
        left_at = trio.current_time()
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    gained = next(act.at for act in world.acts if act.holder == "entry-2")
    next_end = (int((left_at + EPOCH.timestamp()) // WINDOW) + 1) * WINDOW - EPOCH.timestamp()
    assert gained - next_end < 0.5


class UncheckedLease(DutyLease):
    """A lease that does not end."""

    def remaining(self, now: float) -> float:
        return 9.0 if self.state == "held" else 0.0


class RunnerWithoutLease(DutyRunner):
    """A runner that trusts what it held before a pause."""

    def __init__(self, *args, **more) -> None:  # type: ignore[no-untyped-def]
        super().__init__(*args, **more)
        self.lease.__class__ = UncheckedLease


class UnfixedUsageDuty(UsageDuty):
    """Sends what it counts at the moment of sending."""

    async def act(self, state: bytes, permit: Permit) -> bool:
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
async def test_the_model_finds_a_defect(defect: dict[str, type], autojump_clock: object) -> None:
    """Guards against a model that finds nothing wrong whatever the entries do."""
    found: list[str] = []
    for seed in range(10):
        found += violations((await play(seed, HARD, **defect)).acts)
        if found:
            break
    assert found
