"""Queued requests by the instant at which something becomes true of them."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Instant
    from .fair_queue import FairQueue, QueuedRequest

COMPACTION_SLACK = 64
"""Stale items a heap may hold above the queue's own length before they are cleared out."""


class TimedRequests:
    """A heap of instants; requests that left the queue are dropped when they are met."""

    def __init__(self, queue: FairQueue) -> None:
        self._queue = queue
        self._heap: list[tuple[Instant, int, QueuedRequest]] = []
        self._sequence = count()

    def add(self, at: Instant, request: QueuedRequest) -> None:
        """Note the instant of a queued request."""
        if len(self._heap) > 2 * len(self._queue) + COMPACTION_SLACK:
            self._heap = [each for each in self._heap if self._queue.holds(each[2])]
            heapify(self._heap)
        heappush(self._heap, (at, next(self._sequence), request))

    def pop_due(self, now: Instant) -> list[QueuedRequest]:
        """Return the requests whose instant has come and that are still queued, in its order."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            request = heappop(self._heap)[2]
            if self._queue.holds(request):
                due.append(request)
        return due


class MarkedRequests:
    """Queued requests with a mark, counted by tier; they lose it on leaving the queue."""

    def __init__(self) -> None:
        self._ids_by_tier: dict[int, set[str]] = {}

    def add(self, request: QueuedRequest) -> None:
        """Mark a queued request."""
        self._ids_by_tier.setdefault(request.tier, set()).add(request.request_id)

    def discard(self, request: QueuedRequest) -> None:
        """Take the mark off."""
        ids = self._ids_by_tier.get(request.tier)
        if ids is None:
            return
        ids.discard(request.request_id)
        if not ids:
            del self._ids_by_tier[request.tier]

    def tiers(self) -> list[int]:
        """Return the tiers with a marked request, the most urgent first."""
        return sorted(self._ids_by_tier)

    def count_through(self, tier: int) -> int:
        """Return how many of a tier and more urgent ones are marked."""
        return sum(len(ids) for each, ids in self._ids_by_tier.items() if each <= tier)
