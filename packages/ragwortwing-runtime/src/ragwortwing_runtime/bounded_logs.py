"""Structured logs on standard output that neither block the process nor grow with the load."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING, Any

import logbook
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_LINES_PER_SECOND = 400
"""Lines a second: four for each of the hundred requests a second that one small VM serves. At about
300 bytes a line that is 120 KB/s at most."""

MOST_UNWRITTEN_BYTES = 1 << 18
"""Bytes that wait for a reader that does not read; beyond, lines are left out."""


class BoundedLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each record as one line of JSON, as far as the budget and the reader allow.

    A full pipe would stop the one loop of the process and every request with it, so the descriptor
    is written without waiting and what it does not take is kept up to a bound. Warnings and errors
    do not count against the budget of lines. What was left out is counted, and said in a line of
    its own as soon as there is room.
    """

    def __init__(
        self,
        process: str,
        descriptor: int = 1,
        lines_per_second: int = DEFAULT_LINES_PER_SECOND,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(level=logbook.INFO)
        self.left_out = 0
        self._process = process
        self._descriptor = descriptor
        self._budget = lines_per_second
        self._monotonic = monotonic
        self._second = 0
        self._lines = 0
        self._unsaid = 0
        self._unwritten = bytearray()
        os.set_blocking(descriptor, False)

    def emit(self, record: Any) -> None:
        """Write a record, or count it as left out."""
        if record.level < logbook.WARNING and not self._within_budget():
            self._leave_out()
            return
        if len(self._unwritten) > MOST_UNWRITTEN_BYTES:
            self._leave_out()
            return
        if self._unsaid:
            said, self._unsaid = self._unsaid, 0
            self._append({"message": "lines_left_out", "lines": said})
        self._append(self._fields(record))
        self._flush()

    def _within_budget(self) -> bool:
        second = int(self._monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= self._budget

    def _leave_out(self) -> None:
        self.left_out += 1
        self._unsaid += 1

    def _append(self, fields: dict[str, Any]) -> None:
        head = {"time": round(time.time(), 3), "process": self._process}
        self._unwritten += msgspec.json.encode(head | fields, enc_hook=str) + b"\n"

    def _fields(self, record: Any) -> dict[str, Any]:
        fields: dict[str, Any] = {"level": record.level_name.lower(), "message": record.message}
        fields.update(record.kwargs or {})
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        return fields

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: there is no place left to say so.
            self._unwritten.clear()
            return
        del self._unwritten[:written]


def install_bounded_logs(process: str) -> BoundedLinesHandler:
    """Send every log of the process to standard output.

    Args:
        process: Name of the process, which each line carries.
    """
    logbook.NullHandler().push_application()
    handler = BoundedLinesHandler(process)
    handler.push_application()
    return handler
