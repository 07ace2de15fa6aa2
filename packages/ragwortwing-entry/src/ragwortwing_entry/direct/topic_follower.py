"""Follows a keyed topic of the store, or the watchers that read it for all."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.feed_watch import AFTER_OUTAGE, IDLE_RETRY
from ragwortwing_runtime.backoff import Backoff

from .decision_log import decided, warned
from .feed_pace import FeedPace
from .snapshot_reader import SnapshotReader
from .store_port import HistoryLostError, StoreError
from .transfer import Transfer

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from .entry_state import EntryState
    from .feed_relay import FeedRecord, FeedRecords
    from .store_port import Snapshot, TopicStore

ANSWER_TIMEOUT = 0.8
"""Seconds without a byte of an answer, beyond what the call waits for, after which it is given up.

A long answer over a narrow link takes longer as a whole; given up half-way, it would be asked for
again, and a fleet that starts at once would never get through."""

FIRST_WAIT = timedelta(milliseconds=60)
"""Wait after the first failure; it doubles up to what `FeedWatch` allows."""

GATHER = 0.5
"""Seconds after news before the store is asked for more: changes come in rows, and each record of a
row would be a call of its own."""

SNAPSHOT_OVERHEAD = 4 / 3
"""Bytes of a record in a snapshot, as text, for each of its bytes in the log."""


class TopicFollower:
    """Follows one keyed topic: a snapshot, then each record after it.

    A watcher reads the store and passes on what it finds; any other entry takes it from there.
    """

    def __init__(
        self,
        store: TopicStore,
        topic: str,
        state: EntryState,
        on_snapshot: Callable[[Snapshot], None],
        on_record: Callable[[FeedRecord], None],
        random: Random,
    ) -> None:
        self._store = store
        self._topic = topic
        self._snapshot = SnapshotReader(store, topic)
        self._watch = state.watch
        self._reads_abandoned = state.reads_abandoned
        self._clock = state.clock
        self._pace = FeedPace(topic, state.watch, state.clock, ANSWER_TIMEOUT)
        self._peers = state.peers
        self._relay = state.relay
        state.relay.on_records(topic, self._take_relayed)
        self._on_snapshot = on_snapshot
        self._on_record = on_record
        self._backoff = Backoff(random, FIRST_WAIT, timedelta(seconds=IDLE_RETRY))
        self._keys: set[str] = set()
        self._offset: int | None = None
        self._lost_at: float | None = None
        self.heard_at = 0.0
        """When the store last answered."""

    def seconds_unsure(self) -> float:
        """Return for how long a removal may still stem from an outage; 0 where none is near."""
        if self._lost_at is not None:
            return AFTER_OUTAGE
        return self._watch.unsure_for(self._clock.monotonic())

    async def run(self) -> None:
        """Follow the topic for as long as the process runs."""
        while True:
            try:
                await self._step()
            except HistoryLostError:
                decided("history_lost", topic=self._topic, offset=self._offset)
                self._offset = None
            except StoreError as error:
                self._lost(error)
                await self._pace.wait_to_retry(self._backoff)

    async def _step(self) -> None:
        now = self._clock.monotonic()
        if self._offset is None:
            await self._read_snapshot()
            return
        if self._is_snapshot_smaller():
            await self._read_snapshot()
            await trio.sleep(max(0.0, now + GATHER - self._clock.monotonic()))
            return
        if self._lost_at is None and self._watch.follows(now):
            await self._pace.until_store_is_needed()
        transfer = await self._read(self._offset)
        if transfer.records or not self._watch.is_watcher(self._clock.monotonic()):
            await trio.sleep(max(0.0, GATHER - transfer.duration()))

    async def _read_snapshot(self) -> None:
        snapshot = await self._snapshot.read()
        self._heard()
        self._keys.update(record.key for record in snapshot.records)
        self._on_snapshot(snapshot)
        self._offset = max(snapshot.end, self._offset or 0)
        self._watch.reached(self._topic, self._offset, self.heard_at)

    def _is_snapshot_smaller(self) -> bool:
        """Return whether most records that this entry lacks have been replaced by later ones.

        Read one after another over a narrow link, large documents that follow each other quickly
        would leave the entry further behind with each of them.
        """
        behind = self._watch.records_behind(self._topic)
        return bool(self._keys) and behind > SNAPSHOT_OVERHEAD * len(self._keys)

    def _take_read(self, found: FeedRecords) -> None:
        """Take in what the store has answered so far, and pass it on."""
        self._heard()
        self._take_records(found)
        self._watch.reached(self._topic, found.end, self.heard_at)
        self._relay.send(self._topic, found)

    def _take_relayed(self, found: FeedRecords) -> None:
        """Take in what a watcher has read; behind a gap nothing is taken."""
        if self._offset is None or not found.first <= self._offset < found.end:
            return
        self._take_records(found)
        self._watch.advanced(self._topic, found.end)

    def _take_records(self, found: FeedRecords) -> None:
        for record in found.records:
            self._keys.add(record.key)
            self._on_record(record)
        self._offset = max(found.end, self._offset or 0)

    async def _read(self, offset: int) -> Transfer:
        """Read on, unless the others show that this read has been forgotten.

        Raises:
            StoreError: The store did not answer as it should.
        """
        transfer = Transfer(self._clock, self._take_read)
        is_done = False
        failure: StoreError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pace.cancel_when_overdue, nursery.cancel_scope, transfer)
            try:
                # A store without news answers when the wait is over: the end of an outage would be
                # noticed that much too late, and what hangs on its time as well.
                wait = 0.0 if self._lost_at is not None else self._pace.read_wait()
                await self._store.read(self._topic, offset, wait, transfer)
                is_done = True
            except StoreError as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            if transfer.has_begun:
                self._broken_off(offset, transfer, failure)
            raise failure
        if not is_done:
            self._abandoned(offset, transfer)
        return transfer

    def _abandoned(self, offset: int, transfer: Transfer) -> None:
        self._reads_abandoned[self._topic] += 1
        decided(
            "read_started_again",
            topic=self._topic,
            offset=offset,
            records_behind=self._watch.records_behind(self._topic),
            took_s=round(transfer.elapsed(), 3),
        )

    def _broken_off(self, offset: int, transfer: Transfer, failure: StoreError) -> None:
        decided(
            "read_broken_off",
            topic=self._topic,
            offset=offset,
            records=transfer.records,
            received_bytes=transfer.received_bytes,
            took_s=round(transfer.elapsed(), 3),
            stalled_s=round(transfer.stalled_for(), 3),
            cause=failure.cause,
        )

    def _heard(self) -> None:
        self.heard_at = self._clock.monotonic()
        self._backoff.reset()
        if self._lost_at is None:
            return
        for_all = self._watch.was_for_all(self._lost_at, self.heard_at)
        decided(
            "store_regained",
            topic=self._topic,
            away_s=round(self.heard_at - self._lost_at, 3),
            for_all=for_all,
        )
        self._lost_at = None
        if for_all:
            self._watch.outage_over(self.heard_at + AFTER_OUTAGE)
        self._peers.wake()

    def _lost(self, error: StoreError) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            warned("store_lost", topic=self._topic, call=error.call, cause=error.cause)
