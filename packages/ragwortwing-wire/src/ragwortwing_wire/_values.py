"""Encoders and decoders of values that occur in several message types."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from ragwortwing_policy.outcomes import (
    Completed,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeKind,
    Unknown,
    UnknownReason,
)
from ragwortwing_policy.reservations import LoadReport

from .messages import Header

ABSENT = -1
"""Encodes None in optional numeric fields."""

MICROSECOND = timedelta(microseconds=1)


def to_microseconds(duration: timedelta | None) -> int:
    """Return a duration in whole microseconds, or `ABSENT` for None.

    Example:
        >>> to_microseconds(timedelta(milliseconds=2))
        2000
    """
    return ABSENT if duration is None else duration // MICROSECOND


def write_headers(headers: tuple[Header, ...], builders: Any) -> None:
    """Write headers into a list of builders of the same length."""
    for index, header in enumerate(headers):
        builder = builders[index]
        builder.name = header.name
        builder.value = header.value


def read_headers(readers: Any) -> tuple[Header, ...]:
    """Read headers from a list of readers."""
    return tuple(Header(each.name, each.value) for each in readers)


def write_load(load: LoadReport, builder: Any) -> None:
    """Write a load report into its builder."""
    builder.running = load.running
    builder.queued = load.queued
    builder.limit = load.limit
    builder.predictedWait = to_microseconds(load.predicted_wait)
    builder.draining = load.draining


def read_load(reader: Any) -> LoadReport:
    """Read a load report."""
    return LoadReport(
        running=reader.running,
        queued=reader.queued,
        limit=reader.limit,
        predicted_wait=timedelta(microseconds=reader.predictedWait),
        draining=reader.draining,
    )


def write_outcome(outcome: Outcome, builder: Any) -> None:
    """Write an outcome into its builder."""
    builder.kind = outcome.kind.value
    match outcome:
        case Completed(tokens):
            builder.tokens = tokens
        case NotRun(reason, retry_after):
            builder.reason = reason.value
            builder.retryAfter = to_microseconds(retry_after)
        case Unknown(reason):
            builder.reason = reason.value
        case Failed(reason, status):
            builder.reason = reason.value
            builder.status = ABSENT if status is None else status


def read_outcome(reader: Any) -> Outcome:
    """Read an outcome.

    Raises:
        ValueError: The kind or the reason is unknown.
    """
    kind = OutcomeKind(reader.kind)
    if kind is OutcomeKind.COMPLETED:
        return Completed(reader.tokens)
    if kind is OutcomeKind.UNKNOWN:
        return Unknown(UnknownReason(reader.reason))
    if kind is OutcomeKind.FAILED:
        status = reader.status
        return Failed(FailedReason(reader.reason), None if status == ABSENT else status)
    retry_after = reader.retryAfter
    return NotRun(
        NotRunReason(reader.reason),
        None if retry_after == ABSENT else timedelta(microseconds=retry_after),
    )
