"""Runs a load: calls start at their times, whatever became of the earlier ones."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpcore
import trio

from .caller import LoadCaller
from .load_report import make_report
from .traffic import DEMO_TRAFFIC, Traffic, schedule

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .caller import CallResult
    from .load_report import LoadReport
    from .traffic import Arrival

CONNECTIONS = 2_000
DEMO_MODEL = "menu-writer"


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """How a load is made."""

    seconds: float = 20.0
    seed: int = 1
    traffic: tuple[Traffic, ...] = DEMO_TRAFFIC
    model: str = DEMO_MODEL
    retries: int = 0
    """Times that a call which was not run is made again, after the time that the answer names."""


async def run_load(targets: Sequence[str], settings: LoadSettings) -> LoadReport:
    """Make a load and report on it.

    Args:
        targets: Base URLs of the entries.
        settings: What to call, when, and for how long.
    """
    arrivals = schedule(settings.traffic, settings.seconds, settings.seed)
    results: list[CallResult] = []
    started_at = trio.current_time()
    async with httpcore.AsyncConnectionPool(
        max_connections=CONNECTIONS, max_keepalive_connections=CONNECTIONS
    ) as http:
        # Keys of an earlier run must not answer this one, so the run's own name is in each.
        run_id = f"load-{settings.seed}-{secrets.token_hex(4)}"
        caller = LoadCaller(http, targets, settings.model, run_id, settings.retries)

        async def make(arrival: Arrival) -> None:
            results.append(await caller.call(arrival))

        async with trio.open_nursery() as nursery:
            for arrival in arrivals:
                await trio.sleep_until(started_at + arrival.at)
                nursery.start_soon(make, arrival)
    return make_report(results, trio.current_time() - started_at)
