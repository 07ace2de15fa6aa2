"""Command line of the lab."""

from __future__ import annotations

import click

from .demo import demo_command
from .fault_proxy import proxy_command
from .load.command import load_command
from .measure import measure
from .soak.command import soak_command
from .standins.engine import engine_command
from .standins.order_desk import order_desk_command
from .standins.published_store import store_command


@click.group()
def main() -> None:
    """Run and inspect the lab."""


main.add_command(demo_command)
main.add_command(engine_command)
main.add_command(load_command)
main.add_command(measure)
main.add_command(order_desk_command)
main.add_command(proxy_command)
main.add_command(soak_command)
main.add_command(store_command)

if __name__ == "__main__":
    main()
