"""Command line interface of `ragwortwing`."""

from __future__ import annotations

from importlib import import_module

import click

MODULES_BY_COMMAND = {
    "entry": "entry",
    "status": "inspect",
    "request": "inspect",
    "config": "config",
    "preset": "preset",
    "part": "part",
}
"""Module in `ragwortwing_entry.commands` that defines each top-level command."""


class LazyGroup(click.Group):
    """Imports the module of a command on first use, so that a running entry loads less code."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return list(MODULES_BY_COMMAND)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of that name, or None if it does not exist."""
        module_name = MODULES_BY_COMMAND.get(cmd_name)
        if module_name is None:
            return None
        module = import_module(f"ragwortwing_entry.commands.{module_name}")
        command: click.Command = getattr(module, cmd_name)
        return command


@click.group(cls=LazyGroup)
def main() -> None:
    """Run an entry and operate the system."""


if __name__ == "__main__":
    main()
