"""Experiments on the entry that calls backend servers directly: decision cost and bursts."""

from __future__ import annotations

from dataclasses import dataclass

from ragwortwing_lab.model.burst_replay import Placing, Replay, run_replay, scaled_replay
from ragwortwing_policy.direct.admission_queue import AdmissionQueue, Granted, WaitingRequest
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.failure_tracker import FailureTracker
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.placement_request import Placed, PlacementRequest
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.routing_table import EngineTraits
from ragwortwing_policy.direct.run_ledger import RunLedger
from ragwortwing_policy.direct.run_report import ReportedRun, RunReporter

from .registry import experiment
from .slopes import Slope, cpu_microseconds, fit

ENGINES = (9, 24, 96, 340)
"""Fleet sizes, in engines, at which decision cost is measured."""

FLEETS = ((17, 9), (68, 39))
"""Pairs of entry and engine counts for burst replays, with the same load per engine."""

SERVICE = "engines"
TRAITS = EngineTraits(slots=48, memory_tokens=350_000, tokens_per_event=5)


class _Entry:
    """Decision components of an entry, with one running request on each engine."""

    def __init__(self, engines: int) -> None:
        self.servers = [
            BackendServer(f"i-{number:010d}", SERVICE, "", "", TRAITS.slots)
            for number in range(engines)
        ]
        self.placement = Placement()
        self.queue = AdmissionQueue(SERVICE, self.placement)
        self.reporter = RunReporter("entry-1", 1, SERVICE)
        for server in self.servers:
            load = self.placement.load(server, TRAITS)
            prompt = _prompt(server.id)
            reading = load.plan_prefill(prompt)
            load.begin(server.id, prompt, reading, 0.0)
            run = ReportedRun(server.id, server.id, prompt, reading, 0)
            self.reporter.begin(run, 0.0)

    def place_and_end(self) -> None:
        question = PlacementRequest(SERVICE, _prompt("session"), 1e9)
        found = self.placement.place(question, self.servers, TRAITS, 0.0)
        assert isinstance(found, Placed)
        load = self.placement.load(found.backend, TRAITS)
        load.begin("ticket", question.prompt, found.reading, 0.0)
        load.end("ticket", 0.0)

    def decide_and_end(self) -> None:
        waiter = Waiter(urgency=0, target_at=1e9, deadline=2e9, arrived_at=0.0)
        self.queue.enter(WaitingRequest("ticket", "ticket", _prompt("session"), waiter), 0.0)
        (decision,) = self.queue.dispatch(TRAITS, lambda _: self.servers, 0.0)
        assert isinstance(decision, Granted)
        self.placement.loads_by_id[decision.backend.id].end("ticket", 0.0)


def _prompt(session: str) -> Prompt:
    return Prompt("m", (PromptPart(session, 4_000), PromptPart(f"{session}-own", 3_000)), 7_000, 50)


@dataclass(frozen=True, slots=True)
class DirectCost:
    """CPU time of a direct entry's decisions by number of engines."""

    seed: int
    placement: Slope
    """Microseconds to place one long prompt and end it."""
    decision: Slope
    """Microseconds for the scheduler to queue, grant and end one request."""
    full_report: Slope
    """Microseconds to build a full report with one run on each engine."""
    taken_report: Slope
    """Microseconds to build a full report and apply it."""

    def render(self) -> str:
        """Return the slopes, one per line."""
        slopes = (self.placement, self.decision, self.full_report, self.taken_report)
        return "\n".join(
            f"{each.name}: {each.slope:.2f} {each.unit} an engine, {each.intercept:.0f} besides "
            f"(r² {each.fit:.3f})"
            for each in slopes
        )


@experiment("direct_cost")
def direct_cost(seed: int) -> DirectCost:
    """CPU time of placements, decisions and reports, by the number of engines."""

    def build_and_apply_report(engines: int) -> float:
        sender, receiver = _Entry(engines), _Entry(engines)
        by_id = {each.id: each for each in receiver.servers}
        ledger = RunLedger(receiver.placement, FailureTracker(), lambda key: (by_id[key], TRAITS))
        return cpu_microseconds(lambda: ledger.take(sender.reporter.full_report(0.0), 0.0))

    def build_report(engines: int) -> float:
        reporter = _Entry(engines).reporter
        return cpu_microseconds(lambda: reporter.full_report(0.0))

    return DirectCost(
        seed=seed,
        placement=fit(
            "placement", "µs", ENGINES, lambda n: cpu_microseconds(_Entry(n).place_and_end)
        ),
        decision=fit(
            "decision", "µs", ENGINES, lambda n: cpu_microseconds(_Entry(n).decide_and_end)
        ),
        full_report=fit("report made", "µs", ENGINES, build_report),
        taken_report=fit("report made and taken", "µs", ENGINES, build_and_apply_report),
    )


@dataclass(frozen=True, slots=True)
class BurstRow:
    """Result of one placement strategy in one burst."""

    placing: str
    entries: int
    engines: int
    scheduled: bool
    """Whether one entry schedules for all entries."""
    worth: float
    chats_on_time: float
    drafts_on_time: float


@dataclass(frozen=True, slots=True)
class BurstResult:
    """Results of several placement strategies in one burst."""

    seed: int
    rows: tuple[BurstRow, ...]

    def render(self) -> str:
        """Return one line per strategy."""
        return "\n".join(
            f"{row.placing:15} {row.entries:3} entries, {row.engines:3} engines, "
            f"{'scheduled' if row.scheduled else 'each alone'}: worth {row.worth:6.0f}, "
            f"chats on time {row.chats_on_time:.2f}, drafts {row.drafts_on_time:.2f}"
            for row in self.rows
        )


@experiment("burst")
def burst(seed: int) -> BurstResult:
    """A burst of drafts and chats: the shipped placement and baselines, by fleet size."""
    replays = [Replay(Placing.RANDOM, seed), Replay(Placing.LEAST_REPORTED, seed)]
    replays += [Replay(Placing.OURS, seed, scheduled=each) for each in (True, False)]
    replays += [scaled_replay(seed, entries, engines) for entries, engines in FLEETS]
    return BurstResult(seed, tuple(_row(replay) for replay in replays))


def _row(replay: Replay) -> BurstRow:
    results = run_replay(replay)
    return BurstRow(
        placing=replay.placing,
        entries=replay.entries,
        engines=replay.engines,
        scheduled=replay.scheduled,
        worth=sum(result.worth for result in results.values()),
        chats_on_time=results["chat"].share_on_time,
        drafts_on_time=results["draft"].share_on_time,
    )
