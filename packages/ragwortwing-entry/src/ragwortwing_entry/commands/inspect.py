"""`ragwortwing status` and `ragwortwing request show`."""

from __future__ import annotations

import sys

import click
import httpcore
import msgspec

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
