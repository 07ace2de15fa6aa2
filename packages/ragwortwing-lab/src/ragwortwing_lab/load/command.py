"""The command `python -m ragwortwing_lab load`."""

from __future__ import annotations

from dataclasses import replace

import click
import msgspec
import trio

from .generator import DEMO_MODEL, LoadSettings, run_load
from .traffic import DEMO_TRAFFIC


@click.command("load")
@click.option("--target", "targets", multiple=True, required=True, metavar="URL")
@click.option("--seconds", default=20.0, show_default=True, help="Length of the arrivals.")
@click.option("--seed", default=1, show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Factor on every rate.")
@click.option("--retries", default=0, show_default=True, help="Retries after Retry-After.")
@click.option("--model", default=DEMO_MODEL, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def load_command(
    targets: tuple[str, ...],
    seconds: float,
    seed: int,
    scale: float,
    retries: int,
    model: str,
    as_json: bool,
) -> None:
    """Call entries with a mixed load and report on it."""
    traffic = tuple(replace(each, rate=each.rate * scale) for each in DEMO_TRAFFIC)
    settings = LoadSettings(seconds, seed, traffic, model, retries)
    report = trio.run(run_load, targets, settings)
    click.echo(msgspec.json.encode(report).decode() if as_json else report.render())
