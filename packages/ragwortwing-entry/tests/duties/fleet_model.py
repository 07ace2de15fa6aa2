"""Entries that hold a duty, in virtual time, between a log and a platform that misbehave."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import trio

from ragwortwing_entry.duties.duty_runner import DutyRunner
from ragwortwing_entry.duties.ports import AppendOutcome, DutyCallError, DutyLogError
from ragwortwing_entry.duties.usage_duty import UsageDuty
from ragwortwing_policy.duties.lease import LogState
from ragwortwing_policy.duties.usage_counts import UsageLedger, UsageReport
from ragwortwing_policy.duties.usage_windows import UsageTerms

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_entry.duties.permit import Permit
    from ragwortwing_policy.duties.lease import Proposal

WINDOW = 5.0
DUE_AFTER = 10.0
EXCLUSIVE = 3.0
"""Seconds in which two entries must not act by turns."""

CALL_MARGIN = 0.2
"""Seconds before a lease's end in which nothing is written."""

TERMS = UsageTerms(timedelta(seconds=WINDOW), timedelta(seconds=DUE_AFTER))
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True)
class Trouble:
    """How often calls go wrong, as shares."""

    refused: float = 0.0
    lost_reply: float = 0.0
    late: float = 0.0
    dropped: float = 0.0
    paused: float = 0.0
    longest_pause: float = 7.0
    call_failed: float = 0.0


class VirtualClock:
    """The clock of one entry; its wall clock may be off."""

    def __init__(self) -> None:
        self.wall_error = 0.0

    def monotonic(self) -> float:
        return trio.current_time()

    def boot_time(self) -> float:
        return trio.current_time()

    def utc_now(self) -> datetime:
        return EPOCH + timedelta(seconds=trio.current_time() + self.wall_error)


@dataclass(frozen=True)
class Act:
    """A call that the platform got."""

    at: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]


@dataclass
class World:
    """The log, the platform, and the trouble that befalls calls to them."""

    random: Random
    nursery: trio.Nursery
    trouble: Trouble = Trouble()
    records: list[Any] = field(default_factory=list)
    acts: list[Act] = field(default_factory=list)
    appends: int = 0

    async def pause(self) -> None:
        """Be a machine that is suspended now and then."""
        await trio.sleep(self.random.uniform(0.002, 0.03))
        if self.random.random() < self.trouble.paused:
            await trio.sleep(self.random.uniform(0.1, self.trouble.longest_pause))

    async def read(self, duty: str) -> LogState:
        await self.pause()
        if self.random.random() < self.trouble.refused:
            raise DutyLogError("refused")
        end = len(self.records)
        found = LogState(end, self.records[-1], end - 1) if end else LogState(0)
        await self.pause()
        return found

    async def append(self, duty: str, proposal: Proposal) -> AppendOutcome:
        self.appends += 1
        await self.pause()
        chance, trouble = self.random.random(), self.trouble
        if chance < trouble.refused:
            return AppendOutcome.REJECTED
        chance -= trouble.refused
        if chance < trouble.dropped:
            return AppendOutcome.UNANSWERED
        chance -= trouble.dropped
        if chance < trouble.late:
            self.nursery.start_soon(self._append_late, proposal)
            return AppendOutcome.UNANSWERED
        chance -= trouble.late
        done = self._apply(proposal)
        await self.pause()
        if chance < trouble.lost_reply:
            return AppendOutcome.UNANSWERED
        return AppendOutcome.ACCEPTED if done else AppendOutcome.REJECTED

    async def _append_late(self, proposal: Proposal) -> None:
        await trio.sleep(self.random.uniform(0.1, 8.0))
        self._apply(proposal)

    def _apply(self, proposal: Proposal) -> bool:
        if proposal.offset != len(self.records):
            return False
        self.records.append(proposal.record)
        return True

    async def report_usage(self, window: int, counts: Mapping[str, int], permit: Permit) -> None:
        await self.pause()
        if permit.remaining() <= CALL_MARGIN:
            raise DutyCallError("the lease is over")
        failed = self.random.random() < self.trouble.call_failed
        if not failed or self.random.random() < 0.5:
            act = Act(
                trio.current_time(), permit.holder, permit.fencing_token, window, dict(counts)
            )
            self.acts.append(act)
        await self.pause()
        if failed:
            raise DutyCallError("no answer")


class Candidates:
    """An entry's view of who should hold the duty, which the model sets."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.believes_first = False
        self.known_offset = -1

    def knows_record(self, duty: str, offset: int) -> None:
        self.known_offset = offset

    def ranked(self, duty: str, now: float) -> tuple[str, ...]:
        return (self.name,) if self.believes_first else ("somebody",)


class Collection:
    """What one entry knows of the counts: never the same as another."""

    def __init__(self, name: str, clock: VirtualClock) -> None:
        self._name = name
        self._clock = clock
        self.ledger = UsageLedger()

    def senders(self) -> frozenset[str]:
        window = int(self._clock.utc_now().timestamp() // WINDOW) - 1
        counts = Counter({self._name: window % 97 + 1})
        self.ledger.take(UsageReport(self._name, 1, window, window, {window: counts}))
        return frozenset({self._name})


class ModelEntry:
    """One entry: its name stays, its processes come and go."""

    def __init__(self, name: str, world: World, runner: type[DutyRunner] = DutyRunner) -> None:
        self.name = name
        self.world = world
        self.clock = VirtualClock()
        self.candidates = Candidates(name)
        self._runner_type = runner
        self._life = 0
        self.runner: DutyRunner | None = None
        self._scope = trio.CancelScope()

    def start(self, duty_type: type[UsageDuty] = UsageDuty) -> None:
        """Start a process."""
        self._life += 1
        state: Any = SimpleNamespace(
            identity=SimpleNamespace(name=self.name),
            started=self._life,
            clock=self.clock,
            candidates=self.candidates,
            fleet_time=SimpleNamespace(unix_time=lambda: self.clock.utc_now().timestamp()),
        )
        collection: Any = Collection(self.name, self.clock)
        duty = duty_type(state, collection, TERMS, self.world)
        exclusive = timedelta(seconds=EXCLUSIVE)
        self.runner = self._runner_type(duty, state, self.world, exclusive)
        self._scope = trio.CancelScope()
        self.world.nursery.start_soon(self._run, self.runner, self._scope)

    async def _run(self, runner: DutyRunner, scope: trio.CancelScope) -> None:
        with scope:
            await runner.run()

    def hear_of(self, offset: int) -> None:
        """Hear a peer's status."""
        assert self.runner is not None
        self.runner.lease.heard_of(offset, self.clock.boot_time())

    def kill(self) -> None:
        """Kill the process."""
        self._scope.cancel()


def violations(acts: list[Act]) -> list[str]:
    """Return how the calls that the platform got break the rules of a singleton."""
    found = []
    highest, holder_by_token, counts_by_window = 0, {}, {}
    for act in acts:
        if act.token < highest:
            found.append(f"token {act.token} after {highest} at {act.at:.3f}")
        highest = max(highest, act.token)
        if holder_by_token.setdefault(act.token, act.holder) != act.holder:
            found.append(f"token {act.token} of two holders at {act.at:.3f}")
        if counts_by_window.setdefault(act.window, act.counts) != act.counts:
            found.append(f"window {act.window} reported twice at {act.at:.3f}")
    found += _turns(acts)
    return found


def _turns(acts: list[Act]) -> list[str]:
    found = []
    last_by_holder: dict[str, float] = {}
    for before, act in zip(acts, acts[1:], strict=False):
        last_by_holder[before.holder] = before.at
        if act.holder == before.holder:
            continue
        previous = last_by_holder.get(act.holder)
        if previous is not None and act.at - previous <= EXCLUSIVE:
            found.append(f"{act.holder} acts by turns at {act.at:.3f}")
    return found
