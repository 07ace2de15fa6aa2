"""The command of the soak."""

from __future__ import annotations

import sys
import time
from random import SystemRandom

import click

from .runner import SoakShape, run_in_temporary_folder


@click.command("soak")
@click.option("--seed", type=int, help="Run this seed only; else fresh ones, until time is up.")
@click.option("--minutes", default=2.0, show_default=True, help="How long to run fresh seeds.")
@click.option("--processes", default=3, show_default=True, help="Entries of the site.")
@click.option("--seconds", default=15.0, show_default=True, help="Length of each run's load.")
@click.option("--callers", default=12, show_default=True, help="Callers at a time.")
@click.option("--faults", default=0.8, show_default=True, help="Faults a second.")
@click.option("--strains", default=0.3, show_default=True, help="Strains a second.")
def soak_command(
    seed: int | None,
    minutes: float,
    processes: int,
    seconds: float,
    callers: int,
    faults: float,
    strains: float,
) -> None:
    """Strike entries of the platform with random faults and check what they promise."""
    shape = SoakShape(seconds, processes, callers, faults, strains)
    ends = time.monotonic() + 60 * minutes
    failed: list[int] = []
    runs = 0
    while True:
        drawn = SystemRandom().randrange(1_000_000) if seed is None else seed
        result = run_in_temporary_folder(drawn, shape)
        runs += 1
        failed += [drawn] if result.violations else []
        click.echo(result.render())
        if seed is not None or time.monotonic() > ends:
            break
    click.echo(f"{runs} runs, {len(failed)} with violations: {failed}")
    sys.exit(1 if failed else 0)
