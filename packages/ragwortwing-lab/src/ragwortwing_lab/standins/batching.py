"""The engine stand-in's continuous batching: slots, priorities, steps that slow as it grows."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from .faults import Fault, FaultKind, Faults
from .generation import answer_length, prompt_digest
from .prefix_cache import PrefixCache

if TYPE_CHECKING:
    from collections.abc import Iterable

NO_FAULT = Fault(FaultKind.SLOW)


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """What an engine can do."""

    slots: int = 16
    step_seconds: float = 0.02
    """Between-token time of a single stream."""
    batch_growth: float = 0.01
    """Share by which each further stream lengthens a step."""
    prefill_seconds: float = 0.00002
    """Time a step takes longer for each prompt token that is not cached."""
    cache_blocks: int = 2_000
    load_lag: float = 1.0
    cache_event_lag: float = 2.0
    cache_event_gap: int = 7
    """Every so many cache events one is lost; 0 for none."""
    fencing: bool = True


@dataclass(slots=True)
class Generation:
    """One stream in the engine."""

    request_id: str
    prompt: str
    priority: int
    next_index: int
    end_index: int
    digest: int
    prompt_tokens: int
    cached_tokens: int = 0
    generated: int = 0
    ready: list[int] = field(default_factory=list)
    """Indices of tokens that were not yet taken."""
    wake: trio.Event = field(default_factory=trio.Event)

    @property
    def is_done(self) -> bool:
        """Whether every token was generated."""
        return self.next_index >= self.end_index

    async def take(self) -> list[int]:
        """Wait for tokens and return them; empty once the answer is complete."""
        while not self.ready and not self.is_done:
            await self.wake.wait()
        taken, self.ready = self.ready, []
        return taken

    def emit(self) -> None:
        """Generate one token."""
        self.ready.append(self.next_index)
        self.next_index += 1
        self.generated += 1
        self.wake.set()
        self.wake = trio.Event()


class Batcher:
    """Steps through the running streams, one token each."""

    def __init__(self, settings: EngineSettings, faults: Faults) -> None:
        self.settings = settings
        self.faults = faults
        self.cache = PrefixCache(
            settings.cache_blocks, settings.cache_event_lag, settings.cache_event_gap
        )
        self.counts: Counter[str] = Counter()
        self.started_by_id: Counter[str] = Counter()
        self.finished_by_id: Counter[str] = Counter()
        self.cancelled_by_id: Counter[str] = Counter()
        self._queue: list[Generation] = []
        self._running: list[Generation] = []
        self._work = trio.Event()
        self._loads: deque[tuple[float, int, int]] = deque([(float("-inf"), 0, 0)])

    def submit(
        self, request_id: str, prompt: str, priority: int, limit: int | None, resume_at: int
    ) -> Generation:
        """Queue a stream."""
        generation = Generation(
            request_id=request_id,
            prompt=prompt,
            priority=priority,
            next_index=resume_at,
            end_index=max(resume_at, answer_length(prompt, limit)),
            digest=prompt_digest(prompt),
            prompt_tokens=len(prompt.split()),
        )
        self.counts["resumed_tokens"] += resume_at
        self._queue.append(generation)
        self._queue.sort(key=lambda each: each.priority)
        self._record_load()
        self._work.set()
        return generation

    def cancel(self, generation: Generation) -> None:
        """Drop a stream whose reader has gone."""
        self._queue = [each for each in self._queue if each is not generation]
        self._running = [each for each in self._running if each is not generation]
        self.cancelled_by_id[generation.request_id] += 1
        self.counts["cancelled"] += 1
        self.counts["cancelled_tokens"] += generation.generated
        self._record_load()

    def reported_load(self) -> tuple[int, int]:
        """Return running and queued streams as they were a while ago."""
        until = trio.current_time() - self.settings.load_lag
        while len(self._loads) > 1 and self._loads[1][0] <= until:
            self._loads.popleft()
        return self._loads[0][1:]

    def present_load(self) -> tuple[int, int]:
        """Return running and queued streams as they are."""
        return len(self._running), len(self._queue)

    async def run(self) -> None:
        """Step for ever."""
        step_ends = trio.current_time()
        while True:
            if not self._queue and not self._running:
                self._work = trio.Event()
                await self._work.wait()
                step_ends = trio.current_time()
            await self.faults.wait_cleared(FaultKind.FREEZE)
            seconds = self._step_seconds(self._admit())
            step_ends = max(step_ends + seconds, trio.current_time())
            await trio.sleep_until(step_ends)
            await self.faults.wait_cleared(FaultKind.FREEZE)
            self._step()

    def _admit(self) -> int:
        """Move streams into free slots; return the prompt tokens to be read for them."""
        to_read = 0
        while self._queue and len(self._running) < self.settings.slots:
            generation = self._queue.pop(0)
            words = generation.prompt.split()
            generation.cached_tokens = self.cache.use(words, trio.current_time())
            to_read += len(words) - generation.cached_tokens
            self.counts["cached_tokens"] += generation.cached_tokens
            self.counts["prompt_tokens"] += len(words)
            self.started_by_id[generation.request_id] += 1
            self.counts["started"] += 1
            self._running.append(generation)
        self._record_load()
        return to_read

    def _step_seconds(self, to_read: int) -> float:
        settings = self.settings
        growth = 1 + settings.batch_growth * max(0, len(self._running) - 1)
        seconds = settings.step_seconds * growth + settings.prefill_seconds * to_read
        return seconds * (self.faults.get(FaultKind.SLOW) or NO_FAULT).factor

    def _step(self) -> None:
        for generation in self._running:
            if not generation.is_done:
                generation.emit()
                self.counts["generated_tokens"] += 1
        self._finish(each for each in self._running if each.is_done)
        self._running = [each for each in self._running if not each.is_done]
        self._record_load()

    def _finish(self, generations: Iterable[Generation]) -> None:
        for generation in generations:
            self.finished_by_id[generation.request_id] += 1
            self.counts["finished"] += 1

    def _record_load(self) -> None:
        running, queued = self.present_load()
        if self._loads[-1][1:] != (running, queued):
            self._loads.append((trio.current_time(), running, queued))
