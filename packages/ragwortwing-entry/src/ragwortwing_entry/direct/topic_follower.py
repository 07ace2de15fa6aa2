"""Follows a keyed topic by reading the store or by receiving records that a watcher relays."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.feed_watch import IDLE_RETRY, POST_OUTAGE_SECONDS
from ragwortwing_runtime.backoff import Backoff

from .decision_log import decided, warned
from .feed_read_timing import FeedReadTiming
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
"""Seconds without a byte of an answer, beyond the wait of the call, after which it is cancelled.

A large answer over a slow link may take longer in total. If it were cancelled half-way, it would be
requested again, and a fleet that starts all at once would never finish its reads."""

FIRST_WAIT = timedelta(milliseconds=60)
"""Wait after the first failure; it doubles up to the limit that `FeedWatch` sets."""

BURST_INTERVAL = 0.5
"""Seconds between the start of an answer with records and the next read.

Changes come in bursts; without this wait each record of a burst would need a call of its own."""

SNAPSHOT_OVERHEAD = 4 / 3
"""Size of a record in a snapshot, where it is encoded as text, relative to its size in the log."""


class TopicFollower:
    """Follows one keyed topic: reads a snapshot, then each record after it.

    A watcher reads the store and relays the records; every other entry receives them from it.
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
        self._state = state
        self._watch = state.watch
        self._reads_abandoned = state.reads_abandoned
        self._clock = state.clock
        self._timing = FeedReadTiming(topic, state.watch, state.clock, ANSWER_TIMEOUT)
        self._peers = state.peers
        self._relay = state.relay
        state.relay.on_records(topic, self._on_relayed)
        state.catch_up.follow(topic, self.read_to_end)
        self._on_snapshot = on_snapshot
        self._on_record = on_record
        self._backoff = Backoff(random, FIRST_WAIT, timedelta(seconds=IDLE_RETRY))
        self._keys: set[str] = set()
        self._offset: int | None = None
        self._snapshot_read_at = -BURST_INTERVAL
        self._is_confirmed = False
        """Whether the log is known to reach the end of the last snapshot."""
        self._lost_at: float | None = None
        self.heard_at = 0.0
        """Monotonic time of the store's last answer."""

    def outage_uncertainty_seconds(self) -> float:
        """Return for how many seconds an outage may still explain a removal; 0 without one.

        A removal that is relayed while this entry does not reach the store is judged by what the
        entry that relays it says: the store answers that entry.
        """
        unsure = self._watch.unsure_for(self._clock.monotonic())
        if self._watch.registrations_may_expire:
            return unsure
        return min(unsure, self._state.max_removal_delay)

    async def run(self) -> None:
        """Follow the topic for as long as the process runs."""
        while True:
            try:
                await self._step()
            except HistoryLostError:
                decided("history_lost", topic=self._topic, offset=self._offset)
                self._offset = None
                await self._wait_after_snapshot()
            except StoreError as error:
                self._on_failure(error)
                await self._timing.wait_to_retry(self._backoff)

    async def read_to_end(self) -> bool:
        """Read all records that the store holds when this is called.

        Returns:
            Whether the store's answers reached the end of the topic.
        """
        end: int | None = None
        while (offset := self._offset) is not None:
            transfer = Transfer(self._clock, self._on_read)
            try:
                await self._store.read(self._topic, offset, 0.0, transfer)
            except StoreError as error:
                decided("feed_not_read_to_end", topic=self._topic, cause=error.cause)
                return False
            # Later records need not be read. They may arrive faster than they are read.
            end = transfer.log_end if end is None else end
            if end is None or self._offset is None:
                return False
            # An answer has a maximum size.
            if self._offset >= end:
                return True
            if self._offset == offset:
                decided("feed_not_read_to_end", topic=self._topic, cause="no progress")
                return False
        return False

    async def _step(self) -> None:
        now = self._clock.monotonic()
        if self._offset is None:
            await self._read_snapshot()
            return
        if self._is_snapshot_smaller():
            await self._read_snapshot()
            await self._wait_after_snapshot()
            return
        if self._lost_at is None and self._watch.follows(now):
            await self._timing.wait_until_store_needed()
        transfer = await self._read(self._offset)
        if transfer.records or not self._watch.is_watcher(self._clock.monotonic()):
            await trio.sleep(max(0.0, BURST_INTERVAL - transfer.duration()))

    async def _read_snapshot(self) -> None:
        self._snapshot_read_at = self._clock.monotonic()
        snapshot = await self._snapshot.read()
        self._on_answer()
        self._keys.update(record.key for record in snapshot.records)
        self._on_snapshot(snapshot)
        self._offset = max(snapshot.end, self._offset or 0)
        # The end may lie beyond the log, and once it is reported, the other entries wait for
        # records up to it. Unless a record or an entry has reached it, it counts after a read.
        newest = max((record.offset for record in snapshot.records), default=-1)
        known_end = max(newest + 1, self._watch.peer_position(self._topic))
        self._is_confirmed = snapshot.end <= known_end
        self._watch.reached(self._topic, min(snapshot.end, known_end), self.heard_at)

    async def _wait_after_snapshot(self) -> None:
        """Wait until the next snapshot may be read."""
        ends = self._snapshot_read_at + BURST_INTERVAL
        await trio.sleep(max(0.0, ends - self._clock.monotonic()))

    def _is_snapshot_smaller(self) -> bool:
        """Return whether a snapshot is smaller than the records that this entry is missing.

        If large documents follow each other quickly, reading every version over a slow link would
        leave the entry further behind with each one.
        """
        behind = self._watch.records_behind(self._topic)
        return (
            self._is_confirmed and bool(self._keys) and behind > SNAPSHOT_OVERHEAD * len(self._keys)
        )

    def _on_read(self, found: FeedRecords) -> None:
        """Apply the records that the store has sent so far, and relay them."""
        self._on_answer()
        self._is_confirmed = True
        self._apply_records(found)
        self._watch.reached(self._topic, found.end, self.heard_at)
        self._relay.send(self._topic, found)

    def _on_relayed(self, found: FeedRecords) -> None:
        """Apply records that a watcher relayed; records after a gap are ignored."""
        if self._offset is None or not found.first <= self._offset < found.end:
            return
        self._apply_records(found)
        self._watch.advanced(self._topic, found.end)

    def _apply_records(self, found: FeedRecords) -> None:
        for record in found.records:
            if record.value is None:
                self._keys.discard(record.key)
            else:
                self._keys.add(record.key)
            self._on_record(record)
        self._offset = max(found.end, self._offset or 0)

    async def _read(self, offset: int) -> Transfer:
        """Read from an offset on; the read is cancelled if it is overdue.

        Raises:
            StoreError: The call failed or the answer was invalid.
        """
        transfer = Transfer(self._clock, self._on_read)
        completed = False
        failure: StoreError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._timing.cancel_when_overdue, nursery.cancel_scope, transfer)
            try:
                # A store without new records answers only after the wait. After a failure the read
                # does not wait, so that the end of an outage and its time are noticed at once.
                waits = self._lost_at is None and self._is_confirmed
                wait = self._timing.read_wait() if waits else 0.0
                await self._store.read(self._topic, offset, wait, transfer)
                completed = True
            except StoreError as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            if transfer.has_begun:
                self._log_broken_off(offset, transfer, failure)
            raise failure
        if not completed:
            self._record_abandoned(offset, transfer)
        return transfer

    def _record_abandoned(self, offset: int, transfer: Transfer) -> None:
        self._reads_abandoned[self._topic] += 1
        decided(
            "read_started_again",
            topic=self._topic,
            offset=offset,
            records_behind=self._watch.records_behind(self._topic),
            took_s=round(transfer.elapsed(), 3),
        )

    def _log_broken_off(self, offset: int, transfer: Transfer, failure: StoreError) -> None:
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

    def _on_answer(self) -> None:
        self.heard_at = self._clock.monotonic()
        self._backoff.reset()
        if self._lost_at is None:
            return
        for_all = self._watch.may_be_fleet_wide(self._lost_at, self.heard_at)
        decided(
            "store_regained",
            topic=self._topic,
            away_s=round(self.heard_at - self._lost_at, 3),
            for_all=for_all,
        )
        self._lost_at = None
        if for_all:
            self._watch.record_outage_end(self.heard_at + POST_OUTAGE_SECONDS)
        self._peers.wake()

    def _on_failure(self, error: StoreError) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            warned("store_lost", topic=self._topic, call=error.call, cause=error.cause)
