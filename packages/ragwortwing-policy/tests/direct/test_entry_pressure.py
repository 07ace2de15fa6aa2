"""Pressure of an entry from the lag of its event loop and the memory held for callers."""

from __future__ import annotations

from math import inf, nan

import pytest

from ragwortwing_policy.direct.entry_pressure import (
    AVOID_AT,
    CALM_SECONDS,
    LAG_INTERVAL,
    EntryPressure,
    LoopLag,
)
from ragwortwing_policy.direct.scheduler_choice import Candidate, SchedulerChoice


def lag_after(lags: list[float]) -> LoopLag:
    found, now = LoopLag(), 0.0
    for lag in lags:
        now += LAG_INTERVAL + lag
        found.measured(lag, now)
    return found


@pytest.mark.parametrize("freeze", [1.0, 7.0, 3600.0])
def test_a_freeze_of_the_vm_is_no_pressure(freeze: float) -> None:
    """Guards against an entry that is avoided after it was suspended, although it is idle."""
    assert lag_after([0.001] * 20 + [freeze] + [0.001]).seconds < 0.002


def test_a_shortage_of_processor_time_with_long_stops_is_pressure() -> None:
    assert lag_after([1.2] * 5).seconds > 0.5


@pytest.mark.parametrize("lag", [-1.0, inf, nan])
def test_an_implausible_lag_is_ignored(lag: float) -> None:
    """Guards against a clock that jumps."""
    found = lag_after([0.02] * 50)
    before = found.seconds
    found.measured(lag, 100.0)
    assert found.seconds == before
    assert found.ignored == 1


def test_one_slow_pass_is_no_pressure() -> None:
    """Guards against an entry that is avoided because it has parsed a large configuration."""
    lag = lag_after([0.002] * 50 + [0.4] + [0.002])
    pressure = EntryPressure()
    pressure.update(lag.seconds, 0.0, 0.0)
    assert pressure.reported < AVOID_AT


def test_a_vm_of_a_third_of_a_core_is_not_under_pressure_in_its_normal_range() -> None:
    """Guards against shedding on small VMs whose processor time is granted in periods of 0.1 s."""
    lag = lag_after([0.07, 0.0] * 200)
    pressure = EntryPressure()
    assert pressure.update(lag.seconds, 0.3, 0.0) is None
    assert pressure.current == 0.0
    assert not pressure.sheds()


def test_pressure_that_oscillates_is_reported_as_lasting() -> None:
    """Guards against schedulers that change with every burst."""
    pressure = EntryPressure()
    changes = []
    for step in range(200):
        lag = 0.35 if step % 20 < 10 else 0.0
        change = pressure.update(lag, 0.0, 0.1 * step)
        changes += [change.entered] if change is not None else []
    assert changes == [True]
    assert pressure.reported >= AVOID_AT
    calm_at = 20.0 + CALM_SECONDS
    change = pressure.update(0.0, 0.0, calm_at)
    assert change is not None
    assert not change.entered
    assert pressure.reported == 0.0


def test_the_refused_share_grows_with_the_pressure() -> None:
    """Guards against an entry that refuses everything at one threshold and nothing below it."""
    shares = []
    for lag in (0.4, 0.45, 0.5):
        pressure = EntryPressure()
        pressure.update(lag, 0.0, 0.0)
        shares.append(sum(pressure.sheds() for _ in range(100)))
    assert shares[0] == 0
    assert 30 <= shares[1] <= 50
    assert shares[2] == 100


def test_memory_alone_is_pressure() -> None:
    pressure = EntryPressure()
    pressure.update(0.0, 0.5, 0.0)
    assert pressure.current == 0.0
    pressure.update(0.0, 0.9, 0.1)
    assert pressure.current == pytest.approx(0.8)
    assert pressure.closes_connections


def fleet(pressures: list[float]) -> SchedulerChoice:
    choice = SchedulerChoice("entry-0")
    candidates = [
        Candidate(f"entry-{number}", 1.0, 60.0, 0.0, pressure)
        for number, pressure in enumerate(pressures)
    ]
    choice.offer(candidates[0])
    for each in candidates[1:]:
        choice.update_from_peer(each)
    return choice


def test_a_scheduler_under_pressure_is_replaced_and_returns() -> None:
    """Guards against placements that wait for an entry that is short of processor time."""
    calm = fleet([0.0] * 8)
    first = calm.scheduler("pool", 0.0)
    assert first is not None
    number = int(first.removeprefix("entry-"))
    pressures = [AVOID_AT if each == number else 0.0 for each in range(8)]
    pressed = fleet(pressures)
    second = pressed.scheduler("pool", 0.0)
    assert second != first
    assert second in calm.informed("pool", 0.0) | {"entry-0"}
    assert first in pressed.informed("pool", 0.0) | {"entry-0"}
    own = Candidate(first, 1.0, 60.0, 0.0)
    if number == 0:
        pressed.offer(own)
    else:
        pressed.update_from_peer(own)
    assert pressed.scheduler("pool", 0.0) == first


def test_a_fleet_under_pressure_keeps_its_scheduler() -> None:
    """Guards against a fleet without a scheduler, or one that is moved around by the load."""
    assert fleet([0.9] * 8).scheduler("pool", 0.0) == fleet([0.0] * 8).scheduler("pool", 0.0)


def test_moderate_pressure_does_not_move_the_scheduler() -> None:
    for number in range(8):
        pressures = [0.4 if each == number else 0.0 for each in range(8)]
        assert fleet(pressures).scheduler("pool", 0.0) == fleet([0.0] * 8).scheduler("pool", 0.0)
