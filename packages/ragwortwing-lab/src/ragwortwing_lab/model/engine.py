"""Simulates backend servers: an engine with continuous batching and a plain service."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ragwortwing_policy.routing import BackendKind

from .workload import DESK, MODEL, Arrival

if TYPE_CHECKING:
    from collections.abc import Callable

    from ragwortwing_policy.clock import Instant

    from .loop import VirtualLoop

STEP_BASE = 0.020
"""Duration in seconds of a step with an empty batch at speed 1."""

STEP_PER_STREAM = 0.001
"""Seconds added to a step by each stream."""

PREFILL_RATE = 16_000
"""Prompt tokens prefilled per second."""

PREFILL_CHUNK = 512
"""Maximum prompt tokens prefilled in one step."""

CACHED_PREFIXES = 8
"""Number of prompt prefixes that an engine caches."""

CACHED_STREAMS = 16
"""Number of cancelled streams whose KV cache an engine retains.

A stream resumed on the same engine reuses its cached prompt and text like a cached prefix.
"""

TOKENS_PER_REPORT = 4
"""Tokens after a stream's first that are reported together, to reduce simulation events."""

FROZEN_POLL_INTERVAL = 0.05
"""Seconds between checks whether a frozen engine may continue."""


@dataclass(frozen=True, slots=True)
class BackendSpec:
    """Properties of a simulated backend server."""

    name: str
    zone: str
    speed: float = 1.0
    kind: BackendKind = BackendKind.ENGINE
    slots: int = 64
    """Maximum streams in a batch, or concurrent calls."""

    @property
    def target(self) -> str:
        """Name of the model or service that it serves."""
        return MODEL if self.kind is BackendKind.ENGINE else DESK


@dataclass(slots=True)
class Run:
    """A request on a backend server."""

    request_id: str
    arrival: Arrival
    produced: int = 0
    """Tokens generated, including those of earlier runs."""
    reported: int = 0
    prefill: int = 0
    """Prompt tokens not yet prefilled."""
    started: bool = False


@dataclass(frozen=True, slots=True)
class Output:
    """Output of a request at one instant."""

    request_id: str
    tokens: int
    finished: bool


class Backend(Protocol):
    """Interface of a backend server to its agent."""

    generated: int
    """Tokens generated over all requests."""
    prefilled: int
    """Prompt tokens prefilled."""
    speed_factor: float
    frozen_until: Instant

    def submit(self, run: Run) -> None:
        """Start a request."""

    def cancel(self, request_id: str) -> int:
        """Stop a request and return its number of generated tokens."""

    def running(self) -> list[Run]:
        """Return the running requests."""


class BackendModel:
    """Common state of the simulated backend servers: event loop, speed and running requests."""

    def __init__(
        self, loop: VirtualLoop, spec: BackendSpec, on_output: Callable[[list[Output]], None]
    ) -> None:
        self.generated = 0
        self.prefilled = 0
        self.speed_factor = 1.0
        self.frozen_until: Instant = 0.0
        self._loop = loop
        self._spec = spec
        self._on_output = on_output
        self._runs_by_id: dict[str, Run] = {}


class EngineModel(BackendModel):
    """An engine with continuous batching: each step generates one token for every stream."""

    def __init__(
        self, loop: VirtualLoop, spec: BackendSpec, on_output: Callable[[list[Output]], None]
    ) -> None:
        super().__init__(loop, spec, on_output)
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._cancelled: OrderedDict[str, int] = OrderedDict()
        self._stepping = False

    def submit(self, run: Run) -> None:
        """Add a request to the batch; its prompt is prefilled first."""
        arrival = run.arrival
        cached = arrival.prefix_tokens if arrival.prefix_hash in self._prefixes else 0
        cached = max(cached, self._cancelled.pop(run.request_id, 0))
        run.prefill = max(1, arrival.prompt_tokens + run.produced - cached)
        run.started = False
        self._runs_by_id[run.request_id] = run
        if not self._stepping:
            self._stepping = True
            self._step()

    def cancel(self, request_id: str) -> int:
        """Stop a stream."""
        run = self._runs_by_id.pop(request_id, None)
        if run is None:
            return 0
        self._cancelled[request_id] = run.arrival.prompt_tokens + run.produced - run.prefill
        if len(self._cancelled) > CACHED_STREAMS:
            self._cancelled.popitem(last=False)
        return run.produced

    def running(self) -> list[Run]:
        """Return the streams of the batch."""
        return list(self._runs_by_id.values())

    def _step(self) -> None:
        if not self._runs_by_id:
            self._stepping = False
            return
        if self._loop.now < self.frozen_until:
            self._loop.after(FROZEN_POLL_INTERVAL, self._step)
            return
        decoding, prefilled = self._form_batch()
        seconds = STEP_BASE + STEP_PER_STREAM * len(decoding) + prefilled / PREFILL_RATE
        self._loop.after(seconds / (self._spec.speed * self.speed_factor), self._end_step, decoding)

    def _form_batch(self) -> tuple[list[Run], int]:
        chunk = PREFILL_CHUNK
        decoding: list[Run] = []
        for run in self._runs_by_id.values():
            if len(decoding) >= self._spec.slots:
                break
            if run.prefill > 0 and chunk > 0:
                done = min(run.prefill, chunk)
                run.prefill -= done
                chunk -= done
            if run.prefill <= 0:
                decoding.append(run)
        prefilled = PREFILL_CHUNK - chunk
        self.prefilled += prefilled
        return decoding, prefilled

    def _end_step(self, decoding: list[Run]) -> None:
        outputs: list[Output] = []
        for run in decoding:
            if self._runs_by_id.get(run.request_id) is not run:
                continue
            run.produced += 1
            self.generated += 1
            finished = run.produced >= run.arrival.output
            if finished:
                del self._runs_by_id[run.request_id]
            unreported = run.produced - run.reported
            if finished or not run.started or unreported >= TOKENS_PER_REPORT:
                self._mark_started(run)
                run.reported = run.produced
                outputs.append(Output(run.request_id, unreported, finished))
        if outputs:
            self._on_output(outputs)
        self._step()

    def _mark_started(self, run: Run) -> None:
        if run.started:
            return
        run.started = True
        if run.arrival.prefix_hash:
            self._prefixes[run.arrival.prefix_hash] = None
            self._prefixes.move_to_end(run.arrival.prefix_hash)
            if len(self._prefixes) > CACHED_PREFIXES:
                self._prefixes.popitem(last=False)


class ServiceModel(BackendModel):
    """A plain service: the duration of a call does not depend on concurrent calls."""

    def submit(self, run: Run) -> None:
        """Start a call."""
        self._runs_by_id[run.request_id] = run
        seconds = run.arrival.output / 1000 / (self._spec.speed * self.speed_factor)
        self._loop.after(seconds, self._end, run)

    def cancel(self, request_id: str) -> int:
        """Do nothing: a service always completes a call that it received."""
        return 0

    def running(self) -> list[Run]:
        """Return the running calls."""
        return list(self._runs_by_id.values())

    def _end(self, run: Run) -> None:
        if self._runs_by_id.pop(run.request_id, None) is not None:
            self._on_output([Output(run.request_id, 0, True)])
