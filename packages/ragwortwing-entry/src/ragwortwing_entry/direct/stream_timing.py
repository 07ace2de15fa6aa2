"""Times the events of a stream and reports what they tell of its engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

    from .direct_entry import DirectEntry

SLOW_WRITE = 0.01
"""Seconds for writing an event from which the caller reads more slowly than the engine sends. An
event of a few hundred bytes otherwise fits the socket's buffer and takes microseconds."""


class StreamTiming:
    """Times the events of one request's stream, over all of its sends."""

    def __init__(self, entry: DirectEntry) -> None:
        self._entry = entry
        self._backend_id = ""
        self._service = ""
        self._ticket = ""
        self._sent_at: Instant = 0.0
        self._last_event_at: Instant | None = None
        self._gap_from: Instant | None = None
        """When the last event of the current send arrived; None if the next gap is not measured."""
        self.first_event_at: Instant | None = None
        self.longest_pause = 0.0
        """Seconds."""
        self.events_of_send = 0
        """Events that the current send has brought."""
        self.first_event_of_send: Instant | None = None
        self._previous_event_at: Instant = 0.0
        self.predicted: float | None = None
        """Predicted seconds from the current send to its first event; None if not predicted."""
        self.first_event_after: float | None = None
        """Measured seconds from the send to the first event; None if not predicted."""

    def send_began(self, backend_id: str, service: str, ticket: str, now: Instant) -> None:
        """Time the events that follow as those of a new send."""
        self._backend_id, self._service, self._ticket = backend_id, service, ticket
        self._sent_at = now
        self._gap_from = None
        self.events_of_send = 0
        self.first_event_of_send = None

    def event_arrived(self, now: Instant, pause_target: float | None) -> None:
        """Record an event that the caller has not had yet.

        Args:
            now: When it arrived.
            pause_target: Longest pause between two events in seconds; None if there is no target.
        """
        # An engine that resumes an answer may first repeat events, so its first event is unknown.
        after = now - self._sent_at if self.first_event_at is None else None
        self.events_of_send += 1
        if self.first_event_of_send is None:
            self.first_event_of_send = now
        else:
            self._previous_event_at = self._last_event_at or now
        if self.first_event_at is None:
            self.first_event_at = now
            self._record_first_event(now - self._sent_at)
        elif self._last_event_at is not None:
            self._record_pause(now - self._last_event_at, pause_target)
        if self._gap_from is not None:
            self._entry.stream_gap(self._service, self._ticket, now - self._gap_from)
        self._last_event_at = self._gap_from = now
        self._entry.engine_first_event(self._backend_id, self._service, self._ticket, after)

    def passed(self, seconds: float) -> bool:
        """Return whether the last event is the first one so long after the send's first event."""
        first, last = self.first_event_of_send, self._last_event_at
        if first is None or last is None or self.events_of_send < 2:
            return False
        return self._previous_event_at - first < seconds <= last - first

    def event_written(self, now: Instant) -> None:
        """Skip the next gap if the caller reads slowly: the engine's events wait meanwhile."""
        if self._gap_from is not None and now - self._gap_from > SLOW_WRITE:
            self._gap_from = None

    def _record_first_event(self, after: float) -> None:
        if self.predicted is not None:
            self.first_event_after = after
            errors = self._entry.counters.first_event_errors
            errors.labels(self._service).observe(after - self.predicted)

    def _record_pause(self, pause: float, target: float | None) -> None:
        if target is not None and pause > target >= self.longest_pause:
            self._entry.stream_pause_exceeded(self._backend_id, self._service, self._ticket)
        self.longest_pause = max(self.longest_pause, pause)
