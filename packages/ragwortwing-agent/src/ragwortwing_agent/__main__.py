"""Command line of the agent."""

from __future__ import annotations

import click


@click.group()
def main() -> None:
    """Run and inspect the agent."""


if __name__ == "__main__":
    main()
