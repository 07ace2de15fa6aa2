"""Property-based tests of the scheduler with generated bursts on a simulated engine."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortwing_policy.configuration import ClientAccount, Configuration, Preset, RequestClass
from ragwortwing_policy.outcomes import NotRunReason
from ragwortwing_policy.reservations import Grant, Preempt, Refuse, Reservation
from ragwortwing_policy.scheduler import Scheduler, SchedulerSettings

STEP_SECONDS = 0.1
TOKENS_PER_STEP = 3
STEPS_TO_FIRST_TOKEN = 2
SLOTS = 3
MAXIMUM_STEPS = 8_000
AGING = timedelta(seconds=8)


def request_class(name: str, tier: int, target: float, limit: float) -> RequestClass:
    return RequestClass(
        name,
        tier,
        first_token_target=timedelta(seconds=target),
        queue_limit=timedelta(seconds=limit),
        deadline=timedelta(seconds=600),
        aging_bound=AGING,
    )


CLASSES = {
    "chat": request_class("chat", 0, 1.5, 1.5),
    "lookup": request_class("lookup", 0, 3.0, 3.0),
    "draft": request_class("draft", 2, 20.0, 60.0),
    "narrative": request_class("narrative", 3, 60.0, 300.0),
}
CONFIGURATION = Configuration(
    revision=1,
    preset="ordinary",
    classes_by_name=CLASSES,
    accounts_by_name={"a": ClientAccount("a"), "b": ClientAccount("b", weight=2.0)},
    presets_by_name={"ordinary": Preset("ordinary")},
)


@dataclass(frozen=True)
class Arrival:
    step: int
    request_class: str
    account: str
    tokens: int


arrivals = st.lists(
    st.builds(
        Arrival,
        st.integers(0, 120),
        st.sampled_from(sorted(CLASSES)),
        st.sampled_from("ab"),
        st.integers(1, 120),
    ),
    max_size=60,
)


class Simulation:
    """Simulates an engine with the same pace for all streams, and records the decisions."""

    def __init__(self, generated: list[Arrival]) -> None:
        self.scheduler = Scheduler(SchedulerSettings(SLOTS, SLOTS), CONFIGURATION)
        self.arrivals = sorted(generated, key=lambda each: each.step)
        self.reservation_by_id: dict[str, Reservation] = {}
        self.tokens_by_id: dict[str, int] = {}
        self.offered_at_by_id: dict[str, float] = {}
        self.queued: set[str] = set()
        self.step_by_running_id: dict[str, int] = {}
        self.preempting: set[str] = set()
        self.begun: set[str] = set()
        self.ends: list[tuple[str, str]] = []
        self.decision_log: list[object] = []
        self.now = 0.0

    def run(self) -> Simulation:
        pending = list(enumerate(self.arrivals))
        for step in range(MAXIMUM_STEPS):
            self.now = step * STEP_SECONDS
            self._generate(step)
            while pending and pending[0][1].step <= step:
                self._offer(*pending.pop(0))
            self._apply_decisions(self.scheduler.tick(self.now))
            if not pending and not self.queued and not self.step_by_running_id:
                break
        return self

    def tier(self, request_id: str) -> int:
        return CLASSES[self.reservation_by_id[request_id].request_class].tier

    def _offer(self, index: int, arrival: Arrival) -> None:
        reservation = Reservation(
            f"r{index}",
            arrival.request_class,
            arrival.account,
            "model",
            deadline=self.now + 600.0,
        )
        self.reservation_by_id[reservation.request_id] = reservation
        self.tokens_by_id[reservation.request_id] = arrival.tokens
        self.offered_at_by_id[reservation.request_id] = self.now
        self.queued.add(reservation.request_id)
        self._apply_decisions(self.scheduler.offer(reservation, self.now))

    def _generate(self, step: int) -> None:
        for request_id in sorted(self.preempting):
            self.preempting.discard(request_id)
            if self.step_by_running_id.pop(request_id, None) is not None:
                self.queued.add(request_id)
                self._apply_decisions(self.scheduler.preempted(request_id, self.now))
        for request_id, started in sorted(self.step_by_running_id.items()):
            if step - started >= STEPS_TO_FIRST_TOKEN:
                self._advance(request_id)

    def _advance(self, request_id: str) -> None:
        reservation = self.reservation_by_id[request_id]
        tokens = min(TOKENS_PER_STEP, self.tokens_by_id[request_id] - reservation.resumed_tokens)
        self.scheduler.progressed(request_id, tokens, self.now)
        resumed = replace(reservation, resumed_tokens=reservation.resumed_tokens + tokens)
        self.reservation_by_id[request_id] = resumed
        if resumed.resumed_tokens == self.tokens_by_id[request_id]:
            del self.step_by_running_id[request_id]
            self.ends.append((request_id, "finished"))
            self._apply_decisions(self.scheduler.finished(request_id, self.now))

    def _apply_decisions(self, decisions: list) -> None:
        self.decision_log += [(self.now, each) for each in decisions]
        for decision in decisions:
            if isinstance(decision, Preempt):
                self._on_preempt(decision)
            elif isinstance(decision, Refuse):
                self._on_refuse(decision)
            elif isinstance(decision, Grant):
                self._on_grant(decision)

    def _on_preempt(self, decision: Preempt) -> None:
        assert decision.request_id in self.step_by_running_id
        tier = self.tier(decision.request_id)
        running = self.step_by_running_id.keys() - self.preempting
        over_limit = len(running) > self.scheduler.load(self.now).limit
        more_urgent = self.queued | running if over_limit else self.queued
        assert any(self.tier(each) < tier for each in more_urgent)
        self.preempting.add(decision.request_id)

    def _on_refuse(self, decision: Refuse) -> None:
        assert decision.request_id not in self.begun
        self.queued.remove(decision.request_id)
        self.ends.append((decision.request_id, "refused"))
        if decision.reason is NotRunReason.OVERLOADED:
            tier = self.tier(decision.request_id)
            not_preempted = self.step_by_running_id.keys() - self.preempting
            assert all(self.tier(each) <= tier for each in not_preempted)

    def _on_grant(self, decision: Grant) -> None:
        request_id = decision.request_id
        self.queued.remove(request_id)
        aged = self.now - self.offered_at_by_id[request_id] >= AGING.total_seconds()
        assert aged or all(self.tier(each) >= self.tier(request_id) for each in self.queued)
        assert self.scheduler.started(self.reservation_by_id[request_id], self.now)
        self.step_by_running_id[request_id] = round(self.now / STEP_SECONDS)
        self.begun.add(request_id)
        assert len(self.step_by_running_id) <= SLOTS


@settings(derandomize=True, deadline=None, max_examples=150)
@given(arrivals)
def test_requests_end_once_without_priority_inversion(generated) -> None:
    """Checks the scheduler's invariants with bursts of every class on three slots.

    Each request is either refused or finished, exactly once. A request that has begun is never
    refused. A less urgent request gets a slot first only by aging. An overload refusal is only
    allowed if all less urgent runs are being preempted.
    """
    simulation = Simulation(generated).run()
    ended = [request_id for request_id, _ in simulation.ends]
    assert sorted(ended) == sorted(simulation.reservation_by_id)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(arrivals)
def test_scheduler_is_deterministic(generated) -> None:
    assert Simulation(generated).run().decision_log == Simulation(generated).run().decision_log


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.integers(1, 12), st.integers(10, 60))
def test_admitted_lower_requests_end_after_a_burst(drafts, chats) -> None:
    """Guards against losing or starving admitted drafts during a burst of chats.

    The burst takes every slot for a while. All admitted drafts must finish afterwards.
    """
    draft_arrivals = [Arrival(0, "draft", "a", 100) for _ in range(drafts)]
    burst = [Arrival(10 + index // 2, "chat", "b", 20) for index in range(chats)]
    simulation = Simulation(draft_arrivals + burst).run()
    ends = dict(simulation.ends)
    admitted = [each for each in ends if simulation.tier(each) == 2 and each in simulation.begun]
    assert admitted
    assert all(ends[each] == "finished" for each in admitted)
