"""Which dispatch scheme keeps requests from waiting behind a slow or frozen engine."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ragwortwing_policy.ejection import EjectionSettings, OutlierDetector
from ragwortwing_policy.routing import Router

from ..model.baselines import BetterOfTwoRouter, FifoScheduler, RandomPushRouter
from ..model.site import Fault, Scenario
from ..model.variants import SHIPPED, Variant
from .comparison import Comparison, compare
from .registry import experiment
from .site_loads import CHAT, at_load, engines

if TYPE_CHECKING:
    from random import Random

    from ragwortwing_policy.configuration import Configuration

    from ..model.agent import SchedulerLike
    from ..model.engine import BackendSpec

SLOTS = 16
SPEEDS = (1.0,) * 8 + (0.4,)
LOAD = 0.68
"""Share of the capacity at a batch of 25; with 16 slots an engine gives 0.8 of that, so that the
slots are 85% used."""

NEVER = EjectionSettings(minimum_samples=10**9, silence=EjectionSettings().longest_ejection * 1000)


def _scheduler(configuration: Configuration, spec: BackendSpec) -> SchedulerLike:
    return FifoScheduler(SLOTS)


def _reservation_router(zone: str, random: Random, fanout: int, ejecting: bool) -> Router:
    detector = OutlierDetector() if ejecting else OutlierDetector(NEVER)
    return Router(zone, random, fanout, detector)


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
    traffics = (at_load(CHAT, LOAD, backends),)
    faults = (Fault(20, "engine-3", frozen_for=10),)
    return compare("dispatch", Scenario(backends, traffics, 50, faults), seed, VARIANTS)
