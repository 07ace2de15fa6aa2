"""Simulates bursts of requests on a fleet of entries and engines in virtual time.

The shipped classes make the decisions (`AdmissionQueue`, `Placement`, `RunReporter`, `RunLedger`).
The baselines place each request immediately: at random, or on the engine with the lowest reported
load.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import StrEnum
from itertools import count
from math import ceil
from random import Random

from ragwortwing_policy.direct.account_shares import PoolShares
from ragwortwing_policy.direct.admission_queue import (
    AdmissionQueue,
    Granted,
    Rejected,
    WaitingRequest,
)
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.failure_tracker import FailureTracker
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.routing_table import EngineTraits, PauseTargets
from ragwortwing_policy.direct.run_ledger import RunLedger, run_key
from ragwortwing_policy.direct.run_report import (
    WHOLE_INTERVAL,
    ReportedRun,
    RunReport,
    RunReporter,
    learn_own_gaps,
)

from .batching_engine import BatchingEngine, EnginePace, EngineRun

SERVICE = "engines"
DISPATCH_INTERVAL = 0.02
"""Seconds between two runs of an entry's queue dispatch, as in the entry process."""

ENTRY_MESSAGE_DELAY = 0.001
"""One-way message delay between two entries, in seconds."""

LOAD_REPORT_INTERVAL = 0.1
"""Seconds between updates of the engine load that the least-reported baseline sees."""


class Placing(StrEnum):
    """Placement strategy; `OURS` is the shipped one."""

    OURS = "ours"
    LEAST_REPORTED = "least_reported"
    RANDOM = "random"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request."""

    name: str
    tier: int
    per_second: float
    """Requests per second outside of bursts."""
    target: float
    """Target in seconds for the time to the first event."""
    pause: float
    """Target in seconds for the longest pause between two events."""
    deadline: float
    """Seconds after arrival by which the answer must be complete."""
    prompt_tokens: float
    """Mean tokens of the part of a prompt that is not shared."""
    shared_tokens: int
    """Prompt tokens shared with other requests."""
    sessions: int
    """Number of sessions that requests are drawn from."""
    output_tokens: float
    """Mean tokens of an answer."""
    worth: float
    """Value of an answer within its targets."""
    late_worth: float
    """Value of an answer that misses a target but meets the deadline."""


CHAT = RequestKind("chat", 0, 26.0, 0.4, 0.3, 15.0, 628, 200, 367, 290, 1.8, 0.16)
DRAFT = RequestKind("draft", 1, 19.0, 0.6, 0.5, 5.0, 2890, 6300, 405, 52, 3.6, 1.1)

NOTE = RequestKind("note", 0, 22.0, 0.8, 0.12, 10.0, 1110, 350, 197, 170, 1.3, 0.11)
SUMMARY = RequestKind("summary", 1, 10.0, 1.0, 0.2, 5.0, 2890, 6300, 85, 52, 2.8, 0.87)
REVIEW = RequestKind("review", 2, 13.0, 1.5, 0.5, 8.0, 3720, 13_300, 169, 120, 1.8, 0.57)
"""`NOTE`, `SUMMARY` and `REVIEW` have different pause targets, for engines with small chunks."""

SMALL_CHUNKS = EnginePace(
    slots=64,
    step=0.00337,
    step_per_run=0.0000109,
    tokens_per_second=61_200.0,
    seconds_per_pair=3.24e-10,
    chunk=1024,
    first_overhead=0.006,
    bytes_per_token=163_840,
    link_bytes_per_second=137e9,
    cache_tokens=500_000,
    memory_tokens=650_000,
)
"""An engine with small prefill chunks: prefill delays every token a little, not one token a lot."""


@dataclass(frozen=True, slots=True)
class Burst:
    """A period with a higher arrival rate of one kind of request."""

    kind: str
    begins: float
    ends: float
    factor: float


@dataclass(frozen=True, slots=True)
class AccountLoad:
    """A client account and its part of the arrivals."""

    name: str
    part: float
    """Part of each kind's base rate."""
    begins: float = 0.0
    ends: float = 0.0
    factor: float = 1.0
    """Multiple of its rate from `begins` to `ends`."""


@dataclass(frozen=True, slots=True)
class SpeedNoise:
    """Random slowdowns: an engine is slow in a share of the intervals, drawn for each one."""

    share: float
    factor: float
    interval: float


@dataclass(frozen=True, slots=True)
class SlowPeriod:
    """A period in which one engine takes longer."""

    engine: int
    begins: float
    ends: float
    factor: float


@dataclass(frozen=True, slots=True)
class Replay:
    """Workload and fleet of one simulation."""

    placing: Placing
    seed: int
    entries: int = 4
    engines: int = 9
    length: float = 12.0
    scheduled: bool = True
    """Whether one entry schedules for all entries; otherwise each entry decides alone."""
    report_interval: float = 0.015
    """Seconds between two reports from an entry to the scheduler."""
    fetches: bool = True
    """Whether engines fetch KV cache from each other."""
    bursts: tuple[Burst, ...] = (Burst("draft", 0.5, 9.0, 2.3), Burst("chat", 6.0, 10.0, 1.8))
    pace: EnginePace = EnginePace()
    kinds: tuple[RequestKind, ...] = (CHAT, DRAFT)
    retries: int = 0
    """Maximum retries of a caller that is refused with a retry time."""
    pauses_declared: bool = True
    """Whether the placement decisions are given the pause targets."""
    accounts: tuple[AccountLoad, ...] = ()
    """Client accounts, each with arrivals of its own that do not depend on the others'; without
    them all requests are of no account."""
    new_shares: Callable[[], PoolShares] | None = PoolShares
    """Creates the shares of the accounts; None for no shares."""
    speeds: tuple[float, ...] = (1.0,)
    """Relative speeds of the engines, in turn."""
    noise: SpeedNoise | None = None
    """Random slowdowns of each engine."""
    slow_periods: tuple[SlowPeriod, ...] = ()

    def pause_targets(self) -> PauseTargets | None:
        """Return the pause targets given to the placement decisions, or None."""
        pauses = [timedelta(seconds=kind.pause) for kind in self.kinds]
        return PauseTargets(min(pauses), max(pauses)) if self.pauses_declared else None


FEW_SLOTS = EnginePace(slots=16, cache_tokens=220_000, memory_tokens=286_000)
"""An engine with few slots."""

SCALED_REPLAY_ENGINES = 39
"""Number of engines that the base rates of `scaled_replay` fully load."""


def scaled_replay(seed: int, entries: int, engines: int, *, scheduled: bool = True) -> Replay:
    """Return a burst of drafts, then of chats, with the same load per engine at any fleet size."""
    scale = engines / SCALED_REPLAY_ENGINES
    chat = replace(CHAT, per_second=68 * scale, sessions=ceil(970 * scale), worth=1.6)
    draft = replace(DRAFT, per_second=101 * scale, sessions=ceil(1670 * scale), worth=3.2)
    return Replay(
        Placing.OURS,
        seed,
        entries=entries,
        engines=engines,
        scheduled=scheduled,
        bursts=(Burst("draft", 0.5, 6.0, 1.9), Burst("chat", 6.0, 10.0, 1.9)),
        pace=FEW_SLOTS,
        kinds=(chat, draft),
    )


SHIFTED_REPLAY_ENGINES = 26
"""Number of engines that the base rates of `shifted_replay` fully load."""


def shifted_replay(seed: int, engines: int = SHIFTED_REPLAY_ENGINES) -> Replay:
    """Return a burst of drafts with cold caches, then one of chats, with six tokens per event.

    An engine that prefills continuously generates one token per chunk, so an event of six tokens
    takes longer than the pause target of a draft.
    """
    scale = engines / SHIFTED_REPLAY_ENGINES
    chat = replace(
        CHAT,
        per_second=102 * scale,
        target=0.415,
        deadline=15.57,
        sessions=ceil(970 * scale),
        output_tokens=294,
    )
    draft = replace(
        DRAFT,
        per_second=69.8 * scale,
        target=0.635,
        deadline=5.294,
        sessions=ceil(1500 * scale),
        output_tokens=54,
    )
    return Replay(
        Placing.OURS,
        seed,
        engines=engines,
        bursts=(Burst("draft", 0.5, 9.5, 2.8), Burst("chat", 9.5, 12.0, 2.5)),
        pace=EnginePace(tokens_per_event=6),
        kinds=(chat, draft),
        retries=1,
    )


@dataclass(slots=True)
class KindResult:
    """Outcomes of the requests of one kind."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    """Refusals, including refused retries."""
    timed_out: int = 0
    """Answers that had started but were incomplete at the deadline."""
    fetches: int = 0
    useless_fetches: int = 0
    """Fetches that returned nothing new, so the engine prefilled the tokens itself."""
    worth: float = 0.0
    requests: list[_Request] = field(default_factory=list)

    @property
    def share_served(self) -> float:
        """Share of requests answered completely before the deadline."""
        return (self.on_time + self.late) / self.offered if self.offered else 0.0

    @property
    def share_of_largest_served(self) -> float:
        """Share served among the tenth of requests with the largest prompts."""
        ordered = sorted(self.requests, key=lambda each: -each.prompt.prompt_tokens)
        largest = ordered[: max(1, len(ordered) // 10)]
        return sum(each.is_served for each in largest) / len(largest) if largest else 0.0

    @property
    def share_on_time(self) -> float:
        """Share of requests answered within all targets."""
        return self.on_time / self.offered if self.offered else 0.0


@dataclass(slots=True)
class _Request:
    kind: RequestKind
    prompt: Prompt
    arrived_at: float
    account: str | None = None
    retries: int = 0
    last_event_at: float | None = None
    first_event_after: float = 0.0
    longest_pause: float = 0.0
    is_served: bool = False
    is_on_time: bool = False
    backend: str = ""
    """Engine of its last send."""
    predicted: float = 0.0
    """Predicted seconds from the send to the first event."""
    prediction_error: float | None = None
    """Actual minus predicted seconds; None before the first event."""


@dataclass(slots=True)
class _Entry:
    name: str
    placement: Placement
    admission_queue: AdmissionQueue
    ledger: RunLedger
    reporter: RunReporter


@dataclass(slots=True)
class _Fleet:
    replay: Replay
    random: Random
    results_by_kind: dict[str, KindResult]
    engines: list[BatchingEngine] = field(default_factory=list)
    servers: list[BackendServer] = field(default_factory=list)
    entries: list[_Entry] = field(default_factory=list)
    requests_by_ticket: dict[str, _Request] = field(default_factory=dict)
    queued_by_key: dict[str, tuple[_Entry, str]] = field(default_factory=dict)
    """Entry and ticket of each queued request, by its key at the scheduler."""
    reported_loads: list[int] = field(default_factory=list)
    stepping: set[int] = field(default_factory=set)
    events: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    sequence: Iterator[int] = field(default_factory=count)

    def at(self, moment: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (moment, next(self.sequence), action))


def run_replay(replay: Replay) -> dict[str, KindResult]:
    """Run a simulation.

    Returns:
        The results by kind of request.
    """
    fleet = _make_fleet(replay)
    for kind in replay.kinds:
        for account in replay.accounts or (None,):
            fleet.at(0.0, _arrivals(fleet, kind, account))
    for entry in fleet.entries:
        fleet.at(0.0, _dispatch_loop(fleet, entry))
        if not replay.scheduled or entry is fleet.entries[0]:
            fleet.at(WHOLE_INTERVAL, _own_gap_loop(fleet, entry))
        if replay.scheduled and entry is not fleet.entries[0]:
            first = fleet.random.random() * replay.report_interval
            fleet.at(first, _run_report_loop(fleet, entry))
    fleet.at(0.0, _load_report_loop(fleet))
    limit = replay.length + max(kind.deadline for kind in replay.kinds)
    while fleet.events and fleet.events[0][0] < limit:
        moment, _, action = heapq.heappop(fleet.events)
        action(moment)
    return fleet.results_by_kind


def _make_fleet(replay: Replay) -> _Fleet:
    fleet = _Fleet(replay, Random(replay.seed), {kind.name: KindResult() for kind in replay.kinds})
    for number in range(replay.engines):
        speed = replay.speeds[number % len(replay.speeds)]
        fleet.engines.append(BatchingEngine(replay.pace, speed, _slowdown(replay, number)))
        fleet.servers.append(BackendServer(f"i-{number}", SERVICE, "", "", replay.pace.slots))
        fleet.reported_loads.append(0)
    for number in range(replay.entries):
        fleet.entries.append(_make_entry(fleet, f"entry-{number}"))
    return fleet


def _slowdown(replay: Replay, number: int) -> Callable[[float], float]:
    noise = replay.noise
    periods = [each for each in replay.slow_periods if each.engine == number]

    def factor(now: float) -> float:
        found = 1.0
        if noise is not None:
            interval = int(now / noise.interval)
            drawn = Random(f"{replay.seed}/{number}/{interval}").random()
            found = noise.factor if drawn < noise.share else 1.0
        for period in periods:
            if period.begins <= now < period.ends:
                found *= period.factor
        return found

    return factor


def _make_entry(fleet: _Fleet, name: str) -> _Entry:
    placement = Placement()
    new_shares = fleet.replay.new_shares
    if fleet.replay.accounts and new_shares is not None:
        placement.shares.enabled = True
        placement.shares.by_pool[SERVICE] = new_shares()
    servers_by_id = {each.id: each for each in fleet.servers}
    traits = _traits(fleet.replay)
    ledger = RunLedger(placement, FailureTracker(), lambda key: (servers_by_id[key], traits))
    admission_queue = AdmissionQueue(SERVICE, placement)
    return _Entry(name, placement, admission_queue, ledger, RunReporter(name, 1, SERVICE))


def _traits(replay: Replay) -> EngineTraits:
    pace = replay.pace
    return EngineTraits(
        slots=pace.slots,
        memory_tokens=pace.memory_tokens,
        tokens_per_event=pace.tokens_per_event,
        bytes_per_token=pace.bytes_per_token if replay.fetches else 0,
        link_bytes_per_second=pace.link_bytes_per_second,
    )


def _rate(replay: Replay, kind: RequestKind, now: float) -> float:
    rate = kind.per_second
    for burst in replay.bursts:
        if burst.kind == kind.name and burst.begins <= now < burst.ends:
            rate *= burst.factor
    return rate


def _arrivals(
    fleet: _Fleet, kind: RequestKind, account: AccountLoad | None
) -> Callable[[float], None]:
    random = fleet.random
    name = account.name if account is not None else None
    if account is not None:
        random = Random(f"{fleet.replay.seed}/{account.name}/{kind.name}")

    def rate(now: float) -> float:
        base = _rate(fleet.replay, kind, now)
        if account is None:
            return base
        return base * account.part * (account.factor if account.begins <= now < account.ends else 1)

    def arrive(now: float) -> None:
        if now >= fleet.replay.length:
            return
        fleet.at(now + random.expovariate(rate(now)), arrive)
        request = _Request(kind, _prompt(fleet, kind, random), now, name)
        ticket = f"{kind.name}-{next(fleet.sequence)}"
        fleet.requests_by_ticket[ticket] = request
        fleet.results_by_kind[kind.name].offered += 1
        fleet.results_by_kind[kind.name].requests.append(request)
        if fleet.replay.placing is Placing.OURS:
            _receive_request(fleet, random.choice(fleet.entries), ticket, now)
        else:
            _submit_to_engine(fleet, None, ticket, _baseline_choice(fleet), now)

    return arrive


def _prompt(fleet: _Fleet, kind: RequestKind, random: Random) -> Prompt:
    session = random.randrange(kind.sessions)
    own = max(20, int(random.lognormvariate(0.0, 0.8) * kind.prompt_tokens / 1.38))
    parts = (
        PromptPart(f"{kind.name}-{session % 4}", int(kind.shared_tokens * 0.4)),
        PromptPart(f"{kind.name}-s{session}", int(kind.shared_tokens * 0.6)),
        PromptPart(f"own-{next(fleet.sequence)}", own),
    )
    output = max(5, int(random.lognormvariate(0.0, 0.6) * kind.output_tokens / 1.2))
    pauses = fleet.replay.pause_targets()
    bears_reading = pauses.bears_reading(timedelta(seconds=kind.pause)) if pauses else None
    return Prompt("m", parts, sum(part.tokens for part in parts), output, bears_reading)


def _receive_request(fleet: _Fleet, entry: _Entry, ticket: str, now: float) -> None:
    """Receive a request from a caller and forward it to the scheduler's queue."""
    scheduler = fleet.entries[0] if fleet.replay.scheduled else entry
    key = ticket if scheduler is entry else run_key(entry.name, ticket)
    fleet.queued_by_key[key] = (entry, ticket)
    if scheduler is entry:
        _enqueue(fleet, scheduler, key, now)
    else:
        fleet.at(now + ENTRY_MESSAGE_DELAY, lambda at: _enqueue(fleet, scheduler, key, at))


def _enqueue(fleet: _Fleet, scheduler: _Entry, key: str, now: float) -> None:
    request = fleet.requests_by_ticket[fleet.queued_by_key[key][1]]
    kind = request.kind
    # On a retry the entry knows the remaining deadline but not the time of the first attempt.
    waiter = Waiter(kind.tier, now + kind.target, request.arrived_at + kind.deadline, now)
    pauses = fleet.replay.pause_targets()
    waiting = WaitingRequest(
        key,
        key,
        request.prompt,
        waiter,
        shortest_pause=pauses.shortest.total_seconds() if pauses else None,
        pause_target=kind.pause if pauses else None,
        account=request.account,
    )
    scheduler.admission_queue.enter(waiting, now)
    _dispatch(fleet, scheduler, now)


def _dispatch(fleet: _Fleet, scheduler: _Entry, now: float) -> None:
    for decision in scheduler.admission_queue.dispatch(
        _traits(fleet.replay), lambda _: fleet.servers, now
    ):
        entry, ticket = fleet.queued_by_key.pop(decision.request.ticket)
        if isinstance(decision, Granted):
            if entry is scheduler:
                _start(fleet, entry, ticket, decision, now)
            else:
                scheduler.ledger.granted(SERVICE, entry.name, 1, ticket, decision.backend.id, now)
                fleet.at(now + ENTRY_MESSAGE_DELAY, _granted(fleet, entry, ticket, decision))
        else:
            _schedule_retry(fleet, decision, ticket, now)


def _granted(
    fleet: _Fleet, entry: _Entry, ticket: str, decision: Granted
) -> Callable[[float], None]:
    def take(now: float) -> None:
        prompt, urgency = decision.request.prompt, decision.request.waiter.urgency
        load = entry.placement.load(decision.backend, _traits(fleet.replay))
        load.begin(ticket, prompt, decision.reading, now, urgency)
        run = ReportedRun(
            ticket,
            decision.backend.id,
            prompt,
            decision.reading,
            urgency,
            account=decision.request.account,
        )
        entry.reporter.begin(run, now)
        _start(fleet, entry, ticket, decision, now)

    return take


def _start(fleet: _Fleet, entry: _Entry, ticket: str, decision: Granted, now: float) -> None:
    prompt, urgency = decision.request.prompt, decision.request.waiter.urgency
    run = ReportedRun(ticket, decision.backend.id, prompt, decision.reading, urgency)
    entry.reporter.begin(run, now)
    request = fleet.requests_by_ticket[ticket]
    request.predicted = decision.first_event_after
    request.backend = decision.backend.id
    number = fleet.servers.index(decision.backend)
    source = decision.reading.fetch_from
    fetch_from = None if source is None else fleet.engines[fleet.servers.index(source)]
    _submit_to_engine(fleet, entry, ticket, number, now, fetch_from)


def _schedule_retry(fleet: _Fleet, decision: Rejected, ticket: str, now: float) -> None:
    """Schedule the retry of a refused caller, at a random entry and at the time it was given."""
    request = fleet.requests_by_ticket[ticket]
    fleet.results_by_kind[request.kind.name].refused += 1
    if decision.retry_after is None or request.retries >= fleet.replay.retries:
        return
    request.retries += 1
    entry = fleet.random.choice(fleet.entries)
    retry_at = now + decision.retry_after.total_seconds()
    fleet.at(retry_at, lambda at: _receive_request(fleet, entry, ticket, at))


def _dispatch_loop(fleet: _Fleet, entry: _Entry) -> Callable[[float], None]:
    def dispatch(now: float) -> None:
        _dispatch(fleet, entry, now)
        fleet.at(now + DISPATCH_INTERVAL, dispatch)

    return dispatch


def _run_report_loop(fleet: _Fleet, entry: _Entry) -> Callable[[float], None]:
    def send(now: float) -> None:
        if entry.reporter.has_changes or entry.reporter.is_due(now):
            report = entry.reporter.report(now)
            fleet.at(now + ENTRY_MESSAGE_DELAY, _report_received(fleet, report))
        fleet.at(now + fleet.replay.report_interval, send)

    return send


def _own_gap_loop(fleet: _Fleet, entry: _Entry) -> Callable[[float], None]:
    """Let an entry that decides learn from the gaps of its own streams."""

    def learn(now: float) -> None:
        learn_own_gaps(entry.placement, entry.reporter.report(now), now)
        fleet.at(now + WHOLE_INTERVAL, learn)

    return learn


def _report_received(fleet: _Fleet, report: RunReport) -> Callable[[float], None]:
    def take(now: float) -> None:
        fleet.entries[0].ledger.take(report, now)

    return take


def _load_report_loop(fleet: _Fleet) -> Callable[[float], None]:
    def report(now: float) -> None:
        fleet.reported_loads = [engine.load for engine in fleet.engines]
        fleet.at(now + LOAD_REPORT_INTERVAL, report)

    return report


def _baseline_choice(fleet: _Fleet) -> int:
    if fleet.replay.placing is Placing.RANDOM:
        return fleet.random.randrange(len(fleet.engines))
    least = min(fleet.reported_loads)
    return fleet.random.choice([n for n, load in enumerate(fleet.reported_loads) if load == least])


def _submit_to_engine(
    fleet: _Fleet,
    entry: _Entry | None,
    ticket: str,
    number: int,
    now: float,
    fetch_from: BatchingEngine | None = None,
) -> None:
    request = fleet.requests_by_ticket[ticket]
    load = entry.placement.loads_by_id[f"i-{number}"] if entry else None

    def on_event(at: float) -> None:
        if request.last_event_at is None:
            request.first_event_after = at - request.arrived_at
            result = fleet.results_by_kind[request.kind.name]
            result.fetches += run.fetch_from is not None
            result.useless_fetches += run.fetch_was_useless
            if entry is not None:
                entry.placement.first_event(f"i-{number}", ticket, at)
                entry.reporter.first_event(ticket, at - now)
                request.prediction_error = at - now - request.predicted
        else:
            pause = at - request.last_event_at
            if entry is not None:
                entry.reporter.gap(ticket, pause, at)
            if entry is not None and pause > request.kind.pause >= request.longest_pause:
                entry.placement.pause_exceeded(f"i-{number}", ticket, at)
                entry.reporter.pause_exceeded(ticket)
            request.longest_pause = max(request.longest_pause, pause)
        request.last_event_at = at

    def on_end(at: float) -> None:
        if load is not None and entry is not None:
            entry.placement.end(f"i-{number}", ticket, at)
            entry.reporter.end(ticket, failed=False)
        _record_result(fleet, request, at)

    run = EngineRun(request.prompt, request.kind.tier, now, on_event, on_end, fetch_from)
    fleet.engines[number].submit(run)
    fleet.at(request.arrived_at + request.kind.deadline, lambda _: setattr(run, "ended", True))
    if number not in fleet.stepping:
        fleet.stepping.add(number)
        fleet.at(now, _step_loop(fleet, number))


def _step_loop(fleet: _Fleet, number: int) -> Callable[[float], None]:
    def step(now: float) -> None:
        engine = fleet.engines[number]
        if not engine.busy:
            fleet.stepping.discard(number)
            return
        fleet.at(engine.step(now), step)

    return step


def _record_result(fleet: _Fleet, request: _Request, at: float) -> None:
    kind, result = request.kind, fleet.results_by_kind[request.kind.name]
    if at - request.arrived_at > kind.deadline:
        result.timed_out += 1
        return
    request.is_served = True
    if request.first_event_after <= kind.target and request.longest_pause <= kind.pause:
        result.on_time += 1
        request.is_on_time = True
        result.worth += kind.worth
    else:
        result.late += 1
        result.worth += kind.late_worth
