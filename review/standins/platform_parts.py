"""Stand-ins for the platform of the users' pages, with nothing but Python's standard library.

One process holds the metadata store, the runners and the clients; the entries are processes of
their own, started with the command of deploy/system.toml. Everything listens on loopback.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
POOL, DESK = "huvo11a", "wuno96b"
PARTS = 24

BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "strict_revoke": False, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10,
    "budget_extra": 52, "recover_s": 12, "pass_ms": 120, "again_s": 9,
}  # fmt: skip
"""The bounds of the first deployment, lali-cakes."""

HEARTBEAT = 1.2


class CannotRun(Exception):
    """The case could not be run: exit code 2."""


class Journal:
    """Writes what was sent, answered and run to record.txt, one JSON object a line."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._t0 = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._t0

    def __call__(self, what: str, **fields: object) -> None:
        line = {"t": round(self.now(), 4), "what": what} | fields
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


# HTTP/1.1, as far as it is needed


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_bytes(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    return head_bytes(status, headers | {"Content-Length": str(len(body))}) + body


# The store


class Store:
    """Logs, keyed topics and groups, as PROTOCOL.md says."""

    def __init__(self) -> None:
        self.records: dict[str, list[bytes]] = {}
        self.newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self.groups: dict[str, dict] = {}
        self._changed = asyncio.Condition()
        self.resetting: set[int] = set()
        """Ports at which the store resets every connection and call: a path to it that is cut."""
        self._writers: dict[int, set[asyncio.StreamWriter]] = {}
        self._servers: list[asyncio.Server] = []

    async def listen(self) -> str:
        """Open one more address, for one machine."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def cut(self, address: str) -> None:
        """Cut the path of one machine to the store, with resets."""
        port = int(address.rpartition(":")[2])
        self.resetting.add(port)
        for writer in list(self._writers.get(port, ())):
            reset(writer)

    def heal(self, address: str) -> None:
        self.resetting.discard(int(address.rpartition(":")[2]))

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append the record of a key; an empty value drops the key."""
        raw = bytes([len(key.encode())]) + key.encode() + value
        return await self._append(topic, [raw])

    async def _append(self, topic: str, records: list[bytes]) -> int:
        log = self.records.setdefault(topic, [])
        first = len(log)
        for raw in records:
            if topic.startswith("keyed."):
                key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
                if value:
                    self.newest.setdefault(topic, {})[key] = (value, len(log))
                else:
                    self.newest.get(topic, {}).pop(key, None)
            log.append(raw)
        async with self._changed:
            self._changed.notify_all()
        return first

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = writer.get_extra_info("sockname")[1]
        self._writers.setdefault(port, set()).add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if port in self.resetting:
                    reset(writer)
                    return
                method, target, _ = head[0].split(" ")
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                await asyncio.sleep(0.004)
                answer = await self._answer(method, url.path, query, body)
                if port in self.resetting:
                    reset(writer)
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers[port].discard(writer)
            writer.close()

    async def _answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> bytes:
        topic = query.get("topic", "")
        if query.get("part", "0") != "0":
            topic += "/" + query["part"]
        if path == "/log-append":
            end = len(self.records.get(topic, ()))
            if "at" in query and int(query["at"]) != end:
                return json_answer(412, {"end": end})
            if topic in ("keyed.op", "keyed.servers"):
                return json_answer(403, {})
            records = []
            while body:
                size = int.from_bytes(body[:4], "big")
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            first = await self._append(topic, records)
            return json_answer(200, {"offset": first, "end": len(self.records[topic])})
        if path == "/log-read":
            return await self._read(topic, query)
        if path == "/log-newest":
            found = sorted(self.newest.get(topic, {}).items())
            after = query.get("after")
            found = [each for each in found if after is None or each[0] > after]
            entries = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in found[:500]
            ]
            end = len(self.records.get(topic, ()))
            return json_answer(200, {"entries": entries, "has_more": len(found) > 500, "end": end})
        if path in ("/log-join", "/log-leave", "/log-owners"):
            return self._group_call(path, query, body)
        return json_answer(404, {})

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(self.records.get(topic, ())) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
        log = self.records.get(topic, [])
        data = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
        data += b"".join(len(raw).to_bytes(4, "big") + raw for raw in log[start:])
        return answer_bytes(200, {"Content-Type": "application/octet-stream"}, data)

    def _group_call(self, path: str, query: dict[str, str], body: bytes) -> bytes:
        call = json.loads(body) if body else query
        group = self.groups.setdefault(call["group"], {"generation": 0, "members": {}})
        members, now = group["members"], time.monotonic()
        for name in [name for name, (until, _) in members.items() if until < now]:
            del members[name]
            group["generation"] += 1
        if path == "/log-join":
            known = members.get(call["member"])
            topics = tuple(call["topics"])
            if known is None or known[1] != topics:
                group["generation"] += 1
            members[call["member"]] = (now + call["ttl_ms"] / 1000, topics)
            rows = [[t, p, 0] for t, p, name in owners(members) if name == call["member"]]
            return json_answer(
                200, {"generation": group["generation"], "ttl_ms": call["ttl_ms"], "parts": rows}
            )
        if path == "/log-leave":
            if members.pop(call["member"], None) is not None:
                group["generation"] += 1
            return json_answer(200, {})
        return json_answer(200, {"parts": [[t, p, name, 0] for t, p, name in owners(members)]})


def owners(members: dict) -> list[tuple[str, int, str]]:
    rows = []
    for topic in sorted({each for _, topics in members.values() for each in topics}):
        subscribers = sorted(name for name, (_, topics) in members.items() if topic in topics)
        rows += [(topic, part, subscribers[part % len(subscribers)]) for part in range(PARTS)]
    return rows


def json_answer(status: int, value: object) -> bytes:
    data = json.dumps(value).encode()
    return answer_bytes(status, {"Content-Type": "application/json"}, data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
            )
        except OSError:
            pass
    writer.transport.abort()


# Runners


@dataclass
class Runner:
    """A sound runner: runs what it accepts, sheds what is too much, echoes ids in all answers."""

    id: str
    service: str
    journal: Journal
    slots: int = 6
    queue: int = 0
    work: float = 0.09
    events: int = 0
    event_gap: float = 0.1
    version: str = "v1"
    zone: str = "suva"
    heartbeat_key_changes: bool = True
    latency: float = 0.0018
    """Seconds of a round trip between two zones, 0.9 ms one way."""
    late_extra: float = 0.0
    """Share of the answers of which a second copy follows late (a faulty runner)."""
    address: str = ""
    running: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    seq_no: int = 0
    state: str = "ready"
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    runs: list[tuple[float, str]] = field(default_factory=list)
    extras: int = 0
    server: asyncio.Server | None = None
    _writers: set = field(default_factory=set)
    _free: asyncio.Condition | None = None
    _waiting: int = 0
    _random: random.Random = field(default_factory=lambda: random.Random(1))

    async def start(self, store: Store) -> None:
        self._free = asyncio.Condition()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.announce(store)
        self._beats = asyncio.create_task(self._beat(store))

    async def announce(self, store: Store) -> None:
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold_ms": 0, "seq_no": self.seq_no, "born": self.born,
        }  # fmt: skip
        await store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _beat(self, store: Store) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT)
            self.seq_no += 1
            await self.announce(store)

    def stop_beats(self) -> None:
        self._beats.cancel()

    async def stop(self) -> None:
        """End the process: all connections close."""
        self.stop_beats()
        if self.server is not None:
            self.server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        extra = b""
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                if extra:
                    # The second copy of the answer before comes where this one is expected.
                    writer.write(extra)
                    self.extras += 1
                extra = await self._handle(first, headers, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, first: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bytes:
        request_id = headers.get("x-request-id", "")
        self.arrivals.append((self.journal.now(), request_id, headers.get("x-tenant", "")))
        echo = {"X-Request-Id": request_id, "Keep-Alive": "timeout=5"}
        await asyncio.sleep(self.latency)
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, {"X-Instance-Id": self.id} | echo))
            return b""
        if self.running >= self.slots + self.queue:
            shed = answer_bytes(503, {"X-Not-Executed": "1"} | echo)
            self.journal("shed", runner=self.id, id=request_id)
            writer.write(shed)
            return self._maybe_extra(shed, request_id)
        self.running += 1
        self.runs.append((self.journal.now(), request_id))
        self.journal("run", runner=self.id, id=request_id)
        watcher = None
        try:
            stamp = {"X-Server-Stamp": f"3e1b.07.{self.id}"}
            if self.events:
                after = headers.get("last-event-id")
                await self._stream(writer, echo | stamp, int(after) + 1 if after else 0)
                return b""
            await asyncio.sleep(self.work)
            answer = answer_bytes(200, echo | stamp, f"{request_id} by {self.id}".encode())
            writer.write(answer)
            await writer.drain()
            self.journal("ran", runner=self.id, id=request_id)
            return self._maybe_extra(answer, request_id)
        finally:
            self.running -= 1
            if watcher is not None:
                watcher.cancel()

    def _maybe_extra(self, answer: bytes, request_id: str) -> bytes:
        if self.late_extra and self._random.random() < self.late_extra:
            self.journal("second_copy_due", runner=self.id, id=request_id)
            return answer
        return b""

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], first: int
    ) -> None:
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        await asyncio.sleep(0.03)
        writer.write(head_bytes(200, headers | kind))
        for number in range(first, self.events):
            event = b"id: %d\ndata: %s-%d\n\n" % (number, self.version.encode(), number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(self.event_gap)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# Entries


def free_prefix() -> str:
    """Return a /24 of loopback addresses of which the first ones are free for this case."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{prefix}.2", 0))
            except OSError:
                continue
            return prefix
    raise CannotRun("no loopback addresses")


class Entry:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, name: str, ip: str, store: str, folder: Path, zone: str = "suva") -> None:
        self.name, self.ip, self.folder = name, ip, folder
        self.front = f"{ip}:8740"
        self.readiness = f"{ip}:8749"
        self.started_at = 0.0
        self.process: subprocess.Popen | None = None
        self.ends = 0
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        settings = {
            "node_id": name, "role": "entry", "machine_class": "front", "serves": ["front"],
            "ip": ip, "zone": zone, "region": "viti-levu",
            "zones": {"suva": "viti-levu", "nadi": "viti-levu", "lautoka": "viti-levu"},
            "listen": {"front": self.front, "readiness_addr": self.readiness},
            "inner_ports": [7200, 7215], "seed_nodes": [], "bootstrap": True,
            "in_tolerance": False,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4200,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "log", "writes_per_s": 400,
                         "reads_per_s": 2000, "parts": PARTS, "append_ms": 1.0,
                         "part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144,
                         "call_bytes": 2097152, "keep_s": 300, "part_mb": 200,
                         "ttl_min_ms": 1000},
        }  # fmt: skip
        self._path.write_text(json.dumps(settings))

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "RAGWORTWING_CONFIG": str(self._path),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.started_at = time.monotonic()

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        if self.runs:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            found = await asyncio.wait_for(call(self.readiness, "GET", "/readiness", {}), 1.0)
        except (OSError, TimeoutError):
            return False
        return found.status == 200

    async def until_ready(self, limit: float = 20.0) -> None:
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if not self.runs:
                raise CannotRun(f"{self.name} ended: {self.log_end()}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready: {self.log_end()}")

    def log_end(self, size: int = 2000) -> str:
        return self._log.read_text(errors="replace")[-size:].replace(str(ROOT), "")

    def lines(self, message: str) -> list[dict]:
        found = []
        for line in self._log.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if isinstance(fields, dict) and fields.get("message") == message:
                found.append(fields)
        return found


# Clients


@dataclass
class Answer:
    status: int | None
    headers: dict[str, str]
    body: bytes
    whole: bool


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    on_event=None,
    connection=None,
) -> Answer:
    """Send one request on a new connection, or a given one, and read the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = connection or await asyncio.open_connection(host, int(port))
    status, got, data = None, {}, b""
    try:
        fields = {"Host": HOST} | headers
        if method == "POST":
            fields["Content-Length"] = str(len(body))
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
        writer.write(head.encode("latin-1") + body)
        await writer.drain()
        found = await read_head(reader)
        if found is None:
            return Answer(None, {}, b"", False)
        status, got = int(found[0].split(" ")[1]), found[1]
        if "chunked" in got.get("transfer-encoding", ""):
            while True:
                size = int(await reader.readline() or b"x", 16)
                part = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return Answer(status, got, data, True)
                data += part
                if on_event is not None:
                    on_event(part)
        data = await reader.readexactly(int(got.get("content-length", "0")))
        return Answer(status, got, data, True)
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        return Answer(status, got, data, False)
    finally:
        if connection is None:
            writer.close()


def client_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    return {
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }


def new_id() -> str:
    return "%016x" % random.getrandbits(64)


# The configuration and the frame of a case


def configuration(version: int = 7, **routes_changes: dict) -> bytes:
    """The configuration that `fleetbench wire` shows, with one route of each kind."""

    def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
        return {
            "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 15000, "latency_target_ms": 400, "priority": 0, "service": service,
            "max_attempts": 1, "public": False, "affinity": False, "resumable": False,
        } | more  # fmt: skip

    engine = {
        "slots": 32, "kv_tokens": 329630, "kv_bytes": 262144, "link_mbps": 740000.0,
        "moves": True, "backups": True, "stride": 5, "most": 12, "pin_ms": 4000.0,
        "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}],
    }  # fmt: skip
    routes = [
        route("r-chat", "/pufi791/", "streaming", POOL, affinity=True, gap_aim_ms=300),
        route("r-draft", "/lohu930/", "streaming", POOL, affinity=True, resumable=True,
              max_attempts=2, priority=1, gap_aim_ms=500, latency_target_ms=600),
        route("r-order", "/pule252/", "unsafe", DESK, priority=2, timeout_ms=1500),
        route("r-lookup", "/puxa403/", "safe", DESK, priority=2, timeout_ms=1500, max_attempts=2),
    ]  # fmt: skip
    for each in routes:
        each |= routes_changes.get(each["name"].replace("-", "_"), {})
    return json.dumps({
        "version": version,
        "routes": routes,
        "services": [
            {"name": POOL, "health_path": "/health", "max_conns": 230, "protocol": "h1",
             "tls": False, "engine": engine},
            {"name": DESK, "health_path": "/health", "max_conns": 96, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }).encode()  # fmt: skip


@dataclass
class Site:
    folder: Path
    journal: Journal
    store: Store
    entries: list[Entry] = field(default_factory=list)
    runners: list[Runner] = field(default_factory=list)
    store_addresses: list[str] = field(default_factory=list)
    _prefix: str = field(default_factory=free_prefix)

    async def add_entry(self, zone: str = "suva") -> Entry:
        """Start an entry; it reaches the store at an address of its own."""
        number = len(self.entries) + 1
        address = await self.store.listen()
        self.store_addresses.append(address)
        ip = f"{self._prefix}.{number + 1}"
        entry = Entry(f"front-{zone}-{number}", ip, address, self.folder, zone)
        self.entries.append(entry)
        entry.start()
        self.journal("entry_started", entry=entry.name)
        return entry

    async def add_runner(self, runner_id: str, service: str, **traits: object) -> Runner:
        runner = Runner(runner_id, service, self.journal, **traits)
        await runner.start(self.store)
        self.runners.append(runner)
        return runner


def run_case(case, folder: Path) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    journal = Journal(folder)

    async def main() -> None:
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(Path(temporary), journal, Store())
            try:
                await site.store.put("keyed.op", "config", configuration())
                broken = await asyncio.wait_for(case(site), 110)
                journal("verdict", broken=broken, trouble=TROUBLE)
                print("broken" if broken else "held", "- trouble", "on" if TROUBLE else "off")
                code = 1 if broken else 0
            except (CannotRun, TimeoutError, OSError) as error:
                journal("could_not_run", cause=repr(error))
                print("could not run:", repr(error))
                code = 2
            finally:
                for entry in site.entries:
                    entry.signal(signal.SIGKILL)
                for entry in site.entries:
                    if entry.process is not None:
                        entry.process.wait()
        sys.stdout.flush()
        os._exit(code)  # without the clean-up of all tasks and connections

    asyncio.run(main())
