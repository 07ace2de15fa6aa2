"""Interface to the platform's append-only log, which a platform adapter implements.

The log client does not retry; callers decide what to do after a failure. An append whose reply is
lost may have taken effect already or may do so later. It has its own result, `AppendUnknown`, and
only reading the log shows whether the record is there.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

DEFAULT_READ_LIMIT = 500
"""Maximum number of records in one page."""
DEFAULT_RETRY_AFTER = timedelta(seconds=1)
"""Retry delay after a failure for which the log gives none."""


class LogCause(StrEnum):
    """Reason why a call to the log failed."""

    UNREACHABLE = "unreachable"
    """No connection could be made."""
    OUTAGE = "outage"
    """The log reports an outage."""
    RATE = "rate"
    """The limit on the append rate is reached."""
    NO_ANSWER = "no_answer"
    """No complete answer arrived in time."""
    BAD_ANSWER = "bad_answer"
    """The answer did not match the log's published API."""
    TOO_LARGE = "too_large"
    """The record exceeds the log's size limit."""


@dataclass(frozen=True, slots=True)
class Appended:
    """The record was appended at this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The record may be in the log, may appear there later, or may never appear."""

    cause: LogCause


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The call failed and had no effect."""

    cause: LogCause
    retry_after: timedelta = DEFAULT_RETRY_AFTER


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from the requested offset on, in order and without gaps."""

    first_offset: int
    """Oldest offset that the stream still holds."""
    next_offset: int
    """Offset of the next append, i.e. the end of the stream when the page was read."""
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class OffsetExpired:
    """The requested offset is no longer in the log because its retention time has passed."""

    first_offset: int


AppendResult = Appended | AppendUnknown | LogUnavailable
ReadResult = LogPage | OffsetExpired | LogUnavailable


class Log(Protocol):
    """Append-only log with numbered records in named streams."""

    async def append(self, stream: str, payload: bytes) -> AppendResult:
        """Append one record to a stream."""
        ...

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = DEFAULT_READ_LIMIT,
        wait: timedelta = timedelta(0),
    ) -> ReadResult:
        """Read records from an offset on.

        Args:
            stream: Name of the stream.
            offset: Offset of the first record.
            limit: Maximum number of records.
            wait: How long the log may wait for a record if there is none yet.
        """
        ...
