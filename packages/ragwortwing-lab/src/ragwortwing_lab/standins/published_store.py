"""Stand-in for the metadata store, following its published protocol.

The store has topics with records and offsets, keyed topics with the newest record of each key, and
groups of members. Tests call `put` and `drop` to write what an operator or a backend server would
write. Supported faults: `outage`, `records_outage`, `groups_outage`, `slow`, `lose_reply`,
`silent`, `rate` and `trim`.
"""

from __future__ import annotations

import base64
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, Any

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

    from .http_server import ResponseCut

PARTITIONS = 24
KEYED_TOPIC_PREFIX = "keyed."
"""Prefix of the names of topics that retain the newest record of each key."""
GROUP_CALLS = frozenset({"/log-join", "/log-leave", "/log-owners"})
RAW_TYPE = (b"content-type", b"application/octet-stream")


class StoreMood(StrEnum):
    """How the store answers calls."""

    WELL = "well"
    SILENT = "silent"
    """Accepts calls and never answers, including reads that already wait for a record."""
    BUSY = "busy"
    """Answers every call with 503."""
    RESET = "reset"
    """Closes the connection of every call without an answer."""


@dataclass(slots=True)
class _Member:
    expires_at: float
    topics: tuple[str, ...]


@dataclass(slots=True)
class _Group:
    generation: int = 0
    members_by_name: dict[str, _Member] = field(default_factory=dict)

    def drop_expired(self, now: float) -> None:
        """Remove the members whose time to live has expired."""
        for name, member in list(self.members_by_name.items()):
            if member.expires_at < now:
                del self.members_by_name[name]
                self.generation += 1


class PublishedStore:
    """The in-memory store."""

    def __init__(self, log: RecordLog | None = None) -> None:
        self.log = log or RecordLog(SystemClock())
        self.mood = StoreMood.WELL
        self.calls: list[str] = []
        self.cuts_by_path: dict[str, ResponseCut] = {}
        """Where the connection ends within an answer, by the path of the call."""
        self.counts: Counter[str] = Counter()
        self.faults = Faults()
        self.control = control_app(self.faults, self.state, self.on_fault)
        self.changes_by_path: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {}
        """Functions that change the fields of successful answers, as a faulty store does."""
        self._default_rate = self.log.appends_per_second
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
        """Serve on loopback until cancelled; reports its `ip:port` through `task_status`."""
        # The handlers apply the faults to single calls. The server gets an empty `Faults`, so that
        # its connections are not affected.
        await serve_http(self._handle, Faults(), port, task_status)

    def state(self) -> dict[str, object]:
        """Return the counters, the offsets of all streams and the members of all groups."""
        offsets = {
            name: {"first_offset": stream.first_offset, "next_offset": stream.next_offset}
            for name, stream in self.log.streams().items()
        }
        members = {name: sorted(self.members(name)) for name in self._groups_by_name}
        return {"counts": dict(self.counts), "streams": offsets, "members": members}

    def on_fault(self, fault: Fault) -> None:
        """Delete records at once if the new fault is a trim."""
        if fault.kind is FaultKind.TRIM:
            self.log.stream(fault.stream).trim_before(fault.offset)

    # Direct writes in place of operators and backend servers

    def put(self, topic: str, key: str, value: object) -> int:
        """Write a new record for a key; return its offset."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        offset = self.log.append(topic, _encode_keyed_record(key, data))
        self._newest_by_topic.setdefault(topic, {})[key] = (data, offset)
        return offset

    def _store_newest(self, topic: str, record: bytes, offset: int) -> None:
        """Store a record of a keyed topic as the newest of its key."""
        if topic.startswith(KEYED_TOPIC_PREFIX):
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            self._newest_by_topic.setdefault(topic, {})[key] = (value, offset)

    def drop(self, topic: str, key: str) -> None:
        """Delete a key and append a record of the deletion."""
        self.log.append(topic, _encode_keyed_record(key, b""))
        self._newest_by_topic.get(topic, {}).pop(key, None)

    def forget_history(self) -> None:
        """Delete the records of all streams; the newest record of each key can still be listed."""
        for stream in self.log.streams().values():
            stream.trim_before(stream.next_offset)
            stream.changed.set()
            stream.changed = trio.Event()

    def expire_without_record(self, topic: str, key: str) -> None:
        """Delete a key without a record of the deletion, as when an entry expires unnoticed."""
        self._newest_by_topic.get(topic, {}).pop(key, None)

    def members(self, group: str) -> frozenset[str]:
        """Return the members of a group."""
        found = self._groups_by_name.get(group)
        return frozenset(found.members_by_name) if found else frozenset()

    # Request handlers

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        self.calls.append(f"{request.method} {request.path}")
        # An append takes effect even if its caller disconnects during the delay.
        with trio.CancelScope(shield=request.path == "/log-append"):
            await self.faults.hold()
        if not await self._apply_faults(exchange):
            return
        handler = self._handlers_by_path.get(request.path)
        if handler is None:
            await exchange.respond_json(404, {})
        else:
            await handler(exchange)

    async def _apply_faults(self, exchange: Exchange) -> bool:
        """Return whether to process a call; otherwise apply the mood or the outage."""
        exchange.cut = self.cuts_by_path.get(exchange.request.path)
        if self.mood is StoreMood.SILENT:
            await trio.sleep_forever()
        if self.mood is StoreMood.RESET:
            raise ConnectionCutError
        if self.mood is StoreMood.BUSY or self._has_outage(exchange.request.path):
            await self._refuse(exchange, 503, "outage")
            return False
        return True

    def _has_outage(self, path: str) -> bool:
        partial_outage = (
            FaultKind.GROUPS_OUTAGE if path in GROUP_CALLS else FaultKind.RECORDS_OUTAGE
        )
        return self.faults.active(FaultKind.OUTAGE) or self.faults.active(partial_outage)

    async def _refuse(self, exchange: Exchange, status: int, code: str) -> None:
        self.counts[f"refused_{code}"] += 1
        await exchange.respond_json(status, {})

    async def _on_append(self, exchange: Exchange) -> None:
        rate = self.faults.get(FaultKind.RATE)
        self.log.appends_per_second = self._default_rate if rate is None else rate.per_second
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
        for record in _split_framed_records(exchange.request.body):
            at = self.log.append(name, record)
            self._store_newest(name, record, at)
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
            while (stored := self._stream(exchange)).first_offset <= offset >= stored.next_offset:
                await stored.changed.wait()
        if not await self._apply_faults(exchange):
            return
        stored = self._stream(exchange)
        if offset < stored.first_offset:
            await exchange.respond_json(410, {"first": stored.first_offset})
            return
        self.counts["reads"] += 1
        fields = {"end": stored.next_offset, "first": stored.first_offset}
        fields = self._changed(exchange, fields)
        head = fields["end"].to_bytes(8, "big") + fields["first"].to_bytes(8, "big")
        start = offset - stored.first_offset
        payloads = [stored.records[index].payload for index in range(start, len(stored.records))]
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
        fields = {"entries": entries, "has_more": False, "end": end}
        await exchange.respond_json(200, self._changed(exchange, fields))

    async def _on_join(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body)
        group = self._group(body["group"])
        expires_at = trio.current_time() + body["ttl_ms"] / 1000
        joined = _Member(expires_at, tuple(body["topics"]))
        previous = group.members_by_name.get(body["member"])
        if previous is None or previous.topics != joined.topics:
            group.generation += 1
        group.members_by_name[body["member"]] = joined
        rows = [
            [topic, part, offset]
            for topic, part, name, offset in _owner_rows(group)
            if name == body["member"]
        ]
        fields = {"generation": group.generation, "parts": rows}
        await exchange.respond_json(200, self._changed(exchange, fields))

    async def _on_leave(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body)
        group = self._group(body["group"])
        if group.members_by_name.pop(body["member"], None) is not None:
            group.generation += 1
        await exchange.respond_json(200, {})

    async def _on_owners(self, exchange: Exchange) -> None:
        group = self._group(exchange.request.query["group"][0])
        fields = {"parts": list(_owner_rows(group))}
        await exchange.respond_json(200, self._changed(exchange, fields))

    def _changed(self, exchange: Exchange, fields: dict[str, Any]) -> dict[str, Any]:
        """Return the fields of an answer as the store sends them."""
        change = self.changes_by_path.get(exchange.request.path)
        return fields if change is None else change(fields)

    def _group(self, name: str) -> _Group:
        group = self._groups_by_name.setdefault(name, _Group())
        group.drop_expired(trio.current_time())
        return group

    def _stream(self, exchange: Exchange) -> Stream:
        return self.log.stream(_stream_name(exchange))


def _stream_name(exchange: Exchange) -> str:
    """Return the stream name of a partition; partition 0 uses the name of the topic itself."""
    query = exchange.request.query
    topic, part = query["topic"][0], query["part"][0]
    return topic if part == "0" else f"{topic}/{part}"


def _split_framed_records(body: bytes) -> Iterator[bytes]:
    while body:
        size = int.from_bytes(body[:4], "big")
        yield body[4 : 4 + size]
        body = body[4 + size :]


def _encode_keyed_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


def _owner_rows(group: _Group) -> Iterator[tuple[str, int, str, int]]:
    """Yield topic, partition, owner and offset for every partition.

    The partitions of a topic are assigned in turn to the members that subscribe to it. Members that
    own no partition yet come first: no member gets a second partition while another subscriber has
    none. If a topic has more subscribers than partitions, the members that are left out become
    visible as owners once they subscribe to a further topic.
    """
    topics = sorted({topic for each in group.members_by_name.values() for topic in each.topics})
    owners: set[str] = set()
    for topic in topics:
        subscribers = sorted(n for n, each in group.members_by_name.items() if topic in each.topics)
        ordered = [name for name in subscribers if name not in owners] + [
            n for n in subscribers if n in owners
        ]
        for part in range(PARTITIONS):
            name = ordered[part % len(ordered)]
            owners.add(name)
            yield topic, part, name, 0


async def _run(store: PublishedStore, port: int, control_port: int) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, nursery.cancel_scope.cancel)
        http = await nursery.start(store.serve, port)
        control = await start_app(nursery, store.control, control_port)
        print_ready("store", {"http": http, "control": control})


@click.command("store")
@click.option("--port", default=0, help="Port of the store; 0 selects a free port.")
@click.option("--control-port", default=0, help="Port of the control address.")
@click.option("--appends-per-second", default=DEFAULT_APPENDS_PER_SECOND, show_default=True)
@click.option("--retention-seconds", default=DEFAULT_RETENTION.total_seconds(), show_default=True)
def store_command(
    port: int, control_port: int, appends_per_second: float, retention_seconds: float
) -> None:
    """Run the stand-in for the store."""
    retention = timedelta(seconds=retention_seconds)
    log = RecordLog(SystemClock(), appends_per_second, retention)
    trio.run(_run, PublishedStore(log), port, control_port)
