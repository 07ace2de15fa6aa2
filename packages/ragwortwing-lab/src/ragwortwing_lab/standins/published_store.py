"""A stand-in of the users' metadata store, as their published pages describe it.

Topics with records and offsets, keyed topics with the newest record of each key, and groups. What
an operator or a backend server writes is written through `put` and `drop`. It knows the faults
outage, records_outage, groups_outage, slow, lose_reply, silent, rate and trim.
"""

from __future__ import annotations

import base64
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

import click
import msgspec
import trio

from ragwortwing_runtime.system_clock import SystemClock

from .faults import Fault, FaultKind, Faults, control_app
from .http_server import ConnectionCutError, Exchange, serve_http
from .record_log import DEFAULT_APPENDS_PER_SECOND, DEFAULT_RETENTION, RecordLog, Stream
from .serving import print_ready, start_app, stop_on_signal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

PARTITIONS = 24
KEYED = "keyed."
"""How the names of topics begin that keep the newest record of each key."""
GROUP_CALLS = frozenset({"/log-join", "/log-leave", "/log-owners"})
RAW_TYPE = (b"content-type", b"application/octet-stream")


class StoreMood(StrEnum):
    """How the store treats its callers."""

    WELL = "well"
    SILENT = "silent"
    """Takes calls and never answers; those that wait are not answered either."""
    BUSY = "busy"
    RESET = "reset"


@dataclass(slots=True)
class _Member:
    until: float
    topics: tuple[str, ...]


@dataclass(slots=True)
class _Group:
    generation: int = 0
    members_by_name: dict[str, _Member] = field(default_factory=dict)

    def drop_lapsed(self, now: float) -> None:
        """Forget the members that have been silent for too long."""
        for name, member in list(self.members_by_name.items()):
            if member.until < now:
                del self.members_by_name[name]
                self.generation += 1


class PublishedStore:
    """One store in memory."""

    def __init__(self, log: RecordLog | None = None) -> None:
        self.log = log or RecordLog(SystemClock())
        self.mood = StoreMood.WELL
        self.calls: list[str] = []
        self.counts: Counter[str] = Counter()
        self.faults = Faults()
        self.control = control_app(self.faults, self.state, self.on_fault)
        self._usual_rate = self.log.appends_per_second
        self._newest_by_topic: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._groups_by_name: dict[str, _Group] = {}
        self._handlers_by_path: dict[str, Callable[[Exchange], Awaitable[None]]] = {
            "/log-append": self._on_append,
            "/log-read": self._on_read,
            "/log-newest": self._on_newest,
            "/log-join": self._on_join,
            "/log-leave": self._on_leave,
            "/log-owners": self._on_owners,
        }

    async def serve(
        self, port: int = 0, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on loopback until cancelled; the `ip:port` is told once it listens."""
        # The faults befall single calls, as the handlers say; below HTTP all stays whole.
        await serve_http(self._handle, Faults(), port, task_status)

    def state(self) -> dict[str, object]:
        """Return the counts, the offsets of every stream and the members of every group."""
        offsets = {
            name: {"first_offset": stream.first_offset, "next_offset": stream.next_offset}
            for name, stream in self.log.streams().items()
        }
        members = {name: sorted(self.members(name)) for name in self._groups_by_name}
        return {"counts": dict(self.counts), "streams": offsets, "members": members}

    def on_fault(self, fault: Fault) -> None:
        """Let the faults that act at once act."""
        if fault.kind is FaultKind.TRIM:
            self.log.stream(fault.stream).trim_before(fault.offset)

    # What operators and backend servers do

    def put(self, topic: str, key: str, value: object) -> int:
        """Write the newest record of a key; return its offset."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        offset = self.log.append(topic, _keyed(key, data))
        self._newest_by_topic.setdefault(topic, {})[key] = (data, offset)
        return offset

    def _keep_newest(self, topic: str, record: bytes, offset: int) -> None:
        """Keep a record of a keyed topic as the newest of its key."""
        if topic.startswith(KEYED):
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            self._newest_by_topic.setdefault(topic, {})[key] = (value, offset)

    def drop(self, topic: str, key: str) -> None:
        """Drop a key."""
        self.log.append(topic, _keyed(key, b""))
        self._newest_by_topic.get(topic, {}).pop(key, None)

    def forget_history(self) -> None:
        """Delete every record; the newest of each key is kept."""
        for stream in self.log.streams().values():
            stream.trim_before(stream.next_offset)
            stream.changed.set()
            stream.changed = trio.Event()

    def lapse(self, topic: str, key: str) -> None:
        """Let an entry lapse unheard: no record tells of it."""
        self._newest_by_topic.get(topic, {}).pop(key, None)

    def members(self, group: str) -> frozenset[str]:
        """Return the members of a group."""
        found = self._groups_by_name.get(group)
        return frozenset(found.members_by_name) if found else frozenset()

    # Calls

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        self.calls.append(f"{request.method} {request.path}")
        # An append that was sent takes effect also where its caller has given it up meanwhile.
        with trio.CancelScope(shield=request.path == "/log-append"):
            await self.faults.hold()
        if not await self._is_well(exchange):
            return
        handler = self._handlers_by_path.get(request.path)
        if handler is None:
            await exchange.respond_json(404, {})
        else:
            await handler(exchange)

    async def _is_well(self, exchange: Exchange) -> bool:
        """Return whether a call is to be answered; where it is not, treat it by the mood."""
        if self.mood is StoreMood.SILENT:
            await trio.sleep_forever()
        if self.mood is StoreMood.RESET:
            raise ConnectionCutError
        if self.mood is StoreMood.BUSY or self._is_out(exchange.request.path):
            await self._refuse(exchange, 503, "outage")
            return False
        return True

    def _is_out(self, path: str) -> bool:
        partly = FaultKind.GROUPS_OUTAGE if path in GROUP_CALLS else FaultKind.RECORDS_OUTAGE
        return self.faults.active(FaultKind.OUTAGE) or self.faults.active(partly)

    async def _refuse(self, exchange: Exchange, status: int, code: str) -> None:
        self.counts[f"refused_{code}"] += 1
        await exchange.respond_json(status, {})

    async def _on_append(self, exchange: Exchange) -> None:
        rate = self.faults.get(FaultKind.RATE)
        self.log.appends_per_second = self._usual_rate if rate is None else rate.per_second
        if not self.log.admit():
            await self._refuse(exchange, 429, "rate")
            return
        stream = self._stream(exchange)
        offset = stream.next_offset
        expected = exchange.request.query.get("at")
        if expected is not None and int(expected[0]) != offset:
            await exchange.respond_json(412, {"end": offset})
            return
        name = _stream_name(exchange)
        for record in _framed_records(exchange.request.body):
            at = self.log.append(name, record)
            self._keep_newest(name, record, at)
            self.counts["appended"] += 1
        if self.faults.take(FaultKind.LOSE_REPLY):
            self.counts["lost_replies"] += 1
            raise ConnectionCutError
        if self.faults.take(FaultKind.SILENT):
            self.counts["lost_replies"] += 1
            await trio.sleep_forever()
        await exchange.respond_json(200, {"offset": offset, "end": stream.next_offset})

    async def _on_read(self, exchange: Exchange) -> None:
        query = exchange.request.query
        offset = int(query["from"][0])
        with trio.move_on_after(int(query.get("wait_ms", ["0"])[0]) / 1000):
            while (kept := self._stream(exchange)).first_offset <= offset >= kept.next_offset:
                await kept.changed.wait()
        if not await self._is_well(exchange):
            return
        kept = self._stream(exchange)
        if offset < kept.first_offset:
            await exchange.respond_json(410, {"first": kept.first_offset})
            return
        self.counts["reads"] += 1
        head = kept.next_offset.to_bytes(8, "big") + kept.first_offset.to_bytes(8, "big")
        start = offset - kept.first_offset
        payloads = [kept.records[index].payload for index in range(start, len(kept.records))]
        body = b"".join(len(each).to_bytes(4, "big") + each for each in payloads)
        await exchange.respond(200, head + body, (RAW_TYPE,))

    async def _on_newest(self, exchange: Exchange) -> None:
        query = exchange.request.query
        newest = self._newest_by_topic.get(query["topic"][0], {})
        after = query.get("after", [""])[0]
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if key > after
        ]
        end = self._stream(exchange).next_offset
        await exchange.respond_json(200, {"entries": entries, "has_more": False, "end": end})

    async def _on_join(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body)
        group = self._group(body["group"])
        until = trio.current_time() + body["ttl_ms"] / 1000
        joined = _Member(until, tuple(body["topics"]))
        former = group.members_by_name.get(body["member"])
        if former is None or former.topics != joined.topics:
            group.generation += 1
        group.members_by_name[body["member"]] = joined
        rows = [
            [topic, part, offset]
            for topic, part, name, offset in _owner_rows(group)
            if name == body["member"]
        ]
        await exchange.respond_json(200, {"generation": group.generation, "parts": rows})

    async def _on_leave(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body)
        group = self._group(body["group"])
        if group.members_by_name.pop(body["member"], None) is not None:
            group.generation += 1
        await exchange.respond_json(200, {})

    async def _on_owners(self, exchange: Exchange) -> None:
        group = self._group(exchange.request.query["group"][0])
        await exchange.respond_json(200, {"parts": list(_owner_rows(group))})

    def _group(self, name: str) -> _Group:
        group = self._groups_by_name.setdefault(name, _Group())
        group.drop_lapsed(trio.current_time())
        return group

    def _stream(self, exchange: Exchange) -> Stream:
        return self.log.stream(_stream_name(exchange))


def _stream_name(exchange: Exchange) -> str:
    """Return the name of a partition's stream: the topic's own for the first."""
    query = exchange.request.query
    topic, part = query["topic"][0], query["part"][0]
    return topic if part == "0" else f"{topic}/{part}"


def _framed_records(body: bytes) -> Iterator[bytes]:
    while body:
        size = int.from_bytes(body[:4], "big")
        yield body[4 : 4 + size]
        body = body[4 + size :]


def _keyed(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


def _owner_rows(group: _Group) -> Iterator[tuple[str, int, str, int]]:
    """Yield who holds which partition: of each topic, those who asked for it in turn.

    Nobody holds a second partition while another member has none, so members that ask for a topic
    more than others are seen by it.
    """
    topics = sorted({topic for each in group.members_by_name.values() for topic in each.topics})
    seen: set[str] = set()
    for topic in topics:
        asking = sorted(n for n, each in group.members_by_name.items() if topic in each.topics)
        ordered = [name for name in asking if name not in seen] + [n for n in asking if n in seen]
        for part in range(PARTITIONS):
            name = ordered[part % len(ordered)]
            seen.add(name)
            yield topic, part, name, 0


async def _run(store: PublishedStore, port: int, control_port: int) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, nursery.cancel_scope.cancel)
        http = await nursery.start(store.serve, port)
        control = await start_app(nursery, store.control, control_port)
        print_ready("store", {"http": http, "control": control})


@click.command("store")
@click.option("--port", default=0, help="Port of the store; 0 lets the kernel choose.")
@click.option("--control-port", default=0, help="Port of the control address.")
@click.option("--appends-per-second", default=DEFAULT_APPENDS_PER_SECOND, show_default=True)
@click.option("--retention-seconds", default=DEFAULT_RETENTION.total_seconds(), show_default=True)
def store_command(
    port: int, control_port: int, appends_per_second: float, retention_seconds: float
) -> None:
    """Run the store's stand-in."""
    retention = timedelta(seconds=retention_seconds)
    log = RecordLog(SystemClock(), appends_per_second, retention)
    trio.run(_run, PublishedStore(log), port, control_port)
