"""Collections of queued requests: ordered by a due time, or marked and counted by tier."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Instant
    from .fair_queue import FairQueue, QueuedRequest

COMPACTION_SLACK = 64
"""Constant term of the heap size limit; above twice the queue's length plus this number, items of
requests that left the queue are removed."""


class TimedRequests:
    """Heap of requests by due time; requests that left the queue are removed lazily."""

    def __init__(self, queue: FairQueue) -> None:
        self._queue = queue
        self._heap: list[tuple[Instant, int, QueuedRequest]] = []
        self._sequence = count()

    def add(self, at: Instant, request: QueuedRequest) -> None:
        """Add a queued request with its due time."""
        if len(self._heap) > 2 * len(self._queue) + COMPACTION_SLACK:
            self._heap = [each for each in self._heap if self._queue.holds(each[2])]
            heapify(self._heap)
        heappush(self._heap, (at, next(self._sequence), request))

    def pop_due(self, now: Instant) -> list[QueuedRequest]:
        """Remove all due requests, and return those still queued, ordered by due time."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            request = heappop(self._heap)[2]
            if self._queue.holds(request):
                due.append(request)
        return due


class MarkedRequests:
    """Set of marked requests, counted by tier; callers discard requests that leave the queue."""

    def __init__(self) -> None:
        self._ids_by_tier: dict[int, set[str]] = {}

    def add(self, request: QueuedRequest) -> None:
        """Mark a queued request."""
        self._ids_by_tier.setdefault(request.tier, set()).add(request.request_id)

    def discard(self, request: QueuedRequest) -> None:
        """Remove the mark of a request."""
        ids = self._ids_by_tier.get(request.tier)
        if ids is None:
            return
        ids.discard(request.request_id)
        if not ids:
            del self._ids_by_tier[request.tier]

    def tiers(self) -> list[int]:
        """Return the tiers with marked requests, most urgent first."""
        return sorted(self._ids_by_tier)

    def count_through(self, tier: int) -> int:
        """Return the number of marked requests of a tier and more urgent ones."""
        return sum(len(ids) for each, ids in self._ids_by_tier.items() if each <= tier)
