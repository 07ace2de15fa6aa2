"""Draws the random fault schedule of a run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from ..site import SiteShape

MIN_FAULT_SECONDS = 0.5
MAX_FAULT_SECONDS = 5.0
"""Maximum duration of any fault; longer than heartbeat timeouts and grant lifetimes."""


class FaultAction(StrEnum):
    """Kinds of faults."""

    KILL_ENTRY = "kill_entry"
    KILL_AGENT = "kill_agent"
    KILL_BACKEND = "kill_backend"
    FREEZE_ENTRY = "freeze_entry"
    FREEZE_AGENT = "freeze_agent"
    FREEZE_BACKEND = "freeze_backend"
    CUT_CONNECTIONS = "cut_connections"
    SILENCE_CONNECTIONS = "silence_connections"
    LOG_OUTAGE = "log_outage"
    LOG_SLOW = "log_slow"
    LOG_LOSES_REPLIES = "log_loses_replies"
    LOG_SILENT = "log_silent"
    MEMBERSHIP_OUTAGE = "membership_outage"
    BACKEND_SLOW = "backend_slow"
    BACKEND_DROPS_REPLIES = "backend_drops_replies"
    DRAIN_AGENT = "drain_agent"
    RACE_OPERATORS = "race_operators"


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its target, start time and duration."""

    at: float
    """Seconds from the start of the load."""
    action: FaultAction
    backend: str
    """Kind of the targeted backend server: `engine` or `desk`."""
    index: int
    seconds: float


def draw_schedule(
    random: Random, shape: SiteShape, seconds: float, count: int
) -> tuple[PlannedFault, ...]:
    """Draw faults at random times; they may overlap."""
    faults = [_draw(random, shape, seconds) for _ in range(count)]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw(random: Random, shape: SiteShape, seconds: float) -> PlannedFault:
    action = random.choice(list(FaultAction))
    backend = random.choice(("engine", "desk", "desk"))
    target_count = shape.engines if backend == "engine" else shape.desks
    if action in (FaultAction.KILL_ENTRY, FaultAction.FREEZE_ENTRY):
        target_count = shape.entries
    return PlannedFault(
        at=random.uniform(0.5, seconds),
        action=action,
        backend=backend,
        index=random.randrange(target_count),
        seconds=random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
    )
