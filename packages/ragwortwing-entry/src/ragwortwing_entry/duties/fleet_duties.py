"""Runs all duties of one entry: usage counts, candidacy, and a runner for each duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_entry.direct.decision_log import warned

from .duty import duty_builder
from .duty_runner import DutyRunner
from .usage_collection import UsageCollection

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import timedelta

    from ragwortwing_entry.direct.entry_state import EntryState
    from ragwortwing_entry.direct.peer_messages import StatusMessage, UsageMessage
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.duties.usage_windows import UsageReportPolicy

    from .ports import DutyLog, UsageCalls

CANDIDACY_INTERVAL = 0.1
"""Seconds between checks whether this entry can hold duties."""


class FleetDuties:
    """One entry's runners and usage counts for the duties of the fleet."""

    def __init__(
        self,
        names: Iterable[str],
        state: EntryState,
        log: DutyLog,
        calls: UsageCalls,
        terms: UsageReportPolicy,
        exclusive: timedelta,
    ) -> None:
        """Create the duties.

        Args:
            names: Duties that the platform requests; unknown ones are logged and skipped.
            state: The state of the entry.
            log: The log of duty records.
            calls: The calls that the duties make.
            terms: The operator's requirements for usage reports.
            exclusive: The span in which two entries must not act alternately.
        """
        self._state = state
        self.usage = UsageCollection(state, terms)
        self.runners_by_duty: dict[str, DutyRunner] = {}
        for name in names:
            builder = duty_builder(name)
            if builder is None:
                warned("duty_unknown", duty=name)
                continue
            duty = builder(state, self.usage, terms, calls)
            self.runners_by_duty[name] = DutyRunner(duty, state, log, exclusive)
        state.peers.on_status(self._take_record_offsets)

    def count(self, account: str, began_at: Instant) -> None:
        """Count a request of an account that has begun to run."""
        self.usage.count(account, began_at)

    def take(self, message: UsageMessage) -> None:
        """Merge the counts of another entry."""
        self.usage.take(message)

    def _take_record_offsets(self, status: StatusMessage) -> None:
        for duty, offset in status.offset_by_duty.items():
            runner = self.runners_by_duty.get(duty)
            if runner is not None:
                runner.lease.record_peer_offset(offset, self._state.clock.boot_time())

    async def run(self) -> None:
        """Run the duties and report counts until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._update_candidacy)
            nursery.start_soon(self.usage.run)
            for runner in self.runners_by_duty.values():
                nursery.start_soon(runner.run)

    async def leave(self) -> None:
        """Release all duties permanently, then send the final counts to their receivers."""
        async with trio.open_nursery() as nursery:
            for runner in self.runners_by_duty.values():
                nursery.start_soon(runner.leave)
        self.usage.report(whole=True)

    async def _update_candidacy(self) -> None:
        while True:
            self._state.candidates.offer(can_hold=self._can_hold())
            await trio.sleep(CANDIDACY_INTERVAL)

    def _can_hold(self) -> bool:
        """Return whether this entry reaches the store and at least half of its peers.

        An entry that is cut off from the others would report only its own counts as the total.
        """
        now = self._state.clock.monotonic()
        members = self._state.peers.members
        heard = self._state.candidates.alive(now) & members
        return (
            self._state.watch.hears_store(now)
            and 2 * len(heard) >= len(members)
            and any(each.is_ready for each in self.runners_by_duty.values())
        )
