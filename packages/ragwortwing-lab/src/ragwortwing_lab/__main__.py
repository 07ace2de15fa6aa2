"""Command line of the lab."""

from __future__ import annotations

import click

from .measure import measure


@click.group()
def main() -> None:
    """Run and inspect the lab."""


main.add_command(measure)

if __name__ == "__main__":
    main()
