"""A stand-in of the users' platform API for what one entry reports for all."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
import trio

from .faults import Faults
from .http_server import serve_http

if TYPE_CHECKING:
    from .http_server import Exchange


class CloudMood(StrEnum):
    """How the API treats its callers."""

    WELL = "well"
    SILENT = "silent"
    """Takes calls, which take effect, and never answers."""
    BUSY = "busy"


@dataclass(frozen=True, slots=True)
class UsageCall:
    """One report of usage that was accepted."""

    at: float
    holder: str
    fencing_token: int
    window: int
    counts: dict[str, int]


class PublishedCloud:
    """One API in memory."""

    def __init__(self) -> None:
        self.mood = CloudMood.WELL
        self.usage: list[UsageCall] = []
        self.refused = 0

    async def serve(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve on loopback until cancelled; the `ip:port` is told once it listens."""
        await serve_http(self._handle, Faults(), 0, task_status)

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if self.mood is CloudMood.BUSY:
            self.refused += 1
            await exchange.respond_json(429, {})
            return
        if request.path != "/usage":
            await exchange.respond_json(404, {})
            return
        body = msgspec.json.decode(request.body)
        call = UsageCall(
            trio.current_time(),
            request.headers_by_name["x-duty-holder"],
            int(request.headers_by_name["x-fence-token"]),
            body["window_id"],
            body["counts"],
        )
        self.usage.append(call)
        if self.mood is CloudMood.SILENT:
            await trio.sleep_forever()
        await exchange.respond_json(200, {})
