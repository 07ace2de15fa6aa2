"""Simulates a continuously batching engine in virtual time, as the users describe theirs.

The engine works in steps. A step generates one token for each running request and prefills a chunk
of the waiting prompts, the most urgent first. A long prompt therefore lengthens the step and the
pause between tokens of every stream. Cached shared prompt parts are not prefilled again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortwing_policy.direct.prompt_parts import Prompt


@dataclass(frozen=True, slots=True)
class EnginePace:
    """Speed and sizes of an engine; the defaults describe a current engine with 32 slots."""

    slots: int = 32
    step: float = 0.0047
    """Duration in seconds of a step without prefill."""
    step_per_run: float = 0.0000268
    """Seconds added to a step by each running request."""
    tokens_per_second: float = 52_400.0
    """Prompt tokens prefilled per second."""
    seconds_per_pair: float = 0.0
    """Seconds added per prefilled token for each preceding token of its prompt (attention cost)."""
    chunk: int = 4096
    """Maximum prompt tokens prefilled in one step."""
    first_overhead: float = 0.027
    """Delay in seconds before a prompt is prefilled."""
    tokens_per_event: int = 5
    bytes_per_token: int = 262_144
    link_bytes_per_second: float = 92.5e9
    """Bandwidth for fetching KV cache from another engine."""
    cache_tokens: int = 250_000
    memory_tokens: int = 330_000
    """Capacity of the KV cache in tokens, as the engine reports it."""


@dataclass(slots=True)
class EngineRun:
    """A request on an engine."""

    prompt: Prompt
    tier: int
    sent_at: float
    on_event: Callable[[float], None]
    on_end: Callable[[float], None]
    fetch_from: BatchingEngine | None = None
    fetch_was_useless: bool = False
    """Whether the source engine had no more cached tokens than this engine."""
    unread_tokens: int = 0
    generated: int = 0
    ended: bool = False


@dataclass(slots=True)
class BatchingEngine:
    """A simulated engine; call `step` again at the time that it returned while `busy`."""

    pace: EnginePace
    speed: float = 1.0
    """Speed of its steps relative to the pace."""
    slowdown: Callable[[float], float] = lambda _: 1.0
    """Returns the factor by which a step that begins at some time takes longer."""
    waiting: list[EngineRun] = field(default_factory=list)
    prefilling: list[EngineRun] = field(default_factory=list)
    running: list[EngineRun] = field(default_factory=list)
    read_tokens: int = 0
    """Prompt tokens prefilled so far."""
    _cached: OrderedDict[str, int] = field(default_factory=OrderedDict)

    @property
    def busy(self) -> bool:
        """Whether any request is waiting, in prefill or running."""
        return bool(self.waiting or self.prefilling or self.running)

    @property
    def load(self) -> int:
        """Number of requests on the engine, as it would report them."""
        return len(self.waiting) + len(self.prefilling) + len(self.running)

    def submit(self, run: EngineRun) -> None:
        """Queue a request."""
        self.waiting.append(run)

    def step(self, now: float) -> float:
        """Perform a step and return the time at which it ends."""
        self._admit(now)
        read, pairs = self._prefill_chunk()
        pace = self.pace
        duration = pace.step + pace.step_per_run * len(self.running)
        duration += read / pace.tokens_per_second + pairs * pace.seconds_per_pair
        ends_at = now + duration * self.slowdown(now) / self.speed
        self._generate_tokens(ends_at)
        return ends_at

    def _admit(self, now: float) -> None:
        self.waiting = [each for each in self.waiting if not each.ended]
        self.waiting.sort(key=lambda each: (each.tier, each.sent_at))
        # Each request has its own overhead, so one that has just arrived does not delay others.
        ready = [each for each in self.waiting if now >= each.sent_at + self._overhead(each)]
        for run in ready:
            if len(self.prefilling) + len(self.running) >= self.pace.slots:
                return
            self.waiting.remove(run)
            fetched = run.fetch_from.cached_tokens(run.prompt) if run.fetch_from else 0
            cached_here = self._cache(run.prompt)
            run.fetch_was_useless = run.fetch_from is not None and fetched <= cached_here
            cached = max(fetched, cached_here)
            run.unread_tokens = max(1, run.prompt.prompt_tokens - cached)
            self.prefilling.append(run)
        # The sort is stable: prompts of equal urgency keep their order.
        self.prefilling.sort(key=lambda each: each.tier)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the length in tokens of the longest cached prefix of a prompt."""
        cached = 0
        for part in prompt.parts:
            if part.id not in self._cached:
                break
            cached += part.tokens
        return cached

    def _overhead(self, run: EngineRun) -> float:
        """Return the delay in seconds before prefill of a prompt, including a KV cache fetch."""
        if run.fetch_from is None:
            return self.pace.first_overhead
        missing = max(0, run.fetch_from.cached_tokens(run.prompt) - self.cached_tokens(run.prompt))
        fetch = missing * self.pace.bytes_per_token / self.pace.link_bytes_per_second
        return self.pace.first_overhead + fetch

    def _cache(self, prompt: Prompt) -> int:
        cached = self.cached_tokens(prompt)
        for part in prompt.parts:
            self._cached[part.id] = part.tokens
            self._cached.move_to_end(part.id)
        while sum(self._cached.values()) > self.pace.cache_tokens:
            self._cached.popitem(last=False)
        return cached

    def _prefill_chunk(self) -> tuple[int, int]:
        """Prefill the next chunk; return its tokens and their pairs with preceding tokens."""
        remaining = self.pace.chunk
        pairs = 0
        for run in self.prefilling:
            prefilled = min(remaining, run.unread_tokens)
            pairs += prefilled * (run.prompt.prompt_tokens - run.unread_tokens)
            run.unread_tokens -= prefilled
            remaining -= prefilled
        read = self.pace.chunk - remaining
        self.read_tokens += read
        return read, pairs

    def _generate_tokens(self, at: float) -> None:
        for run in [*self.running]:
            run.generated += 1
            if run.generated % self.pace.tokens_per_event == 0:
                run.on_event(at)
            if run.generated >= run.prompt.output_tokens or run.ended:
                self.running.remove(run)
                run.on_end(at)
        for run in [each for each in self.prefilling if each.unread_tokens == 0]:
            self.prefilling.remove(run)
            run.on_event(at)
            self.running.append(run)
