"""Command line interface of the soak test."""

from __future__ import annotations

import sys
import time
from random import SystemRandom

import click

from .runner import SoakShape, run_in_temporary_folder


@click.command("soak")
@click.option(
    "--seed", type=int, help="Run only this seed; by default, random seeds until the time is up."
)
@click.option("--minutes", default=2.0, show_default=True, help="How long to run random seeds.")
@click.option("--processes", default=3, show_default=True, help="Number of entries.")
@click.option(
    "--seconds", default=15.0, show_default=True, help="Duration of the load in each run."
)
@click.option("--callers", default=12, show_default=True, help="Number of concurrent callers.")
@click.option("--faults", default=0.8, show_default=True, help="Faults per second.")
@click.option(
    "--strains",
    default=0.3,
    show_default=True,
    help="Stress faults per second (they break no guarantee).",
)
@click.option(
    "--notices",
    default=0.3,
    show_default=True,
    help="Faults per second that only the answers of backend servers tell, and as many of late "
    "answers and engine releases.",
)
@click.option(
    "--contention",
    default=0.2,
    show_default=True,
    help="Faults per second under which requests compete: an account's burst, slow callers, a slow "
    "engine.",
)
def soak_command(
    seed: int | None,
    minutes: float,
    processes: int,
    seconds: float,
    callers: int,
    faults: float,
    strains: float,
    notices: float,
    contention: float,
) -> None:
    """Inject random faults into entries of the platform and check their guarantees."""
    shape = SoakShape(seconds, processes, callers, faults, strains, notices, contention)
    end_time = time.monotonic() + 60 * minutes
    failed: list[int] = []
    runs = 0
    while True:
        drawn = SystemRandom().randrange(1_000_000) if seed is None else seed
        result = run_in_temporary_folder(drawn, shape)
        runs += 1
        failed += [drawn] if result.violations else []
        click.echo(result.render())
        if seed is not None or time.monotonic() > end_time:
            break
    click.echo(f"{runs} runs, {len(failed)} with violations: {failed}")
    sys.exit(1 if failed else 0)
