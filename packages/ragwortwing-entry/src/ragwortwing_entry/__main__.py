"""Command line of the binary `ragwortwing`."""

from __future__ import annotations

from importlib import import_module

import click

MODULES_BY_COMMAND = {
    "entry": "entry",
    "status": "inspect",
    "request": "inspect",
    "config": "config",
    "preset": "preset",
}
"""Module below `commands` of each top-level command."""


class LazyGroup(click.Group):
    """Imports a command's module only when it is used, which keeps a running entry small."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands."""
        return list(MODULES_BY_COMMAND)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, None where there is none of that name."""
        module_name = MODULES_BY_COMMAND.get(cmd_name)
        if module_name is None:
            return None
        module = import_module(f"ragwortwing_entry.commands.{module_name}")
        command: click.Command = getattr(module, cmd_name)
        return command


@click.group(cls=LazyGroup)
def main() -> None:
    """Run an entry, and drive the site."""


if __name__ == "__main__":
    main()
