"""The `measure` command, which lists and runs the experiments."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from .experiments.registry import load_experiments

if TYPE_CHECKING:
    from .experiments.registry import Experiment

ALL = "all"
SEED_COUNT_FOR_ALL = 3
DEFAULT_REPORT_DIRECTORY = Path("reports")
DEFAULT_JOBS = 2


@click.command()
@click.argument("name", required=False)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random streams.")
@click.option("--json", "as_json", is_flag=True, help="Print the result's fields as JSON.")
@click.option(
    "--out", type=click.Path(path_type=Path), default=DEFAULT_REPORT_DIRECTORY, show_default=True
)
@click.option(
    "--jobs", type=int, default=DEFAULT_JOBS, show_default=True, help="Processes of `all`."
)
def measure(name: str | None, seed: int, as_json: bool, out: Path, jobs: int) -> None:
    """Run the experiment NAME, or list all experiments if no name is given.

    `all` runs every experiment that starts no processes, with three seeds, and writes a report.
    """
    experiments = load_experiments()
    if name is None:
        _print_list(experiments)
    elif name == ALL:
        from .report import write_report

        seeds = tuple(range(seed, seed + SEED_COUNT_FOR_ALL))
        click.echo(write_report(_included_in_all(experiments), seeds, out, jobs))
    elif name in experiments:
        result = experiments[name].function(seed)
        text = msgspec.json.encode(result).decode() if as_json else result.render()
        click.echo(text)
    else:
        raise click.BadParameter(f"{name}; one of: {', '.join(experiments)}, {ALL}")


def _print_list(experiments: dict[str, Experiment]) -> None:
    width = max(len(each) for each in experiments)
    for each in experiments.values():
        click.echo(f"{each.name:{width}}  {each.summary}")


def _included_in_all(experiments: dict[str, Experiment]) -> tuple[Experiment, ...]:
    return tuple(each for each in experiments.values() if each.in_all)
