"""Placement of requests on engines: the earliest predicted first event within the lane."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ._engine_choice import EngineChoice, earlier, place_long_prompt
from .account_shares import AccountShares
from .engine_load import (
    FIRST_EVENT_OVERHEAD,
    INITIAL_TOKENS_PER_SECOND,
    EngineLoad,
    RunOnEngine,
)
from .engine_model import PoolModel
from .first_event_stretch import FirstEventRatioEstimator
from .lanes import Lanes
from .placement_request import MinPendingPrefill, NotPlaced, Placed, PlacementRequest
from .prefill_budget import PrefillBudget
from .run_cost import RunCost

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ragwortwing_policy.clock import Instant

    from .backend_list import BackendServer
    from .engine_model import EngineEstimate
    from .prompt_parts import Prompt
    from .routing_table import EngineTraits

BORROW_BEYOND_FRACTION = 0.5
"""Fraction of the latency target beyond which short prompts may also use engines for long
prompts."""


@dataclass(frozen=True, slots=True)
class _MeanRate:
    """The mean prefill rate of a service's engines."""

    version: tuple[bool, int, int]
    """What the rate was computed from: the pool's model, and the number of all engines."""
    tokens_per_second: float


class Placement:
    """Places requests on the engines of all services."""

    def __init__(self) -> None:
        self.loads_by_id: dict[str, EngineLoad] = {}
        self._lanes_by_service: dict[str, Lanes] = {}
        self._stretch_by_service: dict[str, FirstEventRatioEstimator] = {}
        self._stretch_by_model: dict[str, FirstEventRatioEstimator] = {}
        self._pool_models_by_service: dict[str, PoolModel] = {}
        self._rates_by_service: dict[str, _MeanRate] = {}
        self._budgets: dict[tuple[str, int], PrefillBudget] = {}
        self.shares = AccountShares()

    def load(self, backend: BackendServer, traits: EngineTraits) -> EngineLoad:
        """Return the load of an engine; a new engine is idle."""
        found = self.loads_by_id.get(backend.id)
        if found is None:
            found = self.loads_by_id[backend.id] = EngineLoad(
                backend.id, backend.service, traits, self.pool_model(backend.service)
            )
        return found

    def _loads(
        self, engines: Sequence[BackendServer], traits: EngineTraits
    ) -> Mapping[str, EngineLoad]:
        """Return the loads by engine; those of all the given engines are among them."""
        loads = self.loads_by_id
        for each in engines:
            if each.id not in loads:
                self.load(each, traits)
        return loads

    def pool_model(self, service: str) -> PoolModel:
        """Return the performance model of a service's engines."""
        found = self._pool_models_by_service.get(service)
        if found is None:
            found = self._pool_models_by_service[service] = PoolModel()
        return found

    def short_running(self, service: str) -> int:
        """Return the number of short requests on the engines of a service."""
        return sum(
            [load.short_running for load in self.loads_by_id.values() if load.service == service]
        )

    def _tokens_per_second(self, service: str) -> float:
        """Return the mean prefill rate of a service's engines; 0 if there are none."""
        pool = self.pool_model(service)
        version = (pool.in_force, pool.rate_version, len(self.loads_by_id))
        known = self._rates_by_service.get(service)
        if known is None or known.version != version:
            rates = [
                load.tokens_per_second
                for load in self.loads_by_id.values()
                if load.service == service
            ]
            mean = sum(rates) / len(rates) if rates else 0.0
            known = self._rates_by_service[service] = _MeanRate(version, mean)
        return known.tokens_per_second

    def forget(self, backend_id: str) -> None:
        """Remove an engine that is gone."""
        load = self.loads_by_id.pop(backend_id, None)
        if load is not None:
            load.pool.forget(backend_id)

    @property
    def lanes_by_service(self) -> Mapping[str, Lanes]:
        """The lane split of each service's engines."""
        return self._lanes_by_service

    def lanes(self, service: str) -> Lanes:
        """Return the lane split of a service's engines."""
        found = self._lanes_by_service.get(service)
        if found is None:
            found = self._lanes_by_service[service] = Lanes()
        return found

    def first_event_when_idle(self, service: str, unread_tokens: int, urgency: int) -> float:
        """Return the seconds to the first event on an idle engine that has to read some tokens."""
        rate = self._tokens_per_second(service) or INITIAL_TOKENS_PER_SECOND
        stretch = self.stretch(service).factor(urgency)
        model = self.pool_model(service)
        fixed = model.first_event.fixed_time if model.in_force else FIRST_EVENT_OVERHEAD
        return stretch * unread_tokens / rate + fixed

    def run_cost(self, service: str, prompt: Prompt, unread_tokens: int) -> RunCost:
        """Return the predicted engine time of a request that is not placed yet."""
        first = next((each for each in self.loads_by_id.values() if each.service == service), None)
        if first is None:
            return RunCost(unread_tokens / INITIAL_TOKENS_PER_SECOND, prompt.output_tokens, 1)
        rate = self._tokens_per_second(service)
        return RunCost(unread_tokens / rate, prompt.output_tokens, first.traits.slots)

    def end(self, backend_id: str, ticket: str, now: Instant, retain_for: float = 0.0) -> None:
        """Remove a request that no longer runs, and correct what its account was charged.

        Args:
            backend_id: The engine.
            ticket: The request's name on the engine.
            now: The current instant.
            retain_for: Seconds for which the engine may still hold the request's memory.
        """
        load = self.loads_by_id.get(backend_id)
        if load is not None:
            load.end(ticket, now, retain_for)
        self.shares.ended(ticket, now)

    def stretch(self, service: str) -> FirstEventRatioEstimator:
        """Return the learned delay of first events on a service's engines.

        The delay relative to the assumed constants differs from that relative to the model.
        """
        in_force = self.pool_model(service).in_force
        known = self._stretch_by_model if in_force else self._stretch_by_service
        found = known.get(service)
        if found is None:
            found = known[service] = FirstEventRatioEstimator()
        return found

    def first_event(
        self,
        backend_id: str,
        ticket: str,
        now: Instant,
        after: float | None = None,
        sent_at: Instant | None = None,
    ) -> RunOnEngine | None:
        """Record that a request's prompt has been read, and learn from the time it took.

        Args:
            backend_id: The engine.
            ticket: The request's name on it.
            now: The current instant.
            after: Measured seconds from the send to the event; None if not measured.
            sent_at: When its entry sent it; None if that was when it was added here.

        Returns:
            The request, or None if the event was already known.
        """
        load = self.loads_by_id.get(backend_id)
        run = load.runs_by_ticket.get(ticket) if load is not None else None
        if load is None or run is None or run.read:
            return None
        fixed = load.fixed_time
        found = load.first_event(ticket, now, after, sent_at)
        if found is None:
            return None
        self.shares.first_event(load.service, ticket, now)
        stretch, in_force = self.stretch(load.service), load.pool.in_force
        if not in_force:
            took = now - run.sent_at - FIRST_EVENT_OVERHEAD
            stretch.learn(run.urgency, run.predicted, took)
        elif run.seen_from_start and not run.fetched:
            took = (now - run.sent_at if after is None else after) - fixed
            load.model.learn_error(run.urgency, took - stretch.factor(run.urgency) * run.predicted)
            stretch.learn(run.urgency, run.predicted, took)
        return found

    def stream_gaps(
        self,
        backend_id: str,
        ticket: str,
        *,
        longest: float,
        mean: float,
        events: int,
        now: Instant,
    ) -> None:
        """Learn from the gaps between the events of a stream that runs on an engine."""
        load = self.loads_by_id.get(backend_id)
        if load is not None and ticket in load.runs_by_ticket:
            load.stream_gaps(longest, mean, events, now)

    def estimates(self, now: Instant) -> list[EngineEstimate]:
        """Return what is known of the speed of each engine."""
        return [each.model.estimate(each.running, now) for each in self.loads_by_id.values()]

    @property
    def measurements_rejected(self) -> int:
        """Measurements ignored as implausible."""
        return sum(each.rejected for each in self._pool_models_by_service.values())

    def changed_estimates(self, now: Instant) -> list[EngineEstimate]:
        """Return the estimates that differ notably from those returned last."""
        changed = (
            each.model.changed_estimate(each.running, now) for each in self.loads_by_id.values()
        )
        return [each for each in changed if each is not None]

    def pause_exceeded(self, backend_id: str, ticket: str, now: Instant) -> None:
        """Record that a stream on an engine had a pause longer than its target."""
        load = self.loads_by_id.get(backend_id)
        run = load.runs_by_ticket.get(ticket) if load is not None else None
        if load is None or run is None or run.exceeded:
            return
        run.exceeded = True
        engines = sum(each.service == load.service for each in self.loads_by_id.values())
        self._prefill_budget(load.service, run.urgency).exceeded(now, engines)

    def budget_seconds(self, placement_request: PlacementRequest, now: Instant) -> float | None:
        """Return the seconds of prefill within a pause that streams like the request's tolerate.

        Returns None if prefill is not limited.
        """
        fraction = self._prefill_budget(
            placement_request.service, placement_request.urgency
        ).fraction(now)
        if fraction is None or placement_request.pause_target is None:
            return None
        return fraction * placement_request.pause_target

    def _prefill_budget(self, service: str, urgency: int) -> PrefillBudget:
        found = self._budgets.get((service, urgency))
        if found is None:
            found = self._budgets[service, urgency] = PrefillBudget()
        return found

    def count_arrival(self, placement_request: PlacementRequest, now: Instant) -> int:
        """Count the prefill that a request leaves to an engine as work for the lane split.

        Cached shared parts do not count. If they did, engines would be reserved for long prompts
        with little to read, and short prompts would be crowded on the remaining engines.

        Returns:
            Minimum number of prompt tokens that any engine has to read.
        """
        prompt = placement_request.prompt
        service, parts = placement_request.service, prompt.parts
        kept = max(
            [
                each.cache.kept_tokens(parts)
                for each in self.loads_by_id.values()
                if each.service == service
            ],
            default=0,
        )
        unread = max(1, prompt.prompt_tokens - kept)
        self.lanes(service).count(unread, is_long=prompt.is_long, now=now)
        return unread

    def least_planned(
        self,
        placement_request: PlacementRequest,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
        now: Instant,
    ) -> MinPendingPrefill:
        """Return the least pending prefill of any engine in each lane."""
        short, long = self._split(placement_request.service, engines, traits, now)
        spans = (placement_request.shortest_pause or 0.0, placement_request.pause_target or 0.0)
        least = [
            min((self.load(each, traits).reading_within(span, now) for each in lane), default=inf)
            for lane, span in zip((short, long or short), spans, strict=True)
        ]
        rate = max((self.load(each, traits).tokens_per_second for each in engines), default=1.0)
        budget = self.budget_seconds(placement_request, now)
        if self._shared(placement_request, engines, traits):
            budget = None
        return MinPendingPrefill(least[0], least[1], rate, budget)

    def _shared(
        self,
        placement_request: PlacementRequest,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
    ) -> frozenset[str]:
        """Return the ids of the engines that take short and long prompts without limit."""
        shortest = placement_request.shortest_pause
        if shortest is None or not self.pool_model(placement_request.service).knows_gaps:
            return frozenset()
        loads = self.loads_by_id
        return frozenset(
            each.id
            for each in engines
            if (loads.get(each.id) or self.load(each, traits)).is_shared(shortest)
        )

    def _split(
        self,
        service: str,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
        now: Instant,
    ) -> tuple[Sequence[BackendServer], Sequence[BackendServer]]:
        lanes = self.lanes(service)
        lanes.short_running = self.short_running(service)
        lanes.tokens_per_second = self._tokens_per_second(service)
        return lanes.split(engines, service, traits.slots, now)

    def earliest_first_event(
        self,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
        urgency: int,
        now: Instant,
        margin: float = 0.0,
    ) -> float:
        """Return a lower bound on the first event of all engines; infinite if none has a slot.

        An engine whose predictions need a narrower margin than the one that the request's target
        keeps counts as earlier by the difference, and one that needs a wider one as later.

        Args:
            engines: Available engines, all of one service.
            traits: The configured properties of the engines.
            urgency: Urgency of the request.
            now: The current instant.
            margin: Seconds that the request's target keeps for prediction errors.
        """
        load_by_id = self._loads(engines, traits)
        loads = [load for each in engines if (load := load_by_id[each.id]).has_slot(urgency)]
        if not loads:
            return inf
        stretch = self.stretch(engines[0].service).factor(urgency)
        if not loads[0].pool.in_force:
            return (
                stretch * min(each.backlog(now, urgency) for each in loads) + FIRST_EVENT_OVERHEAD
            )
        return min(
            stretch * each.backlog(now, urgency)
            + each.fixed_time
            - each.spare_margin(margin, urgency)
            for each in loads
        )

    def place(
        self,
        placement_request: PlacementRequest,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
        now: Instant,
    ) -> Placed | NotPlaced:
        """Choose an engine.

        Args:
            placement_request: The request.
            engines: Available engines.
            traits: The configured properties of the engines.
            now: The current instant.
        """
        short, long = self._split(placement_request.service, engines, traits, now)
        shared = self._shared(placement_request, engines, traits)
        if shared:
            short, long = (
                [*short, *(each for each in long if each.id in shared)],
                [*long, *(each for each in short if each.id in shared)],
            )
        choice = EngineChoice(
            placement_request,
            engines,
            self._loads(engines, traits),
            traits,
            now,
            stretch=self.stretch(placement_request.service).factor(placement_request.urgency),
            budget=self.budget_seconds(placement_request, now),
            shared=shared,
        )
        if placement_request.prompt.is_long:
            return place_long_prompt(choice, short, long)
        if short and long and not shared and not choice.bearing_pauses(short):
            # No engine for short prompts keeps their streams on time: a slow engine, or all of them
            # in a burst. One for long prompts that does is better.
            short = choice.bearing_pauses(long) or short
        if placement_request.may_wait and short:
            quiet_engines = choice.within_allowance(short)
            return (
                choice.best(quiet_engines, prefer_cached_engine=False)
                if quiet_engines
                else NotPlaced(None)
            )
        found = choice.best(short or long, prefer_cached_engine=False)
        limit = placement_request.latency_target * BORROW_BEYOND_FRACTION
        if not long or (isinstance(found, Placed) and found.first_event_after <= limit):
            return found
        return earlier(found, choice.best(long, prefer_cached_engine=False))
