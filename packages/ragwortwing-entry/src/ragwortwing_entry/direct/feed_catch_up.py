"""Reads the followed feeds to their end on demand.

A feed that was read a moment ago may have changed since, also if this entry has not noticed that it
is cut off. Only a read that begins after a question shows what the store held when the question
was asked.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ragwortwing_policy.clock import Clock

CATCH_UP_TIMEOUT = 0.3
"""Seconds after which a read counts as failed; the caller of a stream waits for it."""

MIN_INTERVAL = 0.05
"""Minimum seconds between the starts of two reads of this entry."""

FLEET_READS_PER_SECOND = 500.0
"""Maximum rate at which all entries together start reads, a quarter of what the store permits."""


@dataclass(eq=False, slots=True)
class _Batch:
    """The tasks that wait for one read."""

    done: trio.Event = field(default_factory=trio.Event)
    succeeded: bool = False


class FeedCatchUp:
    """Reads all followed feeds for any number of waiting tasks at once."""

    def __init__(self, clock: Clock, entries: Callable[[], int]) -> None:
        """Create the reader.

        Args:
            clock: The clock.
            entries: Returns the number of entries, which share the store's limit of reads.
        """
        self._clock = clock
        self._entries = entries
        self._read_by_feed: dict[str, Callable[[], Awaitable[bool]]] = {}
        self._waiting: _Batch | None = None
        self._requested = trio.Event()

    def follow(self, feed: str, read: Callable[[], Awaitable[bool]]) -> None:
        """Add a feed, or replace how it is read.

        Args:
            feed: Name of the feed.
            read: Reads the feed to the end that it has in the store when this is called, and
                returns whether that succeeded.
        """
        self._read_by_feed[feed] = read

    @property
    def longest_wait(self) -> float:
        """Seconds within which a read ends, here or at a peer, if the one before it was quick."""
        return self._interval + CATCH_UP_TIMEOUT

    @property
    def _interval(self) -> float:
        return max(MIN_INTERVAL, self._entries() / FLEET_READS_PER_SECOND)

    async def read(self) -> bool:
        """Read everything that the store held when this was called.

        Returns:
            Whether all feeds were read to their end; False if there are none.
        """
        if self._waiting is None:
            self._waiting = _Batch()
            self._requested.set()
        batch = self._waiting
        await batch.done.wait()
        return batch.succeeded

    async def run(self) -> None:
        """Read whenever a task waits, until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            # Tasks that arrive from here on need a read that begins later.
            batch, self._waiting = self._waiting, None
            started_at = self._clock.monotonic()
            assert batch is not None, "a read was requested by a task that waits"
            batch.succeeded = await self._read_all()
            batch.done.set()
            elapsed = self._clock.monotonic() - started_at
            await trio.sleep(max(0.0, self._interval - elapsed))

    async def _read_all(self) -> bool:
        read_feeds: set[str] = set()

        async def read(feed: str) -> None:
            if await self._read_by_feed[feed]():
                read_feeds.add(feed)

        feeds = frozenset(self._read_by_feed)
        with trio.move_on_after(CATCH_UP_TIMEOUT):
            async with trio.open_nursery() as nursery:
                for feed in feeds:
                    nursery.start_soon(read, feed)
        return bool(feeds) and read_feeds == feeds
