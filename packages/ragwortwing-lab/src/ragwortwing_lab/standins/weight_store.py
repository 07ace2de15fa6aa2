"""Stand-in of the platform's weight store.

The bytes of a weight are made from its name. It knows the faults outage, slow and rate.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from typing import TYPE_CHECKING

import click
import trio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ragwortwing_runtime.system_clock import SystemClock

from .faults import FaultKind, Faults, control_app
from .serving import run_standin

if TYPE_CHECKING:
    from starlette.requests import Request

    from ragwortwing_policy.clock import Clock

DEFAULT_READS_PER_SECOND = 2.0
DEFAULT_SIZE_BYTES = 65_536


def weight_bytes(model: str, version: str, size: int) -> bytes:
    """Return the bytes of a weight, the same on every call."""
    digest = hashlib.sha256(f"{model}/{version}".encode()).digest()
    return (digest * (size // len(digest) + 1))[:size]


class WeightStoreStandIn:
    """The store's HTTP side."""

    def __init__(
        self,
        clock: Clock,
        reads_per_second: float = DEFAULT_READS_PER_SECOND,
        size_bytes: int = DEFAULT_SIZE_BYTES,
    ) -> None:
        self._clock = clock
        self._reads_per_second = reads_per_second
        self._size_bytes = size_bytes
        self._free_at = clock.monotonic()
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.app = Starlette(routes=[Route("/weights/{model}/{version}", self.on_read)])
        self.control = control_app(self.faults, lambda: {"counts": dict(self.counts)})

    async def on_read(self, request: Request) -> Response:
        """Answer a weight's bytes, if the rate has room."""
        await self.faults.hold()
        if self.faults.active(FaultKind.OUTAGE):
            self.counts["refused_outage"] += 1
            return JSONResponse({"error": "outage"}, status_code=503)
        rate = self.faults.get(FaultKind.RATE)
        per_second = self._reads_per_second if rate is None else rate.per_second
        now = self._clock.monotonic()
        if now < self._free_at:
            self.counts["refused_rate"] += 1
            seconds = math.ceil(self._free_at - now)
            headers = {"Retry-After": str(seconds)}
            return JSONResponse({"error": "rate"}, status_code=429, headers=headers)
        self._free_at = now + 1.0 / per_second
        self.counts["reads"] += 1
        params = request.path_params
        return Response(weight_bytes(params["model"], params["version"], self._size_bytes))


@click.command("weights")
@click.option("--port", default=0, help="Port of the store; 0 lets the kernel choose.")
@click.option("--control-port", default=0, help="Port of the control address.")
@click.option("--reads-per-second", default=DEFAULT_READS_PER_SECOND, show_default=True)
@click.option("--size-bytes", default=DEFAULT_SIZE_BYTES, show_default=True)
def weights_command(port: int, control_port: int, reads_per_second: float, size_bytes: int) -> None:
    """Run the weight store's stand-in."""
    standin = WeightStoreStandIn(SystemClock(), reads_per_second, size_bytes)
    trio.run(run_standin, "weights", standin.app, standin.control, port, control_port)
