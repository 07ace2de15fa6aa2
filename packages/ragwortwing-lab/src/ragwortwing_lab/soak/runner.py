"""Runs one soak test: starts the fleet, sends load, injects faults, and checks during and after."""

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
from .contention_checks import (
    check_served,
    check_slots_freed,
    check_used_again,
)
from .fleet import Fleet
from .injector import Injector
from .notice_checks import check_backoffs, check_leaving
from .observations import Kind
from .schedule import (
    ANSWER_FAULTS,
    CONTENTION_FAULTS,
    NOTICE_FAULTS,
    STRESS_FAULTS,
    PlannedFault,
    draw_schedule,
)
from .stream_checks import check_kept_connections, check_versions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from ..standins.platform_site import EntryProcess

GRACE_SECONDS = 8.0
DEFAULT_CALLERS = 12
CHECK_INTERVAL = 1.0
RECOVERY_TIMEOUT = 12.0
"""Seconds within which an entry without faults must serve a kind of request again."""

RELEASE_TIMEOUT = 3.0
"""Seconds after the last response within which backend servers must have stopped all work.

A silent link is detected only when its timeouts expire."""


@dataclass(frozen=True, slots=True)
class SoakShape:
    """Duration, size and intensity of a soak test."""

    seconds: float = 15.0
    entries: int = 3
    callers: int = DEFAULT_CALLERS
    faults_per_second: float = 0.8
    stress_faults_per_second: float = 0.3
    notice_faults_per_second: float = 0.3
    contention_faults_per_second: float = 0.2


@dataclass(frozen=True, slots=True)
class SoakRun:
    """Result of a soak test."""

    seed: int
    injected: tuple[PlannedFault, ...]
    attempts_by_status: dict[str, int]
    violations: tuple[SoakViolation, ...]

    def render(self) -> str:
        """Return a readable summary of the run."""
        total = sum(self.attempts_by_status.values())
        counts = ", ".join(f"{key}: {n}" for key, n in sorted(self.attempts_by_status.items()))
        lines = [f"seed {self.seed}: {len(self.injected)} faults, {total} requests ({counts})"]
        if self.violations:
            lines += [
                f"  {f.at:5.2f} s {f.kind} {f.target_index} {f.seconds:.2f} s"
                for f in self.injected
            ]
        lines += [f"  VIOLATION {each.promise}: {each.detail}" for each in self.violations]
        return "\n".join(lines)


async def run_soak(seed: int, shape: SoakShape, folder: Path) -> SoakRun:
    """Run one soak test with its files in `folder`."""
    random = Random(seed)
    schedule = _schedule(random, seed, shape)
    violations: list[SoakViolation] = []
    async with platform_site(folder, GRACE_SECONDS) as site:
        contracts = Random(f"contracts of {seed}").choice(((), ("pressure",)))
        site.settings["contracts"] = contracts
        fleet = Fleet(site, random, shape.entries)
        await fleet.start()
        callers = Callers(fleet, random)
        injector = Injector(fleet, callers)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _check_continuously, fleet, callers, violations, nursery.cancel_scope
            )
            async with trio.open_nursery() as load:
                load.start_soon(injector.run, schedule)
                load.start_soon(callers.run, shape.callers, shape.seconds)
            nursery.cancel_scope.cancel()
        site.store.mood = StoreMood.WELL
        if not violations:
            violations += [each async for each in _check_final(fleet, callers)]
            violations += _check_current(fleet, callers)
            violations += check_planned_stops(
                callers.attempts, fleet.stopped_at_by_incarnation, injector.cutting_spans
            )
            violations += check_in_force(fleet.published, fleet.entries, injector.disturbances)
            violations += check_limits(fleet.rate_limited_spans, injector.disturbances)
            violations += check_leaving(callers.attempts, fleet.backends, injector.disturbances)
            violations += check_backoffs(
                callers.attempts,
                fleet.backends,
                injector.disturbances,
                injector.link_spans_by_backend,
            )
            violations += check_kept_connections(
                callers.attempts,
                fleet.backends,
                injector.unsound_by_backend(),
                injector.interruptions_by_entry,
            )
            violations += check_served(callers.attempts, injector.spans)
            if "pressure" in contracts:
                violations += check_slots_freed(callers.attempts, fleet.backends, injector.spans)
    return SoakRun(seed, tuple(injector.injected), _count(callers), tuple(violations))


def _schedule(random: Random, seed: int, shape: SoakShape) -> tuple[PlannedFault, ...]:
    faults = draw_schedule(random, shape.seconds, shape.faults_per_second)
    # A separate random source keeps the other faults of a seed unchanged.
    stress_faults = draw_schedule(
        Random(f"strains of {seed}"), shape.seconds, shape.stress_faults_per_second, STRESS_FAULTS
    )
    notice_faults = draw_schedule(
        Random(f"notices of {seed}"), shape.seconds, shape.notice_faults_per_second, NOTICE_FAULTS
    )
    answer_faults = draw_schedule(
        Random(f"answers of {seed}"), shape.seconds, shape.notice_faults_per_second, ANSWER_FAULTS
    )
    contention_faults = draw_schedule(
        Random(f"contention of {seed}"),
        shape.seconds,
        shape.contention_faults_per_second,
        CONTENTION_FAULTS,
    )
    drawn = (*faults, *stress_faults, *notice_faults, *answer_faults, *contention_faults)
    return tuple(sorted(drawn, key=lambda each: each.at))


def run_in_temporary_folder(seed: int, shape: SoakShape) -> SoakRun:
    """Run one soak test; keep its files only if it found a violation."""
    folder = Path(tempfile.mkdtemp(prefix=f"ragwortwing-soak-{seed}-"))
    result: SoakRun = trio.run(run_soak, seed, shape, folder)
    if not result.violations:
        shutil.rmtree(folder)
    return result


async def _check_continuously(
    fleet: Fleet, callers: Callers, violations: list[SoakViolation], scope: trio.CancelScope
) -> None:
    """Check periodically while the soak test runs; the first violation ends it."""
    while True:
        await trio.sleep(CHECK_INTERVAL)
        violations += _check_current(fleet, callers)
        if violations:
            scope.cancel()


def _check_current(fleet: Fleet, callers: Callers) -> Iterator[SoakViolation]:
    yield from check_runs(callers.attempts, fleet.backends)
    yield from check_answers(
        callers.attempts,
        frozenset(each.id for each in fleet.backends),
        frozenset(request_id for each in fleet.backends for request_id in each.badly_resumed),
    )
    yield from check_versions(callers.attempts, fleet.backends)
    for attempt in callers.unanswered:
        detail = f"{attempt.kind} {attempt.request_id} at {attempt.entry}: no response"
        yield SoakViolation(SoakPromise.ANSWERED, detail)
    for end in fleet.unexpected_exits():
        yield SoakViolation(SoakPromise.ALIVE, end)


async def _check_final(fleet: Fleet, callers: Callers) -> AsyncIterator[SoakViolation]:
    for entry in fleet.entries:
        for kind in Kind:
            with trio.move_on_after(RECOVERY_TIMEOUT) as scope:
                while not await _serves(callers, entry, kind):
                    await trio.sleep(0.1)
            if scope.cancelled_caught:
                yield SoakViolation(SoakPromise.RECOVERS, f"{entry.name} does not serve a {kind}")
        if fleet.version > 1 and not await _has_newest(fleet, entry):
            detail = f"{entry.name} does not have version {fleet.version}"
            yield SoakViolation(SoakPromise.IN_FORCE, detail)
    async for violation in check_used_again(fleet, callers):
        yield violation
    with trio.move_on_after(RELEASE_TIMEOUT):
        while any(backend.running for backend in fleet.backends):
            await trio.sleep(0.05)
    for backend in fleet.backends:
        if backend.running:
            detail = f"{backend.id} is still running {backend.running}"
            yield SoakViolation(SoakPromise.LETS_GO, detail)


async def _serves(callers: Callers, entry: EntryProcess, kind: Kind) -> bool:
    try:
        attempt = await callers.call_once(entry, kind)
    except OSError:
        return False
    return (
        attempt.response is not None and attempt.response.status == 200 and attempt.response.whole
    )


async def _has_newest(fleet: Fleet, entry: EntryProcess) -> bool:
    with trio.move_on_after(RECOVERY_TIMEOUT):
        while True:
            response = await call(entry, f"/added-{fleet.version}/x", f"newest-{entry.name}")
            if response.status == 200:
                return True
            await trio.sleep(0.1)
    return False


def _count(callers: Callers) -> dict[str, int]:
    counts: dict[str, int] = {}
    for attempt in callers.attempts:
        response = attempt.response
        status = (
            "no answer" if response is None or response.status is None else str(response.status)
        )
        key = (
            status
            if response is None or response.whole or response.status is None
            else f"{status} cut"
        )
        counts[key] = counts.get(key, 0) + 1
    return counts
