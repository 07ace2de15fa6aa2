"""Reads the newest record of each key of a topic, page by page."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .decision_log import decided
from .store_port import Snapshot, StoreError

if TYPE_CHECKING:
    from .feed_relay import FeedRecord
    from .store_port import SnapshotPage, TopicStore

PAGE_RETRIES = 2
"""Retries of one page before the failure is raised."""


class SnapshotReader:
    """Reads a snapshot; after a failure the next attempt resumes at the page that failed."""

    def __init__(self, store: TopicStore, topic: str) -> None:
        self._store = store
        self._topic = topic
        self._records: list[FeedRecord] = []
        self._end: int | None = None
        self._after: str | None = None

    async def read(self) -> Snapshot:
        """Return the newest record of each key.

        Pages are read at different times. The snapshot ends at the smallest end of its pages, so
        the log from there on has every change made during the read.

        Raises:
            StoreError: The store did not answer as it should.
        """
        while True:
            page = await self._read_page()
            self._end = page.end if self._end is None else min(self._end, page.end)
            self._records.extend(_within(record, page.end) for record in page.records)
            self._after = page.next_after
            if self._after is None:
                snapshot = Snapshot(tuple(self._records), self._end)
                self._records, self._end = [], None
                return snapshot

    async def _read_page(self) -> SnapshotPage:
        for _ in range(PAGE_RETRIES):
            try:
                return await self._store.newest_page(self._topic, self._after)
            except StoreError as error:
                if error.status is not None:
                    raise
                decided("page_asked_again", after=self._after, cause=error.cause)
        return await self._store.newest_page(self._topic, self._after)


def _within(record: FeedRecord, end: int) -> FeedRecord:
    """Return a record with an offset that no later record of its key precedes."""
    return record if record.offset <= end else replace(record, offset=end)
