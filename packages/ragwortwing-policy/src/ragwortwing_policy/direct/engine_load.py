"""Estimated state of one engine: pending prefill, running requests and cached prompt parts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import lru_cache
from math import ceil

from ragwortwing_policy.clock import Instant

from .backend_list import BackendServer
from .engine_model import (
    ASSUMED_FIXED_TIME,
    ASSUMED_TOKENS_PER_SECOND,
    CONTINUOUS_GAPS,
    MARGIN_BOUNDS,
    MAXIMUM_SLOWDOWN,
    MINIMUM_EXPECTED_SECONDS,
    OVERDUE_RATIO,
    PLAUSIBLE_FIRST_EVENT_SECONDS,
    PLAUSIBLE_GAP_SECONDS,
    QUIET_FRACTION,
    RATE_BOUNDS,
    SHARED_FRACTION,
    EngineModel,
    PoolModel,
    is_plausible,
)
from .memory_guard import RetainedTokens, fits_engine
from .prefill_spans import PrefillSpans
from .prompt_parts import PartCache, Prompt, PromptPart
from .routing_table import LEAST_URGENT_TIER, EngineTraits
from .unread_prompts import UnreadPrompts

INITIAL_TOKENS_PER_SECOND = ASSUMED_TOKENS_PER_SECOND

FIRST_EVENT_OVERHEAD = ASSUMED_FIXED_TIME

LEARNING_PROMPT_TOKENS = 1_500
"""Minimum unread tokens of a prompt from which the prefill rate is learned: in shorter prompts
the overhead dominates."""

LEARNING_GAIN = 0.15
"""Weight of a new measurement in the learned rate."""

RESERVED_PER_RANK = 1 / 48
"""Fraction of an engine that a request leaves free for each rank that is more urgent than its
own."""

MAXIMUM_RESERVED = 0.125
"""Maximum fraction of an engine that requests of any rank leave free."""

SENDS_KEPT = 64
"""Number of recent sends kept to compute the prefill within one pause."""

CACHE_FRACTION = 0.8
"""Fraction of an engine's memory assumed to hold shared parts besides running requests."""


@lru_cache(maxsize=256)
def _open_fraction(urgency: int) -> float:
    return 1.0 - min(MAXIMUM_RESERVED, urgency * RESERVED_PER_RANK)


@lru_cache(maxsize=256)
def _open_slots(slots: int, urgency: int) -> int:
    """Return how many of an engine's slots requests of an urgency may use."""
    return ceil(slots * _open_fraction(urgency))


@dataclass(frozen=True, slots=True)
class PrefillPlan:
    """How one engine would obtain a prompt."""

    unread_tokens: int
    """Tokens that it has to read."""
    fetch_from: BackendServer | None = None
    """The engine from which it fetches missing parts."""
    fetch_seconds: float = 0.0


@dataclass(slots=True)
class RunOnEngine:
    """A request on an engine."""

    parts: tuple[PromptPart, ...]
    unread_tokens: int
    memory_tokens: int
    sent_at: Instant
    urgency: int
    predicted_prefill_seconds: float
    """Estimated prefill time of its prompt."""
    predicted: float
    """Seconds of prefill ahead of its first event, its own included."""
    queued: float
    """Seconds of all prefill that was pending when it was sent."""
    is_long: bool
    fetched: bool = False
    """Whether part of its prompt is fetched from another engine."""
    seen_from_start: bool = True
    """Whether the state of the engine was known when it was sent. Its first event teaches nothing
    otherwise."""
    read: bool = False
    exceeded: bool = False
    """Whether its stream had a pause longer than its target."""
    by_share: bool = False
    """Whether this entry placed it while it had only a share of the engine's memory."""
    begun_at: Instant = 0.0
    """When it was added here; `sent_at` follows the report of its entry."""


@dataclass(slots=True)
class EngineLoad:
    """The load of one engine as known to one entry; a scheduler knows all requests on it.

    An engine reads more urgent prompts first. The prefill ahead of a request is therefore that
    of all prompts that are at least as urgent and have had no first event. The estimate corrects
    itself with each event: on a slow engine, prompts stay unread for longer.
    """

    backend_id: str
    service: str
    traits: EngineTraits
    pool: PoolModel = field(default_factory=PoolModel)
    """What is known of all engines of the service."""
    model: EngineModel = field(init=False)
    """What is known of the speed of this engine."""
    cache: PartCache = field(init=False)
    runs_by_ticket: dict[str, RunOnEngine] = field(default_factory=dict)
    short_running: int = 0
    """Running requests with short prompts."""
    memory_tokens: int = 0
    """Tokens of memory that the running requests occupy when they end."""
    memory_share: float | None = None
    """Fraction of the free memory that this entry may commit; None without the memory guard."""
    share_tokens: int = 0
    """Tokens of the running requests that this entry placed while it had only a share."""
    retained: RetainedTokens = field(default_factory=RetainedTokens)
    """Tokens of lost runs that the engine may still hold; only with the memory guard."""
    _unread: UnreadPrompts = field(default_factory=UnreadPrompts)
    _sent: deque[tuple[Instant, float]] = field(default_factory=lambda: deque(maxlen=SENDS_KEPT))
    """Recent sends with their seconds of prefill."""
    _progress_at: Instant = 0.0
    """When the engine last finished reading a prompt, or began to read after being idle."""
    _assumed_rate: float = INITIAL_TOKENS_PER_SECOND
    """Prefill rate in tokens per second, learned with the assumed fixed time."""
    _pending: dict[str, RunOnEngine] = field(default_factory=dict)
    """Requests without a first event, in the order in which they were sent."""
    _available_at: Instant = 0.0
    """When the engine could begin with the prompt that it reads now, without the fixed time."""
    _is_interrupted: bool = False
    """Whether a prompt was cancelled since the last first event: the time that the engine spent
    on it is unknown."""
    _spans: PrefillSpans = field(default_factory=PrefillSpans)

    def __post_init__(self) -> None:
        self.model = self.pool.engine(self.backend_id)
        self.cache = PartCache(int(self.traits.memory_tokens * CACHE_FRACTION))

    @property
    def tokens_per_second(self) -> float:
        """Prompt tokens that the engine reads per second."""
        return 1.0 / self.model.seconds_per_token if self.pool.in_force else self._assumed_rate

    @property
    def fixed_time(self) -> float:
        """Seconds from a send to the first event besides all prefill."""
        return self.model.fixed_time if self.pool.in_force else FIRST_EVENT_OVERHEAD

    def kept_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that this engine has probably cached."""
        return self.cache.kept_tokens(prompt.parts)

    def read_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that another engine can fetch from this one."""
        return self.cache.read_tokens(prompt.parts)

    def backlog(self, now: Instant, urgency: int = LEAST_URGENT_TIER) -> float:
        """Return the seconds of prefill ahead of a new request of some urgency."""
        if not self._unread.prompts:
            return 0.0
        ahead = self._unread.seconds(urgency)
        if ahead <= 0.0:
            return 0.0
        if not self.pool.in_force:
            return max(0.0, ahead - self._current_reading_seconds(now))
        # The first event of a prompt arrives a fixed time after the engine has read it. Meanwhile
        # the engine reads the next prompt, so the progress includes the fixed time.
        mean = self._unread.seconds() / max(1, self._unread.prompts)
        elapsed = now - self._available_at
        factor = self._slowdown(mean, elapsed, now)
        return max(0.0, factor * ahead - min(elapsed, factor * mean + self.model.fixed_time))

    def _slowdown(self, mean: float, elapsed: float, now: Instant) -> float:
        """Return the factor by which pending prefill takes longer than estimated.

        A prompt whose first event is overdue shows a slowdown before any event does.
        """
        factor = self.model.slowdown(now)
        overdue = (elapsed - self.model.fixed_time) / max(mean, MINIMUM_EXPECTED_SECONDS)
        return max(factor, min(MAXIMUM_SLOWDOWN, overdue)) if overdue > OVERDUE_RATIO else factor

    def reading_within(self, span: float, now: Instant) -> float:
        """Return the seconds of prefill that fall into the same pause as a new prompt.

        Prefill that has just finished and prefill that comes next may lie in the same pause of a
        stream. The span before now is therefore considered as well.
        """
        since = now - span
        sent = 0.0
        for at, seconds in reversed(self._sent):
            if at < since:
                break
            sent += seconds
        return max(sent, self.backlog(now)) if self._unread.prompts else sent

    def _current_reading_seconds(self, now: Instant) -> float:
        """Return the seconds spent on the current prompt, at most the mean pending time."""
        longest = self._unread.seconds() / max(1, self._unread.prompts)
        return min(now - self._progress_at, longest)

    def plan_prefill(self, prompt: Prompt) -> PrefillPlan:
        """Return how this engine obtains a prompt without fetching from another engine."""
        return PrefillPlan(max(1, prompt.prompt_tokens - self.kept_tokens(prompt)))

    def predicted_prefill_seconds(self, reading: PrefillPlan) -> float:
        """Return the seconds until this engine has read a prompt."""
        return reading.unread_tokens / self.tokens_per_second + reading.fetch_seconds

    def first_event_after(
        self,
        reading: PrefillPlan,
        now: Instant,
        urgency: int = LEAST_URGENT_TIER,
        stretch: float = 1.0,
    ) -> float:
        """Return the predicted seconds to the first event of a request sent now.

        Args:
            reading: How the engine would obtain the prompt.
            now: The current instant.
            urgency: The request's urgency.
            stretch: Factor by which prefill takes longer than its tokens alone.
        """
        if not self.pool.in_force:
            own = reading.unread_tokens / self._assumed_rate + reading.fetch_seconds
            ahead = self.backlog(now, urgency) + own
            return stretch * ahead + FIRST_EVENT_OVERHEAD
        model = self.model
        own = reading.unread_tokens * model.seconds_per_token + reading.fetch_seconds
        ahead = self.backlog(now, urgency) + model.slowdown(now) * own
        return stretch * ahead + model.fixed_time

    def spare_margin(self, margin: float, urgency: int) -> float:
        """Return the part of a safety margin that this engine's predictions do not need.

        Args:
            urgency: Urgency of the request.
            margin: Seconds that a request's target keeps for prediction errors. They suffice for
                any engine whose errors are unknown.

        Returns:
            Seconds; negative if the engine needs a wider margin.
        """
        needed = self.model.margin(urgency) if self.pool.in_force else None
        if needed is None:
            return 0.0
        low, high = MARGIN_BOUNDS
        return margin - min(high * margin, max(low * margin, needed))

    def is_shared(self, shortest_pause: float | None) -> bool:
        """Return whether the engine takes short and long prompts, by its measured gaps."""
        return self.model.is_shared(shortest_pause, len(self.runs_by_ticket) + 1)

    def stays_within(self, pause_target: float, now: Instant) -> bool:
        """Return whether a stream that begins now probably keeps to a pause target."""
        if not self.pool.limits_gaps:
            return True
        running = self.running + 1
        if self.model.gap_under_prefill(running) <= pause_target:
            return True
        return self.model.longest_gap(running, self.backlog(now)) <= pause_target

    def prefill_budget(self, pause_target: float, learned: float | None) -> float | None:
        """Return the seconds of prefill in a pause that streams with a pause target tolerate.

        Args:
            pause_target: The pause target in seconds.
            learned: The limit that late streams of the pool have taught; None for no limit.

        Returns:
            Seconds; None if even continuous prefill keeps to the target.
        """
        if not self.pool.limits_gaps:
            return learned
        running = self.running + 1
        if self.model.gap_under_prefill(running) <= SHARED_FRACTION * pause_target:
            return None
        left = max(MINIMUM_EXPECTED_SECONDS, pause_target - self.model.gap(running))
        return left if learned is None else min(left, learned)

    @property
    def running(self) -> int:
        """Number of requests that run or wait on the engine."""
        return len(self.runs_by_ticket)

    def has_slot(self, urgency: int) -> bool:
        """Return whether a slot for a request of some urgency is probably free.

        Less urgent requests leave some slots to more urgent ones. When a more urgent request
        arrives at a full engine, the engine preempts another request and has to read its prompt
        again.
        """
        return len(self.runs_by_ticket) < _open_slots(self.traits.slots, urgency)

    def fits(self, prompt: Prompt, urgency: int) -> bool:
        """Return whether a slot and the memory for a request are probably free."""
        if len(self.runs_by_ticket) >= _open_slots(self.traits.slots, urgency):
            return False
        open_memory = self.traits.memory_tokens * _open_fraction(urgency)
        if self.memory_share is not None:
            return self._fits_share(prompt.memory_tokens, open_memory, self.memory_share)
        return self.memory_tokens + prompt.memory_tokens <= open_memory

    def _fits_share(self, tokens: int, open_memory: float, share: float) -> bool:
        # A request of almost the whole memory would otherwise never fit, as every rank but the
        # most urgent leaves a part of the engine free.
        capacity = int(open_memory) if self.running else self.traits.memory_tokens
        return fits_engine(
            tokens,
            capacity=capacity,
            committed=self.memory_tokens + self.retained.total,
            by_share=self.share_tokens,
            share=share,
        )

    def placed(self, ticket: str) -> None:
        """Record that this entry has decided on the placement of a request that has begun."""
        run = self.runs_by_ticket.get(ticket)
        if run is not None and self.memory_share is not None and self.memory_share < 1.0:
            run.by_share = True
            self.share_tokens += run.memory_tokens

    def begin(
        self,
        ticket: str,
        prompt: Prompt,
        reading: PrefillPlan,
        now: Instant,
        urgency: int = LEAST_URGENT_TIER,
        *,
        is_read: bool = False,
        seen_from_start: bool = True,
    ) -> None:
        """Add a request to the engine.

        Args:
            ticket: The request's name on this engine.
            prompt: Its prompt.
            reading: How the engine obtains the prompt.
            now: When it was sent.
            urgency: Its urgency.
            is_read: Whether its first event has already arrived.
            seen_from_start: Whether the state of the engine was known when it was sent.
        """
        self.short_running += not prompt.is_long
        seconds = self.predicted_prefill_seconds(reading)
        queued = self.backlog(now)
        predicted = self.backlog(now, urgency) + seconds
        self.cache.use(prompt.parts)
        if is_read:
            self.cache.read(prompt.parts)
        else:
            if not self._unread.prompts:
                self._progress_at = self._available_at = now
                self._is_interrupted = False
            self._unread.add(urgency, seconds)
            self._sent.append((now, seconds))
        self.memory_tokens += prompt.memory_tokens
        run = self.runs_by_ticket[ticket] = RunOnEngine(
            prompt.parts,
            reading.unread_tokens,
            prompt.memory_tokens,
            now,
            urgency,
            seconds,
            predicted,
            queued,
            prompt.is_long,
            reading.fetch_from is not None,
            seen_from_start,
            is_read,
            begun_at=now,
        )
        if not is_read:
            self._pending[ticket] = run

    def first_event(
        self,
        ticket: str,
        now: Instant,
        after: float | None = None,
        sent_at: Instant | None = None,
    ) -> RunOnEngine | None:
        """Record that a request's prompt has been read, and learn the prefill rate from it.

        Args:
            ticket: The request's name on this engine.
            now: The current instant.
            after: Measured seconds from the send to the event; None if not measured.
            sent_at: When its entry sent it; None if that was when it was added here.

        Returns:
            The request, or None if the event was already known.
        """
        run = self.runs_by_ticket.get(ticket)
        if run is None or run.read:
            return None
        run.read = True
        self.cache.read(run.parts)
        self._unread.remove(run.urgency, run.predicted_prefill_seconds)
        self._pending.pop(ticket, None)
        self._progress_at = now
        self._learn_rate(run, now)
        self._measure_prefill(run, sent_at if sent_at is not None else run.sent_at, now, after)
        return run

    def _measure_prefill(
        self, run: RunOnEngine, sent_at: Instant, now: Instant, after: float | None
    ) -> None:
        """Learn from a first event how long the engine took for the prompt."""
        elapsed = now - sent_at if after is None else after
        if not is_plausible(elapsed, PLAUSIBLE_FIRST_EVENT_SECONDS):
            self.pool.rejected += 1
            elapsed, run.seen_from_start = max(0.0, now - sent_at), False
        model, read_at = self.model, sent_at + elapsed
        includes_fixed_time = self._available_at == run.begun_at
        finished_at = read_at - model.fixed_time
        seconds = elapsed if includes_fixed_time else max(0.0, finished_at - self._available_at)
        is_known = run.seen_from_start and not run.fetched and not self._is_interrupted
        if is_known:
            model.learn_first_event(
                run.unread_tokens, seconds, now, includes_fixed_time=includes_fixed_time
            )
        spent = max(0.0, seconds - (model.fixed_time if includes_fixed_time else 0.0))
        self._spans.add(read_at - spent, read_at)
        self._is_interrupted = False
        oldest = next(iter(self._pending.values()), None)
        idle_until = oldest.begun_at if oldest is not None else finished_at
        self._available_at = max(finished_at, idle_until)

    def stream_gaps(self, longest: float, mean: float, events: int, now: Instant) -> None:
        """Learn from the gaps between the events of a stream on this engine.

        Args:
            longest: The longest gap in seconds.
            mean: The mean gap.
            events: Number of gaps.
            now: When the last one ended.
        """
        is_valid = is_plausible(longest, PLAUSIBLE_GAP_SECONDS) and is_plausible(mean, longest)
        if not is_valid or events < 1:
            self.pool.rejected += 1
            return
        span = mean * events
        busy, continuous = self._spans.within(now - span, now)
        if self._pending:
            busy += max(0.0, now - max(now - span, self._available_at + self.model.fixed_time))
        if busy <= QUIET_FRACTION * span:
            self.model.learn_quiet_gap(mean, self.running, busy / span if span else 0.0)
        elif continuous >= CONTINUOUS_GAPS * longest:
            self.model.learn_prefill_gap(longest, self.running)

    def end(self, ticket: str, now: Instant, retain_for: float = 0.0) -> None:
        """Remove a request that no longer runs; its prefill is cancelled if it was not read.

        Args:
            ticket: The request's name on this engine.
            now: The current instant.
            retain_for: Seconds for which the engine may still hold its memory.
        """
        run = self.runs_by_ticket.pop(ticket, None)
        if run is None:
            return
        if retain_for > 0.0 and self.memory_share is not None:
            self.retained.add(run.memory_tokens, now + retain_for)
        self.memory_tokens -= run.memory_tokens
        if run.by_share:
            self.share_tokens -= run.memory_tokens
        self.short_running -= not run.is_long
        if not run.read:
            self._is_interrupted = True
            self._pending.pop(ticket, None)
            self.cache.drop_unread(run.parts)
            self._unread.remove(run.urgency, run.predicted_prefill_seconds)

    def _learn_rate(self, run: RunOnEngine, now: Instant) -> None:
        reading = now - run.sent_at - FIRST_EVENT_OVERHEAD - run.queued
        if run.unread_tokens < LEARNING_PROMPT_TOKENS or run.queued > 0.0 or reading <= 0.0:
            return
        # If the source had evicted the parts to be fetched, the engine read them after all.
        if run.fetched:
            return
        low, high = RATE_BOUNDS
        measured = min(high, max(low, run.unread_tokens / reading))
        self._assumed_rate += LEARNING_GAIN * (measured - self._assumed_rate)
        self.pool.rate_version += 1
