"""One soak: a fleet, a load, a schedule of faults, the checks while it runs and after."""

from __future__ import annotations

import shutil
import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import trio

from ..standins.platform_site import call, platform_site
from ..standins.published_store import StoreMood
from .callers import Callers
from .checks import (
    SoakPromise,
    SoakViolation,
    check_answers,
    check_in_force,
    check_limits,
    check_planned_stops,
    check_runs,
)
from .fleet import Fleet
from .injector import Injector
from .observations import Kind
from .schedule import STRAINS, PlannedFault, draw_schedule

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from ..standins.platform_site import EntryProcess

GRACE = 8.0
CALLERS = 12
CHECK_INTERVAL = 1.0
RECOVERY_LIMIT = 12.0
"""Seconds after the last fault within which every entry must serve every kind."""

LET_GO_LIMIT = 3.0
"""Seconds after the last answer within which nothing may still run: a silent link shows only after
the time limits on it."""


@dataclass(frozen=True, slots=True)
class SoakShape:
    """How long and how hard a soak is."""

    seconds: float = 15.0
    entries: int = 3
    callers: int = CALLERS
    faults_per_second: float = 0.8
    strains_per_second: float = 0.3


@dataclass(frozen=True, slots=True)
class SoakRun:
    """What a soak did and found."""

    seed: int
    struck: tuple[PlannedFault, ...]
    attempts_by_status: dict[str, int]
    violations: tuple[SoakViolation, ...]

    def render(self) -> str:
        """Return the run as text for people."""
        total = sum(self.attempts_by_status.values())
        counts = ", ".join(f"{key}: {n}" for key, n in sorted(self.attempts_by_status.items()))
        lines = [f"seed {self.seed}: {len(self.struck)} faults, {total} requests ({counts})"]
        if self.violations:
            lines += [f"  {f.at:5.2f} s {f.kind} {f.place} {f.seconds:.2f} s" for f in self.struck]
        lines += [f"  VIOLATION {each.promise}: {each.detail}" for each in self.violations]
        return "\n".join(lines)


async def run_soak(seed: int, shape: SoakShape, folder: Path) -> SoakRun:
    """Run one soak whose files go into a folder."""
    random = Random(seed)
    schedule = _schedule(random, seed, shape)
    violations: list[SoakViolation] = []
    async with platform_site(folder, GRACE) as site:
        fleet = Fleet(site, random, shape.entries)
        await fleet.start()
        callers, injector = Callers(fleet, random), Injector(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_check_on, fleet, callers, violations, nursery.cancel_scope)
            async with trio.open_nursery() as load:
                load.start_soon(injector.run, schedule)
                load.start_soon(callers.run, shape.callers, shape.seconds)
            nursery.cancel_scope.cancel()
        site.store.mood = StoreMood.WELL
        if not violations:
            violations += [each async for each in _check_after(fleet, callers)]
            violations += _check_now(fleet, callers)
            violations += check_planned_stops(
                callers.attempts, fleet.stopped_at_by_incarnation, injector.cutting
            )
            violations += check_in_force(fleet.published, fleet.entries, injector.disturbances)
            violations += check_limits(fleet.limited, injector.disturbances)
    return SoakRun(seed, tuple(injector.struck), _count(callers), tuple(violations))


def _schedule(random: Random, seed: int, shape: SoakShape) -> tuple[PlannedFault, ...]:
    faults = draw_schedule(random, shape.seconds, shape.faults_per_second)
    # Of a source of their own: the other faults of a seed stay what they are.
    strains = draw_schedule(
        Random(f"strains of {seed}"), shape.seconds, shape.strains_per_second, STRAINS
    )
    return tuple(sorted((*faults, *strains), key=lambda each: each.at))


def run_in_temporary_folder(seed: int, shape: SoakShape) -> SoakRun:
    """Run one soak; its files are kept where it found a violation."""
    folder = Path(tempfile.mkdtemp(prefix=f"ragwortwing-soak-{seed}-"))
    result: SoakRun = trio.run(run_soak, seed, shape, folder)
    if not result.violations:
        shutil.rmtree(folder)
    return result


async def _check_on(
    fleet: Fleet, callers: Callers, found: list[SoakViolation], scope: trio.CancelScope
) -> None:
    """Check while the soak runs; the first violation ends it."""
    while True:
        await trio.sleep(CHECK_INTERVAL)
        found += _check_now(fleet, callers)
        if found:
            scope.cancel()


def _check_now(fleet: Fleet, callers: Callers) -> Iterator[SoakViolation]:
    yield from check_runs(callers.attempts, fleet.backends)
    yield from check_answers(callers.attempts, frozenset(each.id for each in fleet.backends))
    for attempt in callers.unanswered:
        detail = f"{attempt.kind} {attempt.request_id} at {attempt.entry}: no end"
        yield SoakViolation(SoakPromise.ANSWERED, detail)
    for end in fleet.unexpected_ends():
        yield SoakViolation(SoakPromise.ALIVE, end)


async def _check_after(fleet: Fleet, callers: Callers) -> AsyncIterator[SoakViolation]:
    for entry in fleet.entries:
        for kind in Kind:
            with trio.move_on_after(RECOVERY_LIMIT) as scope:
                while not await _serves(callers, entry, kind):
                    await trio.sleep(0.1)
            if scope.cancelled_caught:
                yield SoakViolation(SoakPromise.RECOVERS, f"{entry.name} does not serve a {kind}")
        if fleet.version > 1 and not await _has_newest(fleet, entry):
            detail = f"{entry.name} does not know version {fleet.version}"
            yield SoakViolation(SoakPromise.IN_FORCE, detail)
    with trio.move_on_after(LET_GO_LIMIT):
        while any(backend.running for backend in fleet.backends):
            await trio.sleep(0.05)
    for backend in fleet.backends:
        if backend.running:
            detail = f"{backend.id} still runs {backend.running}"
            yield SoakViolation(SoakPromise.LETS_GO, detail)


async def _serves(callers: Callers, entry: EntryProcess, kind: Kind) -> bool:
    try:
        attempt = await callers.call_once(entry, kind)
    except OSError:
        return False
    return attempt.got is not None and attempt.got.status == 200 and attempt.got.whole


async def _has_newest(fleet: Fleet, entry: EntryProcess) -> bool:
    with trio.move_on_after(RECOVERY_LIMIT):
        while True:
            got = await call(entry, f"/added-{fleet.version}/x", f"newest-{entry.name}")
            if got.status == 200:
                return True
            await trio.sleep(0.1)
    return False


def _count(callers: Callers) -> dict[str, int]:
    counts: dict[str, int] = {}
    for attempt in callers.attempts:
        got = attempt.got
        status = "no answer" if got is None or got.status is None else str(got.status)
        key = status if got is None or got.whole or got.status is None else f"{status} cut"
        counts[key] = counts.get(key, 0) + 1
    return counts
