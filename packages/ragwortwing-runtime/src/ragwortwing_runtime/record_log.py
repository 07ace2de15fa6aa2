"""What the product needs of an append-only log; an adapter of a platform provides it.

Each call is made once; who calls decides what to do next. An append whose answer is lost may have
taken effect, now or later, so it has a result of its own, `AppendUnknown`, settled by reading.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

DEFAULT_READ_LIMIT = 500
DEFAULT_RETRY_AFTER = timedelta(seconds=1)
"""When to come back after a failure for which the log names no time."""


class LogCause(StrEnum):
    """Why the log could not be used."""

    UNREACHABLE = "unreachable"
    """No connection could be made."""
    OUTAGE = "outage"
    """The log says that it is down."""
    RATE = "rate"
    """The append rate is used up."""
    NO_ANSWER = "no_answer"
    """No whole answer came in time."""
    BAD_ANSWER = "bad_answer"
    """The answer was not of the published form."""
    TOO_LARGE = "too_large"
    """The record is larger than the log takes."""


@dataclass(frozen=True, slots=True)
class Appended:
    """The record has this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The record may stand in the log, may come to stand there later, or never."""

    cause: LogCause


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The call took no effect."""

    cause: LogCause
    retry_after: timedelta = DEFAULT_RETRY_AFTER


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from the offset asked for, in order and without gaps."""

    first_offset: int
    """Oldest offset that the stream still has."""
    next_offset: int
    """Offset that the next append gets; the end of the stream when the page was made."""
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class OffsetExpired:
    """The offset asked for is older than the log's retention."""

    first_offset: int


AppendResult = Appended | AppendUnknown | LogUnavailable
ReadResult = LogPage | OffsetExpired | LogUnavailable


class Log(Protocol):
    """What the rest of the system needs of the log."""

    async def append(self, stream: str, payload: bytes) -> AppendResult:
        """Append one record."""
        ...

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = DEFAULT_READ_LIMIT,
        wait: timedelta = timedelta(0),
    ) -> ReadResult:
        """Read records from an offset on."""
        ...
