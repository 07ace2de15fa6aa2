"""Measures the CPU time of scheduler decisions by number of queued requests."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from ragwortwing_policy.configuration import ClientAccount, Configuration, Preset, RequestClass
from ragwortwing_policy.reservations import Grant, Reservation
from ragwortwing_policy.scheduler import Scheduler, SchedulerSettings

from .registry import experiment
from .slopes import cpu_microseconds

if TYPE_CHECKING:
    from collections.abc import Iterator

QUEUE_LENGTHS = (100, 1_000, 10_000)
"""Queue lengths at which decisions are measured."""

SLOTS = 64
"""Requests that run while the others are queued."""

ACCOUNTS = 100
"""Number of client accounts that send the queued requests."""

DAY = timedelta(days=1)
"""Queue limit and targets of the classes, long enough that no queued request expires."""

CLASSES = tuple(
    RequestClass(name, tier, DAY, DAY, DAY, DAY, aging_bound=2 * DAY)
    for name, tier in (("chat", 0), ("desk", 0), ("drafts", 2), ("narratives", 3))
)


@dataclass(frozen=True, slots=True)
class CostAtLength:
    """CPU time in microseconds at one queue length."""

    queued: int
    offer_and_withdraw: float
    """A reservation is offered and withdrawn."""
    finish_and_grant: float
    """A request finishes, its slot is granted and started, and a new reservation is offered."""
    progress: float
    """A token is recorded."""
    tick: float
    """A tick that does not scan the queue."""
    sweep: float
    """A tick that scans the whole queue; this happens at most four times per second."""


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Cost of scheduler decisions at each queue length."""

    seed: int
    by_length: tuple[CostAtLength, ...]

    def render(self) -> str:
        """Return the costs as a table."""
        lines = ["queued  offer+withdraw  finish+grant  progress     tick    sweep   (in µs)"]
        lines += [
            f"{each.queued:6}  {each.offer_and_withdraw:14.1f}  {each.finish_and_grant:12.1f}"
            f"  {each.progress:8.1f}  {each.tick:7.1f}  {each.sweep:7.0f}"
            for each in self.by_length
        ]
        return "\n".join(lines)


@experiment("decision_cost")
def run(seed: int) -> DecisionCost:
    """CPU time of the scheduler's decisions with 100 to 10,000 queued requests."""
    return DecisionCost(seed, tuple(_Benchmark(each, seed).measure() for each in QUEUE_LENGTHS))


class _Benchmark:
    """A scheduler with all slots in use and a long queue."""

    def __init__(self, queued: int, seed: int) -> None:
        self._queued = queued
        self._random = Random(seed)
        self._reservations = self._make_reservations()
        self._reservation_by_id: dict[str, Reservation] = {}
        self._running: list[str] = []
        self._now = 0.0
        settings = SchedulerSettings(initial_limit=SLOTS, maximum_limit=SLOTS)
        self._scheduler = Scheduler(settings, _configuration())
        for _ in range(queued + SLOTS):
            self._offer()

    def measure(self) -> CostAtLength:
        self._scheduler.tick(self._now)
        return CostAtLength(
            queued=self._queued,
            offer_and_withdraw=cpu_microseconds(self._offer_and_withdraw),
            finish_and_grant=cpu_microseconds(self._finish_and_grant),
            progress=cpu_microseconds(self._progress),
            tick=cpu_microseconds(self._tick),
            sweep=cpu_microseconds(self._sweep),
        )

    def _make_reservations(self) -> Iterator[Reservation]:
        for number in count():
            request_class = self._random.choice(CLASSES)
            account = f"account-{self._random.randrange(ACCOUNTS)}"
            deadline = DAY.total_seconds()
            yield Reservation(f"r{number}", request_class.name, account, "model", deadline)

    def _offer(self) -> str:
        reservation = replace(next(self._reservations), expected_tokens=200)
        self._reservation_by_id[reservation.request_id] = reservation
        for decision in self._scheduler.offer(reservation, self._now):
            if isinstance(decision, Grant):
                self._start(decision.request_id)
        return reservation.request_id

    def _start(self, request_id: str) -> None:
        self._scheduler.started(self._reservation_by_id[request_id], self._now)
        self._running.append(request_id)

    def _offer_and_withdraw(self) -> None:
        request_id = self._offer()
        self._scheduler.withdraw(request_id, self._now)
        del self._reservation_by_id[request_id]

    def _finish_and_grant(self) -> None:
        finished_id = self._running.pop(0)
        del self._reservation_by_id[finished_id]
        for decision in self._scheduler.finished(finished_id, self._now):
            if isinstance(decision, Grant):
                self._start(decision.request_id)
        self._offer()

    def _progress(self) -> None:
        self._now += 1e-5
        self._scheduler.progressed(self._running[-1], 1, self._now)

    def _tick(self) -> None:
        self._now += 1e-5
        self._scheduler.tick(self._now)

    def _sweep(self) -> None:
        self._now += 1.0
        self._scheduler.tick(self._now)


def _configuration() -> Configuration:
    accounts = [ClientAccount(f"account-{each}") for each in range(ACCOUNTS)]
    return Configuration(
        revision=0,
        preset="ordinary",
        classes_by_name={each.name: each for each in CLASSES},
        accounts_by_name={each.name: each for each in accounts},
        presets_by_name={"ordinary": Preset("ordinary")},
    )
