"""Simulates a site in virtual time: entries, agents, backend servers, workload and faults."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.configuration import Configuration, Preset, RequestClass

from .agent import AgentModel
from .engine import BackendSpec
from .entry import EntryModel, Record
from .loop import VirtualLoop
from .workload import Traffic, arrivals

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .variants import Variant
    from .workload import Arrival

ZONES = ("suva", "nadi", "lautoka")

SAME_ZONE_DELAY = 0.0003
"""One-way delay in seconds between two VMs of the same availability zone."""

OTHER_ZONE_DELAY = 0.001
"""One-way delay in seconds between two VMs of different availability zones."""

CRASH_DETECTION_SECONDS = 1.0
"""Seconds until an entry detects a lost connection to a crashed VM."""

DRAIN_SECONDS = 30.0
"""Seconds that a run continues after the last arrival."""

USABLE_SPEED = 0.5
"""Share of its normal speed below which an engine counts as unable to serve."""

REQUEST_CLASSES = (
    RequestClass("chat", 0, timedelta(seconds=1.5), deadline=timedelta(seconds=15)),
    RequestClass("desk", 0, timedelta(seconds=1.5), deadline=timedelta(seconds=15)),
    RequestClass(
        "orders",
        0,
        timedelta(seconds=2),
        deadline=timedelta(seconds=20),
        queue_limit=timedelta(seconds=2),
    ),
    RequestClass(
        "drafts",
        2,
        timedelta(seconds=10),
        timedelta(milliseconds=120),
        timedelta(seconds=90),
        queue_limit=timedelta(seconds=10),
        aging_bound=timedelta(seconds=30),
    ),
    RequestClass(
        "narratives",
        3,
        timedelta(seconds=45),
        timedelta(milliseconds=250),
        timedelta(seconds=240),
        queue_limit=timedelta(seconds=45),
        aging_bound=timedelta(seconds=60),
    ),
)
"""The request classes of both current users.

Positional fields: name, tier, first-token target, between-token target, deadline.
"""


def configure(classes: Iterable[RequestClass] = REQUEST_CLASSES) -> Configuration:
    """Return a configuration with the given request classes and one preset."""
    return Configuration(
        revision=0,
        preset="ordinary",
        classes_by_name={each.name: each for each in classes},
        presets_by_name={"ordinary": Preset("ordinary")},
    )


@dataclass(frozen=True, slots=True)
class Fault:
    """A change of speed, a freeze or a crash of one backend server."""

    at: Instant
    backend: str
    speed_factor: float = 1.0
    frozen_for: float = 0.0
    crash: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """Backend servers, workload and faults of a simulation."""

    backends: Sequence[BackendSpec]
    traffics: Sequence[Traffic]
    duration: float
    faults: Sequence[Fault] = ()
    entries: int = 3
    drain: float = DRAIN_SECONDS
    warm_up: float = 0.0
    """Seconds at the start whose tokens are not counted, while the batches fill."""
    configuration: Configuration = field(default_factory=configure)


@dataclass(frozen=True, slots=True)
class Trace:
    """Records and totals of a run."""

    variant: str
    duration: float
    records: tuple[Record, ...]
    generated: int
    prefilled: int
    preemptions: int
    messages: int


def delay(one: str, other: str) -> float:
    """Return the one-way message delay between two zones, in seconds."""
    return SAME_ZONE_DELAY if one == other else OTHER_ZONE_DELAY


def run(scenario: Scenario, variant: Variant, seed: int) -> Trace:
    """Run a scenario under one variant; with the same seed every variant gets the same arrivals."""
    return _Site(scenario, variant, seed).run()


class _Site:
    def __init__(self, scenario: Scenario, variant: Variant, seed: int) -> None:
        self._scenario = scenario
        self._variant = variant
        self._seed = seed
        self._loop = VirtualLoop()
        self._configuration = scenario.configuration
        self._agents_by_id: dict[str, AgentModel] = {}
        self._entries = [self._make_entry(each) for each in range(scenario.entries)]

    def run(self) -> Trace:
        scenario = self._scenario
        for spec in scenario.backends:
            self._add_agent(spec)
        for fault in scenario.faults:
            self._loop.at(fault.at, self._inject, fault)
        balancer = Random(f"{self._seed}/balancer")
        for arrival in arrivals(scenario.traffics, scenario.duration, self._seed):
            entry = balancer.choice(self._entries)
            self._loop.at(arrival.at, entry.on_arrival, arrival)
        self._loop.run(scenario.duration + scenario.drain)
        agents = self._agents_by_id.values()
        return Trace(
            variant=self._variant.name,
            duration=scenario.duration,
            records=tuple(record for entry in self._entries for record in entry.records),
            generated=sum(each.backend.generated for each in agents),
            prefilled=sum(each.backend.prefilled for each in agents),
            preemptions=sum(each.preemptions for each in agents),
            messages=sum(each.messages for each in agents)
            + sum(each.messages for each in self._entries),
        )

    def _make_entry(self, number: int) -> EntryModel:
        zone = ZONES[number % len(ZONES)]
        router = self._variant.router(zone, Random(f"{self._seed}/entry-{number}"))
        return EntryModel(
            self._loop,
            f"entry-{number}",
            zone,
            self._configuration,
            router,
            self._agents_by_id,
            delay,
            self._could_serve,
            (self._scenario.warm_up, self._scenario.duration),
        )

    def _add_agent(self, spec: BackendSpec) -> None:
        scheduler = self._variant.scheduler(self._configuration, spec)
        agent = AgentModel(self._loop, spec.name, spec, scheduler, delay)
        self._agents_by_id[agent.agent_id] = agent
        for entry in self._entries:
            entry.on_agent_view(agent.view())
        agent.start(self._entries)

    def _inject(self, fault: Fault) -> None:
        agent = self._agents_by_id[fault.backend]
        agent.backend.speed_factor = fault.speed_factor
        agent.backend.frozen_until = self._loop.now + fault.frozen_for
        if fault.crash:
            agent.crash()
            for entry in self._entries:
                self._loop.after(CRASH_DETECTION_SECONDS, entry.on_agent_lost, agent.agent_id)

    def _could_serve(self, arrival: Arrival, tier: int) -> bool:
        """Return whether a server that could serve this request runs a less urgent one."""
        return any(
            self._tier(run.arrival) > tier
            for agent in self._agents_by_id.values()
            if agent.alive
            and agent.spec.target == arrival.target
            and agent.backend.speed_factor >= USABLE_SPEED
            and agent.backend.frozen_until <= self._loop.now
            for run in agent.backend.running()
        )

    def _tier(self, arrival: Arrival) -> int:
        return self._configuration.class_in_force(arrival.class_name).tier
