"""Counts this entry's requests and sends the counts to the entries that report usage."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_entry.direct.peer_messages import usage_message, usage_of
from ragwortwing_policy.duties.usage_counts import WINDOWS_KEPT, UsageCounter, UsageLedger

if TYPE_CHECKING:
    from ragwortwing_entry.direct.entry_state import EntryState
    from ragwortwing_entry.direct.peer_messages import UsageMessage
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.duties.usage_windows import UsageReportPolicy

DUTY = "usage"
"""Name of the duty that reports the counts."""

RECEIVER_COUNT = 2
"""Number of entries that receive the counts: the one that reports them and its successor."""

MAX_LOSS_SHARE = 0.005
"""Share of a window's requests that may remain uncounted if one entry crashes."""

SILENCE_TIMEOUT = 4.0
"""Seconds without a status after which an entry's counts are no longer awaited: the entry is gone,
or its counts would arrive too late."""

MIN_REPORT_INTERVAL = 0.1
MAX_REPORT_INTERVAL = 2.0
"""Bounds of the seconds between reports of an entry's counts.

In a larger fleet, the crash of one entry leaves a smaller share uncounted, and the holder of the
duty receives more reports. The interval therefore grows with the fleet."""


class UsageCollection:
    """The counts of all entries that this entry knows."""

    def __init__(self, state: EntryState, terms: UsageReportPolicy) -> None:
        self._state = state
        self._window = terms.window.total_seconds()
        self.ledger = UsageLedger()
        started_at = state.fleet_time.unix_time()
        self._counter = UsageCounter(state.identity.name, state.started, self._window, started_at)
        self._receivers: frozenset[str] = frozenset()

    def count(self, account: str, began_at: Instant) -> None:
        """Count a request of an account.

        Args:
            account: Name of the client account.
            began_at: When the request began to run, on the entry's monotonic clock.
        """
        age = self._state.clock.monotonic() - began_at
        self._counter.count(account, self._state.fleet_time.unix_time() - age)

    def senders(self) -> frozenset[str]:
        """Return the entries whose counts a window must include."""
        heard = self._state.candidates.alive(self._state.clock.monotonic(), SILENCE_TIMEOUT)
        return heard | {self._state.identity.name}

    def take(self, message: UsageMessage) -> None:
        """Merge the counts of another entry."""
        self.ledger.take(usage_of(message))

    def report(self, *, whole: bool = False) -> None:
        """Send changed counts to the entries that report usage, and all counts to new receivers.

        Args:
            whole: Whether to send all counts that are kept.
        """
        state, unix_time = self._state, self._state.fleet_time.unix_time()
        now = state.clock.monotonic()
        own_name = state.identity.name
        receivers = frozenset(state.candidates.ranked(DUTY, now)[:RECEIVER_COUNT])
        has_changes = self._counter.has_changes(unix_time)
        newcomers = receivers - self._receivers
        if newcomers or whole:
            report = self._counter.report(unix_time)
        elif has_changes:
            report = self._counter.report(unix_time, whole=False)
        else:
            return
        self._receivers = receivers
        self.ledger.take(report)
        self.ledger.forget_before(report.closed_through - WINDOWS_KEPT)
        message = usage_message(report)
        for peer in receivers - {own_name}:
            state.peers.send(message, peer)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await trio.sleep(self._interval())
            self.report()

    def _interval(self) -> float:
        """Return the seconds between reports; one entry counts about `MAX_LOSS_SHARE` in them."""
        entries = len(self.senders())
        return min(
            MAX_REPORT_INTERVAL, max(MIN_REPORT_INTERVAL, MAX_LOSS_SHARE * self._window * entries)
        )
