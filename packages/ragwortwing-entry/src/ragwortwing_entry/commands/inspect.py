"""`ragwortwing status`, `ragwortwing request show` and `ragwortwing request explain`."""

from __future__ import annotations

import sys
from typing import BinaryIO

import click
import httpcore
import msgspec

from ragwortwing_entry.direct.log_story import UnknownRequestError, tell_story

TIMEOUT_SECONDS = 5.0

UNREACHABLE_EXIT_CODE = 1
NOT_FOUND_EXIT_CODE = 4

operator_address = click.option(
    "--operator",
    "address",
    required=True,
    metavar="IP:PORT",
    help="The entry's operator address, as its ready line names it.",
)


@click.command()
@operator_address
def status(address: str) -> None:
    """Show what an entry sees: its phase, the preset in force, its agents."""
    click.echo(_get(address, "/status"))


@click.group()
def request() -> None:
    """Look at single requests."""


@request.command()
@operator_address
@click.argument("request_id")
def show(address: str, request_id: str) -> None:
    """Show what became of a request."""
    click.echo(_get(address, f"/requests/{request_id}"))


@request.command()
@click.argument("request_id")
@click.argument("log_files", nargs=-1, required=True, type=click.File("rb"))
def explain(request_id: str, log_files: tuple[BinaryIO, ...]) -> None:
    """Tell a request's story from the logs of one or more processes; `-` reads standard input."""
    try:
        story = tell_story(request_id, (line for file in log_files for line in file))
    except UnknownRequestError as error:
        click.echo(str(error), err=True)
        sys.exit(NOT_FOUND_EXIT_CODE)
    for line in story.lines:
        click.echo(f"{line.at:+9.3f} s  {line.process}  {line.text}")
    click.echo(f"cause: {story.cause}")
    if story.skipped:
        click.echo(f"{story.skipped} lines could not be read and were passed over", err=True)


def _get(address: str, path: str) -> str:
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
