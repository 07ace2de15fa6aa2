"""Stand-in for the platform API that receives usage reports.

One entry at a time reports the usage of all entries.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
import trio

from .faults import Faults
from .http_server import serve_http

if TYPE_CHECKING:
    from .http_server import Exchange, ResponseCut


class CloudMood(StrEnum):
    """How the API answers calls."""

    WELL = "well"
    SILENT = "silent"
    """Calls take effect but are never answered."""
    BUSY = "busy"
    """Calls are answered with 429."""


@dataclass(frozen=True, slots=True)
class UsageCall:
    """One accepted usage report."""

    at: float
    holder: str
    fencing_token: int
    window: int
    counts: dict[str, int]


class PublishedCloud:
    """The in-memory API; records the accepted usage reports."""

    def __init__(self) -> None:
        self.mood = CloudMood.WELL
        self.usage: list[UsageCall] = []
        self.refused = 0
        self.cut: ResponseCut | None = None
        """Where the connection ends within an answer; None sends answers as they are."""

    async def serve(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve on loopback until cancelled; reports its `ip:port` through `task_status`."""
        await serve_http(self._handle, Faults(), 0, task_status)

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        exchange.cut = self.cut
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
