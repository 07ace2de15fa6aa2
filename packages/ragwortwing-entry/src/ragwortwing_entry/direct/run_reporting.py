"""Sends this entry's run reports to the schedulers of its pools and to their likely successors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.run_report import RunReporter

from .peer_messages import report_message

if TYPE_CHECKING:
    from ragwortwing_policy.direct.run_report import ReportedRun

    from .entry_state import EntryState

COLLECT_INTERVAL = 0.015
"""Seconds for which changes are collected into one report."""

CHECK_INTERVAL = 0.1
"""Seconds between checks whether a full report is due or another entry must be informed."""


class RunReporting:
    """The run reports of one entry for all pools."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._reporters_by_pool: dict[str, RunReporter] = {}
        self._informed_by_pool: dict[str, frozenset[str]] = {}
        self._changed = trio.Event()

    def reporter(self, pool: str) -> RunReporter:
        """Return the reporter of a pool; it is created on first use."""
        found = self._reporters_by_pool.get(pool)
        if found is None:
            name, started = self._state.identity.name, self._state.started
            found = self._reporters_by_pool[pool] = RunReporter(name, started, pool)
        return found

    def begin(self, pool: str, run: ReportedRun) -> None:
        """Report that a request is being sent to an engine."""
        self.reporter(pool).begin(run, self._state.clock.monotonic())
        self._changed.set()

    def first_event(self, pool: str, ticket: str) -> None:
        """Report the first event of a request: the engine has finished reading its prompt."""
        self.reporter(pool).first_event(ticket)
        self._changed.set()

    def pause_exceeded(self, pool: str, ticket: str) -> None:
        """Report that a stream paused for longer than its target."""
        self.reporter(pool).pause_exceeded(ticket)
        self._changed.set()

    def end(self, pool: str, ticket: str, *, failed: bool) -> None:
        """Report that a request has left its engine."""
        self.reporter(pool).end(ticket, failed=failed)
        self._changed.set()

    def send_runs_if_needed(self, pool: str, peer: str) -> None:
        """Send the current runs to a peer that will schedule a request, unless it has them."""
        informed = self._informed_by_pool.get(pool, frozenset())
        if peer not in informed:
            self._informed_by_pool[pool] = informed | {peer}
            self._send_full_report(pool, peer)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            with trio.move_on_after(CHECK_INTERVAL):
                await self._changed.wait()
            await trio.sleep(COLLECT_INTERVAL)
            self._changed = trio.Event()
            for pool in self._reporters_by_pool:
                self._report(pool)

    def _report(self, pool: str) -> None:
        now = self._state.clock.monotonic()
        reporter = self.reporter(pool)
        informed = self._state.choice.informed(pool, now)
        for newcomer in informed - self._informed_by_pool.get(pool, frozenset()):
            self._send_full_report(pool, newcomer)
        self._informed_by_pool[pool] = informed
        if not reporter.has_changes and not reporter.is_due(now):
            return
        message = report_message(reporter.report(now))
        for peer in informed:
            self._state.peers.send(message, peer)

    def _send_full_report(self, pool: str, peer: str) -> None:
        report = self.reporter(pool).full_report(self._state.clock.monotonic())
        self._state.peers.send(report_message(report), peer)
