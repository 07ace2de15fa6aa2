"""`ragwortwing preset`: list presets and switch between them.

The exit codes are those of `ragwortwing config`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from ._operator import (
    Output,
    json_option,
    log_option,
    note_option,
    operator_option,
    print_result,
    require_configuration,
    run_with_publisher,
    settings_option,
)

if TYPE_CHECKING:
    from pathlib import Path

    from ragwortwing_runtime.configuration_publisher import ConfigurationPublisher


@click.group()
def preset() -> None:
    """Switch between presets; exactly one is in force."""


@preset.command("list")
@settings_option
@log_option
@json_option
def list_presets(settings: Path | None, log_address: str | None, as_json: bool) -> None:
    """List the presets and mark the one in force."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        require_configuration(publisher, output)
        state = publisher.state
        assert state.configuration is not None
        names = sorted(state.configuration.presets_by_name)
        lines = [f"{'*' if name == state.preset else ' '} {name}" for name in names]
        output.show("\n".join(lines), {"presets": names, "in_force": state.preset})

    run_with_publisher(log_address, output, work)


@preset.command()
@settings_option
@log_option
@json_option
def current(settings: Path | None, log_address: str | None, as_json: bool) -> None:
    """Show the preset in force and its revision."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        require_configuration(publisher, output)
        state = publisher.state
        value = {"preset": state.preset, "revision": state.revision}
        output.show(f"{state.preset} (revision {state.revision})", value)

    run_with_publisher(log_address, output, work)


@preset.command()
@click.argument("name")
@click.option(
    "--base", type=int, help="Revision the switch is based on; defaults to the one in force."
)
@note_option
@operator_option
@settings_option
@log_option
@json_option
def use(
    name: str,
    base: int | None,
    note: str,
    operator: str,
    settings: Path | None,
    log_address: str | None,
    as_json: bool,
) -> None:
    """Put a preset in force; success is reported once the log confirms it."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        require_configuration(publisher, output)
        state = publisher.state
        assert state.configuration is not None
        if name not in state.configuration.presets_by_name:
            raise click.BadParameter(f"there is no preset {name!r}", param_hint="NAME")
        base_revision = state.revision if base is None else base
        print_result(await publisher.use_preset(name, base_revision, note), output)

    run_with_publisher(log_address, output, work, operator)
