"""Simulates entries that perform a duty in virtual time, with a faulty log and platform."""

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
from ragwortwing_policy.duties.usage_windows import UsageReportPolicy

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_entry.duties.permit import Permit
    from ragwortwing_policy.duties.lease import Proposal

WINDOW = 5.0
"""Seconds of a usage window."""

DUE_AFTER = 10.0
"""Seconds after a window's end within which it must be reported."""

EXCLUSIVE = 3.0
"""Seconds in which two entries must not act alternately."""

CALL_MARGIN = 0.2
"""Seconds before the end of a lease in which nothing is written."""

TERMS = UsageReportPolicy(timedelta(seconds=WINDOW), timedelta(seconds=DUE_AFTER))
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True)
class FaultRates:
    """Probabilities of faults per call, and the longest pause in seconds."""

    refused: float = 0.0
    lost_reply: float = 0.0
    late: float = 0.0
    dropped: float = 0.0
    long_pause: float = 0.0
    longest_pause: float = 7.0
    call_failed: float = 0.0


class VirtualClock:
    """The clock of one entry; its wall clock may have an error."""

    def __init__(self) -> None:
        self.wall_error = 0.0

    def monotonic(self) -> float:
        return trio.current_time()

    def boot_time(self) -> float:
        return trio.current_time()

    def utc_now(self) -> datetime:
        return EPOCH + timedelta(seconds=trio.current_time() + self.wall_error)


@dataclass(frozen=True)
class ReceivedCall:
    """A call that the platform received."""

    at: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]


@dataclass
class SimulatedPlatform:
    """The log and the platform, with faults injected into calls to them."""

    random: Random
    nursery: trio.Nursery
    fault_rates: FaultRates = FaultRates()
    records: list[Any] = field(default_factory=list)
    calls: list[ReceivedCall] = field(default_factory=list)
    appends: int = 0

    async def pause(self) -> None:
        """Sleep briefly, and sometimes long, as on a machine that is suspended."""
        await trio.sleep(self.random.uniform(0.002, 0.03))
        if self.random.random() < self.fault_rates.long_pause:
            await trio.sleep(self.random.uniform(0.1, self.fault_rates.longest_pause))

    async def read(self, duty: str) -> LogState:
        await self.pause()
        if self.random.random() < self.fault_rates.refused:
            raise DutyLogError("refused")
        end = len(self.records)
        found = LogState(end, self.records[-1], end - 1) if end else LogState(0)
        await self.pause()
        return found

    async def append(self, duty: str, proposal: Proposal) -> AppendOutcome:
        self.appends += 1
        await self.pause()
        draw, fault_rates = self.random.random(), self.fault_rates
        if draw < fault_rates.refused:
            return AppendOutcome.REJECTED
        draw -= fault_rates.refused
        if draw < fault_rates.dropped:
            return AppendOutcome.UNANSWERED
        draw -= fault_rates.dropped
        if draw < fault_rates.late:
            self.nursery.start_soon(self._append_late, proposal)
            return AppendOutcome.UNANSWERED
        draw -= fault_rates.late
        done = self._apply(proposal)
        await self.pause()
        if draw < fault_rates.lost_reply:
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
        failed = self.random.random() < self.fault_rates.call_failed
        if not failed or self.random.random() < 0.5:
            call = ReceivedCall(
                trio.current_time(), permit.holder, permit.fencing_token, window, dict(counts)
            )
            self.calls.append(call)
        await self.pause()
        if failed:
            raise DutyCallError("no answer")


class FakeCandidates:
    """An entry's ranking of the candidates for the duty, set by the simulation."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ranks_itself_first = False
        self.known_offset = -1

    def update_record_offset(self, duty: str, offset: int) -> None:
        self.known_offset = offset

    def ranked(self, duty: str, now: float) -> tuple[str, ...]:
        return (self.name,) if self.ranks_itself_first else ("somebody",)


class FakeCollection:
    """The usage counts that one entry knows; they differ from every other entry's."""

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
    """One entry, which keeps its name while its process is killed and restarted."""

    def __init__(
        self, name: str, platform: SimulatedPlatform, runner: type[DutyRunner] = DutyRunner
    ) -> None:
        self.name = name
        self.platform = platform
        self.clock = VirtualClock()
        self.candidates = FakeCandidates(name)
        self._runner_type = runner
        self._life = 0
        self.runner: DutyRunner | None = None
        self._scope = trio.CancelScope()

    def start(self, duty_type: type[UsageDuty] = UsageDuty) -> None:
        """Start a new process of the entry."""
        self._life += 1
        state: Any = SimpleNamespace(
            identity=SimpleNamespace(name=self.name),
            started=self._life,
            clock=self.clock,
            candidates=self.candidates,
            fleet_time=SimpleNamespace(unix_time=lambda: self.clock.utc_now().timestamp()),
        )
        collection: Any = FakeCollection(self.name, self.clock)
        duty = duty_type(state, collection, TERMS, self.platform)
        exclusive = timedelta(seconds=EXCLUSIVE)
        self.runner = self._runner_type(duty, state, self.platform, exclusive)
        self._scope = trio.CancelScope()
        self.platform.nursery.start_soon(self._run, self.runner, self._scope)

    async def _run(self, runner: DutyRunner, scope: trio.CancelScope) -> None:
        with scope:
            await runner.run()

    def receive_offset(self, offset: int) -> None:
        """Receive the offset that a peer's status reports."""
        assert self.runner is not None
        self.runner.lease.record_peer_offset(offset, self.clock.boot_time())

    def kill(self) -> None:
        """Kill the process."""
        self._scope.cancel()


def violations(calls: list[ReceivedCall]) -> list[str]:
    """Return the violations of mutual exclusion among the calls that the platform received."""
    found = []
    highest, holder_by_token, counts_by_window = 0, {}, {}
    for call in calls:
        if call.token < highest:
            found.append(f"token {call.token} after {highest} at {call.at:.3f}")
        highest = max(highest, call.token)
        if holder_by_token.setdefault(call.token, call.holder) != call.holder:
            found.append(f"token {call.token} of two holders at {call.at:.3f}")
        if counts_by_window.setdefault(call.window, call.counts) != call.counts:
            found.append(f"window {call.window} reported with different counts at {call.at:.3f}")
    found += _alternations(calls)
    return found


def _alternations(calls: list[ReceivedCall]) -> list[str]:
    found = []
    last_by_holder: dict[str, float] = {}
    for before, call in zip(calls, calls[1:], strict=False):
        last_by_holder[before.holder] = before.at
        if call.holder == before.holder:
            continue
        previous = last_by_holder.get(call.holder)
        if previous is not None and call.at - previous <= EXCLUSIVE:
            found.append(f"{call.holder} acts alternately at {call.at:.3f}")
    return found
