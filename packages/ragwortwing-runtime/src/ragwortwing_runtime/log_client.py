"""Client of the platform's append-only log.

Each call is made once; who calls decides what to do next. An append whose answer is lost may have
taken effect, now or later, so it has a result of its own, `AppendUnknown`, settled by reading.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import msgspec

from ._http import Answer, CallFailure, HttpCaller, Timeouts

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


class _AppendBody(msgspec.Struct):
    payload: bytes


class _AppendAnswer(msgspec.Struct):
    offset: int


class _RecordAnswer(msgspec.Struct):
    offset: int
    payload: bytes


class _PageAnswer(msgspec.Struct):
    first_offset: int
    next_offset: int
    records: list[_RecordAnswer]


class _ExpiredAnswer(msgspec.Struct):
    first_offset: int


_encoder = msgspec.json.Encoder()


class LogClient:
    """The log over HTTP."""

    def __init__(self, address: str, timeouts: Timeouts | None = None) -> None:
        self._caller = HttpCaller(address, timeouts or Timeouts())

    async def aclose(self) -> None:
        """Close every connection."""
        await self._caller.aclose()

    async def append(self, stream: str, payload: bytes) -> AppendResult:
        """Append one record, in one attempt.

        Args:
            stream: Name of the stream.
            payload: The record.
        """
        body = _encoder.encode(_AppendBody(payload))
        answer = await self._caller.call("POST", f"/streams/{stream}/records", body)
        match answer:
            case CallFailure.NOT_SENT:
                return LogUnavailable(LogCause.UNREACHABLE)
            case CallFailure.NO_ANSWER:
                return AppendUnknown(LogCause.NO_ANSWER)
            case Answer(status=200):
                try:
                    return Appended(msgspec.json.decode(answer.body, type=_AppendAnswer).offset)
                except msgspec.MsgspecError:
                    return AppendUnknown(LogCause.BAD_ANSWER)
            case Answer(status=429):
                return LogUnavailable(LogCause.RATE, _retry_after(answer))
            case Answer(status=503):
                return LogUnavailable(LogCause.OUTAGE, _retry_after(answer))
        # Any other answer may stem from something between us and the log, after the append.
        return AppendUnknown(LogCause.BAD_ANSWER)

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = DEFAULT_READ_LIMIT,
        wait: timedelta = timedelta(0),
    ) -> ReadResult:
        """Read records from an offset on, in one attempt.

        Args:
            stream: Name of the stream.
            offset: Offset of the first record wanted.
            limit: Most records wanted.
            wait: How long the log may hold a read at the end of the stream.
        """
        query = f"offset={offset}&limit={limit}&wait={wait.total_seconds()}"
        path = f"/streams/{stream}/records?{query}"
        answer = await self._caller.call("GET", path, extra_wait=wait)
        match answer:
            case CallFailure.NOT_SENT:
                return LogUnavailable(LogCause.UNREACHABLE)
            case CallFailure.NO_ANSWER:
                return LogUnavailable(LogCause.NO_ANSWER)
            case Answer(status=200):
                return _page(answer, offset)
            case Answer(status=410):
                try:
                    expired = msgspec.json.decode(answer.body, type=_ExpiredAnswer)
                except msgspec.MsgspecError:
                    return LogUnavailable(LogCause.BAD_ANSWER)
                return OffsetExpired(expired.first_offset)
            case Answer(status=429):
                return LogUnavailable(LogCause.RATE, _retry_after(answer))
            case Answer(status=503):
                return LogUnavailable(LogCause.OUTAGE, _retry_after(answer))
        return LogUnavailable(LogCause.BAD_ANSWER)


def _page(answer: Answer, offset: int) -> LogPage | LogUnavailable:
    try:
        page = msgspec.json.decode(answer.body, type=_PageAnswer)
    except msgspec.MsgspecError:
        return LogUnavailable(LogCause.BAD_ANSWER)
    records = tuple(LogRecord(each.offset, each.payload) for each in page.records)
    expected = tuple(range(offset, offset + len(records)))
    # A page with a gap would hide a claim or a publication from the fold, and the verdicts of this
    # process would part from all others'. It is refused like any other malformed answer.
    if tuple(each.offset for each in records) != expected:
        return LogUnavailable(LogCause.BAD_ANSWER)
    return LogPage(page.first_offset, page.next_offset, records)


def _retry_after(answer: Answer) -> timedelta:
    text = answer.headers_by_name.get("retry-after", "")
    return timedelta(seconds=int(text)) if text.isdigit() else DEFAULT_RETRY_AFTER
