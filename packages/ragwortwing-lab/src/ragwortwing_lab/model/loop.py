"""Discrete-event loop in virtual time."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ragwortwing_policy.clock import Instant


class VirtualLoop:
    """Runs callbacks in time order; callbacks of the same instant run in the order scheduled."""

    def __init__(self) -> None:
        self.now: Instant = 0.0
        self._heap: list[tuple[Instant, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = count()

    def at(self, instant: Instant, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a callback at an instant, or now if it has passed."""
        entry = (max(instant, self.now), next(self._sequence), callback, arguments)
        heappush(self._heap, entry)

    def after(self, seconds: float, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a callback after a delay in seconds."""
        self.at(self.now + seconds, callback, *arguments)

    def run(self, until: Instant) -> None:
        """Run all callbacks due up to and including an instant."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, arguments = heappop(self._heap)
            callback(*arguments)
        self.now = until
