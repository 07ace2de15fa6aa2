"""Structured logs on standard output, limited in rate and memory, that never block the process."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING, Any

import logbook
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_LINES_PER_SECOND = 400
"""Log lines per second. It allows four lines for each of the 100 requests per second that one small
VM serves. At about 300 bytes a line, that is at most 120 KB/s."""

MAX_UNWRITTEN_BYTES = 1 << 18
"""Maximum size of the buffer for a slow reader. Beyond it, lines are dropped."""


class BoundedLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each record as one line of JSON, within a rate limit and a buffer limit.

    A blocking write to a full pipe would stop the event loop and every request with it. So the
    descriptor is non-blocking, and unwritten bytes are buffered up to a limit. Warnings and errors
    are exempt from the rate limit. Dropped lines are counted and reported in a line of their own
    before the next line that is written.
    """

    def __init__(
        self,
        process: str,
        descriptor: int = 1,
        lines_per_second: int = DEFAULT_LINES_PER_SECOND,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(level=logbook.INFO)
        self.dropped_lines = 0
        self._process = process
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._monotonic = monotonic
        self._current_second = 0
        self._lines_in_second = 0
        self._unreported_lines = 0
        self._unwritten_bytes = bytearray()
        os.set_blocking(descriptor, False)

    def emit(self, record: Any) -> None:
        """Write a record, or drop it and count it."""
        if record.level < logbook.WARNING and not self._within_rate_limit():
            self._drop_line()
            return
        if len(self._unwritten_bytes) > MAX_UNWRITTEN_BYTES:
            self._drop_line()
            return
        if self._unreported_lines:
            unreported, self._unreported_lines = self._unreported_lines, 0
            self._append({"message": "lines_left_out", "lines": unreported})
        self._append(self._fields(record))
        self._flush()

    def _within_rate_limit(self) -> bool:
        current_second = int(self._monotonic())
        if current_second != self._current_second:
            self._current_second = current_second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= self._lines_per_second

    def _drop_line(self) -> None:
        self.dropped_lines += 1
        self._unreported_lines += 1

    def _append(self, fields: dict[str, Any]) -> None:
        common = {"time": round(time.time(), 3), "process": self._process}
        self._unwritten_bytes += msgspec.json.encode(common | fields, enc_hook=str) + b"\n"

    def _fields(self, record: Any) -> dict[str, Any]:
        fields: dict[str, Any] = {"level": record.level_name.lower(), "message": record.message}
        fields.update(record.kwargs or {})
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        return fields

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._unwritten_bytes)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so there is nowhere to report the error.
            self._unwritten_bytes.clear()
            return
        del self._unwritten_bytes[:written]


def install_bounded_logs(process: str) -> BoundedLinesHandler:
    """Send all log records of the process to standard output.

    Args:
        process: Name of the process, included in each line.
    """
    logbook.NullHandler().push_application()
    handler = BoundedLinesHandler(process)
    handler.push_application()
    return handler
