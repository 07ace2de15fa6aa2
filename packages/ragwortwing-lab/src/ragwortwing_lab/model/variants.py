"""Variants to compare: the shipped policy and baselines, each with a router and a scheduler."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ragwortwing_policy.configuration import Configuration
from ragwortwing_policy.routing import BackendKind, Router
from ragwortwing_policy.scheduler import Scheduler, SchedulerSettings

from .agent import SchedulerLike
from .baselines import (
    FifoScheduler,
    RandomPushRouter,
    ShortestLaggedRouter,
    StrictPriorityScheduler,
)
from .engine import BackendSpec

SERVICE_SLOTS = 8
"""Concurrent calls of a plain service."""


def make_router(zone: str, random: Random) -> Router:
    """Return the shipped router."""
    return Router(zone, random)


def make_scheduler(configuration: Configuration, spec: BackendSpec) -> SchedulerLike:
    """Return the shipped scheduler."""
    if spec.kind is BackendKind.SERVICE:
        settings = SchedulerSettings(initial_limit=SERVICE_SLOTS, maximum_limit=SERVICE_SLOTS)
    else:
        settings = SchedulerSettings(maximum_limit=spec.slots)
    return Scheduler(settings, configuration)


def make_fifo(configuration: Configuration, spec: BackendSpec) -> SchedulerLike:
    """Return a first-in, first-out scheduler."""
    return FifoScheduler(SERVICE_SLOTS) if spec.kind is BackendKind.SERVICE else FifoScheduler()


def make_strict(configuration: Configuration, spec: BackendSpec) -> SchedulerLike:
    """Return a strict priority scheduler without preemption."""
    if spec.kind is BackendKind.SERVICE:
        return StrictPriorityScheduler(configuration, SERVICE_SLOTS)
    return StrictPriorityScheduler(configuration)


@dataclass(frozen=True, slots=True)
class Variant:
    """A named combination of a router and a scheduler."""

    name: str
    router: Callable[[str, Random], Router] = make_router
    scheduler: Callable[[Configuration, BackendSpec], SchedulerLike] = make_scheduler


SHIPPED = Variant("ragwortwing")
"""The policy code of the shipped processes."""

BASELINES = (
    Variant("fifo, no shedding", scheduler=make_fifo),
    Variant("random push", RandomPushRouter, make_fifo),
    Variant("shortest, lagged", ShortestLaggedRouter, make_fifo),
    Variant("strict priority", scheduler=make_strict),
)
"""Baselines that the shipped policy is compared with."""
