"""Command-line interface of the agent: `run`, `status` and `drain`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from collections.abc import Callable

UNREACHABLE_EXIT_CODE = 1


@click.group()
def main() -> None:
    """Run and inspect the agent."""


@main.command()
@click.option("--settings", "settings_path", type=click.Path(path_type=Path), required=True)
def run(settings_path: Path) -> None:
    """Run the agent until SIGTERM or SIGINT, a drain, or a newer agent replaces it."""
    import trio

    from ragwortwing_runtime.logs import install_logs
    from ragwortwing_runtime.settings import AgentSettings
    from ragwortwing_runtime.settings_reader import (
        FAULTY_SETTINGS_EXIT_CODE,
        FaultySettings,
        read_settings,
    )

    from .process import run_agent

    settings = read_settings(settings_path, AgentSettings)
    if isinstance(settings, FaultySettings):
        for fault in settings.faults:
            click.echo(str(fault), err=True)
        sys.exit(FAULTY_SETTINGS_EXIT_CODE)
    install_logs(settings.name, settings.telemetry.log_level)
    sys.exit(trio.run(run_agent, settings))


def _address_option(command: Callable[..., None]) -> Callable[..., None]:
    return click.option(
        "--address", required=True, help="The agent's `listen.http`, as `ip:port`."
    )(command)


@main.command()
@_address_option
def status(address: str) -> None:
    """Show the current state of an agent."""
    _call(address, "GET", "/status")


@main.command()
@_address_option
def drain(address: str) -> None:
    """Drain an agent: running requests finish, no new ones start, then the process exits."""
    _call(address, "POST", "/drain")


def _call(address: str, method: str, path: str) -> None:
    import httpcore
    import msgspec

    try:
        response = httpcore.request(method, f"http://{address}{path}")
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        click.echo(f"{address}: {type(error).__name__}", err=True)
        sys.exit(UNREACHABLE_EXIT_CODE)
    click.echo(msgspec.json.format(response.content).decode())


if __name__ == "__main__":
    main()
