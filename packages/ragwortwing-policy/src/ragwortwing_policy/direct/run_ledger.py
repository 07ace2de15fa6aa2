"""A scheduler's record of the runs of all entries on its pools, updated from their reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

from .memory_guard import REPORTS_WITHIN, RETAINED_AFTER_LOSS
from .run_cost import RunCost

if TYPE_CHECKING:
    from collections.abc import Callable

    from .backend_list import BackendServer
    from .failure_tracker import FailureTracker
    from .placement import Placement
    from .routing_table import EngineTraits
    from .run_report import EndedRun, ReportedRun, RunReport

SENDER_SILENCE = 2.5
"""Seconds without a report after which an entry's runs are dropped: its connections to the
engines have ended too."""

GRANT_EXPIRY = 0.5
"""Seconds after which a grant that its entry has not reported is revoked."""

SEEN_WITHIN = 0.1
"""Age in seconds up to which a run counts as known from its start. Entries report a new run within
0.02 s, so an older one was on its engine before this entry knew of it."""


def run_key(sender: str, ticket: str) -> str:
    """Return a key for another entry's run that is unique among all entries."""
    return f"{sender}/{ticket}"


@dataclass(slots=True)
class _Run:
    backend_id: str
    granted_at: Instant
    reported: bool = False


@dataclass(slots=True)
class _Sender:
    started: int
    heard_at: Instant
    number: int = 0
    whole_at: Instant | None = None
    """When its last whole report was received."""
    runs_by_ticket: dict[str, _Run] = field(default_factory=dict)


class RunLedger:
    """Runs of the other entries, added to the load of the engines they are on."""

    def __init__(
        self,
        placement: Placement,
        failure_tracker: FailureTracker,
        engine: Callable[[str], tuple[BackendServer, EngineTraits] | None],
    ) -> None:
        """Create a ledger.

        Args:
            placement: Holds the engines' loads.
            failure_tracker: Records the failures that other entries reported.
            engine: Returns a listed engine and its traits by id.
        """
        self._placement = placement
        self._trust = failure_tracker
        self._engine = engine
        self._senders_by_pool: dict[tuple[str, str], _Sender] = {}

    def granted(
        self, pool: str, sender: str, started: int, ticket: str, backend_id: str, now: Instant
    ) -> None:
        """Record a grant to another entry; the engine's load already includes it."""
        state = self._sender(pool, sender, started, now)
        state.heard_at = now
        state.runs_by_ticket[ticket] = _Run(backend_id, now)

    def is_reported(self, pool: str, sender: str, ticket: str) -> bool:
        """Return whether an entry has reported a run or its end."""
        state = self._senders_by_pool.get((pool, sender))
        run = state.runs_by_ticket.get(ticket) if state is not None else None
        return run is None or run.reported

    def take(self, report: RunReport, now: Instant) -> bool:
        """Process a report and return whether an engine's load has changed."""
        sender = self._sender(report.pool, report.sender, report.started, now)
        if report.started < sender.started or report.number <= sender.number:
            return False
        sender.number = report.number
        sender.heard_at = now
        changed = bool(report.ended)
        for run in report.runs:
            changed |= self._process_run(report, sender, run, now)
        for ended in report.ended:
            self._process_end(report.sender, sender, ended, now)
        if report.whole:
            sender.whole_at = now
            named = {each.ticket for each in report.runs}
            changed |= self._end_missing(report.sender, sender, named, now)
        return changed

    def reported(self, pool: str, now: Instant) -> frozenset[str]:
        """Return the entries whose whole report on a pool is recent."""
        return frozenset(
            name
            for (of_pool, name), sender in self._senders_by_pool.items()
            if of_pool == pool
            and sender.whole_at is not None
            and now - sender.whole_at <= SENDER_SILENCE
        )

    def withdraw(self, pool: str, sender: str, ticket: str, now: Instant) -> None:
        """Revoke a grant that its entry does not use."""
        state = self._senders_by_pool.get((pool, sender))
        if state is not None:
            self._end(sender, state, ticket, now)

    def expire(self, now: Instant) -> tuple[str, ...]:
        """Drop silent entries and unused grants; return the names of the silent entries."""
        silent = []
        for (pool, name), sender in list(self._senders_by_pool.items()):
            if now - sender.heard_at > SENDER_SILENCE:
                if sender.runs_by_ticket:
                    silent.append(name)
                self._drop(pool, name, now)
                continue
            for ticket, run in list(sender.runs_by_ticket.items()):
                if not run.reported and now - run.granted_at > GRANT_EXPIRY:
                    # Its entry may use the grant although all of its reports were lost so far.
                    self._end(name, sender, ticket, now, REPORTS_WITHIN - GRANT_EXPIRY)
        return tuple(silent)

    def _sender(self, pool: str, name: str, started: int, now: Instant) -> _Sender:
        state = self._senders_by_pool.get((pool, name))
        if state is not None and started > state.started:
            self._drop(pool, name, now)
            state = None
        if state is None:
            state = self._senders_by_pool[pool, name] = _Sender(started, now)
        return state

    def _process_run(
        self, report: RunReport, sender: _Sender, run: ReportedRun, now: Instant
    ) -> bool:
        known_run = sender.runs_by_ticket.get(run.ticket)
        if known_run is None:
            return self._adopt(report, sender, run, now)
        known_run.reported = True
        if not run.is_read:
            return False
        key = run_key(report.sender, run.ticket)
        if run.exceeded:
            self._placement.pause_exceeded(known_run.backend_id, key, now)
        self._learn_gaps(known_run.backend_id, key, run, now)
        found = self._placement.first_event(
            known_run.backend_id, key, now, run.first_event_after, now - run.age
        )
        return found is not None

    def _learn_gaps(self, backend_id: str, key: str, run: ReportedRun, now: Instant) -> None:
        if run.longest_gap is not None and run.mean_gap is not None:
            self._placement.stream_gaps(
                backend_id,
                key,
                longest=run.longest_gap,
                mean=run.mean_gap,
                events=run.events,
                now=now,
            )

    def _adopt(self, report: RunReport, sender: _Sender, run: ReportedRun, now: Instant) -> bool:
        """Add a run that another scheduler or the entry itself has placed."""
        found = self._engine(run.backend_id)
        if found is None:
            return False
        load = self._placement.load(*found)
        load.begin(
            run_key(report.sender, run.ticket),
            run.prompt,
            run.reading,
            now - run.age,
            run.urgency,
            is_read=run.is_read,
            seen_from_start=run.age <= SEEN_WITHIN,
        )
        self._placement.shares.began(
            report.pool,
            run_key(report.sender, run.ticket),
            run.account,
            run.urgency,
            RunCost.on(load, run.reading, run.prompt),
            now - run.age,
        )
        lanes = self._placement.lanes(report.pool)
        lanes.count(run.reading.unread_tokens, is_long=run.prompt.is_long, now=now)
        sender.runs_by_ticket[run.ticket] = _Run(run.backend_id, now, reported=True)
        return True

    def _process_end(self, name: str, sender: _Sender, ended: EndedRun, now: Instant) -> None:
        self._end(name, sender, ended.ticket, now, RETAINED_AFTER_LOSS if ended.failed else 0.0)
        if ended.failed:
            self._trust.failed(ended.backend_id, now)
        else:
            self._trust.succeeded(ended.backend_id)

    def _end_missing(self, name: str, sender: _Sender, named: set[str], now: Instant) -> bool:
        gone = [
            ticket
            for ticket, run in sender.runs_by_ticket.items()
            if run.reported and ticket not in named
        ]
        for ticket in gone:
            self._end(name, sender, ticket, now)
        return bool(gone)

    def _end(
        self, name: str, sender: _Sender, ticket: str, now: Instant, retain_for: float = 0.0
    ) -> None:
        run = sender.runs_by_ticket.pop(ticket, None)
        if run is not None:
            self._placement.end(run.backend_id, run_key(name, ticket), now, retain_for)

    def _drop(self, pool: str, name: str, now: Instant) -> None:
        sender = self._senders_by_pool.pop((pool, name))
        for ticket in list(sender.runs_by_ticket):
            self._end(name, sender, ticket, now, RETAINED_AFTER_LOSS)
