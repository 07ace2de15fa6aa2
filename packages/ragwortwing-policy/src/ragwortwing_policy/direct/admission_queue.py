"""Queue of requests that wait for an engine of one service: placement, waiting and refusal."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from math import inf
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

from .backend_list import BackendServer
from .engine_load import PrefillPlan
from .placement_request import MinPendingPrefill, NotPlaced, Placed, PlacementRequest
from .prompt_parts import Prompt
from .queue_order import (
    Waiter,
    due_at,
    latest_first_event,
    may_wait,
    must_refuse,
    prediction_margin,
    queue_order,
    refuse_after,
    retry_after_of,
)
from .rate_limits import RateLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .placement import Placement
    from .routing_table import EngineTraits


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for an engine."""

    ticket: str
    """Unique within this entry, even if two callers send the same request id."""
    request_id: str
    prompt: Prompt
    waiter: Waiter
    avoid: frozenset[str] = frozenset()
    """Backend servers that have already failed the request."""
    shortest_pause: float | None = None
    """Shortest pause target in seconds of the streams on the service's engines; None if not
    configured."""
    zone: str = ""
    """Availability zone of the entry that received the request."""
    pause_target: float | None = None
    """Maximum pause in seconds between the request's own events; None if not configured."""
    unusable_until: Mapping[str, Instant] = field(default_factory=dict)
    """Backend servers that its entry must not use, and until when: backoffs, and servers that its
    entry does not list as ready (inf)."""
    account: str | None = None
    """Client account of the request; None on a public route."""
    weight: float = 1.0
    """Weight of the account's share of the engines."""

    def unusable(self, now: Instant) -> frozenset[str]:
        """Return the backend servers that its entry must not use now."""
        return frozenset(key for key, until in self.unusable_until.items() if until > now)


@dataclass(frozen=True, slots=True)
class Granted:
    """The engine that a request is sent to; its load includes the request from now on."""

    request: WaitingRequest
    backend: BackendServer
    reading: PrefillPlan
    backlog: float
    """Seconds of prefill that were ahead of the request."""
    running: int
    """Requests on the engine before this one."""
    first_event_after: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """A request that is refused, with the time after which its caller should retry."""

    request: WaitingRequest
    retry_after: timedelta | None
    no_engine: bool
    """Whether the service has no engine at all, as opposed to being overloaded."""
    waiting: int


_Bound = tuple[int, frozenset[str], float]
"""Requests with common bounds of placement: their urgency, the servers that they cannot use and the
margin of their predictions."""


class AdmissionQueue:
    """The queue in front of the engines of one service."""

    def __init__(
        self, service: str, placement: Placement, limits: RateLimits | None = None
    ) -> None:
        self._service = service
        self._placement = placement
        self._limits = limits if limits is not None else RateLimits()
        self._share = 1.0
        self._waiting: dict[str, WaitingRequest] = {}
        self._unread_by_ticket: dict[str, int] = {}
        """Minimum prompt tokens that any engine had to read when the request arrived."""
        self._earliest_by_bound: dict[_Bound, float] = {}
        self._least_planned_by_bound: dict[_Bound, MinPendingPrefill] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def waiting_by_urgency(self) -> Counter[int]:
        """Return the number of waiting requests of each urgency."""
        return Counter(each.waiter.urgency for each in self._waiting.values())

    def enter(self, request: WaitingRequest, now: Instant) -> None:
        """Add a request to the queue."""
        unread = self._placement.count_arrival(self._placement_request(request, now), now)
        self._unread_by_ticket[request.ticket] = unread
        self._waiting[request.ticket] = request

    def leave(self, ticket: str) -> None:
        """Remove a request from the queue."""
        self._waiting.pop(ticket, None)
        self._unread_by_ticket.pop(ticket, None)

    def is_first(self, ticket: str) -> bool:
        """Return whether no other waiting request is at least as urgent."""
        urgency = self._waiting[ticket].waiter.urgency
        return not any(
            each.waiter.urgency <= urgency for key, each in self._waiting.items() if key != ticket
        )

    def dispatch(
        self,
        traits: EngineTraits | None,
        engines_for: Callable[[WaitingRequest], Sequence[BackendServer]],
        now: Instant,
        only: str | None = None,
        share: float = 1.0,
    ) -> list[Granted | Rejected]:
        """Decide on the waiting requests, in queue order.

        Args:
            traits: The configured properties of the engines; None if not configured.
            engines_for: Returns the engines that a request may use; without those that its entry
                must not use.
            now: The current instant.
            only: Ticket of the only request to decide on; None for all.
            share: Fraction of the engines' rate limits that this entry may use.

        Returns:
            The decisions; all other requests keep waiting.
        """
        considered = self._waiting.values() if only is None else (self._waiting[only],)
        ordered = sorted(considered, key=lambda each: queue_order(each.waiter, now))
        decisions: list[Granted | Rejected] = []
        self._share = share
        self._clear_bounds()
        for request in ordered:
            decision = self._decide(request, traits, engines_for(request), now)
            if decision is not None:
                self.leave(request.ticket)
                decisions.append(decision)
        return decisions

    def _decide(
        self,
        request: WaitingRequest,
        traits: EngineTraits | None,
        engines: Sequence[BackendServer],
        now: Instant,
    ) -> Granted | Rejected | None:
        until = refuse_after(request.waiter, self._due(request), is_long=request.prompt.is_long)
        unusable = request.unusable(now)
        no_engine = traits is None or not (engines or unusable)
        if no_engine or traits is None or must_refuse(request.waiter, until, now):
            return self._reject(request, no_engine=no_engine, now=now)
        if not engines:
            usable_at = min(request.unusable_until[each] for each in unusable)
            if must_refuse(request.waiter, until, usable_at):
                return self._reject(request, no_engine=False, now=now)
            return None
        engines = self._limits.admitting(engines, now, self._share)
        if not engines:
            return None
        placement_request = self._placement_request(request, now)
        unread = self._unread_by_ticket[request.ticket]
        if not request.avoid and self._cannot_be_placed(
            placement_request, unread, engines, traits, now, unusable
        ):
            return None
        found = self._placement.place(placement_request, engines, traits, now)
        if isinstance(found, NotPlaced):
            return None
        self._clear_bounds()
        return self._grant(request, found, traits, now)

    def _cannot_be_placed(
        self,
        placement_request: PlacementRequest,
        unread: int,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
        now: Instant,
        unusable: frozenset[str],
    ) -> bool:
        """Return whether no engine can take a request now, without checking each engine's cache.

        In an overload hundreds of requests wait, and a single pass can place only few of them.
        """
        bound = (placement_request.urgency, unusable, placement_request.margin)
        earliest = self._earliest_by_bound.get(bound)
        if earliest is None:
            earliest = self._placement.earliest_first_event(
                engines, traits, placement_request.urgency, now, placement_request.margin
            )
            self._earliest_by_bound[bound] = earliest
        if earliest == inf or not placement_request.prompt.is_long:
            return earliest == inf
        if earliest > placement_request.latency_target:
            return True
        if (
            not placement_request.may_wait
            or self._placement.budget_seconds(placement_request, now) is None
        ):
            return False
        planned = self._least_planned_by_bound.get(bound)
        if planned is None:
            planned = self._placement.least_planned(placement_request, engines, traits, now)
            self._least_planned_by_bound[bound] = planned
        return not planned.may_fit(placement_request, unread)

    def _clear_bounds(self) -> None:
        self._earliest_by_bound.clear()
        self._least_planned_by_bound.clear()

    def _grant(
        self, request: WaitingRequest, found: Placed, traits: EngineTraits, now: Instant
    ) -> Granted:
        load = self._placement.load(found.backend, traits)
        granted = Granted(
            request=request,
            backend=found.backend,
            reading=found.reading,
            backlog=load.backlog(now, request.waiter.urgency),
            running=load.running,
            first_event_after=found.first_event_after,
        )
        load.begin(request.ticket, request.prompt, found.reading, now, request.waiter.urgency)
        self._limits.spend(found.backend.id)
        return granted

    def _reject(self, request: WaitingRequest, *, no_engine: bool, now: Instant) -> Rejected:
        return Rejected(
            request=request,
            retry_after=retry_after_of(request.waiter, now),
            no_engine=no_engine,
            waiting=len(self._waiting),
        )

    def _due(self, request: WaitingRequest) -> Instant:
        waiter = request.waiter
        first_event_when_idle = self._placement.first_event_when_idle(
            self._service, request.prompt, waiter.urgency
        )
        return due_at(waiter, first_event_when_idle)

    def _placement_request(self, request: WaitingRequest, now: Instant) -> PlacementRequest:
        waiter = request.waiter
        due = self._due(request)
        target = latest_first_event(waiter, due) - now
        return PlacementRequest(
            self._service,
            request.prompt,
            target,
            waiter.urgency,
            request.shortest_pause,
            may_wait=may_wait(waiter, now, is_long=request.prompt.is_long),
            zone=request.zone,
            pause_target=request.pause_target,
            margin=prediction_margin(waiter, due),
        )
