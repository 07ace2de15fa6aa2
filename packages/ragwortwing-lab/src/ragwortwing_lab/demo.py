"""Demo: starts a small local site, runs a mixed load, prints its report and stops the site."""

from __future__ import annotations

import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import click
import trio

from .load.generator import LoadSettings, run_load
from .load.load_report import LoadReport
from .site import SiteShape, running_site


@dataclass(frozen=True, slots=True)
class DemoResult:
    """The load report and the exit code of each process."""

    report: LoadReport
    exit_codes: dict[str, int | None]

    @property
    def succeeded(self) -> bool:
        """Whether every answer was correct and every process exited with code 0."""
        stopped = all(code == 0 for code in self.exit_codes.values())
        return stopped and not self.report.wrong_answers and not self.report.unanswered


async def run_demo(directory: Path, seconds: float, seed: int) -> DemoResult:
    """Run the demo; settings and logs are written to the directory."""
    async with running_site(SiteShape(), directory) as site:
        urls = [site.entry_url(index) for index in range(site.shape.entries)]
        click.echo(f"{len(site.process_by_name)} processes; callers use {', '.join(urls)}")
        report = await run_load(urls, LoadSettings(seconds=seconds, seed=seed))
        exit_codes = await site.stop()
    return DemoResult(report, exit_codes)


@click.command("demo")
@click.option("--seconds", default=20.0, show_default=True, help="Length of the load.")
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
def demo_command(seconds: float, seed: int) -> None:
    """Run a mixed load against a small local site and print the load report."""
    with tempfile.TemporaryDirectory(prefix="ragwortwing-demo-") as directory:
        result = trio.run(run_demo, Path(directory), seconds, seed)
    click.echo(result.report.render())
    for name, code in sorted(result.exit_codes.items()):
        if code != 0:
            click.echo(f"{name} did not stop cleanly: exit code {code}")
    sys.exit(0 if result.succeeded else 1)
