"""Decides when an entry reads a feed from the store, and when it cancels a read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.feed_watch import SHORT_WAIT

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.direct.feed_watch import FeedWatch
    from ragwortwing_runtime.backoff import Backoff

    from .transfer import Transfer

CHECK_INTERVAL = 0.1
"""Seconds between checks of the other entries' positions."""


class FeedReadTiming:
    """Timing of one entry's reads of one feed."""

    def __init__(self, feed: str, watch: FeedWatch, clock: Clock, answer_timeout: float) -> None:
        """Create the timing for a feed.

        Args:
            feed: Name of the feed.
            watch: The known positions of the other entries.
            clock: The clock.
            answer_timeout: Seconds that the store may take to answer, beyond the wait of the read.
        """
        self._feed = feed
        self._watch = watch
        self._clock = clock
        self._answer_timeout = answer_timeout

    def read_wait(self) -> float:
        """Return for how many seconds a read waits for new records."""
        return 0.0 if self._watch.follows(self._clock.monotonic()) else SHORT_WAIT

    async def wait_until_store_needed(self) -> None:
        """Wait until no watcher is heard, or until this entry is behind a watcher."""
        while True:
            await trio.sleep(CHECK_INTERVAL)
            now = self._clock.monotonic()
            if self._watch.is_behind(self._feed, now):
                return
            if not self._watch.follows(now):
                await trio.sleep(self._watch.takeover_delay(now))
                if not self._watch.follows(self._clock.monotonic()):
                    return

    async def wait_to_retry(self, backoff: Backoff) -> None:
        """Wait before the next attempt; a peer's report that the store is back ends the wait."""
        began = self._clock.monotonic()
        wait = backoff.next_wait().total_seconds()
        while True:
            now = self._clock.monotonic()
            ends = began + min(wait, self._watch.maximum_retry_delay(now))
            if now >= ends or self._watch.regained_since(began):
                return
            await trio.sleep(min(CHECK_INTERVAL, ends - now))

    async def cancel_when_overdue(self, scope: trio.CancelScope, transfer: Transfer) -> None:
        """Cancel a read if other entries have read further, or if a watcher's read takes too long.

        Neither means that the store was unavailable: it may have had no records until now. An
        answer that has begun is left to the store's client, which cancels it only if it stalls.
        """
        started_at = self._clock.monotonic()
        # The read may have been started because this entry is behind. Cancelled before the store
        # can answer, it would be restarted again and again and the entry would never catch up.
        await trio.sleep(self._answer_timeout)
        while True:
            await trio.sleep(CHECK_INTERVAL)
            if transfer.has_begun:
                return
            now = self._clock.monotonic()
            too_long = now - started_at > SHORT_WAIT + self._answer_timeout
            if self._watch.is_behind(self._feed, now) or (too_long and self._watch.is_watcher(now)):
                scope.cancel()
                return
