"""Serves the applications of a stand-in on loopback and prints their addresses."""

from __future__ import annotations

import signal
from functools import partial
from typing import TYPE_CHECKING, Any

import click
import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from .loopback import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

GRACE_SECONDS = 0.2
"""Seconds that open calls may take to finish after a stand-in is told to stop."""


async def start_app(nursery: trio.Nursery, app: Any, port: int = 0) -> str:
    """Serve an ASGI application on loopback in a nursery.

    Returns:
        The `ip:port` that it listens on.
    """
    config = Config()
    config.bind = [f"{LOOPBACK}:{port}"]
    config.graceful_timeout = GRACE_SECONDS
    config.errorlog = None
    config.accesslog = None
    binds = await nursery.start(partial(serve, app, config, shutdown_trigger=trio.sleep_forever))
    return str(binds[0]).removeprefix("http://")


def print_ready(name: str, listen: Mapping[str, str]) -> None:
    """Print the JSON line that reports that the process is ready."""
    line = msgspec.json.encode({"ready": True, "name": name, "listen": dict(listen)})
    click.echo(line.decode())


async def stop_on_signal(cancel: Callable[[], None]) -> None:
    """Call `cancel` on SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            cancel()
            return
