"""Sends this entry's run reports to the entries that schedule its pools, or would take over."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.run_report import RunReporter

from .peer_messages import report_message

if TYPE_CHECKING:
    from ragwortwing_policy.direct.run_report import ReportedRun

    from .entry_state import EntryState

GATHER = 0.015
"""Seconds for which changes are gathered into one report."""

CHECK_INTERVAL = 0.1
"""Seconds between two checks whether a whole report is due, or another entry is to be informed."""


class RunReporting:
    """The reports of one entry on all pools."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._reporters_by_pool: dict[str, RunReporter] = {}
        self._informed_by_pool: dict[str, frozenset[str]] = {}
        self._news = trio.Event()

    def reporter(self, pool: str) -> RunReporter:
        """Return what makes the reports on a pool."""
        found = self._reporters_by_pool.get(pool)
        if found is None:
            name, started = self._state.identity.name, self._state.started
            found = self._reporters_by_pool[pool] = RunReporter(name, started, pool)
        return found

    def begin(self, pool: str, run: ReportedRun) -> None:
        """Report that a request is sent to an engine."""
        self.reporter(pool).begin(run, self._state.clock.monotonic())
        self._news.set()

    def first_event(self, pool: str, ticket: str) -> None:
        """Report that an engine has read a request's prompt."""
        self.reporter(pool).first_event(ticket)
        self._news.set()

    def pause_exceeded(self, pool: str, ticket: str) -> None:
        """Report that a stream had a pause beyond its target."""
        self.reporter(pool).pause_exceeded(ticket)
        self._news.set()

    def end(self, pool: str, ticket: str, *, failed: bool) -> None:
        """Report that a request has left its engine."""
        self.reporter(pool).end(ticket, failed=failed)
        self._news.set()

    def inform(self, pool: str, peer: str) -> None:
        """Make sure that a peer which is asked for an engine knows what runs."""
        informed = self._informed_by_pool.get(pool, frozenset())
        if peer not in informed:
            self._informed_by_pool[pool] = informed | {peer}
            self._send_whole(pool, peer)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            with trio.move_on_after(CHECK_INTERVAL):
                await self._news.wait()
            await trio.sleep(GATHER)
            self._news = trio.Event()
            for pool in self._reporters_by_pool:
                self._report(pool)

    def _report(self, pool: str) -> None:
        now = self._state.clock.monotonic()
        reporter = self.reporter(pool)
        informed = self._state.choice.informed(pool, now)
        for newcomer in informed - self._informed_by_pool.get(pool, frozenset()):
            self._send_whole(pool, newcomer)
        self._informed_by_pool[pool] = informed
        if not reporter.has_news and not reporter.is_due(now):
            return
        message = report_message(reporter.report(now))
        for peer in informed:
            self._state.peers.send(message, peer)

    def _send_whole(self, pool: str, peer: str) -> None:
        report = self.reporter(pool).whole_report(self._state.clock.monotonic())
        self._state.peers.send(report_message(report), peer)
