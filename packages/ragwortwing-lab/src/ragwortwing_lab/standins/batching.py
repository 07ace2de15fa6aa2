"""Continuous batching of the engine stand-in.

Streams wait by priority for a slot. Each step generates one token per running stream and takes
longer as the batch grows.
"""

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

NO_SLOWDOWN = Fault(FaultKind.SLOW)


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Capacity and timing of an engine."""

    slots: int = 16
    step_seconds: float = 0.02
    """Seconds between two tokens when a single stream runs."""
    batch_growth: float = 0.01
    """Relative increase of the step time for each additional stream."""
    prefill_seconds: float = 0.00002
    """Seconds added to a step for each prompt token that is not cached."""
    cache_blocks: int = 2_000
    load_lag: float = 1.0
    """Seconds by which the reported load is out of date."""
    cache_event_lag: float = 2.0
    """Seconds before a cache event is published."""
    cache_event_gap: int = 7
    """One in this many cache events is lost; 0 loses none."""
    fencing: bool = True
    """Whether orders with an outdated fencing number are rejected."""


@dataclass(slots=True)
class Generation:
    """One answer that the engine generates."""

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
    """Indices of generated tokens that were not yet taken."""
    wake: trio.Event = field(default_factory=trio.Event)

    @property
    def is_done(self) -> bool:
        """Whether all tokens were generated."""
        return self.next_index >= self.end_index

    async def take(self) -> list[int]:
        """Wait for new tokens and return their indices; empty once the answer is complete."""
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
    """Generates one token for each running stream in every step."""

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
        self._work_available = trio.Event()
        self._load_history: deque[tuple[float, int, int]] = deque([(float("-inf"), 0, 0)])

    def submit(
        self, request_id: str, prompt: str, priority: int, limit: int | None, resume_at: int
    ) -> Generation:
        """Add a stream to the queue, which is ordered by priority.

        Args:
            request_id: Counted on start, completion and cancellation.
            prompt: The text that determines the answer.
            priority: Lower values run first.
            limit: Most tokens of the whole answer; None for no limit.
            resume_at: Index of the first token to generate.
        """
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
        self._work_available.set()
        return generation

    def cancel(self, generation: Generation) -> None:
        """Remove a stream whose client disconnected."""
        self._queue = [each for each in self._queue if each is not generation]
        self._running = [each for each in self._running if each is not generation]
        self.cancelled_by_id[generation.request_id] += 1
        self.counts["cancelled"] += 1
        self.counts["cancelled_tokens"] += generation.generated
        self._record_load()

    def reported_load(self) -> tuple[int, int]:
        """Return the numbers of running and queued streams as of `load_lag` seconds ago."""
        until = trio.current_time() - self.settings.load_lag
        while len(self._load_history) > 1 and self._load_history[1][0] <= until:
            self._load_history.popleft()
        return self._load_history[0][1:]

    def present_load(self) -> tuple[int, int]:
        """Return the current numbers of running and queued streams."""
        return len(self._running), len(self._queue)

    async def run(self) -> None:
        """Run steps until cancelled."""
        step_end = trio.current_time()
        while True:
            if not self._queue and not self._running:
                self._work_available = trio.Event()
                await self._work_available.wait()
                step_end = trio.current_time()
            await self.faults.wait_cleared(FaultKind.FREEZE)
            seconds = self._step_seconds(self._admit())
            step_end = max(step_end + seconds, trio.current_time())
            await trio.sleep_until(step_end)
            await self.faults.wait_cleared(FaultKind.FREEZE)
            self._step()

    def _admit(self) -> int:
        """Move queued streams into free slots; return how many prompt tokens must be prefilled."""
        prefill_tokens = 0
        while self._queue and len(self._running) < self.settings.slots:
            generation = self._queue.pop(0)
            words = generation.prompt.split()
            generation.cached_tokens = self.cache.use(words, trio.current_time())
            prefill_tokens += len(words) - generation.cached_tokens
            self.counts["cached_tokens"] += generation.cached_tokens
            self.counts["prompt_tokens"] += len(words)
            self.started_by_id[generation.request_id] += 1
            self.counts["started"] += 1
            self._running.append(generation)
        self._record_load()
        return prefill_tokens

    def _step_seconds(self, prefill_tokens: int) -> float:
        settings = self.settings
        growth = 1 + settings.batch_growth * max(0, len(self._running) - 1)
        seconds = settings.step_seconds * growth + settings.prefill_seconds * prefill_tokens
        return seconds * (self.faults.get(FaultKind.SLOW) or NO_SLOWDOWN).factor

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
        if self._load_history[-1][1:] != (running, queued):
            self._load_history.append((trio.current_time(), running, queued))
