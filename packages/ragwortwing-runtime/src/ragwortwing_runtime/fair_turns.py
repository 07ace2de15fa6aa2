"""Shares the event loop between connections that always have more to process and all others."""

from __future__ import annotations

import trio


class FairTurns:
    """Lets connections that always have more to process proceed one at a time.

    Each of them processes a little in a turn of the event loop, however many there are, so that a
    connection with a first request is not delayed by all of them.
    """

    def __init__(self) -> None:
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Wait for the next turn; turns are given in the order of the calls."""
        async with self._lock:
            await trio.lowlevel.checkpoint()
