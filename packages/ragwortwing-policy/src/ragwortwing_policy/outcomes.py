"""Typed outcomes of requests and their reason codes; every request has exactly one outcome."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

OUTCOME_HEADER = "x-ragwortwing-outcome"
"""Response header that contains the outcome's kind."""

REASON_HEADER = "x-ragwortwing-reason"
"""Response header that contains the outcome's reason code."""


class OutcomeKind(StrEnum):
    """The kinds of outcomes."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class NotRunReason(StrEnum):
    """Why a request ended before any part of it reached a backend server."""

    OVERLOADED = "overloaded"
    """The predicted wait exceeds the class's first-token target."""
    DEADLINE = "deadline"
    """The deadline passed while the request was queued."""
    NO_BACKEND = "no_backend"
    """No live backend server serves the model or the service."""
    RATE_LIMITED = "rate_limited"
    """The client account exceeded its request rate."""
    CONCURRENCY_LIMITED = "concurrency_limited"
    """The client account has too many requests in flight."""
    DRAINING = "draining"
    """The VM is leaving and accepts no new work."""
    SHED_BY_PRESET = "shed_by_preset"
    """The preset in force does not admit the class."""
    LOG_UNAVAILABLE = "log_unavailable"
    """An order could not be claimed because the platform's log is unavailable."""
    KEY_OUT_OF_WINDOW = "key_out_of_window"
    """The idempotency key is older than the log's retention."""
    KEY_REUSED = "key_reused"
    """The idempotency key was already used with a different body."""
    IN_PROGRESS = "in_progress"
    """Another submission of the same idempotency key is running; this one was not run."""
    WITHDRAWN = "withdrawn"
    """The caller disconnected before the request was sent."""
    UNCONFIGURED = "unconfigured"
    """The process has no configuration yet."""
    TOO_LARGE = "too_large"
    """The prompt and its longest answer exceed the memory of an engine."""
    ENTRY_PRESSURE = "entry_pressure"
    """The entry is short of processor time or memory and sheds the least urgent tier."""
    INTERNAL_ERROR = "internal_error"
    """An error inside the entry interrupted the request before it was sent."""
    STREAM_UNKNOWN = "stream_unknown"
    """It is unknown which software version began the stream to be resumed."""
    PROMPT_BLOCKED = "prompt_blocked"
    """Engines crash on a part of the prompt."""
    NO_SAME_VERSION = "no_same_version"
    """No live backend server has the service and software version that began the stream."""


class UnknownReason(StrEnum):
    """Why it is unknown whether a request ran."""

    BACKEND_LOST = "backend_lost"
    """The backend server or its agent was lost after the request was sent."""
    TIMEOUT = "timeout"
    """The request was sent, but no final answer arrived before the deadline."""
    NO_RECORDED_OUTCOME = "no_recorded_outcome"
    """The idempotency key was claimed earlier, but no outcome is recorded."""
    INTERNAL_ERROR = "internal_error"
    """An error inside the entry interrupted the request after it was sent."""
    STOPPED = "stopped"
    """The process had to exit before the answer to a request that was sent."""
    SERVERS_ENDED = "servers_ended"
    """Server processes ended under the request and its repeats; it is not sent again."""


class FailedReason(StrEnum):
    """Why a request that ran did not complete."""

    BACKEND_ERROR = "backend_error"
    """The backend server answered with an error."""
    BACKEND_LOST = "backend_lost"
    """The backend server was lost mid-stream and the answer could not be resumed."""
    STOPPED = "stopped"
    """The request was aborted by a forced stop of the process."""
    DEADLINE = "deadline"
    """The deadline passed while the request was running."""
    CALLER_GONE = "caller_gone"
    """The caller disconnected while its answer was running."""


@dataclass(frozen=True, slots=True)
class Completed:
    """The complete answer was delivered."""

    tokens: int = 0
    """Number of generated tokens that were delivered."""

    kind = OutcomeKind.COMPLETED


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the request reached a backend server."""

    reason: NotRunReason
    retry_after: timedelta | None = None
    """Suggested retry delay, or None if a retry cannot succeed."""

    kind = OutcomeKind.NOT_RUN


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run; it must not be treated as not run."""

    reason: UnknownReason

    kind = OutcomeKind.UNKNOWN


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran at least partly and did not complete."""

    reason: FailedReason
    status: int | None = None
    """HTTP status returned by the backend server, if any."""

    kind = OutcomeKind.FAILED


Outcome = Completed | NotRun | Unknown | Failed
