"""The one typed outcome in which every request ends, and the reasons an outcome may carry."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

OUTCOME_HEADER = "x-ragwortwing-outcome"
"""Response header with the outcome's kind."""

REASON_HEADER = "x-ragwortwing-reason"
"""Response header with the outcome's reason code."""


class OutcomeKind(StrEnum):
    """The four ways in which a request may end."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class NotRunReason(StrEnum):
    """Why a request was given up without any of it reaching a backend server."""

    OVERLOADED = "overloaded"
    """The predicted wait passes the class's first-token target."""
    DEADLINE = "deadline"
    """The deadline passed while the request was queued."""
    NO_BACKEND = "no_backend"
    """No live backend server serves the model or the service."""
    RATE_LIMITED = "rate_limited"
    """The client account is over its request rate."""
    CONCURRENCY_LIMITED = "concurrency_limited"
    """The client account has too many requests in flight."""
    DRAINING = "draining"
    """The VM is leaving and takes no new work."""
    SHED_BY_PRESET = "shed_by_preset"
    """The preset in force does not admit the class."""
    LOG_UNAVAILABLE = "log_unavailable"
    """An order could not be claimed on the platform's log."""
    KEY_OUT_OF_WINDOW = "key_out_of_window"
    """The idempotency key is older than the log's retention."""
    KEY_REUSED = "key_reused"
    """The idempotency key was used with a different body."""
    IN_PROGRESS = "in_progress"
    """Another submission of the same idempotency key is being run; this one was not."""
    WITHDRAWN = "withdrawn"
    """The caller went away first."""
    UNCONFIGURED = "unconfigured"
    """The process has no configuration yet."""


class UnknownReason(StrEnum):
    """Why it cannot be said whether a request ran."""

    BACKEND_LOST = "backend_lost"
    """The backend server or its agent was lost after the request was sent."""
    TIMEOUT = "timeout"
    """No final answer came before the deadline after the request was sent."""
    NO_RECORDED_OUTCOME = "no_recorded_outcome"
    """The idempotency key was claimed earlier and no outcome of it is recorded."""


class FailedReason(StrEnum):
    """Why a request that ran did not complete."""

    BACKEND_ERROR = "backend_error"
    """The backend server answered with an error."""
    BACKEND_LOST = "backend_lost"
    """The backend server was lost in mid-stream and the answer could not be resumed."""
    STOPPED = "stopped"
    """A forced stop of the process cut the request."""
    DEADLINE = "deadline"
    """The request ran into its deadline."""
    CALLER_GONE = "caller_gone"
    """The caller went away while its answer was running."""


@dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer was delivered."""

    tokens: int = 0
    """Generated tokens delivered."""

    kind = OutcomeKind.COMPLETED


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the request reached a backend server."""

    reason: NotRunReason
    retry_after: timedelta | None = None
    """When it is worth asking again; None where asking again cannot help."""

    kind = OutcomeKind.NOT_RUN


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run; it must not be taken as not run."""

    reason: UnknownReason

    kind = OutcomeKind.UNKNOWN


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran, wholly or in part, and did not complete."""

    reason: FailedReason
    status: int | None = None
    """The backend server's own HTTP status, where it gave one."""

    kind = OutcomeKind.FAILED


Outcome = Completed | NotRun | Unknown | Failed
