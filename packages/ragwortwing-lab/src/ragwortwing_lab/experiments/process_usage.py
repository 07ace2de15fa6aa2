"""Reads the CPU time and resident memory of a process from `/proc`."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
BYTES_PER_MEGABYTE = 1_048_576
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

USER_TIME_FIELD = 11
"""Index of the user time among the fields after the command name; the system time follows."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU time and resident memory of a process."""

    cpu_seconds: float
    resident_megabytes: float


def usage_of(pid: int) -> ProcessUsage:
    """Return the usage of a running process.

    Args:
        pid: Process id.
    """
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[USER_TIME_FIELD]) + int(stat[USER_TIME_FIELD + 1])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(ticks / CLOCK_TICKS, pages * PAGE_BYTES / BYTES_PER_MEGABYTE)
