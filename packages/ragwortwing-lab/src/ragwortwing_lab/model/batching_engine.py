"""A model engine in virtual time that behaves as the users' pages describe theirs.

It works in steps. A step makes one token for each request that runs and reads a chunk of the
prompts that wait, the most urgent first; so a long prompt lengthens the step and with it the pause
of every stream. Shared parts that it keeps are not read again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortwing_policy.direct.prompt_parts import Prompt


@dataclass(frozen=True, slots=True)
class EnginePace:
    """How fast an engine works; the defaults are those of an engine of 32 slots of today."""

    slots: int = 32
    step: float = 0.0047
    """Seconds of a step with nothing to read."""
    step_per_run: float = 0.0000268
    """Seconds that each running request adds to a step."""
    tokens_per_second: float = 52_400.0
    """Prompt tokens read a second."""
    seconds_per_pair: float = 0.0
    """Seconds that each token read adds for each token of its prompt that stands before it."""
    chunk: int = 4096
    """Most prompt tokens read in one step."""
    first_overhead: float = 0.027
    """Seconds added before a prompt is read."""
    tokens_per_event: int = 5
    bytes_per_token: int = 262_144
    link_bytes_per_second: float = 92.5e9
    """Speed at which it fetches KV cache from another engine."""
    cache_tokens: int = 250_000
    memory_tokens: int = 330_000
    """Tokens that fit into its KV cache, as it tells."""


@dataclass(slots=True)
class EngineRun:
    """One request on an engine."""

    prompt: Prompt
    tier: int
    sent_at: float
    on_event: Callable[[float], None]
    on_end: Callable[[float], None]
    fetch_from: BatchingEngine | None = None
    fetched_in_vain: bool = False
    """Whether the engine that it fetched from had nothing more than its own."""
    unread: int = 0
    made: int = 0
    ended: bool = False


@dataclass(slots=True)
class BatchingEngine:
    """One engine; `advance` is called with each moment of its own that it asked for."""

    pace: EnginePace
    waiting: list[EngineRun] = field(default_factory=list)
    reading: list[EngineRun] = field(default_factory=list)
    running: list[EngineRun] = field(default_factory=list)
    read_tokens: int = 0
    """Prompt tokens read so far."""
    _kept: OrderedDict[str, int] = field(default_factory=OrderedDict)

    @property
    def busy(self) -> bool:
        """Whether there is anything to do."""
        return bool(self.waiting or self.reading or self.running)

    @property
    def load(self) -> int:
        """Requests on the engine, as it would report them."""
        return len(self.waiting) + len(self.reading) + len(self.running)

    def submit(self, run: EngineRun) -> None:
        """Take a request."""
        self.waiting.append(run)

    def step(self, now: float) -> float:
        """Begin a step; return when it ends."""
        self._admit(now)
        read, pairs = self._read_chunk()
        pace = self.pace
        duration = pace.step + pace.step_per_run * len(self.running)
        duration += read / pace.tokens_per_second + pairs * pace.seconds_per_pair
        ends_at = now + duration
        self._make_tokens(ends_at)
        return ends_at

    def _admit(self, now: float) -> None:
        self.waiting = [each for each in self.waiting if not each.ended]
        self.waiting.sort(key=lambda each: (each.tier, each.sent_at))
        while self.waiting and len(self.reading) + len(self.running) < self.pace.slots:
            if now < self.waiting[0].sent_at + self._overhead(self.waiting[0]):
                return
            run = self.waiting.pop(0)
            fetched = run.fetch_from.kept_tokens(run.prompt) if run.fetch_from else 0
            kept_here = self._keep(run.prompt)
            run.fetched_in_vain = run.fetch_from is not None and fetched <= kept_here
            kept = max(fetched, kept_here)
            run.unread = max(1, run.prompt.prompt_tokens - kept)
            self.reading.append(run)
        # Sorting keeps the order of prompts that are equally urgent.
        self.reading.sort(key=lambda each: each.tier)

    def kept_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that it keeps: a part counts if all before it are kept."""
        kept = 0
        for part in prompt.parts:
            if part.id not in self._kept:
                break
            kept += part.tokens
        return kept

    def _overhead(self, run: EngineRun) -> float:
        """Return the seconds before it begins to read a prompt: to take it, and to fetch."""
        if run.fetch_from is None:
            return self.pace.first_overhead
        lacking = max(0, run.fetch_from.kept_tokens(run.prompt) - self.kept_tokens(run.prompt))
        fetch = lacking * self.pace.bytes_per_token / self.pace.link_bytes_per_second
        return self.pace.first_overhead + fetch

    def _keep(self, prompt: Prompt) -> int:
        kept = self.kept_tokens(prompt)
        for part in prompt.parts:
            self._kept[part.id] = part.tokens
            self._kept.move_to_end(part.id)
        while sum(self._kept.values()) > self.pace.cache_tokens:
            self._kept.popitem(last=False)
        return kept

    def _read_chunk(self) -> tuple[int, int]:
        """Read the next tokens; return how many, and how many pairs they make with those before."""
        left = self.pace.chunk
        pairs = 0
        for run in self.reading:
            taken = min(left, run.unread)
            pairs += taken * (run.prompt.prompt_tokens - run.unread)
            run.unread -= taken
            left -= taken
        read = self.pace.chunk - left
        self.read_tokens += read
        return read, pairs

    def _make_tokens(self, at: float) -> None:
        for run in [*self.running]:
            run.made += 1
            if run.made % self.pace.tokens_per_event == 0:
                run.on_event(at)
            if run.made >= run.prompt.output_tokens or run.ended:
                self.running.remove(run)
                run.on_end(at)
        for run in [each for each in self.reading if each.unread == 0]:
            self.reading.remove(run)
            run.on_event(at)
            self.running.append(run)
