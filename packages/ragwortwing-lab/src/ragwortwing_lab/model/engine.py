"""Model of a backend server: an engine that batches continuously, and a plain service."""

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
"""Seconds of a step with an empty batch, at speed 1."""

STEP_PER_STREAM = 0.001
"""Seconds that each stream adds to a step."""

PREFILL_RATE = 16_000
"""Prompt tokens a second."""

PREFILL_CHUNK = 512
"""Prompt tokens worked off in one step at the most."""

CACHED_PREFIXES = 8
"""Prefixes that an engine's memory holds."""

CACHED_STREAMS = 16
"""Cancelled streams whose KV cache an engine's memory holds; one that is resumed on the same engine
finds its prompt and its text there, as any prompt finds its prefix."""

TOKENS_PER_REPORT = 4
"""Tokens of a stream after its first that the model hands on together, to save events."""

FROZEN_POLL = 0.05
"""Seconds between looks of a frozen engine whether it may go on."""


@dataclass(frozen=True, slots=True)
class BackendSpec:
    """What a backend server of an experiment is."""

    name: str
    zone: str
    speed: float = 1.0
    kind: BackendKind = BackendKind.ENGINE
    slots: int = 64
    """Streams in a batch, or calls at one time."""

    @property
    def target(self) -> str:
        """What it serves."""
        return MODEL if self.kind is BackendKind.ENGINE else DESK


@dataclass(slots=True)
class Run:
    """A request at a backend server."""

    request_id: str
    arrival: Arrival
    produced: int = 0
    """Tokens generated, those of earlier runs among them."""
    reported: int = 0
    prefill: int = 0
    """Prompt tokens still to work off."""
    started: bool = False


@dataclass(frozen=True, slots=True)
class Output:
    """What a request got at one moment."""

    request_id: str
    tokens: int
    finished: bool


class Backend(Protocol):
    """A backend server as its agent uses it."""

    generated: int
    """Tokens of answers, over all requests."""
    prefilled: int
    """Prompt tokens worked off."""
    speed_factor: float
    frozen_until: Instant

    def submit(self, run: Run) -> None:
        """Begin to work on a request."""

    def cancel(self, request_id: str) -> int:
        """Stop a request and return the tokens it has so far."""

    def running(self) -> list[Run]:
        """Return the requests being worked on."""


class BackendModel:
    """What every model of a backend server has: its place in time, its speed and its runs."""

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
    """Continuous batching: each step gives every stream of the batch one token."""

    def __init__(
        self, loop: VirtualLoop, spec: BackendSpec, on_output: Callable[[list[Output]], None]
    ) -> None:
        super().__init__(loop, spec, on_output)
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._cancelled: OrderedDict[str, int] = OrderedDict()
        self._stepping = False

    def submit(self, run: Run) -> None:
        """Add a request to the batch; its prompt is worked off first."""
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
            self._loop.after(FROZEN_POLL, self._step)
            return
        decoding, prefilled = self._compose()
        seconds = STEP_BASE + STEP_PER_STREAM * len(decoding) + prefilled / PREFILL_RATE
        self._loop.after(seconds / (self._spec.speed * self.speed_factor), self._end_step, decoding)

    def _compose(self) -> tuple[list[Run], int]:
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
                self._start(run)
                run.reported = run.produced
                outputs.append(Output(run.request_id, unreported, finished))
        if outputs:
            self._on_output(outputs)
        self._step()

    def _start(self, run: Run) -> None:
        if run.started:
            return
        run.started = True
        if run.arrival.prefix_hash:
            self._prefixes[run.arrival.prefix_hash] = None
            self._prefixes.move_to_end(run.arrival.prefix_hash)
            if len(self._prefixes) > CACHED_PREFIXES:
                self._prefixes.popitem(last=False)


class ServiceModel(BackendModel):
    """A plain service: each call takes its time, whatever runs beside it."""

    def submit(self, run: Run) -> None:
        """Begin a call."""
        self._runs_by_id[run.request_id] = run
        seconds = run.arrival.output / 1000 / (self._spec.speed * self.speed_factor)
        self._loop.after(seconds, self._end, run)

    def cancel(self, request_id: str) -> int:
        """Leave the call alone: what a service was sent, it runs."""
        return 0

    def running(self) -> list[Run]:
        """Return the calls being worked on."""
        return list(self._runs_by_id.values())

    def _end(self, run: Run) -> None:
        if self._runs_by_id.pop(run.request_id, None) is not None:
            self._on_output([Output(run.request_id, 0, True)])
