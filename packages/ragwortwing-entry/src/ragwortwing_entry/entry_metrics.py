"""Metrics of the entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.metrics import CallbackOptions, Observation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from opentelemetry.metrics import Meter

    from .request_journal import RequestRecord


class EntryMetrics:
    """Counters and histograms updated when requests end, and gauges read on scrape."""

    def __init__(self, meter: Meter, in_flight: Callable[[], int], agents: Callable[[], int]):
        self._requests = meter.create_counter(
            "ragwortwing_requests", description="Requests by class, outcome and reason"
        )
        self._tokens = meter.create_counter(
            "ragwortwing_tokens", description="Tokens delivered by class"
        )
        self._first_piece = meter.create_histogram(
            "ragwortwing_first_piece_seconds",
            description="Time from arrival to the first piece of the answer",
        )
        self._duration = meter.create_histogram(
            "ragwortwing_request_seconds", description="Time from arrival to the outcome"
        )
        meter.create_observable_gauge(
            "ragwortwing_requests_in_flight", [_observe(in_flight)], description="Open requests"
        )
        meter.create_observable_gauge(
            "ragwortwing_agents_connected", [_observe(agents)], description="Connected agents"
        )

    def count_ended(self, record: RequestRecord) -> None:
        """Record the outcome, tokens and durations of a finished request."""
        by_class = {"class": record.request_class}
        outcome = {**by_class, "outcome": record.outcome, "reason": record.reason}
        self._requests.add(1, outcome)
        self._tokens.add(record.tokens, by_class)
        if record.first_piece_after is not None:
            self._first_piece.record(record.first_piece_after.total_seconds(), by_class)
        if record.ended_after is not None:
            self._duration.record(record.ended_after.total_seconds(), by_class)

    def count_rejected(self, code: str) -> None:
        """Count a request that was rejected as invalid."""
        self._requests.add(1, {"class": "", "outcome": "not_run", "reason": code})


def _observe(
    read: Callable[[], int],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(read())]

    return observe
