"""Keeps records of the requests in flight and of the most recently finished ones."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from ragwortwing_policy.outcomes import Completed

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.outcomes import Outcome

    from .caller_request import CallerRequest
    from .request_run import RequestRun

MAX_FINISHED_RECORDS = 1_000
"""Maximum number of finished requests whose records are kept."""


@dataclass(slots=True)
class RequestRecord:
    """The record of a request that operators can look up."""

    request_id: str
    account: str
    request_class: str
    target: str
    arrived: datetime
    trace_id: str
    state: str = "asking"
    agent: str = ""
    tokens: int = 0
    first_piece_after: timedelta | None = None
    ended_after: timedelta | None = None
    outcome: str = ""
    reason: str = ""


class RequestJournal:
    """Request records by ID.

    Keeps every request in flight and a bounded number of finished ones.
    """

    def __init__(self, max_finished: int = MAX_FINISHED_RECORDS) -> None:
        self._max_finished = max_finished
        self._runs_by_id: dict[str, RequestRun] = {}
        self._records_by_id: OrderedDict[str, RequestRecord] = OrderedDict()

    @property
    def in_flight(self) -> tuple[str, ...]:
        """IDs of the requests in flight."""
        return tuple(self._runs_by_id)

    def tick(self, now: Instant) -> None:
        """Process the expired timers of every request in flight."""
        for run in list(self._runs_by_id.values()):
            run.tick(now)

    def begin(self, run: RequestRun, arrived: datetime, trace_id: str) -> RequestRecord:
        """Add the record of a new request."""
        request: CallerRequest = run.request
        record = RequestRecord(
            request.request_id,
            request.account,
            request.request_class,
            request.target,
            arrived,
            trace_id,
        )
        self._runs_by_id[request.request_id] = run
        self._records_by_id[request.request_id] = record
        return record

    def end(self, run: RequestRun, outcome: Outcome, now: Instant) -> RequestRecord:
        """Complete the record of a finished request."""
        request = run.request
        del self._runs_by_id[request.request_id]
        record = self._records_by_id[request.request_id]
        self._refresh(record, run)
        record.ended_after = timedelta(seconds=now - request.arrived_at)
        if isinstance(outcome, Completed):
            record.tokens = max(record.tokens, outcome.tokens)
        record.outcome = outcome.kind
        record.reason = "" if isinstance(outcome, Completed) else outcome.reason
        self._records_by_id.move_to_end(request.request_id)
        self._evict_oldest()
        return record

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None if it is not kept."""
        record = self._records_by_id.get(request_id)
        run = self._runs_by_id.get(request_id)
        if record is not None and run is not None:
            self._refresh(record, run)
        return record

    def _refresh(self, record: RequestRecord, run: RequestRun) -> None:
        record.state = run.state
        record.agent = run.last_agent_id
        record.tokens = run.tokens
        if run.first_piece_at is not None:
            waited = run.first_piece_at - run.request.arrived_at
            record.first_piece_after = timedelta(seconds=waited)

    def _evict_oldest(self) -> None:
        while len(self._records_by_id) - len(self._runs_by_id) > self._max_finished:
            oldest = next(each for each in self._records_by_id if each not in self._runs_by_id)
            del self._records_by_id[oldest]
