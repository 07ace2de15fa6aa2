"""`ragwortwing status` and `ragwortwing request`: inspect entries, requests and logs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, BinaryIO

import click
import httpcore
import msgspec

from ragwortwing_entry.direct.log_losses import Grouping, losses
from ragwortwing_entry.direct.request_explanation import UnknownRequestError, explain_request

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_SECONDS = 5.0
"""Timeout of each phase of a call to an entry: connect, write and read."""

UNREACHABLE_EXIT_CODE = 1
NOT_FOUND_EXIT_CODE = 4

operator_address_option = click.option(
    "--operator",
    "address",
    required=True,
    metavar="IP:PORT",
    help="Operator address of the entry, as printed in its ready line.",
)


@click.command()
@operator_address_option
def status(address: str) -> None:
    """Show the state of an entry: its phase, the preset in force and its agents."""
    click.echo(_fetch_json(address, "/status"))


@click.group()
def request() -> None:
    """Inspect requests."""


@request.command()
@operator_address_option
@click.argument("request_id")
def show(address: str, request_id: str) -> None:
    """Show the state and outcome of a request."""
    click.echo(_fetch_json(address, f"/requests/{request_id}"))


@request.command()
@click.argument("request_id")
@click.argument("log_files", nargs=-1, required=True, type=click.File("rb"))
def explain(request_id: str, log_files: tuple[BinaryIO, ...]) -> None:
    """Show the timeline of a request from the logs of its processes; `-` reads standard input."""
    try:
        story = explain_request(request_id, (line for file in log_files for line in file))
    except UnknownRequestError as error:
        click.echo(str(error), err=True)
        sys.exit(NOT_FOUND_EXIT_CODE)
    for line in story.lines:
        click.echo(f"{line.at:+9.3f} s  {line.process}  {line.text}")
    click.echo(f"cause: {story.cause}")
    if story.skipped:
        click.echo(f"{story.skipped} unreadable lines were skipped", err=True)


@request.command(name="losses")
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
@click.option("--span", default=5.0, show_default=True, help="Seconds of each row.")
@click.option(
    "--by",
    "groupings",
    multiple=True,
    type=click.Choice([each.value for each in Grouping]),
    help="Group by this, besides reason; may be repeated. By default, by route; the summary by "
    "account.",
)
@click.option(
    "--summary", is_flag=True, help="Print per group how many requests were on time, late, refused."
)
@click.option("--csv", "as_csv", is_flag=True, help="Print comma-separated values.")
def show_losses(
    folder: Path, span: float, groupings: tuple[str, ...], *, summary: bool, as_csv: bool
) -> None:
    """Show which requests missed their targets, by route, time and reason.

    FOLDER contains the logs of one or more processes; a single file is accepted too.
    """
    if span <= 0:
        raise click.BadParameter("must be above 0", param_hint="--span")
    files = sorted(folder.rglob("*")) if folder.is_dir() else [folder]
    chosen = groupings or (Grouping.ACCOUNT if summary else Grouping.ROUTE,)
    table = losses(
        _read_lines([each for each in files if each.is_file()]),
        span,
        tuple(Grouping(each) for each in chosen),
    )
    if summary:
        text = table.summary_to_csv() if as_csv else table.render_summary()
    else:
        text = table.to_csv() if as_csv else table.render()
    click.echo(text, nl=not as_csv)
    if table.skipped:
        click.echo(f"{table.skipped} unreadable lines were skipped", err=True)


def _read_lines(files: list[Path]) -> Iterator[bytes]:
    for path in files:
        with path.open("rb") as file:
            yield from file


def _fetch_json(address: str, path: str) -> str:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_SECONDS)
    try:
        response = httpcore.request(
            "GET", f"http://{address}{path}", extensions={"timeout": timeouts}
        )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        click.echo(f"{address} gave no answer: {type(error).__name__}", err=True)
        sys.exit(UNREACHABLE_EXIT_CODE)
    body = msgspec.json.format(response.content, indent=2).decode()
    if response.status != 200:
        click.echo(body, err=True)
        sys.exit(NOT_FOUND_EXIT_CODE)
    return body
