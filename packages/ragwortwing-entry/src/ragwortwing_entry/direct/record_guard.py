"""Applies the records of a feed so that one that cannot be used leaves the others in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_policy.decoding import InvalidDataError

from .decision_log import failed, warned

if TYPE_CHECKING:
    from collections.abc import Callable

    from ragwortwing_policy.clock import Instant

    from .entry_state import EntryState
    from .feed_relay import FeedRecord
    from .store_port import Snapshot

REPORT_INTERVAL = 60.0
"""Seconds between two reports of unusable records under one key."""

MAX_REPORTED_KEYS = 256
"""Maximum keys that are reported within the interval; records of further keys are only counted."""


class RecordGuard:
    """Keeps a record that cannot be used from ending the process, and reports it.

    A record stays in the store, so that a process which it ends would end again after each restart.
    """

    def __init__(
        self,
        state: EntryState,
        topic: str,
        kind: str,
        apply: Callable[[FeedRecord], None],
        discard: Callable[[str], None] = lambda _: None,
        on_gap: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a guard.

        Args:
            state: The state of the entry, which counts the records that cannot be used.
            topic: The feed.
            kind: What a record describes, for the log.
            apply: Applies a record; raises `InvalidDataError` if it cannot be decoded.
            discard: Called with the key of a record that could not be applied.
            on_gap: Called after a snapshot that lacks records which were replaced before this
                entry read them.
        """
        self._topic = topic
        self._kind = kind
        self._apply = apply
        self._discard = discard
        self._on_gap = on_gap
        self._position = 0
        """Offset up to which every record has been applied or skipped."""
        self._unusable_by_topic = state.unusable_by_topic
        self._clock = state.clock
        self._reported_at_by_key: dict[str, Instant] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the records of a snapshot."""
        is_complete = snapshot.has_all_since(self._position)
        for record in snapshot.records:
            self.apply(record)
        self._position = max(self._position, snapshot.end)
        if not is_complete:
            self._on_gap()

    def apply(self, record: FeedRecord) -> None:
        """Apply a record; the first of several unusable ones under a key is logged.

        The next one is logged after an interval, even if usable ones were applied in between.
        """
        self._position = max(self._position, record.offset + 1)
        try:
            self._apply(record)
        except InvalidDataError as error:
            if self._is_report_due(record.key):
                warned(
                    f"{self._kind}_unreadable",
                    topic=self._topic,
                    key=record.key,
                    offset=record.offset,
                    cause=error.cause,
                )
            self._discard(record.key)
        except Exception:  # noqa: BLE001 - one record must not end the process and its requests
            if self._is_report_due(record.key):
                failed("record_handling_failed", topic=self._topic, key=record.key)
            self._discard(record.key)

    def _is_report_due(self, key: str) -> bool:
        self._unusable_by_topic[self._topic] += 1
        now = self._clock.monotonic()
        reported = self._reported_at_by_key
        while reported and now - next(iter(reported.values())) >= REPORT_INTERVAL:
            del reported[next(iter(reported))]
        if key in reported or len(reported) >= MAX_REPORTED_KEYS:
            return False
        reported[key] = now
        return True
