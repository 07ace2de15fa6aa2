"""Structured logs on standard error: one JSON object a line, with the request and trace ids."""

from __future__ import annotations

import sys
from contextvars import ContextVar
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TextIO

import logbook
import msgspec

if TYPE_CHECKING:
    from .settings import LogLevel


@dataclass(frozen=True, slots=True)
class LogContext:
    """Request and trace ids that are added to each log line of a task."""

    request_id: str = ""
    trace_id: str = ""


_NO_CONTEXT = LogContext()
_context: ContextVar[LogContext] = ContextVar("log_context", default=_NO_CONTEXT)


def set_log_context(context: LogContext) -> None:
    """Set the log context of the current task and of the tasks that it starts later."""
    _context.set(context)


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each record as one line of JSON."""

    def __init__(self, process: str, stream: TextIO | None = None, level: int = logbook.INFO):
        super().__init__(level=level)
        self._process = process
        self._stream = stream or sys.stderr

    def emit(self, record: Any) -> None:
        """Write a record.

        Args:
            record: The logbook record; its keyword arguments and `extra` values become keys of
                the object.
        """
        self._stream.write(msgspec.json.encode(self._fields(record), enc_hook=str).decode() + "\n")
        self._stream.flush()

    def _fields(self, record: Any) -> dict[str, Any]:
        context = _context.get()
        fields = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "process": self._process,
            "logger": record.channel,
            "message": record.message,
            "request_id": context.request_id,
            "trace_id": context.trace_id,
        }
        fields.update(record.kwargs or {})
        fields.update(record.extra)
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        return fields


def install_logs(process: str, level: LogLevel) -> None:
    """Send the log records of the process to standard error.

    Args:
        process: Name of the process, included in each line.
        level: Lowest level that is written.
    """
    logbook.set_datetime_format("utc")
    logbook.NullHandler().push_application()
    handler = JsonLinesHandler(process, level=logbook.lookup_level(level.value.upper()))
    handler.push_application()
