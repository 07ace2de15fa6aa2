"""Command line of the lab."""

from __future__ import annotations

import click


@click.group()
def main() -> None:
    """Run and inspect the lab."""


if __name__ == "__main__":
    main()
