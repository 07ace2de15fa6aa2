"""Sends this entry's run reports to the schedulers of its pools and to their likely successors."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.run_report import RunReporter, learn_own_gaps

from .decision_log import decided
from .peer_messages import report_message

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.direct.engine_model import EngineEstimate
    from ragwortwing_policy.direct.run_report import ReportedRun

    from .entry_state import EntryState

COLLECT_INTERVAL = 0.015
"""Seconds for which changes are collected into one report."""

CHECK_INTERVAL = 0.1
"""Seconds between checks whether a full report is due or another entry must be informed."""

SUSPENDED_AFTER = 0.4
"""Seconds without a turn of the reporting loop after which this process counts as suspended. What
it measures over such a span says nothing about an engine. The loop's longest turn is 0.115 s."""

ESTIMATE_LOG_INTERVAL = 1.0
"""Seconds between checks for changed estimates to log."""


class RunReporting:
    """The run reports of one entry for all pools."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._reporters_by_pool: dict[str, RunReporter] = {}
        self._informed_by_pool: dict[str, frozenset[str]] = {}
        self._changed = trio.Event()
        self._turn_at: Instant = state.clock.monotonic()
        self._suspended_until: Instant = -inf
        self._estimates_logged_at: Instant = -inf
        self.measurements_discarded = 0
        """Measurements that span a suspension of this process."""

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

    def first_event(self, pool: str, ticket: str, after: float | None) -> None:
        """Report the first event of a request: the engine has finished reading its prompt.

        Args:
            pool: The pool of the engine.
            ticket: The request's name on it.
            after: Measured seconds from the send to the event; None if not measured.
        """
        self.reporter(pool).first_event(ticket, after)
        self._changed.set()

    def gap(self, pool: str, ticket: str, seconds: float) -> None:
        """Record the time between two events of a stream, for the next report that names it."""
        now = self._state.clock.monotonic()
        if self._was_suspended(seconds, now):
            self.measurements_discarded += 1
            return
        self.reporter(pool).gap(ticket, seconds, now)

    def was_suspended(self, seconds: float) -> bool:
        """Return whether this process was suspended within some last seconds."""
        return self._was_suspended(seconds, self._state.clock.monotonic())

    def _was_suspended(self, seconds: float, now: Instant) -> bool:
        return now - self._turn_at > SUSPENDED_AFTER or now - seconds < self._suspended_until

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
        self._turn_at = self._state.clock.monotonic()
        while True:
            with trio.move_on_after(CHECK_INTERVAL):
                await self._changed.wait()
            await trio.sleep(COLLECT_INTERVAL)
            self._changed = trio.Event()
            self._note_turn(self._state.clock.monotonic())
            for pool in self._reporters_by_pool:
                self._report(pool)
            self._log_estimates(self._turn_at)

    def _note_turn(self, now: Instant) -> None:
        """Discard what was measured since the last turn if it is too long ago."""
        if now - self._turn_at > SUSPENDED_AFTER:
            decided("measurements_discarded", suspended_s=round(now - self._turn_at, 3))
            self._suspended_until = now
            for reporter in self._reporters_by_pool.values():
                reporter.discard_gaps()
        self._turn_at = now

    def _log_estimates(self, now: Instant) -> None:
        if now < self._estimates_logged_at + ESTIMATE_LOG_INTERVAL:
            return
        self._estimates_logged_at = now
        for estimate in self._state.placement.changed_estimates(now):
            _log_estimate(estimate)

    def _report(self, pool: str) -> None:
        now = self._state.clock.monotonic()
        reporter = self.reporter(pool)
        informed = self._state.choice.informed(pool, now)
        for newcomer in informed - self._informed_by_pool.get(pool, frozenset()):
            self._send_full_report(pool, newcomer)
        self._informed_by_pool[pool] = informed
        if not reporter.has_changes and not reporter.is_due(now):
            return
        report = reporter.report(now)
        learn_own_gaps(self._state.placement, report, now)
        message = report_message(report)
        for peer in informed:
            self._state.peers.send(message, peer)

    def _send_full_report(self, pool: str, peer: str) -> None:
        report = self.reporter(pool).full_report(self._state.clock.monotonic())
        self._state.peers.send(report_message(report), peer)


def _log_estimate(estimate: EngineEstimate) -> None:
    gap, under_prefill = estimate.gap, estimate.gap_under_prefill
    decided(
        "engine_estimate_changed",
        backend=estimate.backend_id,
        in_force=estimate.in_force,
        fixed_ms=round(1000 * estimate.fixed_time, 1),
        tokens_per_s=round(estimate.tokens_per_second),
        samples=estimate.samples,
        gap_ms=None if gap is None else round(1000 * gap, 1),
        gap_under_prefill_ms=None if under_prefill is None else round(1000 * under_prefill, 1),
        gap_samples=estimate.gap_samples,
        margin_ratio=None if estimate.margin_ratio is None else round(estimate.margin_ratio, 2),
        takes_both=estimate.shared,
    )
