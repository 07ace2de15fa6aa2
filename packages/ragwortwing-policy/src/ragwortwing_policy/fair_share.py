"""Start-time fair queueing of members by weight, for the agents' gate and for comparisons.

A member's start tag is the virtual time at which its next request begins, its finish tag that at
which its last one ended. The member with the lowest start tag is served next.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush, heapreplace
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

MINIMUM_WEIGHT = 1e-3
"""Minimum weight of a flow, so that no share is zero."""


class ChargedRequest(Protocol):
    """A request whose member is charged for it."""

    @property
    def charged_work(self) -> float:
        """Work charged for the request."""


RequestT = TypeVar("RequestT", bound=ChargedRequest)


class FairShare:
    """Start-time fair queueing between named members.

    A member that has become idle keeps its finish tag until the virtual time passes it, which takes
    about one round. Until then it cannot return as if it had not been served, and its weight still
    counts when the share of a queued request is estimated.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._heap: list[tuple[float, str]] = []
        self._start_by_name: dict[str, float] = {}
        self._finish_by_name: dict[str, float] = {}
        self._weight_by_active_name: dict[str, float] = {}
        self._weight_by_idle_name: dict[str, float] = {}
        self._idle_heap: list[tuple[float, str]] = []
        self._round_weight = 0.0

    def activate(self, name: str, weight: float) -> None:
        """Activate a member that has queued requests."""
        if name in self._weight_by_active_name:
            return
        weight = max(weight, MINIMUM_WEIGHT)
        self._weight_by_active_name[name] = weight
        self._round_weight += weight - self._weight_by_idle_name.pop(name, 0.0)
        self._push(name, max(self._virtual_time, self._finish_by_name.get(name, 0.0)))

    def deactivate(self, name: str) -> None:
        """Deactivate a member without queued requests; its heap item is removed lazily."""
        weight = self._weight_by_active_name.pop(name)
        if not self._weight_by_active_name:
            self._reset()
        elif name in self._finish_by_name:
            self._weight_by_idle_name[name] = weight
            heappush(self._idle_heap, (self._finish_by_name[name], name))
            self._remove_expired_members()
        else:
            self._round_weight -= weight

    def first(self) -> str:
        """Return the member to serve next; ties are broken by name."""
        while self._is_stale(*self._heap[0]):
            start, name = heappop(self._heap)
            if self._start_by_name.get(name) == start:
                del self._start_by_name[name]
        return self._heap[0][1]

    def charge(self, name: str, work: float) -> None:
        """Charge an active member for work."""
        start = self._start_by_name.get(name, self._virtual_time)
        self._virtual_time = max(self._virtual_time, min(start, self._heap[0][0]))
        self._finish_by_name[name] = start + work / self._weight_by_active_name[name]
        self._push(name, self._finish_by_name[name])
        self._remove_expired_members()

    def credit(self, name: str, work: float) -> None:
        """Take back part of what a member was charged, at most down to the virtual time."""
        finish = self._finish_by_name.get(name)
        if finish is None:
            return
        active = self._weight_by_active_name.get(name)
        weight = active if active is not None else self._weight_by_idle_name.get(name, 1.0)
        self._finish_by_name[name] = finish = max(self._virtual_time, finish - work / weight)
        if active is not None:
            self._push(name, finish)
        else:
            heappush(self._idle_heap, (finish, name))

    def lead(self, name: str) -> float:
        """Return by how much the start tag of a member's next request exceeds the virtual time."""
        start = self._start_by_name.get(name, self._finish_by_name.get(name, 0.0))
        return max(0.0, start - self._virtual_time)

    def in_service_order(
        self, requests_by_name: Mapping[str, Iterator[RequestT]]
    ) -> Iterator[RequestT]:
        """Yield the members' requests in service order."""
        heap = [(self._start_by_name[each], each) for each in self._weight_by_active_name]
        heapify(heap)
        while heap:
            start, name = heap[0]
            request = next(requests_by_name[name], None)
            if request is None:
                heappop(heap)
                continue
            yield request
            finish = start + request.charged_work / self._weight_by_active_name[name]
            heapreplace(heap, (finish, name))

    def share_ratio(self, name: str, weight: float) -> float:
        """Return the total weight of a round, including this member, divided by its own weight."""
        own = max(weight, MINIMUM_WEIGHT)
        counted = self._weight_by_active_name.get(name) or self._weight_by_idle_name.get(name, 0.0)
        return (self._round_weight - counted + own) / own

    def _push(self, name: str, start: float) -> None:
        if self._start_by_name.get(name) == start:
            return
        self._start_by_name[name] = start
        heappush(self._heap, (start, name))

    def _is_stale(self, start: float, name: str) -> bool:
        return name not in self._weight_by_active_name or self._start_by_name.get(name) != start

    def _remove_expired_members(self) -> None:
        while self._idle_heap and self._idle_heap[0][0] <= self._virtual_time:
            finish, name = heappop(self._idle_heap)
            if name in self._weight_by_idle_name and self._finish_by_name.get(name) == finish:
                self._round_weight -= self._weight_by_idle_name.pop(name)
                del self._finish_by_name[name]

    def _reset(self) -> None:
        self._virtual_time = 0.0
        self._round_weight = 0.0
        self._heap.clear()
        self._idle_heap.clear()
        self._start_by_name.clear()
        self._finish_by_name.clear()
        self._weight_by_idle_name.clear()
