"""Runs one fault test: starts a site, sends load, injects faults, awaits recovery, and checks."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from ..site import Site, SiteShape, running_site
from ..standins.journal import Execution, read_journal
from .callers import Callers
from .checks import (
    Promise,
    SiteRevision,
    Violation,
    check_answers,
    check_chats,
    check_orders,
    check_races,
    check_revisions,
)
from .injector import Injector
from .schedule import PlannedFault, draw_schedule

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .observations import Answer

SHAPE = SiteShape(
    entries=2,
    engines=3,
    desks=2,
    engine_arguments=("--step-seconds", "0.01"),
    proxied=True,
)
LOAD_SECONDS = 8.0
MEAN_REQUEST_INTERVAL = 0.06
FAULTS_PER_RUN = 5
NO_ANSWER = -2
"""Placeholder revision for a process that does not respond; no process has this revision."""

RECOVERY_TIMEOUT = 20.0
"""Seconds within which a site without faults must serve again through every entry."""


class _Status(msgspec.Struct):
    revision: int


@dataclass(frozen=True, slots=True)
class FaultRun:
    """Result of a fault run."""

    seed: int
    faults: tuple[PlannedFault, ...]
    requests: int
    outcomes_by_kind: dict[str, int]
    executions: int
    violations: tuple[Violation, ...]

    def render(self) -> str:
        """Return a readable summary of the run."""
        lines = [f"seed {self.seed}: {self.requests} requests, {self.executions} executions"]
        lines += [f"  {f.at:5.2f} s {f.action} {f.backend}-{f.index}" for f in self.faults]
        lines += [f"  {kind}: {count}" for kind, count in sorted(self.outcomes_by_kind.items())]
        lines += [f"  VIOLATION {each.promise}: {each.detail}" for each in self.violations]
        return "\n".join(lines)


async def run_faults(seed: int, directory: Path) -> FaultRun:
    """Run one schedule against a site with its files in `directory`."""
    random = Random(seed)
    schedule = draw_schedule(random, SHAPE, LOAD_SECONDS, FAULTS_PER_RUN)
    async with running_site(SHAPE, directory) as site:
        callers = Callers(site, random)
        injector = Injector(site)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(injector.run, schedule)
            nursery.start_soon(callers.run, LOAD_SECONDS, MEAN_REQUEST_INTERVAL)
        violations = [*await _check_recovery(site, callers), *await _check_revisions(site)]
        violations += _check_observations(site, callers, injector)
        await site.stop()
    answers = list(_answers(callers))
    return FaultRun(
        seed=seed,
        faults=tuple(injector.injected),
        requests=len(answers),
        outcomes_by_kind=_count(answers),
        executions=len(_executions(directory, "*")),
        violations=tuple(violations),
    )


def run_in_temporary_directory(seed: int) -> FaultRun:
    """Run one schedule; keep the site's files only if the run found a violation."""
    directory = Path(tempfile.mkdtemp(prefix=f"ragwortwing-faults-{seed}-"))
    result: FaultRun = trio.run(run_faults, seed, directory)
    if not result.violations:
        for path in directory.iterdir():
            path.unlink()
        directory.rmdir()
    return result


async def _check_recovery(site: Site, callers: Callers) -> list[Violation]:
    violations = []
    for index in range(site.shape.entries):
        with trio.move_on_after(RECOVERY_TIMEOUT) as scope:
            while not await _serves(callers):
                await trio.sleep(0.2)
        if scope.cancelled_caught:
            violations.append(Violation(Promise.RECOVERS, f"after the faults, probe {index}"))
    return violations


async def _serves(callers: Callers) -> bool:
    chat = await callers.chat()
    order = await callers.order()
    return chat.answer.outcome == "completed" and order.answers[-1].outcome == "completed"


async def _check_revisions(site: Site) -> list[Violation]:
    """Wait up to `RECOVERY_TIMEOUT` for equal revisions; return the remaining violations."""
    violations: list[Violation] = []
    with trio.move_on_after(RECOVERY_TIMEOUT):
        while True:
            violations = list(check_revisions(await _revisions(site)))
            if not violations:
                return []
            await trio.sleep(0.2)
    return violations


async def _revisions(site: Site) -> list[SiteRevision]:
    revisions = []
    for name, process in site.process_by_name.items():
        address = process.listen.get("operator" if name.startswith("entry") else "http")
        if address is None or not name.startswith(("entry", "agent")):
            continue
        try:
            reply = await site.call("GET", f"http://{address}/status")
        except (httpcore.NetworkError, httpcore.ProtocolError):
            revisions.append(SiteRevision(f"{name} (no response)", NO_ANSWER))
            continue
        status = msgspec.json.decode(reply.body, type=_Status)
        revisions.append(SiteRevision(name, status.revision))
    return revisions


def _check_observations(site: Site, callers: Callers, injector: Injector) -> Iterator[Violation]:
    yield from check_orders(callers.orders, _executions(site.directory, "desk-*"))
    yield from check_chats(callers.chats, _executions(site.directory, "engine-*"))
    yield from check_answers(_answers(callers), injector.killed_entries)
    yield from check_races(injector.races)


def _executions(directory: Path, backends: str) -> list[Execution]:
    paths = sorted(directory.glob(f"{backends}.journal"))
    return [each for path in paths for each in read_journal(path)]


def _answers(callers: Callers) -> Iterator[Answer]:
    yield from (chat.answer for chat in callers.chats)
    for order in callers.orders:
        yield from order.answers


def _count(answers: list[Answer]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for answer in answers:
        reason = "" if answer.reason == answer.outcome else answer.reason
        kind = f"{answer.outcome or 'none'} {reason}".strip()
        counts[kind] = counts.get(kind, 0) + 1
    return counts
