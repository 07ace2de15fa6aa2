"""Reports of an entry's requests on a pool's engines, sent to the entries that schedule the pool.

Lost and duplicated reports are tolerated: a whole report is sent at intervals, and a run that is
missing from it has ended.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

from .engine_load import PrefillPlan
from .prompt_parts import Prompt

if TYPE_CHECKING:
    from .placement import Placement

WHOLE_INTERVAL = 1.0
"""Seconds between whole reports."""


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """A request on an engine."""

    ticket: str
    backend_id: str
    prompt: Prompt
    reading: PrefillPlan
    urgency: int
    age: float = 0.0
    """Seconds since the request was sent."""
    is_read: bool = False
    """Whether its first event has arrived."""
    exceeded: bool = False
    """Whether its stream had a pause longer than its target."""
    account: str | None = None
    """Client account of the request; None on a public route."""
    first_event_after: float | None = None
    """Measured seconds from the send to the first event; None before it."""
    longest_gap: float | None = None
    """Longest gap in seconds between two events since the last report, or the time since the last
    event if that is longer; None without two events."""
    mean_gap: float | None = None
    """Mean of these gaps in seconds."""
    events: int = 0
    """Number of these gaps."""
    version: str | None = None
    """Software version of the engine; None if its entry does not report it."""


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A request that is no longer on an engine."""

    ticket: str
    backend_id: str
    failed: bool = False
    """Whether the backend server failed the request."""


@dataclass(frozen=True, slots=True)
class RunReport:
    """Runs of one entry on one pool."""

    sender: str
    started: int
    """Start time of the sender, which distinguishes its runs from those of an earlier process."""
    number: int
    """Increases with each report of the sender; a report that arrives after a newer one is
    dropped."""
    pool: str
    runs: tuple[ReportedRun, ...]
    """The runs that are new or had their first event since the last report, or all runs."""
    ended: tuple[EndedRun, ...] = ()
    whole: bool = False


def learn_own_gaps(placement: Placement, report: RunReport, now: Instant) -> None:
    """Let the sender of a report learn from the gaps that it measured."""
    for run in report.runs:
        if run.longest_gap is not None and run.mean_gap is not None:
            placement.stream_gaps(
                run.backend_id,
                run.ticket,
                longest=run.longest_gap,
                mean=run.mean_gap,
                events=run.events,
                now=now,
            )


@dataclass(slots=True)
class _OwnRun:
    run: ReportedRun
    sent_at: Instant
    longest_gap: float = 0.0
    total_gap: float = 0.0
    gaps: int = 0
    last_gap_at: Instant = 0.0

    def add_gap(self, seconds: float, now: Instant) -> None:
        self.last_gap_at = now
        if seconds > self.longest_gap:
            self.longest_gap = seconds
        self.total_gap += seconds
        self.gaps += 1

    def clear_gaps(self) -> None:
        self.longest_gap, self.total_gap, self.gaps = 0.0, 0.0, 0

    def reported(self, now: Instant) -> ReportedRun:
        age = now - self.sent_at
        if not self.gaps:
            return replace(self.run, age=age)
        return replace(
            self.run,
            age=age,
            # The gap that is still open counts: prefill that has just ended may lie within it.
            longest_gap=max(self.longest_gap, now - self.last_gap_at),
            # The mean of equal gaps may exceed them by a rounding error.
            mean_gap=min(self.longest_gap, self.total_gap / self.gaps),
            events=self.gaps,
        )


class RunReporter:
    """Creates one entry's reports on one pool."""

    def __init__(self, sender: str, started: int, pool: str) -> None:
        self._sender = sender
        self._started = started
        self._pool = pool
        self._number = 0
        self._runs_by_ticket: dict[str, _OwnRun] = {}
        self._changed: dict[str, None] = {}
        self._ended: list[EndedRun] = []
        self._changed_since_whole = False
        self._whole_at: Instant = 0.0

    @property
    def has_changes(self) -> bool:
        """Whether something has changed since the last report."""
        return bool(self._changed or self._ended)

    def begin(self, run: ReportedRun, now: Instant) -> None:
        """Record that a request is sent to an engine."""
        self._runs_by_ticket[run.ticket] = _OwnRun(run, now)
        self._record_change(run.ticket)

    def first_event(self, ticket: str, after: float | None = None) -> None:
        """Record that an engine has read a request's prompt.

        Args:
            ticket: The request's name on the engine.
            after: Measured seconds from the send to the first event; None if not measured.
        """
        own = self._runs_by_ticket.get(ticket)
        if own is not None and not own.run.is_read:
            own.run = replace(own.run, is_read=True, first_event_after=after)
            self._record_change(ticket)

    def gap(self, ticket: str, seconds: float, now: Instant) -> None:
        """Record the time between two events of a stream, for the next report that names it."""
        own = self._runs_by_ticket.get(ticket)
        if own is not None:
            own.add_gap(seconds, now)

    def discard_gaps(self) -> None:
        """Discard the measured gaps: this process was suspended while they were measured."""
        for own in self._runs_by_ticket.values():
            own.clear_gaps()

    def pause_exceeded(self, ticket: str) -> None:
        """Record that a stream had a pause longer than its target."""
        own = self._runs_by_ticket.get(ticket)
        if own is not None and not own.run.exceeded:
            own.run = replace(own.run, exceeded=True)
            self._record_change(ticket)

    def end(self, ticket: str, *, failed: bool) -> None:
        """Record that a request is no longer on its engine."""
        own = self._runs_by_ticket.pop(ticket, None)
        if own is not None:
            self._changed.pop(ticket, None)
            self._ended.append(EndedRun(ticket, own.run.backend_id, failed))
            self._changed_since_whole = True

    def knows(self, ticket: str) -> bool:
        """Return whether a request is currently on an engine."""
        return ticket in self._runs_by_ticket

    def is_due(self, now: Instant) -> bool:
        """Return whether a whole report is due."""
        pending = self._changed_since_whole or bool(self._runs_by_ticket)
        return pending and now >= self._whole_at

    def report(self, now: Instant) -> RunReport:
        """Return the changes since the last report, or all runs if a whole report is due."""
        whole = self.is_due(now)
        tickets = list(self._runs_by_ticket if whole else self._changed)
        ended, self._ended = tuple(self._ended), []
        self._changed.clear()
        if whole:
            self._changed_since_whole = False
            self._whole_at = now + WHOLE_INTERVAL
        report = self._numbered(tickets, ended, now, whole=whole)
        for ticket in tickets:
            self._runs_by_ticket[ticket].clear_gaps()
        return report

    def full_report(self, now: Instant) -> RunReport:
        """Return all runs for a receiver without state; pending changes stay pending."""
        return self._numbered(list(self._runs_by_ticket), (), now, whole=True)

    def _record_change(self, ticket: str) -> None:
        self._changed[ticket] = None
        self._changed_since_whole = True

    def _numbered(
        self, tickets: list[str], ended: tuple[EndedRun, ...], now: Instant, *, whole: bool
    ) -> RunReport:
        self._number += 1
        runs = (self._runs_by_ticket[ticket] for ticket in tickets)
        aged = tuple(each.reported(now) for each in runs)
        return RunReport(self._sender, self._started, self._number, self._pool, aged, ended, whole)
