"""Stand-in of the platform's append-only log.

It knows the faults outage, slow, lose_reply, silent, rate and trim.
"""

from __future__ import annotations

import base64
import binascii
from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

import click
import trio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ragwortwing_policy.clock import Instant
from ragwortwing_runtime.system_clock import SystemClock

from .faults import DroppedReply, Fault, FaultKind, Faults, control_app
from .serving import run_standin

if TYPE_CHECKING:
    from starlette.requests import Request

    from ragwortwing_policy.clock import Clock

DEFAULT_APPENDS_PER_SECOND = 300.0
DEFAULT_RETENTION = timedelta(days=1)
BURST_SECONDS = 0.1
"""How much unused rate may be saved up, as seconds of it."""
READ_LIMIT = 1000
"""Most records in one answer."""
WAIT_LIMIT_SECONDS = 30.0
"""Longest time that a read at the end is held."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record of a stream."""

    offset: int
    appended_at: Instant
    payload: bytes


@dataclass(slots=True)
class Stream:
    """The records of one stream that are still kept."""

    first_offset: int = 0
    records: deque[StoredRecord] = field(default_factory=deque)
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def next_offset(self) -> int:
        """Offset that the next append gets."""
        return self.first_offset + len(self.records)

    def trim_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        while self.records and self.first_offset < offset:
            self.records.popleft()
            self.first_offset += 1


class RecordLog:
    """The log's streams, its rate and its retention; it does no input or output."""

    def __init__(
        self,
        clock: Clock,
        appends_per_second: float = DEFAULT_APPENDS_PER_SECOND,
        retention: timedelta = DEFAULT_RETENTION,
    ) -> None:
        self._clock = clock
        self.appends_per_second = appends_per_second
        self._retention = retention
        self._streams_by_name: dict[str, Stream] = {}
        self._allowance = max(1.0, appends_per_second * BURST_SECONDS)
        self._refilled_at = clock.monotonic()

    def stream(self, name: str) -> Stream:
        """Return a stream without the records whose time has run out."""
        stream = self._streams_by_name.setdefault(name, Stream())
        oldest = self._clock.monotonic() - self._retention.total_seconds()
        while stream.records and stream.records[0].appended_at < oldest:
            stream.trim_before(stream.first_offset + 1)
        return stream

    def streams(self) -> dict[str, Stream]:
        """Return every stream by its name."""
        return {name: self.stream(name) for name in self._streams_by_name}

    def admit(self) -> bool:
        """Take one append from the rate; return whether there was one."""
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * self.appends_per_second
        most = max(1.0, self.appends_per_second * BURST_SECONDS)
        self._allowance = min(most, self._allowance + earned)
        self._refilled_at = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def append(self, name: str, payload: bytes) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        offset = stream.next_offset
        stream.records.append(StoredRecord(offset, self._clock.monotonic(), payload))
        stream.changed.set()
        stream.changed = trio.Event()
        return offset


class LogStandIn:
    """The HTTP side of the log."""

    def __init__(self, log: RecordLog) -> None:
        self.log = log
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self._usual_rate = log.appends_per_second
        self.app = Starlette(
            routes=[
                Route("/streams/{name}/records", self.on_append, methods=["POST"]),
                Route("/streams/{name}/records", self.on_read, methods=["GET"]),
            ]
        )
        self.control = control_app(self.faults, self.state, self.on_fault)

    def state(self) -> dict[str, object]:
        """Return the counts and the offsets of every stream."""
        offsets = {
            name: {"first_offset": stream.first_offset, "next_offset": stream.next_offset}
            for name, stream in self.log.streams().items()
        }
        return {"counts": dict(self.counts), "streams": offsets}

    def on_fault(self, fault: Fault) -> None:
        """Let the faults that act at once act."""
        if fault.kind is FaultKind.TRIM:
            self.log.stream(fault.stream).trim_before(fault.offset)

    async def on_append(self, request: Request) -> Response:
        """Append one record."""
        body = await request.json()
        await self.faults.hold()
        if self.faults.active(FaultKind.OUTAGE):
            return self._refuse(503, "outage")
        rate = self.faults.get(FaultKind.RATE)
        self.log.appends_per_second = self._usual_rate if rate is None else rate.per_second
        if not self.log.admit():
            return self._refuse(429, "rate")
        try:
            payload = base64.b64decode(body["payload"], validate=True)
        except (KeyError, TypeError, binascii.Error):
            return self._refuse(400, "payload")
        offset = self.log.append(request.path_params["name"], payload)
        self.counts["appended"] += 1
        if self.faults.take(FaultKind.LOSE_REPLY):
            self.counts["lost_replies"] += 1
            return DroppedReply()
        if self.faults.take(FaultKind.SILENT):
            self.counts["lost_replies"] += 1
            await trio.sleep_forever()
        return JSONResponse({"offset": offset})

    async def on_read(self, request: Request) -> Response:
        """Answer the records from an offset on."""
        await self.faults.hold()
        name = request.path_params["name"]
        offset = int(request.query_params.get("offset", "0"))
        limit = min(READ_LIMIT, int(request.query_params.get("limit", str(READ_LIMIT))))
        wait = min(WAIT_LIMIT_SECONDS, float(request.query_params.get("wait", "0")))
        if self.faults.active(FaultKind.OUTAGE):
            return self._refuse(503, "outage")
        stream = self.log.stream(name)
        if offset >= stream.next_offset and wait > 0:
            with trio.move_on_after(wait):
                await stream.changed.wait()
            # An outage that begins while a read is held ends the read like any other call.
            if self.faults.active(FaultKind.OUTAGE):
                return self._refuse(503, "outage")
            stream = self.log.stream(name)
        if offset < stream.first_offset:
            return JSONResponse({"first_offset": stream.first_offset}, status_code=410)
        self.counts["reads"] += 1
        start = offset - stream.first_offset
        chosen = [stream.records[i] for i in range(start, min(len(stream.records), start + limit))]
        records = [
            {"offset": each.offset, "payload": base64.b64encode(each.payload).decode()}
            for each in chosen
        ]
        answer = {
            "first_offset": stream.first_offset,
            "next_offset": stream.next_offset,
            "records": records,
        }
        return JSONResponse(answer)

    def _refuse(self, status: int, code: str) -> Response:
        self.counts[f"refused_{code}"] += 1
        return JSONResponse({"error": code}, status_code=status)


@click.command("log")
@click.option("--port", default=0, help="Port of the log; 0 lets the kernel choose.")
@click.option("--control-port", default=0, help="Port of the control address.")
@click.option("--appends-per-second", default=DEFAULT_APPENDS_PER_SECOND, show_default=True)
@click.option("--retention-seconds", default=DEFAULT_RETENTION.total_seconds(), show_default=True)
def log_command(
    port: int, control_port: int, appends_per_second: float, retention_seconds: float
) -> None:
    """Run the log's stand-in."""
    log = RecordLog(SystemClock(), appends_per_second, timedelta(seconds=retention_seconds))
    standin = LogStandIn(log)
    trio.run(run_standin, "log", standin.app, standin.control, port, control_port)
