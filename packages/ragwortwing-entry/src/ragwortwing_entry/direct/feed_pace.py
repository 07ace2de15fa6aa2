"""When an entry asks the store for news of a feed, and when it gives a read up."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.feed_watch import SHORT_WAIT

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.direct.feed_watch import FeedWatch
    from ragwortwing_runtime.backoff import Backoff

    from .transfer import Transfer

LOOK = 0.1
"""Seconds between two looks at what the others have read."""


class FeedPace:
    """The pace of one entry's reads of one feed."""

    def __init__(self, feed: str, watch: FeedWatch, clock: Clock, answer_timeout: float) -> None:
        """Create the pace of a feed.

        Args:
            feed: Its name.
            watch: What is known of the others' positions.
            clock: The clock.
            answer_timeout: Seconds for an answer of the store beyond what a read waits.
        """
        self._feed = feed
        self._watch = watch
        self._clock = clock
        self._answer_timeout = answer_timeout

    def read_wait(self) -> float:
        """Return for how many seconds a read waits for news."""
        return 0.0 if self._watch.follows(self._clock.monotonic()) else SHORT_WAIT

    async def until_store_is_needed(self) -> None:
        """Wait until the store has to be asked: no watcher is heard, or one has read further."""
        while True:
            await trio.sleep(LOOK)
            now = self._clock.monotonic()
            if self._watch.is_behind(self._feed, now):
                return
            if not self._watch.follows(now):
                await trio.sleep(self._watch.take_over_delay(now))
                if not self._watch.follows(self._clock.monotonic()):
                    return

    async def wait_to_retry(self, backoff: Backoff) -> None:
        """Wait before the next attempt; the word of another that the store is back ends it."""
        began = self._clock.monotonic()
        wait = backoff.next_wait().total_seconds()
        while True:
            now = self._clock.monotonic()
            ends = began + min(wait, self._watch.retry_limit(now))
            if now >= ends or self._watch.regained_since(began):
                return
            await trio.sleep(min(LOOK, ends - now))

    async def cancel_when_overdue(self, scope: trio.CancelScope, transfer: Transfer) -> None:
        """Cancel a read that is behind what others have read, or too long for a watcher.

        Neither says that the store was away: it may have had nothing to tell until now. An answer
        that has begun is left to the store's client, which gives it up only where it stalls.
        """
        started_at = self._clock.monotonic()
        # A read that has just begun is the answer to being behind: ended before the store can have
        # answered, it would be begun again and again, and the entry would stay behind for good.
        await trio.sleep(self._answer_timeout)
        while True:
            await trio.sleep(LOOK)
            if transfer.has_begun:
                return
            now = self._clock.monotonic()
            too_long = now - started_at > SHORT_WAIT + self._answer_timeout
            if self._watch.is_behind(self._feed, now) or (too_long and self._watch.is_watcher(now)):
                scope.cancel()
                return
