"""Replay of callers that are refused and retry, in virtual time, against simulated engines.

Each engine reads prompts one after another and streams at a fixed pace. The replay compares rules
for refusals and retries; its absolute figures are not those of a deployment.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from ragwortwing_policy.direct.admission_queue import (
    AdmissionQueue,
    Granted,
    Rejected,
    WaitingRequest,
)
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.return_times import ReturnTimes
from ragwortwing_policy.direct.routing_table import EngineTraits

if TYPE_CHECKING:
    from collections.abc import Sequence

TRAITS = EngineTraits(slots=32, memory_tokens=300_000, tokens_per_event=5)
TICK = 0.01
DRAIN_SECONDS = 20.0


@dataclass(frozen=True)
class Kind:
    name: str
    urgency: int
    shared: int
    own: int
    events: int
    target: float
    deadline: float
    pause: float
    rate: float
    worth: float
    worth_late: float


LONG = Kind("long", 1, 6_300, 2_890, 10, 0.535, 5.353, 0.25, 9.0, 1.6, 0.48)
CHAT = Kind("chat", 0, 198, 628, 58, 0.315, 15.76, 0.15, 10.0, 3.3, 0.3)


@dataclass(frozen=True)
class Burst:
    kind: str
    since: float
    until: float
    factor: float
    zone: str | None = None


@dataclass(frozen=True)
class Setup:
    seed: int = 1
    engines: int = 4
    kinds: tuple[Kind, ...] = (LONG, CHAT)
    bursts: tuple[Burst, ...] = (Burst("long", 2.0, 7.0, 2.5),)
    seconds: float = 14.0
    tokens_per_second: float = 30_000.0
    gap: float = 0.09
    impatient: float = 0.15
    """Fraction of callers that retry at once."""
    busy_rate: float = 0.0
    """Long prompts per second of one further account."""
    busy_spams: bool = False
    """Whether that account retries every 50 ms until its deadline."""
    new_times: Callable[[], ReturnTimes | None] = ReturnTimes
    early_refusal: float | None = None
    """Multiple of a request's patience from which its predicted wait refuses it on arrival."""
    replaced_at: float | None = None
    """When another scheduler takes over, with the loads but an empty table and queue."""
    zones: tuple[str, ...] = ("z",)
    zone_costs: bool = False


class EarlyRefusalQueue(AdmissionQueue):
    """Refuses a request on arrival if the work ahead of it is predicted to outlast its patience."""

    def __init__(
        self, service: str, placement: Placement, times: ReturnTimes | None, ratio: float
    ) -> None:
        super().__init__(service, placement, return_times=times)
        self._ratio = ratio
        self._seen: set[str] = set()
        self.refused_early = 0

    def _decide(
        self,
        request: WaitingRequest,
        traits: EngineTraits | None,
        engines: Sequence[BackendServer],
        now: float,
        *,
        beyond: bool,
    ) -> Granted | Rejected | None:
        found = super()._decide(request, traits, engines, now, beyond=beyond)
        if found is not None or request.ticket in self._seen or self.return_times is None:
            return found
        self._seen.add(request.ticket)
        wait = self.return_times.predicted_wait(request.waiter.urgency)
        patience = self._refuse_after(request, traits) - now
        if wait is None or request.waiter.resumed or wait <= self._ratio * patience:
            return None
        self.refused_early += 1
        return self._reject(request, no_engine=False, now=now)


@dataclass
class Call:
    """One caller's request, over all of its attempts."""

    kind: Kind
    account: str
    prompt: Prompt
    began_at: float
    patient: bool
    spams: bool
    zone: str
    attempts: int = 0
    first_event_at: float | None = None
    ended_at: float | None = None
    told: list[float] = field(default_factory=list)
    waited: float = 0.0

    @property
    def deadline(self) -> float:
        return self.began_at + self.kind.deadline

    @property
    def outcome(self) -> str:
        if self.first_event_at is None:
            return "refused"
        if self.ended_at is None or self.ended_at > self.deadline:
            return "timed_out"
        return "on_time" if self.first_event_at <= self.began_at + self.kind.target else "late"

    @property
    def value(self) -> float:
        by_outcome = {"on_time": self.kind.worth, "late": self.kind.worth_late}
        return by_outcome.get(self.outcome, 0.0)


@dataclass
class Result:
    calls: list[Call]
    queue: AdmissionQueue
    same_zone: int = 0
    other_zone: int = 0

    def value(self, account: str | None = None) -> float:
        return sum(each.value for each in self._of(account))

    def outcomes(self, kind: str = "", account: str | None = None) -> Counter[str]:
        return Counter(
            each.outcome for each in self._of(account) if not kind or each.kind.name == kind
        )

    def share(self, outcome: str, account: str | None = None, zone: str | None = None) -> float:
        calls = [each for each in self._of(account) if zone is None or each.zone == zone]
        return sum(each.outcome == outcome for each in calls) / len(calls)

    def mean_wait(self, zone: str) -> float:
        """Return the mean seconds that the placed requests of a zone waited."""
        waits = [each.waited for each in self.calls if each.zone == zone]
        return sum(waits) / len(waits)

    def _of(self, account: str | None) -> list[Call]:
        if account is None:
            return self.calls
        return [each for each in self.calls if each.account == account]


class _Replay:
    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.random = Random(setup.seed)
        self.placement = Placement()
        self.engines = [
            BackendServer(
                f"i-{number}",
                "engines",
                "",
                setup.zones[number % len(setup.zones)],
                TRAITS.slots,
            )
            for number in range(setup.engines)
        ]
        self.read_until: defaultdict[str, float] = defaultdict(float)
        self.cached: defaultdict[str, set[str]] = defaultdict(set)
        self.queue = self.new_queue()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.count = 0
        self.calls: list[Call] = []
        self.call_by_ticket: dict[str, Call] = {}
        self.result = Result(self.calls, self.queue)

    def new_queue(self) -> AdmissionQueue:
        times, early = self.setup.new_times(), self.setup.early_refusal
        queue = AdmissionQueue("engines", self.placement, return_times=times)
        if early is not None:
            queue = EarlyRefusalQueue("engines", self.placement, times, early)
        queue.zone_costs = self.setup.zone_costs
        return queue

    def at(self, time: float, action: Callable[[float], None]) -> None:
        self.count += 1
        heappush(self.events, (time, self.count, action))

    def run(self) -> Result:
        for kind in self.setup.kinds:
            for zone in self.setup.zones:
                self.schedule_arrivals(kind, zone)
        self.schedule_busy_account()
        if self.setup.replaced_at is not None:
            self.at(self.setup.replaced_at, self.replace_scheduler)
        now = 0.0
        while now < self.setup.seconds + DRAIN_SECONDS:
            now += TICK
            while self.events and self.events[0][0] <= now:
                time, _, action = heappop(self.events)
                action(time)
            self.dispatch(now)
        self.result.queue = self.queue
        return self.result

    def schedule_arrivals(self, kind: Kind, zone: str) -> None:
        now = 0.0
        while True:
            factor = 1.0
            for burst in self.setup.bursts:
                if burst.kind == kind.name and burst.zone in (None, zone):
                    factor *= burst.factor if burst.since <= now < burst.until else 1.0
            now += self.random.expovariate(kind.rate * factor / len(self.setup.zones))
            if now > self.setup.seconds:
                return
            account = f"a-{self.random.randrange(8)}"
            patient = self.random.random() >= self.setup.impatient
            self.begin(kind, account, now, patient=patient, spams=False, zone=zone)

    def schedule_busy_account(self) -> None:
        spams = self.setup.busy_spams
        for number in range(int(self.setup.seconds * self.setup.busy_rate)):
            at = number / self.setup.busy_rate
            zone = self.setup.zones[0]
            self.begin(LONG, "busy", at, patient=not spams, spams=spams, zone=zone)

    def begin(
        self, kind: Kind, account: str, at: float, *, patient: bool, spams: bool, zone: str
    ) -> None:
        number = len(self.calls)
        session = f"{kind.name}-{self.random.randrange(4)}"
        parts = (PromptPart(session, kind.shared), PromptPart(f"own-{number}", kind.own))
        bears = kind.name == "long"
        prompt = Prompt("m", parts, kind.shared + kind.own, 5 * kind.events, bears)
        call = Call(kind, account, prompt, at, patient, spams, zone)
        self.calls.append(call)
        self.at(at, lambda now: self.attempt(call, now))

    def attempt(self, call: Call, now: float) -> None:
        call.attempts += 1
        kind = call.kind
        ticket = f"t-{id(call)}-{call.attempts}"
        self.call_by_ticket[ticket] = call
        waiter = Waiter(kind.urgency, now + kind.target, call.deadline, now)
        shortest = min(each.pause for each in self.setup.kinds)
        request = WaitingRequest(
            ticket, ticket, call.prompt, waiter, shortest_pause=shortest, zone=call.zone
        )
        request = replace(request, pause_target=kind.pause, account=call.account)
        self.queue.enter(request, now)
        if self.queue.is_first(ticket):
            self.dispatch(now, only=ticket)

    def dispatch(self, now: float, only: str | None = None) -> None:
        for decision in self.queue.dispatch(TRAITS, lambda _: self.engines, now, only):
            call = self.call_by_ticket[decision.request.ticket]
            if isinstance(decision, Granted):
                self.granted(call, decision, now)
            else:
                self.refused(call, decision.retry_after, now)

    def granted(self, call: Call, granted: Granted, now: float) -> None:
        engine, ticket = granted.backend.id, granted.request.ticket
        call.waited += now - granted.request.waiter.arrived_at
        if granted.backend.zone == call.zone:
            self.result.same_zone += 1
        else:
            self.result.other_zone += 1
        cached = self.cached[engine]
        unread = sum(each.tokens for each in call.prompt.parts if each.id not in cached)
        cached.update(each.id for each in call.prompt.parts)
        begin = max(now, self.read_until[engine])
        read_at = self.read_until[engine] = begin + unread / self.setup.tokens_per_second
        first_at = read_at + 0.035
        self.at(first_at, lambda at: self.first_event(call, engine, ticket, at))
        ended_at = first_at + call.kind.events * self.setup.gap
        self.at(ended_at, lambda at: self.ended(call, engine, ticket, at))

    def first_event(self, call: Call, engine: str, ticket: str, now: float) -> None:
        call.first_event_at = now
        self.placement.first_event(engine, ticket, now)

    def ended(self, call: Call, engine: str, ticket: str, now: float) -> None:
        call.ended_at = now
        self.placement.loads_by_id[engine].end(ticket, now)

    def refused(self, call: Call, after: object, now: float) -> None:
        seconds = after.total_seconds() if after is not None else None  # type: ignore[attr-defined]
        call.told.append(now + seconds if seconds is not None else -1.0)
        if call.spams:
            if now + 0.5 < call.deadline:
                self.at(now + 0.05, lambda at: self.attempt(call, at))
            return
        if call.attempts > 1:
            return
        if not call.patient:
            self.at(now + 0.02, lambda at: self.attempt(call, at))
        elif seconds is not None:
            longest = (call.deadline - now) / 3 + 1e-6
            self.at(now + min(seconds, longest), lambda at: self.attempt(call, at))

    def replace_scheduler(self, now: float) -> None:
        waiting = list(self.queue._waiting.values())
        self.queue = self.new_queue()
        for each in waiting:
            waiter = replace(each.waiter, first_target_at=None, retries_on_time=False)
            self.queue.enter(replace(each, waiter=waiter), now)


def run_replay(setup: Setup) -> Result:
    return _Replay(setup).run()
