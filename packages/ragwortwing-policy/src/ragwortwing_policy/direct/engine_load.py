"""What an entry believes of one engine: what it has yet to read, what runs, what it keeps."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import ceil

from ragwortwing_policy.clock import Instant

from .backend_list import BackendServer
from .prompt_parts import PartCache, Prompt, PromptPart
from .routing_table import LEAST_URGENT_TIER, EngineTraits
from .unread_prompts import UnreadPrompts

INITIAL_TOKENS_PER_SECOND = 40_000.0
"""Prompt tokens read a second before anything is learned; rather too few than too many."""

FIRST_EVENT_OVERHEAD = 0.035
"""Seconds from a send to the first event of a short prompt on an idle engine, network included."""

LEARNING_PROMPT_TOKENS = 1_500
"""Shortest unread prompt that teaches the reading rate: below it the overhead hides the rate."""

LEARNING_GAIN = 0.15
"""Part of a new measurement that enters the learned rate."""

RATE_BOUNDS = (4_000.0, 200_000.0)
"""Prompt tokens a second between which the learned rate stays; a stalled engine is the business of
its health, not of its rate."""

RESERVED_PER_RANK = 1 / 48
"""Part of an engine that requests leave free for each rank that is more urgent than theirs."""

MOST_RESERVED = 0.125
"""Largest part of an engine that requests of any rank leave free."""

SENDS_KEPT = 64
"""Latest sends that are looked at for what is read within one pause."""

CACHE_PART = 0.8
"""Part of an engine's memory that is believed to hold shared parts beside what runs."""


@dataclass(frozen=True, slots=True)
class PromptReading:
    """How one engine would come by a prompt."""

    unread_tokens: int
    """Tokens that it has to read."""
    fetch_from: BackendServer | None = None
    """The engine that it fetches what it lacks from."""
    fetch_seconds: float = 0.0


@dataclass(slots=True)
class RunOnEngine:
    """A request on an engine."""

    parts: tuple[PromptPart, ...]
    unread_tokens: int
    memory_tokens: int
    sent_at: Instant
    urgency: int
    reading_seconds: float
    """Seconds in which the engine should read its prompt."""
    predicted: float
    """Seconds of reading that were ahead of its first event, its own included."""
    queued: float
    """Seconds of any reading that was ahead of it when it was sent."""
    is_long: bool
    fetched: bool = False
    """Whether some of its prompt is fetched from another engine."""
    read: bool = False
    exceeded: bool = False
    """Whether its stream had a pause beyond its target."""


@dataclass(slots=True)
class EngineLoad:
    """The load of one engine as one entry knows it: a scheduler knows all that runs on it.

    An engine reads the more urgent prompts first. What is ahead of a request is therefore the
    reading of all prompts that are at least as urgent and have had no first event: a slow engine
    keeps them unread for longer, and one that was believed faster than it is corrects itself with
    each event.
    """

    backend_id: str
    service: str
    traits: EngineTraits
    cache: PartCache = field(init=False)
    tokens_per_second: float = INITIAL_TOKENS_PER_SECOND
    runs_by_ticket: dict[str, RunOnEngine] = field(default_factory=dict)
    short_running: int = 0
    """Requests with short prompts among them."""
    memory_tokens: int = 0
    """Tokens of memory that what runs takes at its end."""
    _unread: UnreadPrompts = field(default_factory=UnreadPrompts)
    _sent: deque[tuple[Instant, float]] = field(default_factory=lambda: deque(maxlen=SENDS_KEPT))
    """Seconds of reading that were sent of late."""
    _progress_at: Instant = 0.0
    """When the engine last ended the reading of a prompt, or began after it had none."""

    def __post_init__(self) -> None:
        self.cache = PartCache(int(self.traits.memory_tokens * CACHE_PART))

    def kept_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that this engine should keep."""
        return self.cache.kept_tokens(prompt.parts)

    def read_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that another engine can fetch from this one."""
        return self.cache.read_tokens(prompt.parts)

    def backlog(self, now: Instant, urgency: int = LEAST_URGENT_TIER) -> float:
        """Return the seconds of reading that are ahead of a new request of some urgency."""
        ahead = self._unread.seconds(urgency)
        if ahead <= 0.0:
            return 0.0
        return max(0.0, ahead - self._begun_reading(now))

    def reading_within(self, span: float, now: Instant) -> float:
        """Return the seconds of reading that fall into one span of time from now backwards.

        What has been read a moment ago and what is read next may lie in the same pause of a stream.
        """
        since = now - span
        sent = 0.0
        for at, seconds in reversed(self._sent):
            if at < since:
                break
            sent += seconds
        return max(sent, self.backlog(now))

    def _begun_reading(self, now: Instant) -> float:
        """Return the seconds that the prompt read now has taken so far, its length at most."""
        longest = self._unread.seconds() / max(1, self._unread.prompts)
        return min(now - self._progress_at, longest)

    def reading_of(self, prompt: Prompt) -> PromptReading:
        """Return how this engine comes by a prompt without the help of another."""
        return PromptReading(max(1, prompt.prompt_tokens - self.kept_tokens(prompt)))

    def reading_seconds(self, reading: PromptReading) -> float:
        """Return how long this engine takes until a prompt is read."""
        return reading.unread_tokens / self.tokens_per_second + reading.fetch_seconds

    def first_event_after(
        self,
        reading: PromptReading,
        now: Instant,
        urgency: int = LEAST_URGENT_TIER,
        stretch: float = 1.0,
    ) -> float:
        """Return the seconds after which a request sent now should have its first event.

        Args:
            reading: How the engine would come by the prompt.
            now: The present instant.
            urgency: The request's rank.
            stretch: How much longer reading takes than its tokens alone.
        """
        ahead = self.backlog(now, urgency) + self.reading_seconds(reading)
        return stretch * ahead + FIRST_EVENT_OVERHEAD

    @property
    def running(self) -> int:
        """Requests that run or wait on the engine."""
        return len(self.runs_by_ticket)

    def has_slot(self, urgency: int) -> bool:
        """Return whether a slot for a request of some urgency should be free.

        Less urgent requests leave some to more urgent ones: an engine that is full when a more
        urgent request comes puts another back, whose prompt is then read once more.
        """
        return self.running < ceil(self.traits.slots * self._open_part(urgency))

    def fits(self, prompt: Prompt, urgency: int) -> bool:
        """Return whether a slot and the memory for a request should be free."""
        if not self.has_slot(urgency):
            return False
        open_memory = self.traits.memory_tokens * self._open_part(urgency)
        return self.memory_tokens + prompt.memory_tokens <= open_memory

    def _open_part(self, urgency: int) -> float:
        return 1.0 - min(MOST_RESERVED, urgency * RESERVED_PER_RANK)

    def begin(
        self,
        ticket: str,
        prompt: Prompt,
        reading: PromptReading,
        now: Instant,
        urgency: int = LEAST_URGENT_TIER,
        *,
        is_read: bool = False,
    ) -> None:
        """Note a request on the engine.

        Args:
            ticket: The request's name on this engine.
            prompt: Its prompt.
            reading: How the engine comes by it.
            now: When it was sent.
            urgency: Its rank.
            is_read: Whether its first event has come already.
        """
        self.short_running += not prompt.is_long
        seconds = self.reading_seconds(reading)
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
        """Note that a request's prompt has been read, and learn from when that was.

        Returns:
            The request, where this was news.
        """
        run = self.runs_by_ticket.get(ticket)
        if run is None or run.read:
            return None
        run.read = True
        self.cache.read(run.parts)
        self._unread.remove(run.urgency, run.reading_seconds)
        self._progress_at = now
        self._learn_rate(run, now)
        return run

    def end(self, ticket: str, now: Instant) -> None:
        """Note that a request no longer runs; a prompt that was not read is taken back."""
        run = self.runs_by_ticket.pop(ticket, None)
        if run is None:
            return
        self.memory_tokens -= run.memory_tokens
        self.short_running -= not run.is_long
        if not run.read:
            self.cache.drop_unread(run.parts)
            self._unread.remove(run.urgency, run.reading_seconds)

    def _learn_rate(self, run: RunOnEngine, now: Instant) -> None:
        reading = now - run.sent_at - FIRST_EVENT_OVERHEAD - run.queued
        if run.unread_tokens < LEARNING_PROMPT_TOKENS or run.queued > 0.0 or reading <= 0.0:
            return
        # What was fetched may have been gone at its source, and then was read after all.
        if run.fetched:
            return
        low, high = RATE_BOUNDS
        measured = min(high, max(low, run.unread_tokens / reading))
        self.tokens_per_second += LEARNING_GAIN * (measured - self.tokens_per_second)
