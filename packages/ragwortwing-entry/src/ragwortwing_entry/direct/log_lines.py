"""Parses the structured log lines of any number of processes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder

if TYPE_CHECKING:
    from collections.abc import Iterable

Fields = dict[str, Any]
"""The fields of one log line."""


@dataclass(slots=True)
class LogLines:
    """Parsed log lines."""

    lines: list[Fields] = field(default_factory=list)
    skipped: int = 0
    """Number of lines that could not be parsed."""


_decode_line = checked_decoder(msgspec.json.Decoder(dict[str, Any]).decode)


def read_log_lines(raw_lines: Iterable[bytes]) -> LogLines:
    """Parse log lines; text before the JSON object of a line is ignored.

    Args:
        raw_lines: Lines in any order, possibly mixed with lines of other programs.
    """
    logs = LogLines()
    for raw in raw_lines:
        try:
            line = _decode_line(raw[max(0, raw.find(b"{")) :])
        except InvalidDataError:
            logs.skipped += bool(raw.strip())
            continue
        if isinstance(line.get("message"), str) and isinstance(line.get("time"), float | int):
            logs.lines.append(line)
        else:
            logs.skipped += "ready" not in line
    return logs


def time_of(line: Fields) -> float:
    """Return the Unix time in seconds at which a line was written."""
    return float(line["time"])
