"""Choice of an engine for one request among the available engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .engine_load import PrefillPlan
from .lanes import rank
from .placement_request import NotPlaced, Placed, counted_seconds

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ragwortwing_policy.clock import Instant

    from .backend_list import BackendServer
    from .engine_load import EngineLoad
    from .placement_request import PlacementRequest
    from .routing_table import EngineTraits

HOME_PREFERENCE_SECONDS = 0.12
"""Seconds by which another engine's first event must be earlier to move a session away from its
home engine: reading the shared parts again delays other requests there."""

EQUAL_WITHIN_SECONDS = 0.03
"""Difference in seconds of first event within which engines count as equal."""

MINIMUM_FETCHED_TOKENS = 1_000
"""Minimum number of tokens to fetch from another engine's KV cache. Reading 1,000 tokens takes
20 ms, as long as a fetch may take including its round trip."""

RUNNING_REQUEST_PENALTY = 0.002
"""Penalty in seconds for each request that runs on an engine."""


class EngineChoice:
    """Compares the available engines for one request."""

    def __init__(
        self,
        placement_request: PlacementRequest,
        engines: Sequence[BackendServer],
        load_by_id: Mapping[str, EngineLoad],
        traits: EngineTraits,
        now: Instant,
        *,
        stretch: float,
        budget: float | None,
        shared: frozenset[str] = frozenset(),
    ) -> None:
        """Create the choice.

        Args:
            placement_request: The request.
            engines: The available engines.
            load_by_id: Their loads; may contain those of other engines.
            traits: The configured properties of the engines.
            now: The current instant.
            stretch: Factor by which prefill takes longer than its tokens alone.
            budget: Seconds of prefill within a pause that streams like the request's tolerate; None
                if not limited.
            shared: Ids of the engines that take short and long prompts without limit.
        """
        self.placement_request = placement_request
        self._traits = traits
        self._stretch = stretch
        self._budget = budget
        self._shared = shared
        self._now = now
        self._load_by_id = load_by_id
        prompt = placement_request.prompt
        self._is_long, parts = prompt.is_long, prompt.parts
        self._kept_by_id = {
            each.id: load_by_id[each.id].cache.kept_tokens(parts) for each in engines
        }
        self._fetchable_by_id = {
            key: load_by_id[key].read_tokens(prompt)
            for key, kept in self._kept_by_id.items()
            if kept >= MINIMUM_FETCHED_TOKENS
        }
        """Engines that have read fewer tokens are no source."""
        self._source = self._fetch_source(engines)
        self._reading_by_kept: dict[int, PrefillPlan] = {}

    def best(
        self, engines: Sequence[BackendServer], *, prefer_cached_engine: bool
    ) -> Placed | NotPlaced:
        """Return the engine with the earliest first event, with preference for the home engine."""
        prompt = self.placement_request.prompt
        fitting = [
            each
            for each in engines
            if self._load(each).fits(prompt, self.placement_request.urgency)
        ]
        if not fitting:
            return NotPlaced(None)
        # An engine that takes both kinds keeps the shortest pause target.
        if not self._shared or any(each.id not in self._shared for each in fitting):
            fitting = self._bearing_pauses(fitting)
        cost_by_id = {each.id: self._cost(each) for each in fitting}
        ranked_by_id = cost_by_id
        if self.placement_request.zone_cost > 0.0:
            ranked_by_id = {
                each.id: cost_by_id[each.id] + self._zone_cost(each) for each in fitting
            }
        earliest = min(ranked_by_id.values())
        best = self._home(fitting) if prefer_cached_engine else None
        if best is None or ranked_by_id[best.id] > earliest + HOME_PREFERENCE_SECONDS:
            equal = [
                each for each in fitting if ranked_by_id[each.id] <= earliest + EQUAL_WITHIN_SECONDS
            ]
            best = self._preferred(equal, prefer_cached_engine=prefer_cached_engine)
        after = self._predicted(best, cost_by_id[best.id])
        if prefer_cached_engine and after > self._latest_first_event(best):
            # Another engine may be on time with its own margin.
            on_time = [
                each
                for each in fitting
                if self._predicted(each, cost_by_id[each.id]) <= self._latest_first_event(each)
            ]
            if not on_time:
                return NotPlaced(after)
            best = min(on_time, key=lambda each: cost_by_id[each.id])
            after = self._predicted(best, cost_by_id[best.id])
        return Placed(best, self.reading(best), after)

    def _latest_first_event(self, engine: BackendServer) -> float:
        """Return the latest predicted first event on an engine that is on time with its margin."""
        asked = self.placement_request
        return asked.latency_target + self._load(engine).spare_margin(asked.margin, asked.urgency)

    def _bearing_pauses(self, engines: list[BackendServer]) -> list[BackendServer]:
        """Return the engines whose streams pause for less than the request's target, if any."""
        return self.bearing_pauses(engines) or engines

    def bearing_pauses(self, engines: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the engines whose streams pause for less than the request's target."""
        target = self.placement_request.pause_target
        if target is None:
            return list(engines)
        if engines and not self._load(engines[0]).pool.limits_gaps:
            return list(engines)
        return [each for each in engines if self._load(each).stays_within(target, self._now)]

    def within_budget(self, engines: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the engines whose prefill leaves streams like this one on time.

        An engine that prefills continuously generates one token per prefill chunk: every event
        of every stream on it is late, and long answers miss their deadline.
        """
        span = self.placement_request.pause_target
        if span is None:
            return list(engines)
        return [
            each
            for each in engines
            if each.id in self._shared
            or (budget := self._load(each).prefill_budget(span, self._budget)) is None
            or self._is_within_budget(each, budget, span)
        ]

    def _is_within_budget(self, engine: BackendServer, budget: float, span: float) -> bool:
        load = self._load(engine)
        planned = load.reading_within(span, self._now)
        if planned <= 0.0:
            return True
        return (
            planned + counted_seconds(load.predicted_prefill_seconds(self.reading(engine)), budget)
            <= budget
        )

    def within_allowance(self, engines: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the engines that can read the prompt without exceeding the reading allowance.

        An engine reads prompts that arrive together in one go. They are therefore sent one after
        another, as the engine finishes what it was sent, while the latency target leaves time.
        """
        asked = self.placement_request
        span, allowance = asked.shortest_pause or 0.0, asked.prefill_allowance
        return [each for each in engines if self._is_within_allowance(each, span, allowance)]

    def _is_within_allowance(self, engine: BackendServer, span: float, allowance: float) -> bool:
        """Return whether the prompt and the pending prefill fit into the reading allowance.

        A short prompt always fits on an engine without pending prefill.
        """
        if engine.id in self._shared:
            return True
        load = self._load_by_id[engine.id]
        pending = load.reading_within(span, self._now)
        if pending <= 0.0 and not self._is_long:
            return True
        return pending + load.predicted_prefill_seconds(self.reading(engine)) <= allowance

    def reading(self, engine: BackendServer) -> PrefillPlan:
        """Return how an engine would obtain the prompt, by reading and by fetching."""
        kept = self._kept_by_id[engine.id]
        found = self._reading_by_kept.get(kept)
        if found is None:
            found = self._reading_by_kept[kept] = self._plan_reading(kept)
        return found

    def _plan_reading(self, kept: int) -> PrefillPlan:
        tokens = self.placement_request.prompt.prompt_tokens
        alone = PrefillPlan(max(1, tokens - kept))
        if self._source is None:
            return alone
        kept_there = self._fetchable_by_id[self._source.id]
        seconds = self._traits.fetch_seconds(kept_there - kept)
        if kept_there - kept < MINIMUM_FETCHED_TOKENS or seconds is None:
            return alone
        return PrefillPlan(max(1, tokens - kept_there), self._source, seconds)

    def _fetch_source(self, engines: Sequence[BackendServer]) -> BackendServer | None:
        """Return the engine that has read most of the prompt.

        Ties are broken in the same way in every entry.
        """
        most = max(self._fetchable_by_id.values(), default=0)
        if most < MINIMUM_FETCHED_TOKENS:
            return None
        sources = [each for each in engines if self._fetchable_by_id.get(each.id) == most]
        return min(sources, key=lambda each: rank(self.placement_request.prompt.session, each.id))

    def _home(self, engines: Sequence[BackendServer]) -> BackendServer:
        """Return the engine that caches most of the session's parts.

        Ties, also when no engine caches any, are broken in the same way in every entry. Among
        engines that cache as much, those of the request's zone go first.
        """
        most = max(self._kept_by_id[each.id] for each in engines)
        keepers = [each for each in engines if self._kept_by_id[each.id] == most]
        session, by_zone = self.placement_request.prompt.session, most > 0
        return min(
            keepers,
            key=lambda each: (by_zone and self._zone_cost(each) > 0.0, rank(session, each.id)),
        )

    def _preferred(
        self, equal: Sequence[BackendServer], *, prefer_cached_engine: bool
    ) -> BackendServer:
        """Return the preferred one of equal engines: by cached parts, zone, then session.

        Traffic between availability zones is billed. Reading a shared part once more in each zone
        costs more than that, so it decides first for prompts that prefer a cached engine.
        """
        by_zone = not prefer_cached_engine or self.placement_request.zone_cost > 0.0
        zone, session = self.placement_request.zone, self.placement_request.prompt.session
        if by_zone and prefer_cached_engine:
            most = max(self._kept_by_id[each.id] for each in equal)
            equal = [each for each in equal if self._kept_by_id[each.id] == most]
        if by_zone:
            equal = [each for each in equal if each.zone == zone] or equal
        return min(equal, key=lambda each: rank(session, each.id))

    def _zone_cost(self, engine: BackendServer) -> float:
        """Return the cost of an engine's zone; 0 if a zone is unknown."""
        zone = self.placement_request.zone
        if not zone or not engine.zone or engine.zone == zone:
            return 0.0
        return self.placement_request.zone_cost

    def _load(self, engine: BackendServer) -> EngineLoad:
        return self._load_by_id[engine.id]

    def _cost(self, engine: BackendServer) -> float:
        """Return the predicted first event with the penalty for running requests."""
        load = self._load_by_id[engine.id]
        reading, urgency = self.reading(engine), self.placement_request.urgency
        after = load.first_event_after(reading, self._now, urgency, self._stretch)
        return after + _running_penalty(load)

    def _predicted(self, engine: BackendServer, cost: float) -> float:
        """Return the predicted first event.

        The constants leave out the steps between prefill chunks, which the penalty stands for. A
        measured rate includes them.
        """
        load = self._load(engine)
        return cost - _running_penalty(load) if load.pool.in_force else cost


def place_long_prompt(
    choice: EngineChoice, short: Sequence[BackendServer], long: Sequence[BackendServer]
) -> Placed | NotPlaced:
    lane = long or short
    found = choice.best(choice.within_budget(lane), prefer_cached_engine=True)
    if isinstance(found, Placed) or not long:
        return found
    within_allowance = choice.within_allowance(short)
    if within_allowance:
        found = choice.best(within_allowance, prefer_cached_engine=True)
    if isinstance(found, Placed) or choice.placement_request.may_wait:
        return found
    return choice.best(lane, prefer_cached_engine=True)


def _running_penalty(load: EngineLoad) -> float:
    return RUNNING_REQUEST_PENALTY * len(load.runs_by_ticket)


def earlier(first: Placed | NotPlaced, second: Placed | NotPlaced) -> Placed | NotPlaced:
    if isinstance(first, NotPlaced):
        return second
    if isinstance(second, NotPlaced):
        return first
    return min(first, second, key=lambda each: each.first_event_after)
