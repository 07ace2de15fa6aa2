"""A stand-in of the users' metadata store, as their published pages describe it.

Topics with records and offsets, keyed topics with the newest record of each key, and groups. What
an operator or a backend server writes is written through `put` and `drop`.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
import trio

from .faults import Faults
from .http_server import ConnectionCutError, Exchange, serve_http

if TYPE_CHECKING:
    from collections.abc import Iterator

PARTITIONS = 24
RAW_TYPE = (b"content-type", b"application/octet-stream")


class StoreMood(StrEnum):
    """How the store treats its callers."""

    WELL = "well"
    SILENT = "silent"
    """Takes calls and never answers; those that wait are not answered either."""
    BUSY = "busy"
    RESET = "reset"


@dataclass(slots=True)
class _Partition:
    records: list[bytes] = field(default_factory=list)
    first: int = 0
    """Offset of the oldest record that is kept."""
    grown: trio.Event = field(default_factory=trio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, record: bytes) -> None:
        self.records.append(record)
        self.grown.set()
        self.grown = trio.Event()


@dataclass(slots=True)
class _Group:
    generation: int = 0
    topics: list[str] = field(default_factory=list)
    seen_by_member: dict[str, float] = field(default_factory=dict)


class PublishedStore:
    """One store in memory."""

    def __init__(self) -> None:
        self.mood = StoreMood.WELL
        self.calls: list[str] = []
        self.faults = Faults()
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._newest_by_topic: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._groups_by_name: dict[str, _Group] = {}

    async def serve(
        self, port: int = 0, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on loopback until cancelled; the `ip:port` is told once it listens."""
        await serve_http(self._handle, self.faults, port, task_status)

    # What operators and backend servers do

    def put(self, topic: str, key: str, value: object) -> int:
        """Write the newest record of a key; return its offset."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        offset = self._append(topic, _keyed(key, data))
        self._newest_by_topic.setdefault(topic, {})[key] = (data, offset)
        return offset

    def drop(self, topic: str, key: str) -> None:
        """Drop a key."""
        self._append(topic, _keyed(key, b""))
        self._newest_by_topic.get(topic, {}).pop(key, None)

    def forget_history(self) -> None:
        """Delete every record; the newest of each key is kept."""
        for partition in self._partitions.values():
            partition.first = partition.end
            partition.records.clear()
            partition.grown.set()
            partition.grown = trio.Event()

    def lapse(self, topic: str, key: str) -> None:
        """Let an entry lapse unheard: no record tells of it."""
        self._newest_by_topic.get(topic, {}).pop(key, None)

    def members(self, group: str) -> frozenset[str]:
        """Return the members of a group."""
        found = self._groups_by_name.get(group)
        return frozenset(found.seen_by_member) if found else frozenset()

    # Calls

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        self.calls.append(f"{request.method} {request.path}")
        if not await self._is_well(exchange):
            return
        if request.path == "/log-read":
            await self._read(exchange)
        elif request.path == "/log-newest":
            await self._newest(exchange)
        elif request.path == "/log-join":
            await self._join(exchange)
        elif request.path == "/log-leave":
            await self._leave(exchange)
        elif request.path == "/log-owners":
            await self._owners(exchange)
        else:
            await exchange.respond_json(404, {})

    async def _is_well(self, exchange: Exchange) -> bool:
        """Return whether a call is to be answered; where it is not, treat it by the mood."""
        if self.mood is StoreMood.SILENT:
            await trio.sleep_forever()
        if self.mood is StoreMood.RESET:
            raise ConnectionCutError
        if self.mood is StoreMood.BUSY:
            await exchange.respond_json(503, {})
            return False
        return True

    async def _read(self, exchange: Exchange) -> None:
        query = exchange.request.query
        partition = self._partition(query["topic"][0], int(query["part"][0]))
        offset = int(query["from"][0])
        with trio.move_on_after(int(query.get("wait_ms", ["0"])[0]) / 1000):
            while partition.first <= offset >= partition.end:
                await partition.grown.wait()
        if not await self._is_well(exchange):
            return
        if offset < partition.first:
            await exchange.respond_json(410, {"first": partition.first})
            return
        head = partition.end.to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        records = partition.records[offset - partition.first :]
        body = b"".join(len(each).to_bytes(4, "big") + each for each in records)
        await exchange.respond(200, head + body, (RAW_TYPE,))

    async def _newest(self, exchange: Exchange) -> None:
        query = exchange.request.query
        topic = query["topic"][0]
        newest = self._newest_by_topic.get(topic, {})
        after = query.get("after", [""])[0]
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if key > after
        ]
        end = self._partition(topic, 0).end
        await exchange.respond_json(200, {"entries": entries, "has_more": False, "end": end})

    async def _join(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body)
        group = self._groups_by_name.setdefault(body["group"], _Group())
        group.topics = body["topics"]
        now = trio.current_time()
        known = set(group.seen_by_member)
        group.seen_by_member[body["member"]] = now + body["ttl_ms"] / 1000
        for member, until in list(group.seen_by_member.items()):
            if until < now:
                del group.seen_by_member[member]
        if known != set(group.seen_by_member):
            group.generation += 1
        parts = [row for row in _owner_rows(group) if row[2] == body["member"]]
        rows = [[topic, part, offset] for topic, part, _, offset in parts]
        await exchange.respond_json(200, {"generation": group.generation, "parts": rows})

    async def _leave(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body)
        group = self._groups_by_name.get(body["group"])
        if group is not None and group.seen_by_member.pop(body["member"], None) is not None:
            group.generation += 1
        await exchange.respond_json(200, {})

    async def _owners(self, exchange: Exchange) -> None:
        group = self._groups_by_name.get(exchange.request.query["group"][0], _Group())
        await exchange.respond_json(200, {"parts": list(_owner_rows(group))})

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def _append(self, topic: str, record: bytes) -> int:
        partition = self._partition(topic, 0)
        partition.append(record)
        return partition.end - 1


def _keyed(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


def _owner_rows(group: _Group) -> Iterator[list[str | int]]:
    members = sorted(group.seen_by_member)
    for topic in group.topics:
        for part in range(PARTITIONS):
            if members:
                yield [topic, part, members[part % len(members)], 0]
