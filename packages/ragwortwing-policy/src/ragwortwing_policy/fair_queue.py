"""Request queue of one backend server, with strict tiers and weighted fair sharing within a tier.

Start-time fair queueing on expected work shares slots between the classes of a tier, then between
the accounts of a class. Each flow is first in, first out. Adding, removing and taking requests
costs O(log n) in the number of non-empty flows.
"""

from __future__ import annotations

from bisect import insort
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import chain
from typing import TYPE_CHECKING

from .clock import Instant
from .configuration import RequestClass
from .fair_share import FairShare
from .reservations import Reservation

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A reservation that waits for a slot."""

    reservation: Reservation
    request_class: RequestClass
    account_weight: float
    arrived_at: Instant
    """When the request arrived in the system, possibly first at another agent."""
    work: float
    """Expected number of tokens still to generate."""
    has_started: bool = False
    """Whether part of the answer was already generated, so that the request must not be refused."""
    protected: bool = False
    """Whether its next run is protected from preemption until it has made progress."""
    latest_start: Instant = field(init=False)
    """When its class's queue limit or its deadline is reached, whichever is earlier."""

    def __post_init__(self) -> None:
        limit = self.arrived_at + self.request_class.queue_limit.total_seconds()
        self.latest_start = min(limit, self.reservation.deadline)

    @property
    def request_id(self) -> str:
        """Id of the reserved request."""
        return self.reservation.request_id

    @property
    def tier(self) -> int:
        """Tier in force when it was queued."""
        return self.request_class.tier

    @property
    def charged_work(self) -> float:
        """Work charged for a slot; more than `work`, so that resuming near the end is not free."""
        return self.work + 1.0


class _ClassQueue:
    """Requests of one class: begun ones first, then fair sharing between accounts."""

    def __init__(self) -> None:
        self.share = FairShare()
        self.begun_by_id: OrderedDict[str, QueuedRequest] = OrderedDict()
        self.flow_by_account: dict[str, OrderedDict[str, QueuedRequest]] = {}
        self.count = 0

    def add(self, request: QueuedRequest) -> None:
        """Queue a request."""
        self.count += 1
        if request.has_started:
            self.begun_by_id[request.request_id] = request
            return
        account = request.reservation.account
        flow = self.flow_by_account.setdefault(account, OrderedDict())
        flow[request.request_id] = request
        self.share.activate(account, request.account_weight)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request without charging its work."""
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
        """Return the request to serve next."""
        if self.begun_by_id:
            return next(iter(self.begun_by_id.values()))
        return next(iter(self.flow_by_account[self.share.first()].values()))

    def in_service_order(self) -> Iterator[QueuedRequest]:
        """Yield the requests in service order."""
        flows = {name: iter(flow.values()) for name, flow in self.flow_by_account.items()}
        return chain(self.begun_by_id.values(), self.share.in_service_order(flows))


class _TierQueue:
    """Requests of one tier, with fair sharing between classes."""

    def __init__(self) -> None:
        self.share = FairShare()
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
        """Remove a request without charging its work."""
        name = request.request_class.name
        queue = self.queue_by_class[name]
        queue.remove(request)
        self.count -= 1
        self.work = self.work - request.work if self.count else 0.0
        if not queue.count:
            self.share.deactivate(name)

    def take(self, request: QueuedRequest) -> None:
        """Remove a request that gets a slot, and charge its class and account for its work."""
        queue = self.queue_by_class[request.request_class.name]
        if not request.has_started:
            queue.share.charge(request.reservation.account, request.charged_work)
        self.share.charge(request.request_class.name, request.charged_work)
        self.remove(request)

    def first(self) -> QueuedRequest:
        """Return the request to serve next."""
        return self.queue_by_class[self.share.first()].first()

    def in_service_order(self) -> Iterator[QueuedRequest]:
        """Yield the requests in service order."""
        queues = {
            name: queue.in_service_order()
            for name, queue in self.queue_by_class.items()
            if queue.count
        }
        return self.share.in_service_order(queues)


class FairQueue:
    """Requests waiting for a slot, ordered by strict tiers and fair shares within a tier."""

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
        """Return whether this queue entry, and not a later one of the same request, is queued."""
        return self._by_id.get(request.request_id) is request

    def classes(self, tier: int) -> list[RequestClass]:
        """Return the classes of a tier that have queued requests."""
        queues = self._queue_by_tier[tier].queue_by_class.values()
        return [each.first().request_class for each in queues if each.count]

    def add(self, request: QueuedRequest) -> None:
        """Queue a request; one that has begun goes to the front of its class."""
        self._by_id[request.request_id] = request
        if request.tier not in self._queue_by_tier:
            self._queue_by_tier[request.tier] = _TierQueue()
            insort(self._tiers, request.tier)
        self._queue_by_tier[request.tier].add(request)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request that does not get a slot, and return it, or None if it is not queued."""
        request = self._by_id.pop(request_id, None)
        if request is not None:
            self._queue_by_tier[request.tier].remove(request)
        return request

    def first(self) -> QueuedRequest | None:
        """Return the request to serve next."""
        for tier in self._tiers:
            queue = self._queue_by_tier[tier]
            if queue.count:
                return queue.first()
        return None

    def take(self, request: QueuedRequest) -> None:
        """Remove a request that gets a slot, and charge its class and account for its work."""
        del self._by_id[request.request_id]
        self._queue_by_tier[request.tier].take(request)

    def count_through(self, tier: int) -> int:
        """Return the number of queued requests of this tier and more urgent ones."""
        return sum(self._queue_by_tier[each].count for each in self._tiers if each <= tier)

    def count_above(self, tier: int) -> int:
        """Return the number of queued requests that are more urgent than a tier."""
        return self.count_through(tier - 1)

    def count_in(self, tier: int) -> int:
        """Return the number of queued requests of a tier."""
        queue = self._queue_by_tier.get(tier)
        return 0 if queue is None else queue.count

    def work_through(self, tier: int) -> float:
        """Return the expected tokens of queued requests of this tier and more urgent ones."""
        return sum(self._queue_by_tier[each].work for each in self._tiers if each <= tier)

    def count_ahead(self, request_class: RequestClass, account: str, weight: float) -> float:
        """Estimate how many requests are served before a new one of an account.

        A flow gets its share regardless of the length of other flows. An account that floods its
        class therefore increases its own wait and not that of others.
        """
        more_urgent = self.count_above(request_class.tier)
        tier_queue = self._queue_by_tier.get(request_class.tier)
        if tier_queue is None or not tier_queue.count:
            return more_urgent
        queue = tier_queue.queue_by_class.get(request_class.name)
        in_class = 0.0 if queue is None else _count_ahead_in_class(queue, account, weight)
        class_ratio = tier_queue.share.share_ratio(request_class.name, request_class.weight)
        return more_urgent + min(tier_queue.count, (in_class + 0.5) * class_ratio)

    def in_service_order(self, tier: int) -> Iterator[QueuedRequest]:
        """Yield the requests of a tier in service order, assuming no further arrivals."""
        return self._queue_by_tier[tier].in_service_order()

    @property
    def tiers(self) -> tuple[int, ...]:
        """Tiers with queued requests, most urgent first."""
        return tuple(each for each in self._tiers if self._queue_by_tier[each].count)


def _count_ahead_in_class(queue: _ClassQueue, account: str, weight: float) -> float:
    flow = queue.flow_by_account.get(account)
    position = 0 if flow is None else len(flow)
    ratio = queue.share.share_ratio(account, weight)
    return min(queue.count, len(queue.begun_by_id) + (position + 0.5) * ratio)
