"""Structured log lines of any number of processes, read back."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

Fields = dict[str, Any]
"""The fields of one line."""


@dataclass(slots=True)
class LogLines:
    """Lines that were read."""

    lines: list[Fields] = field(default_factory=list)
    skipped: int = 0
    """Lines that could not be read."""


def read_log_lines(raw_lines: Iterable[bytes]) -> LogLines:
    """Read log lines; what stands before a line's object is passed over.

    Args:
        raw_lines: Lines in any order, those of other programs among them.
    """
    logs = LogLines()
    for raw in raw_lines:
        try:
            line = msgspec.json.decode(raw[raw.index(b"{") :], type=dict[str, Any])
        except (ValueError, msgspec.MsgspecError):
            logs.skipped += bool(raw.strip())
            continue
        if isinstance(line.get("message"), str) and isinstance(line.get("time"), float | int):
            logs.lines.append(line)
        else:
            logs.skipped += "ready" not in line
    return logs


def time_of(line: Fields) -> float:
    """Return when a line was written, in seconds of the Unix time."""
    return float(line["time"])
