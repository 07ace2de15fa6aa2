"""Counts this entry's requests and brings the counts to those that report them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_entry.direct.peer_messages import usage_message, usage_of
from ragwortwing_policy.duties.usage_counts import WINDOWS_KEPT, UsageCounter, UsageLedger

if TYPE_CHECKING:
    from ragwortwing_entry.direct.entry_state import EntryState
    from ragwortwing_entry.direct.peer_messages import UsageMessage
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.duties.usage_windows import UsageTerms

DUTY = "usage"

RECEIVERS = 2
"""Entries that are sent the counts: the one that should report them and the next in line."""

LOSS_BOUND = 0.005
"""Part of a window's requests that the death of one entry may leave uncounted."""

SILENCE = 4.0
"""Seconds without a status after which an entry's counts are not waited for: it is gone, or its
counts come too late."""

SHORTEST_INTERVAL = 0.1
LONGEST_INTERVAL = 2.0
"""Seconds between two reports of an entry's counts; the larger the fleet, the less one entry's
death leaves uncounted, and the more reports its holder takes in."""


class UsageCollection:
    """Counts of all entries, as far as this one knows them."""

    def __init__(self, state: EntryState, terms: UsageTerms) -> None:
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
            began_at: When it began to run, on the entry's monotonic clock.
        """
        age = self._state.clock.monotonic() - began_at
        self._counter.count(account, self._state.fleet_time.unix_time() - age)

    def senders(self) -> frozenset[str]:
        """Return the entries whose counts belong to a window."""
        heard = self._state.candidates.alive(self._state.clock.monotonic(), SILENCE)
        return heard | {self._state.identity.name}

    def take(self, message: UsageMessage) -> None:
        """Take in the counts of another entry."""
        self.ledger.take(usage_of(message))

    def report(self, *, whole: bool = False) -> None:
        """Send the counts that changed to those that need them.

        Args:
            whole: Whether to send all that are kept.
        """
        state, unix_time = self._state, self._state.fleet_time.unix_time()
        now = state.clock.monotonic()
        own_name = state.identity.name
        receivers = frozenset(state.candidates.ranked(DUTY, now)[:RECEIVERS])
        has_news = self._counter.has_news(unix_time)
        newcomers = receivers - self._receivers
        if newcomers or whole:
            report = self._counter.report(unix_time)
        elif has_news:
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
        """Report until cancelled."""
        while True:
            await trio.sleep(self._interval())
            self.report()

    def _interval(self) -> float:
        """Return the seconds between reports: what one entry counts in them is a small part."""
        entries = len(self.senders())
        return min(LONGEST_INTERVAL, max(SHORTEST_INTERVAL, LOSS_BOUND * self._window * entries))
