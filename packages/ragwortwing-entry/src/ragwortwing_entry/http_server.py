"""Serves the entry's application over HTTP/1.1 and HTTP/2 in this process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import logbook
from hypercorn.config import Config
from hypercorn.trio import serve

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import trio

    from ragwortwing_platform.settings_reader import Address

log = logbook.Logger("http")

KEEP_ALIVE_SECONDS = 75.0
"""Idle time of a connection; longer than balancers keep theirs, so that they close first."""

CLOSE_SECONDS = 1.0
"""Time for the last bytes of answers once nothing is in flight any more."""

STREAMS_PER_CONNECTION = 1_000
"""HTTP/2 streams that a balancer may open on one connection."""

HEADER_MARGIN = 2
"""The library refuses oversized headers without a body of ours, so its own limit lies higher."""


class ServerLog:
    """Sends the server library's messages to our log, and no access log."""

    def __init__(self, config: Config) -> None:
        pass

    async def access(self, *args: Any) -> None:
        """Write nothing: each request has its own line."""

    async def critical(self, message: str, *args: Any) -> None:
        """Write a critical message."""
        log.critical(message % args if args else message)

    async def error(self, message: str, *args: Any) -> None:
        """Write an error."""
        log.error(message % args if args else message)

    async def warning(self, message: str, *args: Any) -> None:
        """Write a warning."""
        log.warning(message % args if args else message)

    async def info(self, message: str, *args: Any) -> None:
        """Write a message."""
        log.debug(message % args if args else message)

    async def debug(self, message: str, *args: Any) -> None:
        """Write a message for debugging."""
        log.debug(message % args if args else message)

    async def exception(self, message: str, *args: Any) -> None:
        """Write the exception being handled."""
        log.exception(message % args if args else message)


async def start_server(
    nursery: trio.Nursery,
    application: Any,
    addresses: tuple[Address, ...],
    header_bytes: int,
    stopped: Callable[[], Awaitable[None]],
) -> tuple[str, ...]:
    """Start to serve.

    Args:
        nursery: Where the server runs.
        application: The ASGI application.
        addresses: Where to listen; port 0 lets the kernel choose.
        header_bytes: Bytes of headers that a request may have.
        stopped: Returns when the server has to end.

    Returns:
        The addresses it listens on, in order.
    """
    config = Config()
    config.bind = [str(address) for address in addresses]
    config.logger_class = ServerLog
    config.include_server_header = False
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = 1_000_000
    config.graceful_timeout = CLOSE_SECONDS
    config.h2_max_concurrent_streams = STREAMS_PER_CONNECTION
    config.h11_max_incomplete_size = header_bytes * HEADER_MARGIN
    config.h2_max_header_list_size = header_bytes * HEADER_MARGIN
    config.backlog = 1_024
    binds: list[str] = await nursery.start(
        partial(serve, application, config, shutdown_trigger=stopped, mode="asgi")
    )
    return tuple(bind.removeprefix("http://") for bind in binds)
