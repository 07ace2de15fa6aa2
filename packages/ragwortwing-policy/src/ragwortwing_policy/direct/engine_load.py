"""Estimated state of one engine: pending prefill, running requests and cached prompt parts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import ceil

from ragwortwing_policy.clock import Instant

from .backend_list import BackendServer
from .memory_guard import RetainedTokens, fits_engine
from .prompt_parts import PartCache, Prompt, PromptPart
from .routing_table import LEAST_URGENT_TIER, EngineTraits
from .unread_prompts import UnreadPrompts

INITIAL_TOKENS_PER_SECOND = 40_000.0
"""Prefill rate in tokens per second before anything is learned; a conservative value."""

FIRST_EVENT_OVERHEAD = 0.035
"""Seconds from a send to the first event of a short prompt on an idle engine, network included."""

LEARNING_PROMPT_TOKENS = 1_500
"""Minimum unread tokens of a prompt from which the prefill rate is learned: in shorter prompts
the overhead dominates."""

LEARNING_GAIN = 0.15
"""Weight of a new measurement in the learned rate."""

RATE_BOUNDS = (4_000.0, 200_000.0)
"""Minimum and maximum learned rate in tokens per second. A stalled engine is handled by its
health, not by its rate."""

RESERVED_PER_RANK = 1 / 48
"""Fraction of an engine that a request leaves free for each rank that is more urgent than its
own."""

MAXIMUM_RESERVED = 0.125
"""Maximum fraction of an engine that requests of any rank leave free."""

SENDS_KEPT = 64
"""Number of recent sends kept to compute the prefill within one pause."""

CACHE_FRACTION = 0.8
"""Fraction of an engine's memory assumed to hold shared parts besides running requests."""


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
    read: bool = False
    exceeded: bool = False
    """Whether its stream had a pause longer than its target."""
    by_share: bool = False
    """Whether this entry placed it while it had only a share of the engine's memory."""


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
    cache: PartCache = field(init=False)
    tokens_per_second: float = INITIAL_TOKENS_PER_SECOND
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

    def __post_init__(self) -> None:
        self.cache = PartCache(int(self.traits.memory_tokens * CACHE_FRACTION))

    def kept_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that this engine has probably cached."""
        return self.cache.kept_tokens(prompt.parts)

    def read_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that another engine can fetch from this one."""
        return self.cache.read_tokens(prompt.parts)

    def backlog(self, now: Instant, urgency: int = LEAST_URGENT_TIER) -> float:
        """Return the seconds of prefill ahead of a new request of some urgency."""
        ahead = self._unread.seconds(urgency)
        if ahead <= 0.0:
            return 0.0
        return max(0.0, ahead - self._current_reading_seconds(now))

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
        return max(sent, self.backlog(now))

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
        ahead = self.backlog(now, urgency) + self.predicted_prefill_seconds(reading)
        return stretch * ahead + FIRST_EVENT_OVERHEAD

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
        return self.running < ceil(self.traits.slots * self._open_fraction(urgency))

    def fits(self, prompt: Prompt, urgency: int) -> bool:
        """Return whether a slot and the memory for a request are probably free."""
        if not self.has_slot(urgency):
            return False
        open_memory = self.traits.memory_tokens * self._open_fraction(urgency)
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

    def _open_fraction(self, urgency: int) -> float:
        return 1.0 - min(MAXIMUM_RESERVED, urgency * RESERVED_PER_RANK)

    def begin(
        self,
        ticket: str,
        prompt: Prompt,
        reading: PrefillPlan,
        now: Instant,
        urgency: int = LEAST_URGENT_TIER,
        *,
        is_read: bool = False,
    ) -> None:
        """Add a request to the engine.

        Args:
            ticket: The request's name on this engine.
            prompt: Its prompt.
            reading: How the engine obtains the prompt.
            now: When it was sent.
            urgency: Its urgency.
            is_read: Whether its first event has already arrived.
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
                self._progress_at = now
            self._unread.add(urgency, seconds)
            self._sent.append((now, seconds))
        self.memory_tokens += prompt.memory_tokens
        self.runs_by_ticket[ticket] = RunOnEngine(
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
            is_read,
        )

    def first_event(self, ticket: str, now: Instant) -> RunOnEngine | None:
        """Record that a request's prompt has been read, and learn the prefill rate from it.

        Returns:
            The request, or None if the event was already known.
        """
        run = self.runs_by_ticket.get(ticket)
        if run is None or run.read:
            return None
        run.read = True
        self.cache.read(run.parts)
        self._unread.remove(run.urgency, run.predicted_prefill_seconds)
        self._progress_at = now
        self._learn_rate(run, now)
        return run

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
        self.tokens_per_second += LEARNING_GAIN * (measured - self.tokens_per_second)
