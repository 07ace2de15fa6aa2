"""Command line of the entry."""

from __future__ import annotations

import click


@click.group()
def main() -> None:
    """Run and inspect the entry."""


if __name__ == "__main__":
    main()
