"""Where a request for an engine goes: the engine with the earliest first event, lane by lane."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from .backend_list import BackendServer
from .engine_load import (
    FIRST_EVENT_OVERHEAD,
    INITIAL_TOKENS_PER_SECOND,
    EngineLoad,
    PromptReading,
    RunOnEngine,
)
from .first_event_stretch import FirstEventStretch
from .lanes import Lanes, rank
from .prefill_budget import PrefillBudget
from .prompt_parts import Prompt

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ragwortwing_policy.clock import Instant

    from .routing_table import EngineTraits

HOME_ADVANTAGE = 0.12
"""Seconds of first event by which another engine must be earlier to take a session from its home:
what is read once more elsewhere delays others there."""

READING_PART = 0.5
"""Part of the shortest pause target that may be read in one go beside the streams that have it: the
rest of the pause is the tokens of their event, and what another entry sends meanwhile."""

READING_ALLOWANCE = 0.1
"""Seconds of reading in one go where no pause target is declared."""

EQUAL_WITHIN = 0.03
"""Seconds of first event within which engines count as equally good."""

LEAST_FETCHED_TOKENS = 1_000
"""Fewest tokens for which an engine fetches KV cache from another: reading them takes 20 ms, as
long as a fetch with its way there and back may take."""

LARGE_PROMPT_PART = 0.5
"""Part of the budget that one prompt is counted with at most."""

BORROW_BEYOND = 0.5
"""Part of the latency target from which short prompts also go to engines of long ones."""


@dataclass(frozen=True, slots=True)
class PlacementQuestion:
    """A request that wants an engine."""

    service: str
    prompt: Prompt
    latency_target: float
    """Seconds from now in which the first event is on time; may be negative."""
    urgency: int = 0
    """Rank among the requests that engines run; 0 is the most urgent."""
    shortest_pause: float | None = None
    """Shortest pause target in seconds of the streams on the service's engines, where declared."""
    may_wait: bool = False
    """Whether it is early enough to wait for an engine that reads nothing else."""
    zone: str = ""
    """Availability zone of the entry that it came to; among equal engines one there goes first."""
    pause_target: float | None = None
    """Longest pause in seconds between its own events for which it is on time, where declared."""

    @property
    def reading_allowance(self) -> float:
        """Seconds of reading in one go that the most sensitive streams stand."""
        if self.shortest_pause is None:
            return READING_ALLOWANCE
        return READING_PART * self.shortest_pause


@dataclass(frozen=True, slots=True)
class Placed:
    """The engine to send to."""

    backend: BackendServer
    reading: PromptReading
    first_event_after: float
    """Predicted seconds to the first event."""


@dataclass(frozen=True, slots=True)
class LeastPlanned:
    """The least prefill that is planned on any engine: a bound that costs little to ask."""

    beside_sensitive: float
    """Seconds within the shortest pause target, on engines for short prompts."""
    beside_tolerant: float
    """Seconds within the request's own pause target, on engines for long prompts."""
    tokens_per_second: float
    """Reading rate of the fastest engine."""
    budget: float | None
    """Seconds of prefill within the request's own pause target; None where it is not bounded."""

    def may_take(self, question: PlacementQuestion, unread: int) -> bool:
        """Return whether some engine might take a long prompt within what its streams stand.

        Args:
            question: The request.
            unread: Fewest prompt tokens that any engine has to read.
        """
        seconds = unread / self.tokens_per_second
        if self.beside_sensitive + seconds <= question.reading_allowance:
            return True
        if self.budget is None or self.beside_tolerant <= 0.0:
            return True
        return self.beside_tolerant + _counted(seconds, self.budget) <= self.budget


@dataclass(frozen=True, slots=True)
class NoRoom:
    """No engine takes the request in time now."""

    first_event_after: float | None
    """Predicted seconds to the first event on the best engine; None where there is none at all."""


class Placement:
    """Places requests on the engines of any number of services."""

    def __init__(self) -> None:
        self.loads_by_id: dict[str, EngineLoad] = {}
        self._lanes_by_service: dict[str, Lanes] = {}
        self._stretch_by_service: dict[str, FirstEventStretch] = {}
        self._budgets: dict[tuple[str, int], PrefillBudget] = {}

    def load(self, backend: BackendServer, traits: EngineTraits) -> EngineLoad:
        """Return the load of an engine; a new one is idle."""
        found = self.loads_by_id.get(backend.id)
        if found is None:
            found = self.loads_by_id[backend.id] = EngineLoad(backend.id, backend.service, traits)
        return found

    def short_running(self, service: str) -> int:
        """Return how many short requests are on the engines of a service."""
        return sum(
            load.short_running for load in self.loads_by_id.values() if load.service == service
        )

    def _tokens_per_second(self, service: str) -> float:
        rates = [
            load.tokens_per_second for load in self.loads_by_id.values() if load.service == service
        ]
        return sum(rates) / len(rates) if rates else 0.0

    def forget(self, backend_id: str) -> None:
        """Forget an engine that is gone."""
        self.loads_by_id.pop(backend_id, None)

    @property
    def lanes_by_service(self) -> Mapping[str, Lanes]:
        """The split of each service's engines."""
        return self._lanes_by_service

    def lanes(self, service: str) -> Lanes:
        """Return the split of a service's engines."""
        return self._lanes_by_service.setdefault(service, Lanes())

    def alone(self, service: str, prompt: Prompt, urgency: int) -> float:
        """Return the seconds to a first event where an engine reads this whole prompt only."""
        rate = self._tokens_per_second(service) or INITIAL_TOKENS_PER_SECOND
        stretch = self.stretch(service).factor(urgency)
        return stretch * prompt.prompt_tokens / rate + FIRST_EVENT_OVERHEAD

    def stretch(self, service: str) -> FirstEventStretch:
        """Return how late first events come on a service's engines."""
        return self._stretch_by_service.setdefault(service, FirstEventStretch())

    def first_event(self, backend_id: str, ticket: str, now: Instant) -> RunOnEngine | None:
        """Note that a request's prompt has been read, and learn from when that was.

        Returns:
            The request, where this was news.
        """
        load = self.loads_by_id.get(backend_id)
        run = load.first_event(ticket, now) if load is not None else None
        if load is not None and run is not None:
            took = now - run.sent_at - FIRST_EVENT_OVERHEAD
            self.stretch(load.service).learn(run.urgency, run.predicted, took)
        return run

    def pause_exceeded(self, backend_id: str, ticket: str, now: Instant) -> None:
        """Note that a stream on an engine had a pause beyond its target."""
        load = self.loads_by_id.get(backend_id)
        run = load.runs_by_ticket.get(ticket) if load is not None else None
        if load is None or run is None or run.exceeded:
            return
        run.exceeded = True
        engines = sum(each.service == load.service for each in self.loads_by_id.values())
        self._prefill_budget(load.service, run.urgency).exceeded(now, engines)

    def budget_seconds(self, question: PlacementQuestion, now: Instant) -> float | None:
        """Return the seconds of prefill within a pause that streams like a request's stand.

        None where prefill is not bounded.
        """
        part = self._prefill_budget(question.service, question.urgency).part(now)
        if part is None or question.pause_target is None:
            return None
        return part * question.pause_target

    def _prefill_budget(self, service: str, urgency: int) -> PrefillBudget:
        return self._budgets.setdefault((service, urgency), PrefillBudget())

    def arrived(self, question: PlacementQuestion, now: Instant) -> int:
        """Count a request's work for the split of the engines: what it leaves an engine to read.

        Shared parts that an engine keeps are no work. Counted, they would keep engines for long
        prompts that have little to read, and short ones would be crowded on the others.

        Returns:
            Fewest prompt tokens that any engine has to read.
        """
        prompt = question.prompt
        loads = [each for each in self.loads_by_id.values() if each.service == question.service]
        kept = max((each.kept_tokens(prompt) for each in loads), default=0)
        unread = max(1, prompt.prompt_tokens - kept)
        self.lanes(question.service).count(unread, is_long=prompt.is_long, now=now)
        return unread

    def least_planned(
        self,
        question: PlacementQuestion,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
        now: Instant,
    ) -> LeastPlanned:
        """Return the least prefill that is planned on any engine of either lane."""
        short, long = self._split(question.service, engines, traits, now)
        spans = (question.shortest_pause or 0.0, question.pause_target or 0.0)
        least = [
            min((self.load(each, traits).reading_within(span, now) for each in lane), default=inf)
            for lane, span in zip((short, long or short), spans, strict=True)
        ]
        rate = max((self.load(each, traits).tokens_per_second for each in engines), default=1.0)
        return LeastPlanned(least[0], least[1], rate, self.budget_seconds(question, now))

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
        self, engines: Sequence[BackendServer], traits: EngineTraits, urgency: int, now: Instant
    ) -> float:
        """Return a bound below which no engine makes a first event; infinite where all are full.

        Args:
            engines: Engines that may be sent to, all of one service.
            traits: What the configuration tells of them.
            urgency: Rank of the request.
            now: The present instant.
        """
        loads = [self.load(each, traits) for each in engines]
        backlogs = [each.backlog(now, urgency) for each in loads if each.has_slot(urgency)]
        if not backlogs:
            return inf
        stretch = self.stretch(engines[0].service).factor(urgency)
        return stretch * min(backlogs) + FIRST_EVENT_OVERHEAD

    def place(
        self,
        question: PlacementQuestion,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
        now: Instant,
    ) -> Placed | NoRoom:
        """Choose an engine.

        Args:
            question: The request.
            engines: Engines that may be sent to.
            traits: What the configuration tells of them.
            now: The present instant.
        """
        short, long = self._split(question.service, engines, traits, now)
        choice = _Choice(self, question, engines, traits, now)
        if question.prompt.is_long:
            return _place_long(choice, short, long)
        if question.may_wait and short:
            quiet = choice.quiet(short)
            return choice.best(quiet, at_home=False) if quiet else NoRoom(None)
        found = choice.best(short or long, at_home=False)
        limit = question.latency_target * BORROW_BEYOND
        if not long or (isinstance(found, Placed) and found.first_event_after <= limit):
            return found
        return _earlier(found, choice.best(long, at_home=False))


class _Choice:
    """The choice of an engine for one request."""

    def __init__(
        self,
        placement: Placement,
        question: PlacementQuestion,
        engines: Sequence[BackendServer],
        traits: EngineTraits,
        now: Instant,
    ) -> None:
        self.question = question
        self._traits = traits
        self._stretch = placement.stretch(question.service).factor(question.urgency)
        self._budget = placement.budget_seconds(question, now)
        self._now = now
        self._load_by_id = {each.id: placement.load(each, traits) for each in engines}
        prompt = question.prompt
        self._kept_by_id = {key: load.kept_tokens(prompt) for key, load in self._load_by_id.items()}
        self._fetchable_by_id = {
            key: load.read_tokens(prompt) for key, load in self._load_by_id.items()
        }
        self._source = self._fetch_source(engines)

    def best(self, engines: Sequence[BackendServer], *, at_home: bool) -> Placed | NoRoom:
        """Return the engine with the earliest first event, near enough the session's home."""
        prompt = self.question.prompt
        fitting = [each for each in engines if self._load(each).fits(prompt, self.question.urgency)]
        if not fitting:
            return NoRoom(None)
        after_by_id = {each.id: self._first_event_after(each) for each in fitting}
        earliest = min(after_by_id.values())
        best = self._home(fitting) if at_home else None
        if best is None or after_by_id[best.id] > earliest + HOME_ADVANTAGE:
            equal = [each for each in fitting if after_by_id[each.id] <= earliest + EQUAL_WITHIN]
            best = min(equal, key=lambda each: self._preference(each, at_home=at_home))
        after = after_by_id[best.id]
        if at_home and after > self.question.latency_target:
            return NoRoom(after)
        return Placed(best, self.reading(best), after)

    def within_budget(self, engines: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the engines on which streams like this one get their events in time.

        An engine that prefills without a pause makes one token a chunk: every event of every stream
        there is late, and long answers end past their deadline.
        """
        budget, span = self._budget, self.question.pause_target
        if budget is None or span is None:
            return list(engines)
        return [each for each in engines if self._is_within(each, budget, span)]

    def _is_within(self, engine: BackendServer, budget: float, span: float) -> bool:
        load = self._load(engine)
        planned = load.reading_within(span, self._now)
        if planned <= 0.0:
            return True
        return planned + _counted(load.reading_seconds(self.reading(engine)), budget) <= budget

    def quiet(self, engines: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the engines whose streams the prompt pauses no longer than they stand.

        Prompts that arrive together are read in one go: they are sent to an engine one after
        another, as it has read what it was sent, while the first event's target leaves time.
        """
        return [each for each in engines if self._is_quiet(each)]

    def _is_quiet(self, engine: BackendServer) -> bool:
        """Return whether an engine may read the prompt in one go with what it reads already.

        A short prompt that is alone always may.
        """
        load = self._load(engine)
        going_on = load.reading_within(self.question.shortest_pause or 0.0, self._now)
        if going_on <= 0.0 and not self.question.prompt.is_long:
            return True
        return going_on + load.reading_seconds(self.reading(engine)) <= (
            self.question.reading_allowance
        )

    def reading(self, engine: BackendServer) -> PromptReading:
        """Return how an engine would come by the prompt."""
        tokens, kept = self.question.prompt.prompt_tokens, self._kept_by_id[engine.id]
        alone = PromptReading(max(1, tokens - kept))
        if self._source is None:
            return alone
        kept_there = self._fetchable_by_id[self._source.id]
        seconds = self._traits.fetch_seconds(kept_there - kept)
        if kept_there - kept < LEAST_FETCHED_TOKENS or seconds is None:
            return alone
        return PromptReading(max(1, tokens - kept_there), self._source, seconds)

    def _fetch_source(self, engines: Sequence[BackendServer]) -> BackendServer | None:
        """Return the engine that has read most of the prompt; every entry's same one of several."""
        most = max(self._fetchable_by_id.values(), default=0)
        if most < LEAST_FETCHED_TOKENS:
            return None
        sources = [each for each in engines if self._fetchable_by_id[each.id] == most]
        return min(sources, key=lambda each: rank(self.question.prompt.session, each.id))

    def _home(self, engines: Sequence[BackendServer]) -> BackendServer:
        """Return the engine that keeps the session; where none does, every entry's same one."""
        most = max(self._kept_by_id[each.id] for each in engines)
        keepers = [each for each in engines if self._kept_by_id[each.id] == most]
        return min(keepers, key=lambda each: rank(self.question.prompt.session, each.id))

    def _preference(self, engine: BackendServer, *, at_home: bool) -> tuple[bool, int]:
        """Return what decides among equals: the zone, where no session is to be kept; the session.

        Bytes between availability zones are paid for.
        """
        elsewhere = not at_home and engine.zone != self.question.zone
        return elsewhere, rank(self.question.prompt.session, engine.id)

    def _load(self, engine: BackendServer) -> EngineLoad:
        return self._load_by_id[engine.id]

    def _first_event_after(self, engine: BackendServer) -> float:
        load = self._load(engine)
        reading, urgency = self.reading(engine), self.question.urgency
        after = load.first_event_after(reading, self._now, urgency, self._stretch)
        return after + _crowding(load)


def _place_long(
    choice: _Choice, short: Sequence[BackendServer], long: Sequence[BackendServer]
) -> Placed | NoRoom:
    lane = long or short
    found = choice.best(choice.within_budget(lane), at_home=True)
    if isinstance(found, Placed) or not long:
        return found
    quiet = choice.quiet(short)
    if quiet:
        found = choice.best(quiet, at_home=True)
    if isinstance(found, Placed) or choice.question.may_wait:
        return found
    return choice.best(lane, at_home=True)


def _counted(seconds: float, budget: float) -> float:
    """Return what a prompt takes of a budget.

    One that takes longer than the budget alone would only ever find an idle engine.
    """
    return min(seconds, LARGE_PROMPT_PART * budget)


CROWDED_RUN = 0.002
"""Seconds by which each request that runs on an engine makes it less wanted."""


def _crowding(load: EngineLoad) -> float:
    return CROWDED_RUN * load.running


def _earlier(first: Placed | NoRoom, second: Placed | NoRoom) -> Placed | NoRoom:
    if isinstance(first, NoRoom):
        return second
    if isinstance(second, NoRoom):
        return first
    return min(first, second, key=lambda each: each.first_event_after)
