"""Processor time of the scheduler's decisions, by the number of queued requests."""

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

QUEUED = (100, 1_000, 10_000)
"""Queue lengths that are measured."""

SLOTS = 64
"""Requests that run beside the queue."""

ACCOUNTS = 100
"""Client accounts that the queued requests come from."""

DAY = timedelta(days=1)
"""Limit and target of the classes, so that the queue keeps its length."""

CLASSES = tuple(
    RequestClass(name, tier, DAY, DAY, DAY, DAY, aging_bound=2 * DAY)
    for name, tier in (("chat", 0), ("desk", 0), ("drafts", 2), ("narratives", 3))
)


@dataclass(frozen=True, slots=True)
class CostAtLength:
    """Microseconds of processor time with one length of the queue."""

    queued: int
    offer_and_withdraw: float
    """A reservation comes and is withdrawn."""
    finish_and_grant: float
    """A request ends, its slot is granted and taken, and another reservation comes."""
    progress: float
    """A token comes."""
    tick: float
    """A tick without a look through the queue."""
    sweep: float
    """A tick with a look through the whole queue, at most four times a second."""


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Cost of the scheduler's decisions and its growth."""

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
    """Processor time of the scheduler's decisions with 100 to 10,000 queued requests."""
    return DecisionCost(seed, tuple(_Bench(each, seed).measure() for each in QUEUED))


class _Bench:
    """A full engine with a long queue."""

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
        ended = self._running.pop(0)
        del self._reservation_by_id[ended]
        for decision in self._scheduler.finished(ended, self._now):
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
