"""Tells the ends of server processes apart that several entries report."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ragwortwing_policy.clock import Instant

SAME_END_SECONDS = 1.0
"""Seconds within which reports on one server process are about the same end. A server may come
back with the registration that it had."""

MAX_PROCESSES = 4_096
"""Maximum server processes whose latest end is remembered."""


class ProcessEnds:
    """The latest end of each server process.

    Example:
        >>> ends = ProcessEnds()
        >>> ends.identify("i-1", 5.0), ends.identify("i-1", 5.2), ends.identify("i-1", 9.0)
        (('i-1', 5.0), ('i-1', 5.0), ('i-1+9', 9.0))
    """

    def __init__(self) -> None:
        self._latest_by_process: OrderedDict[str, tuple[str, Instant]] = OrderedDict()
        """Name and time of the latest end of each server process."""

    def identify(self, process: str, at: Instant) -> tuple[str, Instant]:
        """Return the name and time of the end that a report is about."""
        known = self._latest_by_process.get(process)
        if known is not None and at - known[1] <= SAME_END_SECONDS:
            return known
        name = process if known is None else f"{process}+{at:.0f}"
        self._latest_by_process[process] = name, at
        self._latest_by_process.move_to_end(process)
        if len(self._latest_by_process) > MAX_PROCESSES:
            self._latest_by_process.popitem(last=False)
        return name, at

    def within(self, since: Instant, until: Instant) -> Iterator[str]:
        """Yield the names of the latest ends between two instants."""
        for name, at in reversed(self._latest_by_process.values()):
            if at < since - SAME_END_SECONDS:
                return
            if since <= at <= until:
                yield name
