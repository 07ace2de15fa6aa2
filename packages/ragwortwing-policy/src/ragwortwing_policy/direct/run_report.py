"""Reports of an entry's requests on a pool's engines, sent to the entries that schedule the pool.

Lost and duplicated reports are tolerated: a whole report is sent at intervals, and a run that is
missing from it has ended.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ragwortwing_policy.clock import Instant

from .engine_load import PrefillPlan
from .prompt_parts import Prompt

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
    """Longest gap in seconds between two events since the last report; None without two events."""
    mean_gap: float | None = None
    """Mean of these gaps in seconds."""
    events: int = 0
    """Number of these gaps."""


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


@dataclass(slots=True)
class _OwnRun:
    run: ReportedRun
    sent_at: Instant


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

    def first_event(self, ticket: str) -> None:
        """Record that an engine has read a request's prompt."""
        own = self._runs_by_ticket.get(ticket)
        if own is not None and not own.run.is_read:
            own.run = replace(own.run, is_read=True)
            self._record_change(ticket)

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
        return self._numbered(tickets, ended, now, whole=whole)

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
        aged = tuple(replace(each.run, age=now - each.sent_at) for each in runs)
        return RunReport(self._sender, self._started, self._number, self._pool, aged, ended, whole)
