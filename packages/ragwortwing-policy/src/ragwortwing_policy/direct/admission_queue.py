"""Queue of requests that wait for an engine of one service: placement, waiting and refusal."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from math import inf
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

from .backend_list import BackendServer
from .engine_load import PrefillPlan
from .placement_request import MinPendingPrefill, NotPlaced, Placed, PlacementRequest
from .prompt_parts import Prompt
from .queue_order import (
    REFUSAL_LEAD_SECONDS,
    WITHIN_SHARE,
    QueueOrder,
    Waiter,
    due_at,
    latest_first_event,
    latest_late_first_event,
    may_wait,
    must_refuse,
    prediction_margin,
    queue_order,
    refuse_after,
    retry_after_of,
    target_beyond_share,
)
from .rate_limits import RateLimits
from .return_times import (
    Attempt,
    Recognition,
    RetryBasis,
    ReturnTimes,
    attempt_key,
    decode_seconds,
)
from .run_cost import RunCost
from .usage_window import Standing
from .zone_costs import zone_cost

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .account_shares import Shares
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
    version: str | None = None
    """The only software version whose engines may take the request; None if any may."""

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
    standing: Standing | None = None
    """Usage and share of the request's account; None without client accounts."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """A request that is refused, with the time after which its caller should retry."""

    request: WaitingRequest
    retry_after: timedelta | None
    no_engine: bool
    """Whether the service has no engine at all, as opposed to being overloaded."""
    waiting: int
    standing: Standing | None = None
    """Usage and share of the request's account; None without client accounts."""
    recognition: Recognition = Recognition.UNKNOWN
    """Whether the request was a retry for which a time had been assigned."""
    basis: RetryBasis | None = None
    """The load from which the retry time was computed; None where no times are assigned."""


_Bound = tuple[int, frozenset[str], float, str | None]
"""Requests with common bounds of placement: their urgency, the servers that they cannot use, the
margin of their predictions and their version."""


class AdmissionQueue:
    """The queue in front of the engines of one service."""

    def __init__(
        self,
        service: str,
        placement: Placement,
        limits: RateLimits | None = None,
        return_times: ReturnTimes | None = None,
    ) -> None:
        """Create a queue.

        Args:
            service: The service.
            placement: Places requests on the service's engines.
            limits: Rate limits of the engines.
            return_times: Assigns retry times to refused requests; without it every caller is told
                the same fraction of its time left, and retries are not recognized.
        """
        self._service = service
        self.return_times = return_times
        self.zone_costs = False
        """Whether engines in other zones than the request's are ranked by their cost."""
        self._placement = placement
        self._limits = limits if limits is not None else RateLimits()
        self._share = 1.0
        self._unplaced = 0
        """Requests that this pass has considered and left waiting."""
        self._waiting: dict[str, WaitingRequest] = {}
        self._unread_by_ticket: dict[str, int] = {}
        """Minimum prompt tokens that any engine had to read when the request arrived."""
        self._first_event_by_ticket: dict[str, float] = {}
        """Predicted seconds to the first event on an idle engine with most of the prompt cached."""
        self._earliest_by_bound: dict[_Bound, float] = {}
        self._least_planned_by_bound: dict[_Bound, MinPendingPrefill] = {}
        self._retries_not_placed: set[tuple[int, frozenset[str], str, str | None]] = set()
        """Urgency, servers that cannot be used, session and version of retries that no engine can
        take in this pass. Retries wait for seconds, and others like them would find no engine
        either."""

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def _shares(self) -> Shares:
        return self._placement.shares.pool(self._service)

    def waiting_by_urgency(self) -> Counter[int]:
        """Return the number of waiting requests of each urgency."""
        return Counter(each.waiter.urgency for each in self._waiting.values())

    def enter(self, request: WaitingRequest, now: Instant) -> None:
        """Add a request to the queue."""
        arrival = PlacementRequest(self._service, request.prompt, request.waiter.target_at - now)
        unread = self._placement.count_arrival(arrival, now)
        self._unread_by_ticket[request.ticket] = unread
        self._first_event_by_ticket[request.ticket] = self._placement.first_event_when_idle(
            self._service, unread, request.waiter.urgency
        )
        cost = self._placement.run_cost(self._service, request.prompt, unread)
        self._waiting[request.ticket] = self._recognized(request, cost, now)
        self._shares.arrived(
            request.ticket, request.account, request.weight, request.waiter.urgency, cost, now
        )

    def _recognized(self, request: WaitingRequest, cost: RunCost, now: Instant) -> WaitingRequest:
        """Return a request with what is known of its caller's earlier attempt."""
        if self.return_times is None:
            return request
        prompt, waiter = request.prompt, request.waiter
        key = attempt_key(request.account, prompt)
        attempt = Attempt(key, request.request_id, request.account, waiter, cost.seconds)
        found = self.return_times.arrive(request.ticket, attempt, now)
        on_time = found.recognition is Recognition.ON_TIME
        if found.first_target_at == waiter.first_target_at and on_time == waiter.retries_on_time:
            return request
        waiter = replace(waiter, first_target_at=found.first_target_at, retries_on_time=on_time)
        return replace(request, waiter=waiter)

    def leave(self, ticket: str) -> None:
        """Remove a request that needs no decision any more from the queue."""
        self._shares.left(ticket)
        self._remove(ticket)

    def _remove(self, ticket: str) -> None:
        self._waiting.pop(ticket, None)
        self._unread_by_ticket.pop(ticket, None)
        self._first_event_by_ticket.pop(ticket, None)
        if self.return_times is not None:
            self.return_times.left(ticket)

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
        ordered = sorted(considered, key=lambda each: self._order(each, now))
        shares = self._shares
        rank_by_ticket = self._ranks(shares, ordered, now)
        if rank_by_ticket:
            ordered.sort(
                key=lambda each: self._order(
                    each, now, rank_by_ticket.get(each.ticket, WITHIN_SHARE)
                )
            )
        decisions: list[Granted | Rejected] = []
        self._share = share
        self._clear_bounds()
        self._unplaced = 0
        ahead_by_urgency: defaultdict[int, float] = defaultdict(float)
        for request in ordered:
            ticket, urgency = request.ticket, request.waiter.urgency
            beyond = ticket in rank_by_ticket and shares.is_beyond(ticket, now)
            decision = self._decide(request, traits, engines_for(request), now, beyond=beyond)
            if decision is None and beyond:
                wait = shares.wait_seconds(ticket, ahead_by_urgency[urgency], now)
                decision = self._refuse_early(request, traits, now, now + wait)
            if decision is not None:
                self._remove(ticket)
                decisions.append(decision)
                continue
            self._unplaced += 1
            if rank_by_ticket:
                ahead_by_urgency[urgency] += shares.seconds(ticket)
        if only is None:
            shares.passed(self.waiting_by_urgency(), now)
        return decisions

    def _ranks(
        self, shares: Shares, ordered: Sequence[WaitingRequest], now: Instant
    ) -> Mapping[str, float]:
        """Return the ranks of requests beyond their account's share; resumed answers have none.

        A request that finds nobody waiting is ranked as well while the engines are contended:
        otherwise the account that sends most would fill every engine between two passes.
        """
        if len(ordered) < 2 and not shares.is_contended(now):
            return {}
        return shares.ranks([each.ticket for each in ordered if not each.waiter.resumed], now)

    def _refuse_early(
        self,
        request: WaitingRequest,
        traits: EngineTraits | None,
        now: Instant,
        served_at: Instant,
    ) -> Rejected | None:
        """Refuse a request beyond its account's share that would be refused later anyway.

        Those furthest beyond their share are last in the order, so they are refused first. Their
        callers have more time left for a retry.
        """
        waiter = request.waiter
        if served_at <= min(waiter.target_at, waiter.deadline - REFUSAL_LEAD_SECONDS):
            return None
        if not must_refuse(waiter, self._refuse_after(request, traits), served_at):
            return None
        return self._reject(request, no_engine=False, now=now)

    def _decide(
        self,
        request: WaitingRequest,
        traits: EngineTraits | None,
        engines: Sequence[BackendServer],
        now: Instant,
        *,
        beyond: bool,
    ) -> Granted | Rejected | None:
        idle = self._first_event_by_ticket[request.ticket]
        due = self._due(request)
        until = self._refuse_after(request, traits, due)
        unusable = request.unusable(now)
        no_engine = traits is None or not (engines or unusable)
        if no_engine or traits is None or must_refuse(request.waiter, until, now):
            return self._reject(request, no_engine=no_engine, now=now)
        if not engines:
            usable_at = min(request.unusable_until[each] for each in unusable)
            if must_refuse(request.waiter, until, usable_at):
                return self._reject(request, no_engine=False, now=now)
            return None
        if request.waiter.is_early_retry and self._unplaced:
            # What it would take, the requests before it can use in one of the next passes.
            return None
        engines = self._limits.admitting(engines, now, self._share)
        if not engines:
            return None
        placement_request = self._placement_request(request, now, due, traits)
        if beyond and request.prompt.is_long:
            spent = now - request.waiter.arrived_at
            most = target_beyond_share(placement_request.latency_target + spent, idle)
            # What an account beyond its share leaves free is margin enough for prediction errors.
            placement_request = replace(
                placement_request,
                latency_target=min(placement_request.latency_target, most),
                margin=0.0,
            )
        unread = self._unread_by_ticket[request.ticket]
        if not request.avoid and self._cannot_be_placed(
            placement_request, unread, engines, traits, now, unusable, request.version
        ):
            return None
        late_retry = (
            (request.waiter.urgency, unusable, request.prompt.session, request.version)
            if request.waiter.retries_on_time and not request.avoid
            else None
        )
        if late_retry in self._retries_not_placed:
            return None
        found = self._placement.place(placement_request, engines, traits, now)
        if isinstance(found, NotPlaced):
            if late_retry is not None:
                self._retries_not_placed.add(late_retry)
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
        version: str | None,
    ) -> bool:
        """Return whether no engine can take a request now, without checking each engine's cache.

        In an overload hundreds of requests wait, and a single pass can place only few of them.
        """
        bound = (placement_request.urgency, unusable, placement_request.margin, version)
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
        self._retries_not_placed.clear()

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
            standing=self._shares.standing(request.account, request.waiter.urgency, now),
        )
        cost = RunCost.on(load, found.reading, request.prompt)
        self._shares.granted(request.ticket, cost, now)
        load.begin(request.ticket, request.prompt, found.reading, now, request.waiter.urgency)
        load.placed(request.ticket)
        if self.return_times is not None:
            self.return_times.placed(request.ticket, now)
        self._limits.spend(found.backend.id)
        return granted

    def _reject(self, request: WaitingRequest, *, no_engine: bool, now: Instant) -> Rejected:
        waiting = len(self._waiting)
        standing = self._shares.refused(request.ticket, now)
        if self.return_times is None:
            retry_after = retry_after_of(request.waiter, now)
            return Rejected(request, retry_after, no_engine, waiting, standing)
        time = self.return_times.refuse(request.ticket, now)
        return Rejected(
            request, time.after, no_engine, waiting, standing, time.recognition, time.basis
        )

    def _refuse_after(
        self, request: WaitingRequest, traits: EngineTraits | None, due: Instant | None = None
    ) -> Instant:
        """Return when a request that has not been placed is refused.

        A caller that retries at its time has no further attempt in most cases. Its request waits
        while an engine can still finish it.
        """
        if due is None:
            due = self._due(request)
        usual = refuse_after(request.waiter, due, is_long=request.prompt.is_long)
        if not request.waiter.retries_on_time or traits is None:
            return usual
        return max(usual, self._start_until(request, traits))

    def _start_until(self, request: WaitingRequest, traits: EngineTraits) -> Instant:
        """Return until when an idle engine can begin a request and finish it by its deadline."""
        prompt, waiter = request.prompt, request.waiter
        answer = decode_seconds(prompt.output_tokens, traits.tokens_per_event, request.pause_target)
        return waiter.deadline - answer - self._first_event_by_ticket[request.ticket]

    def _due(self, request: WaitingRequest) -> Instant:
        return due_at(request.waiter, self._first_event_without_cache(request))

    def _first_event_without_cache(self, request: WaitingRequest) -> float:
        """Return the seconds to the first event on an idle engine that has cached no part."""
        return self._placement.first_event_when_idle(
            self._service, request.prompt.prompt_tokens, request.waiter.urgency
        )

    def _order(
        self, request: WaitingRequest, now: Instant, beyond_share: float = WITHIN_SHARE
    ) -> QueueOrder:
        # A long prompt is only placed where it can be on time, so its place in the order need not
        # take the time to its first event into account.
        first_event_after = 0.0 if request.prompt.is_long else self._measured_first_event(request)
        return queue_order(request.waiter, now, first_event_after, beyond_share)

    def _measured_first_event(self, request: WaitingRequest) -> float:
        """Return the seconds to the first event on an idle engine; 0 if not measured.

        The assumed constants are close to the time of a message, so they reserve nothing.
        """
        if not self._placement.pool_model(self._service).in_force:
            return 0.0
        return self._first_event_by_ticket[request.ticket]

    def _latest_first_event(
        self, request: WaitingRequest, traits: EngineTraits | None, now: Instant, due: Instant
    ) -> Instant:
        waiter = request.waiter
        usual = latest_first_event(waiter, due)
        if waiter.first_target_at is None or traits is None or not waiter.is_late(now):
            return usual
        # With the cached parts subtracted, only the engine that holds them could take the retry.
        idle = self._first_event_without_cache(request)
        return latest_late_first_event(waiter, idle, self._start_until(request, traits), now)

    def _may_wait(self, request: WaitingRequest, traits: EngineTraits | None, now: Instant) -> bool:
        """Return whether a request may wait for a better placement.

        A late retry leaves engines alone whose streams or prompts it would delay, as long as an
        engine can still finish it afterwards.
        """
        waiter = request.waiter
        if waiter.retries_on_time and traits is not None and waiter.is_late(now):
            target = waiter.target_at - waiter.arrived_at
            return now < self._start_until(request, traits) - target
        first_event_after = self._measured_first_event(request)
        return may_wait(waiter, now, first_event_after, is_long=request.prompt.is_long)

    def _placement_request(
        self,
        request: WaitingRequest,
        now: Instant,
        due: Instant,
        traits: EngineTraits | None = None,
    ) -> PlacementRequest:
        waiter = request.waiter
        target = self._latest_first_event(request, traits, now, due) - now
        can_be_on_time = waiter.first_target_at is None or not waiter.is_late(now)
        return PlacementRequest(
            self._service,
            request.prompt,
            target,
            waiter.urgency,
            request.shortest_pause,
            may_wait=self._may_wait(request, traits, now),
            zone=request.zone,
            pause_target=request.pause_target,
            zone_cost=zone_cost(request.prompt) if self.zone_costs else 0.0,
            margin=prediction_margin(waiter, due) if can_be_on_time else 0.0,
        )
