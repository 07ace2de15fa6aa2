"""Runs an open-loop load: calls start on schedule, regardless of earlier calls."""

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
    """Settings of a load generator run."""

    seconds: float = 20.0
    seed: int = 1
    traffic: tuple[Traffic, ...] = DEMO_TRAFFIC
    model: str = DEMO_MODEL
    retries: int = 0
    """Maximum retries of a call, each after the time given in the answer."""


async def run_load(targets: Sequence[str], settings: LoadSettings) -> LoadReport:
    """Run a load and return its report.

    Args:
        targets: Base URLs of the entries.
        settings: Traffic, duration and retries.
    """
    arrivals = schedule(settings.traffic, settings.seconds, settings.seed)
    results: list[CallResult] = []
    started_at = trio.current_time()
    async with httpcore.AsyncConnectionPool(
        max_connections=CONNECTIONS, max_keepalive_connections=CONNECTIONS
    ) as http:
        # A unique run id keeps idempotency keys from matching recorded answers of an earlier run.
        run_id = f"load-{settings.seed}-{secrets.token_hex(4)}"
        caller = LoadCaller(http, targets, settings.model, run_id, settings.retries)

        async def make(arrival: Arrival) -> None:
            results.append(await caller.call(arrival))

        async with trio.open_nursery() as nursery:
            for arrival in arrivals:
                await trio.sleep_until(started_at + arrival.at)
                nursery.start_soon(make, arrival)
    return make_report(results, trio.current_time() - started_at)
