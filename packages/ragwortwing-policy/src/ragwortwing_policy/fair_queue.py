"""The queue of one backend server: strict tiers, weighted fair sharing inside a tier.

Sharing is start-time fair queueing on expected work, first between the classes of a tier, then
between the accounts of a class. Requests leave a flow in order of arrival. Adding, removing and
taking cost O(log n) in the number of flows that have requests.
"""

from __future__ import annotations

from bisect import insort
from collections import OrderedDict
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace
from itertools import chain
from typing import TYPE_CHECKING

from .clock import Instant
from .configuration import RequestClass
from .reservations import Reservation

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

MINIMUM_WEIGHT = 1e-3
"""Weight below which a flow is not allowed to fall, so that no share is zero."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A reservation that waits for a slot."""

    reservation: Reservation
    request_class: RequestClass
    account_weight: float
    arrived_at: Instant
    """When the request came to the system, perhaps by way of another agent's queue."""
    work: float
    """Expected tokens still to generate."""
    begun: bool = False
    """Whether part of the answer was generated, so that it must end and is not refused."""
    protected: bool = False
    """Whether its next run may not be preempted before it made real progress."""
    latest_start: Instant = field(init=False)
    """When its class's queue limit, or its deadline, is used up."""

    def __post_init__(self) -> None:
        limit = self.arrived_at + self.request_class.queue_limit.total_seconds()
        self.latest_start = min(limit, self.reservation.deadline)

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.reservation.request_id

    @property
    def tier(self) -> int:
        """Tier in force when it was queued."""
        return self.request_class.tier

    @property
    def charged_work(self) -> float:
        """Work that a slot is charged with; one that resumes near its end is not free."""
        return self.work + 1.0


class _FairShare:
    """Start-time fair queueing between named members.

    A member that was served keeps its finish tag while that lies ahead of the virtual time, that
    is for about one round: it cannot come back as if it had not been served, and it counts among
    those that a queued request shares with.
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
        """Let a member that has requests take part."""
        if name in self._weight_by_active_name:
            return
        weight = max(weight, MINIMUM_WEIGHT)
        self._weight_by_active_name[name] = weight
        self._round_weight += weight - self._weight_by_idle_name.pop(name, 0.0)
        self._push(name, max(self._virtual_time, self._finish_by_name.get(name, 0.0)))

    def deactivate(self, name: str) -> None:
        """Take a member out that has nothing left; its place in the heap is dropped when met."""
        weight = self._weight_by_active_name.pop(name)
        if not self._weight_by_active_name:
            self._begin_anew()
        elif name in self._finish_by_name:
            self._weight_by_idle_name[name] = weight
            heappush(self._idle_heap, (self._finish_by_name[name], name))
            self._forget_past_members()
        else:
            self._round_weight -= weight

    def first(self) -> str:
        """Return the member whose turn it is; ties go by name."""
        while self._is_stale(*self._heap[0]):
            start, name = heappop(self._heap)
            if self._start_by_name.get(name) == start:
                del self._start_by_name[name]
        return self._heap[0][1]

    def charge(self, name: str, work: float) -> None:
        """Account work that an active member was given."""
        start = self._start_by_name.get(name, self._virtual_time)
        self._virtual_time = max(self._virtual_time, min(start, self._heap[0][0]))
        self._finish_by_name[name] = start + work / self._weight_by_active_name[name]
        self._push(name, self._finish_by_name[name])
        self._forget_past_members()

    def in_service_order(
        self, requests_by_name: Mapping[str, Iterator[QueuedRequest]]
    ) -> Iterator[QueuedRequest]:
        """Yield the members' requests in the order of their turns."""
        turns = [(self._start_by_name[each], each) for each in self._weight_by_active_name]
        heapify(turns)
        while turns:
            start, name = turns[0]
            request = next(requests_by_name[name], None)
            if request is None:
                heappop(turns)
                continue
            yield request
            finish = start + request.charged_work / self._weight_by_active_name[name]
            heapreplace(turns, (finish, name))

    def share_ratio(self, name: str, weight: float) -> float:
        """Return the weight of all members of a round, this one included, over its own."""
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

    def _forget_past_members(self) -> None:
        while self._idle_heap and self._idle_heap[0][0] <= self._virtual_time:
            finish, name = heappop(self._idle_heap)
            if name in self._weight_by_idle_name and self._finish_by_name.get(name) == finish:
                self._round_weight -= self._weight_by_idle_name.pop(name)
                del self._finish_by_name[name]

    def _begin_anew(self) -> None:
        self._virtual_time = 0.0
        self._round_weight = 0.0
        self._heap.clear()
        self._idle_heap.clear()
        self._start_by_name.clear()
        self._finish_by_name.clear()
        self._weight_by_idle_name.clear()


class _ClassQueue:
    """Requests of one class: begun ones first, then the accounts in fair turns."""

    def __init__(self) -> None:
        self.share = _FairShare()
        self.begun_by_id: OrderedDict[str, QueuedRequest] = OrderedDict()
        self.flow_by_account: dict[str, OrderedDict[str, QueuedRequest]] = {}
        self.count = 0

    def add(self, request: QueuedRequest) -> None:
        """Queue a request."""
        self.count += 1
        if request.begun:
            self.begun_by_id[request.request_id] = request
            return
        account = request.reservation.account
        flow = self.flow_by_account.setdefault(account, OrderedDict())
        flow[request.request_id] = request
        self.share.activate(account, request.account_weight)

    def remove(self, request: QueuedRequest) -> None:
        """Take a request out without accounting its work."""
        self.count -= 1
        if self.begun_by_id.pop(request.request_id, None) is not None:
            return
        account = request.reservation.account
        flow = self.flow_by_account[account]
        del flow[request.request_id]
        if not flow:
            del self.flow_by_account[account]
            self.share.deactivate(account)

    def first(self) -> QueuedRequest:
        """Return the request whose turn it is."""
        if self.begun_by_id:
            return next(iter(self.begun_by_id.values()))
        return next(iter(self.flow_by_account[self.share.first()].values()))

    def in_service_order(self) -> Iterator[QueuedRequest]:
        """Yield the requests in the order of their turns."""
        flows = {name: iter(flow.values()) for name, flow in self.flow_by_account.items()}
        return chain(self.begun_by_id.values(), self.share.in_service_order(flows))


class _TierQueue:
    """Classes of one tier in fair turns."""

    def __init__(self) -> None:
        self.share = _FairShare()
        self.queue_by_class: dict[str, _ClassQueue] = {}
        self.count = 0
        self.work = 0.0

    def add(self, request: QueuedRequest) -> None:
        """Queue a request."""
        name = request.request_class.name
        self.queue_by_class.setdefault(name, _ClassQueue()).add(request)
        self.share.activate(name, request.request_class.weight)
        self.count += 1
        self.work += request.work

    def remove(self, request: QueuedRequest) -> None:
        """Take a request out without accounting its work."""
        name = request.request_class.name
        queue = self.queue_by_class[name]
        queue.remove(request)
        self.count -= 1
        self.work = self.work - request.work if self.count else 0.0
        if not queue.count:
            self.share.deactivate(name)

    def take(self, request: QueuedRequest) -> None:
        """Take a request out for a slot and account its work to its class and account."""
        queue = self.queue_by_class[request.request_class.name]
        if not request.begun:
            queue.share.charge(request.reservation.account, request.charged_work)
        self.share.charge(request.request_class.name, request.charged_work)
        self.remove(request)

    def first(self) -> QueuedRequest:
        """Return the request whose turn it is."""
        return self.queue_by_class[self.share.first()].first()

    def in_service_order(self) -> Iterator[QueuedRequest]:
        """Yield the requests in the order of their turns."""
        queues = {
            name: queue.in_service_order()
            for name, queue in self.queue_by_class.items()
            if queue.count
        }
        return self.share.in_service_order(queues)


class FairQueue:
    """Requests that wait for a slot, in strict tiers and fair shares."""

    def __init__(self) -> None:
        self._by_id: dict[str, QueuedRequest] = {}
        self._queue_by_tier: dict[int, _TierQueue] = {}
        self._tiers: list[int] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._by_id

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._by_id.values())

    def holds(self, request: QueuedRequest) -> bool:
        """Return whether this very queueing of a request still waits."""
        return self._by_id.get(request.request_id) is request

    def classes(self, tier: int) -> list[RequestClass]:
        """Return the classes of a tier that have queued requests."""
        queues = self._queue_by_tier[tier].queue_by_class.values()
        return [each.first().request_class for each in queues if each.count]

    def add(self, request: QueuedRequest) -> None:
        """Queue a request; one that has begun goes ahead of its class."""
        self._by_id[request.request_id] = request
        if request.tier not in self._queue_by_tier:
            self._queue_by_tier[request.tier] = _TierQueue()
            insort(self._tiers, request.tier)
        self._queue_by_tier[request.tier].add(request)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Take a request out that will not get a slot from here."""
        request = self._by_id.pop(request_id, None)
        if request is not None:
            self._queue_by_tier[request.tier].remove(request)
        return request

    def first(self) -> QueuedRequest | None:
        """Return the request whose turn it is."""
        for tier in self._tiers:
            queue = self._queue_by_tier[tier]
            if queue.count:
                return queue.first()
        return None

    def take(self, request: QueuedRequest) -> None:
        """Take a request out for a slot; its work counts against its class and account."""
        del self._by_id[request.request_id]
        self._queue_by_tier[request.tier].take(request)

    def count_through(self, tier: int) -> int:
        """Return how many requests of this tier and more urgent ones wait."""
        return sum(self._queue_by_tier[each].count for each in self._tiers if each <= tier)

    def count_above(self, tier: int) -> int:
        """Return how many requests more urgent than a tier wait."""
        return self.count_through(tier - 1)

    def count_in(self, tier: int) -> int:
        """Return how many requests of a tier wait."""
        queue = self._queue_by_tier.get(tier)
        return 0 if queue is None else queue.count

    def work_through(self, tier: int) -> float:
        """Return the expected tokens of the requests of this tier and more urgent ones."""
        return sum(self._queue_by_tier[each].work for each in self._tiers if each <= tier)

    def count_ahead(self, request_class: RequestClass, account: str, weight: float) -> float:
        """Return about how many requests are served before a new one of an account.

        A flow gets its share whatever others have queued, so an account that floods its class
        lengthens its own wait rather than that of the others.
        """
        urgent = self.count_above(request_class.tier)
        tier_queue = self._queue_by_tier.get(request_class.tier)
        if tier_queue is None or not tier_queue.count:
            return urgent
        queue = tier_queue.queue_by_class.get(request_class.name)
        in_class = 0.0 if queue is None else _ahead_in_class(queue, account, weight)
        class_ratio = tier_queue.share.share_ratio(request_class.name, request_class.weight)
        return urgent + min(tier_queue.count, (in_class + 0.5) * class_ratio)

    def in_service_order(self, tier: int) -> Iterator[QueuedRequest]:
        """Yield the requests of a tier as they get slots if no other one comes."""
        return self._queue_by_tier[tier].in_service_order()

    @property
    def tiers(self) -> tuple[int, ...]:
        """Tiers with queued requests, the most urgent first."""
        return tuple(each for each in self._tiers if self._queue_by_tier[each].count)


def _ahead_in_class(queue: _ClassQueue, account: str, weight: float) -> float:
    flow = queue.flow_by_account.get(account)
    place = 0 if flow is None else len(flow)
    ratio = queue.share.share_ratio(account, weight)
    return min(queue.count, len(queue.begun_by_id) + (place + 0.5) * ratio)
