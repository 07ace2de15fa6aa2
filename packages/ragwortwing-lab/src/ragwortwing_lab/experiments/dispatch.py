"""Compares dispatch schemes by how often requests wait behind a slow or frozen engine."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ragwortwing_policy.ejection import EjectionSettings, OutlierDetector
from ragwortwing_policy.routing import RouteQuery, Router

from ..model.baselines import BetterOfTwoRouter, FifoScheduler, RandomPushRouter
from ..model.site import Fault, Scenario, Trace, run
from ..model.variants import SHIPPED, Variant
from .comparison import Comparison, Figure
from .figures import figures_of
from .registry import experiment
from .site_loads import CHAT, at_load, engines

if TYPE_CHECKING:
    from random import Random

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.configuration import Configuration

    from ..model.agent import SchedulerLike
    from ..model.engine import BackendSpec

LONG_WAIT = 1.5
"""Time to first token, in seconds, above which a request counts as late."""

SLOTS = 16
SPEEDS = (1.0,) * 8 + (0.4,)
LOAD = 0.68
"""Offered load as a share of the capacity at a batch of 25.

With 16 slots an engine reaches 0.8 of that capacity, so 85% of the slots are in use.
"""

NO_EJECTION = EjectionSettings(
    minimum_samples=10**9, silence=EjectionSettings().longest_ejection * 1000
)


def _scheduler(configuration: Configuration, spec: BackendSpec) -> SchedulerLike:
    return FifoScheduler(SLOTS)


class FixedFanoutRouter(Router):
    """The shipped router without reservations at further agents for a waiting request."""

    def low_wait_agents(self, query: RouteQuery, count: int, now: Instant) -> tuple[str, ...]:
        """Return no further agents."""
        return ()


def _reservation_router(zone: str, random: Random, fanout: int, ejecting: bool) -> Router:
    detector = OutlierDetector() if ejecting else OutlierDetector(NO_EJECTION)
    return FixedFanoutRouter(zone, random, fanout, detector)


def _reservation(fanout: int, ejecting: bool) -> Variant:
    name = f"reserve at {fanout}" + ("" if ejecting else ", no ejection")
    router = partial(_reservation_router, fanout=fanout, ejecting=ejecting)
    return Variant(name, router, _scheduler)


VARIANTS = (
    Variant("random push", RandomPushRouter, _scheduler),
    Variant("better of two, 0.5 s old", partial(BetterOfTwoRouter, lag=0.5), _scheduler),
    Variant("better of two, fresh", partial(BetterOfTwoRouter, lag=0.0), _scheduler),
    _reservation(1, ejecting=False),
    _reservation(2, ejecting=False),
    _reservation(3, ejecting=False),
    _reservation(1, ejecting=True),
    _reservation(2, ejecting=True),
    _reservation(3, ejecting=True),
    SHIPPED,
)


@experiment("dispatch")
def dispatch(seed: int) -> Comparison:
    """Nine engines of 16 slots, one at 0.4 speed and one frozen for 10 s, at 85% of the slots."""
    backends = engines(SPEEDS)
    faults = (Fault(20, "engine-3", frozen_for=10),)
    scenario = Scenario(backends, (at_load(CHAT, LOAD, backends),), 50, faults)
    classes = scenario.configuration.classes_by_name
    traces = [run(scenario, each, seed) for each in VARIANTS]
    return Comparison(
        name="dispatch",
        seed=seed,
        variants=tuple(figures_of(each, classes) for each in traces),
        figures=tuple(
            Figure(f"waiting over {LONG_WAIT} s or refused, {each.variant}", long_waits(each))
            for each in traces
        ),
    )


def long_waits(trace: Trace) -> float:
    """Return the share of requests whose first token was late or never came."""
    late = sum(
        each.first_at is None or each.first_at - each.arrival.at > LONG_WAIT
        for each in trace.records
    )
    return late / len(trace.records)
