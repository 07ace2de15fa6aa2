"""Stand-ins for the scripts of the second review: store, servers, clients, and the entries' start.

They follow PROTOCOL.md. They need only what the build of the deploy file puts into target/deps.
Every address is a loopback address.
"""

from __future__ import annotations

import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path

import h11
import msgspec
import trio

ROOT = Path(__file__).resolve().parents[2]
"""The repository: this file is in target/review-2 when it runs."""
HOST = "cakes.example"
KEY = "suva-key-1"
TENANT = "litia"
POOL, DESK = "ragwortwing-pool", "order-desk"
RESET = struct.pack("ii", 1, 0)
FRONT, READY, INNER = 8740, 8749, 7200
HEARTBEAT = 1.2
"""`heartbeat_ms` of the settings, in seconds."""
ANSWERS_PER_CONNECTION = 20
"""Answers after which the store closes a kept connection, as servers do."""
LATE = 5.4
"""Seconds after which the store does a late write; the pages say 1 to 6."""
REGISTRATION_LAG = 0.8
"""`lag_ms` under `discovery` in the site file lali-cakes.toml, in seconds."""
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "strict_revoke": False, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10,
    "budget_extra": 52, "recover_s": 12, "pass_ms": 120, "again_s": 9,
}  # fmt: skip
"""Those of lali-cakes."""


class Record:
    """What was sent, answered and run, one line each, in record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def add(self, what: str, **fields: object) -> None:
        """Write a line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: keyed topics, logs and groups."""

    def __init__(self) -> None:
        self._topics: dict[str, list[bytes]] = {}
        self._newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._changed = trio.Event()
        self._members: dict[str, dict[str, float]] = {}
        self._generation = 0
        self.address = ""

    def put(self, topic: str, key: str, value: object) -> None:
        """Write the record of a key."""
        self._append(topic, bytes([len(key)]) + key.encode() + json.dumps(value).encode())

    def drop(self, topic: str, key: str) -> None:
        """Delete a key."""
        self._append(topic, bytes([len(key)]) + key.encode())

    def _append(self, topic: str, record: bytes) -> int:
        log = self._topics.setdefault(topic, [])
        log.append(record)
        if topic.startswith("keyed."):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            newest = self._newest.setdefault(topic, {})
            newest.pop(key, None)
            if value:
                newest[key] = (value, len(log) - 1)
        self._changed.set()
        self._changed = trio.Event()
        return len(log) - 1

    async def answer(self, method: str, target: str, headers: dict, body: bytes, reply) -> None:
        """Answer a call."""
        path, _, query = target.partition("?")
        from urllib.parse import parse_qs

        args = {key: value[0] for key, value in parse_qs(query).items()}
        await trio.sleep(0.004)
        log = self._topics.setdefault(args["topic"], []) if "topic" in args else []
        if path == "/log-read":
            start = int(args["from"])
            with trio.move_on_after(int(args.get("wait_ms", "0")) / 1000):
                while len(log) <= start:
                    await self._changed.wait()
            data = len(log).to_bytes(8, "big") + bytes(8)
            data += b"".join(len(x).to_bytes(4, "big") + x for x in log[start:])
            await reply(200, [("content-type", "application/octet-stream")], data)
        elif path == "/log-newest":
            newest = self._newest.get(args["topic"], {})
            entries = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
                if key > args.get("after", "")
            ]
            await self._json(reply, {"entries": entries, "has_more": False, "end": len(log)})
        elif path == "/log-append":
            if "at" in args and int(args["at"]) != len(log):
                await self._json(reply, {"end": len(log)}, 412)
                return
            size = int.from_bytes(body[:4], "big")
            offset = self._append(args["topic"], body[4 : 4 + size])
            await self._json(reply, {"offset": offset, "end": offset + 1})
        elif path == "/log-join":
            call = json.loads(body)
            group = self._group(call["group"])
            if call["member"] not in group:
                self._generation += 1
            group[call["member"]] = trio.current_time() + call["ttl_ms"] / 1000
            rows = [row for row in self._rows(group) if row[2] == call["member"]]
            parts = [[topic, part, 0] for topic, part, _, _ in rows]
            await self._json(reply, {"generation": self._generation, "parts": parts})
        elif path == "/log-leave":
            call = json.loads(body)
            if self._group(call["group"]).pop(call["member"], None) is not None:
                self._generation += 1
            await self._json(reply, {})
        elif path == "/log-owners":
            await self._json(reply, {"parts": self._rows(self._group(args["group"]))})
        else:
            await self._json(reply, {}, 404)

    async def _json(self, reply, value: object, status: int = 200) -> None:
        await reply(status, [("content-type", "application/json")], json.dumps(value).encode())

    def _group(self, name: str) -> dict[str, float]:
        group = self._members.setdefault(name, {})
        for member, until in list(group.items()):
            if until < trio.current_time():
                del group[member]
                self._generation += 1
        return group

    def _rows(self, group: dict[str, float]) -> list[list[object]]:
        names = sorted(group)
        return [["entries", part, names[part % len(names)], 0] for part in range(24) if names]


class Http:
    """An HTTP/1.1 server on one loopback address; it can end like a process and start again."""

    def __init__(self, host: str, port: int, answer) -> None:
        self.host, self.port, self._answer = host, port, answer
        self._scope: trio.CancelScope | None = None
        self._sockets: set = set()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until `end` or cancelled."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host, backlog=512)
        with trio.CancelScope() as self._scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(trio.serve_listeners, self._connection, listeners)
                task_status.started()

    def end(self) -> None:
        """End as a killed process does: nothing listens, and open connections are reset."""
        for each in list(self._sockets):
            each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            each.close()
        if self._scope is not None:
            self._scope.cancel()

    async def _connection(self, stream: trio.SocketStream) -> None:
        self._sockets.add(stream.socket)
        try:
            await _serve_connection(stream, self._answer)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            self._sockets.discard(stream.socket)
            await trio.aclose_forcefully(stream)


class Connection:
    """What a handler may use of its connection."""

    def __init__(self, stream: trio.SocketStream, state: h11.Connection) -> None:
        self.stream, self.state = stream, state
        self.answered = 0
        """Answers that were sent on it."""
        self.notes: dict[str, object] = {}


async def _serve_connection(stream: trio.SocketStream, answer) -> None:
    state = h11.Connection(h11.SERVER)
    connection = Connection(stream, state)
    while True:
        head, body = None, b""
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return
        headers = {key.decode(): value.decode("latin-1") for key, value in head.headers}

        async def reply(status: int, fields: list, data: bytes) -> None:
            lines = [*fields, ("content-length", str(len(data)))]
            if isinstance(answer, Store) and connection.answered + 1 >= ANSWERS_PER_CONNECTION:
                lines.append(("connection", "close"))
            out = state.send(h11.Response(status_code=status, headers=lines))
            out += state.send(h11.Data(data=data)) or b""
            out += state.send(h11.EndOfMessage()) or b""
            await stream.send_all(out)

        async def leave_with_caller(scope: trio.CancelScope) -> None:
            try:
                while data := await stream.receive_some(65536):
                    state.receive_data(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(leave_with_caller, nursery.cancel_scope)
            arguments = (head.method.decode(), head.target.decode(), headers, body, reply)
            if isinstance(answer, Store):
                await answer.answer(*arguments)
            else:
                await answer(*arguments, connection)
            connection.answered += 1
            nursery.cancel_scope.cancel()
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            return
        state.start_next_cycle()


class Server:
    """A server behind the entries, either an order desk or a model runner."""

    def __init__(self, site: Site, name: str, service: str, **options) -> None:
        self.site, self.id, self.service = site, name, service
        self.version = options.get("version", "v1")
        self.slots = options.get("slots", 6 if service == DESK else 32)
        self.work = options.get("work", 0.06)
        self.zone = options.get("zone", "suva")
        self.lose_next_beat = False
        """Whether the store gets the next heartbeat late, and its answer is lost."""
        self.events = options.get("events", 10)
        self.gap = options.get("gap", 0.05)
        self.host, self.port = site.next_host(), 9000
        self.born = int(time.time() * 1000)
        self.running = 0
        self.refuse_for: float | None = None
        """Seconds of the `Retry-After` with which requests are turned away; None takes them."""
        self.after_answer = None
        """Called with (server, connection) before an answer; returns bytes that belong to no
        request, which are sent before it."""
        self.deadly: str | None = None
        """Part of prompts on which its process ends when it begins an answer."""
        self.on_deadly = None
        """Called with the request on which that happens."""
        self.beats = False
        """Whether it writes its entry, as its process does while it is registered."""
        self.runs_now = False
        self.state = "ready"
        self._number = 0
        self._http: Http | None = None

    async def start(self) -> None:
        """Start a process: it listens at once, and knows nothing of the one before."""
        self.born, self.running, self._number = int(time.time() * 1000), 0, 0
        self._http = Http(self.host, self.port, self._answer)
        await self.site.nursery.start(self._http.serve)
        self.runs_now = True
        self.site.record.add("server-starts", id=self.id, version=self.version, born=self.born)

    def crash(self) -> None:
        """End the process without notice."""
        self.site.record.add("server-ends", id=self.id, version=self.version, running=self.running)
        self.beats = self.runs_now = False
        self._http.end()

    def register(self, state: str = "ready") -> None:
        """Write its entry in the store, and again in each heartbeat interval."""
        self.site.record.add("server-registers", id=self.id, version=self.version, state=state)
        self._write(state)
        if not self.beats:
            self.beats = True
            self.site.nursery.start_soon(self._beat, self.born)
        self.state = state

    def register_later(self) -> None:
        """Write its entry after the usual lag, unless the process has ended by then."""
        self.site.nursery.start_soon(self._register_after_lag, self.born)

    async def _register_after_lag(self, born: int) -> None:
        await trio.sleep(REGISTRATION_LAG)
        if self.born == born and self.runs_now:
            self.register()

    async def _beat(self, born: int) -> None:
        while True:
            await trio.sleep(HEARTBEAT)
            if not self.beats or self.born != born:
                return
            if self.lose_next_beat:
                self.lose_next_beat = False
                self._number += 1
                self.site.record.add("store-loses-write", id=self.id, seq_no=self._number)
                self.site.nursery.start_soon(self._write_late, self._entry(self.state))
            else:
                self._write(self.state)

    async def _write_late(self, entry: dict) -> None:
        await trio.sleep(LATE)
        self.site.record.add("store-does-late-write", id=self.id, seq_no=entry["seq_no"],
                             state=entry["state"])  # fmt: skip
        self.site.store.put("keyed.servers", self.id, entry)

    def _write(self, state: str) -> None:
        self._number += 1
        self.site.store.put("keyed.servers", self.id, self._entry(state))

    def _entry(self, state: str) -> dict:
        return {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": state, "cold_ms": 0,
            "seq_no": self._number, "born": self.born,
        }  # fmt: skip

    def unregister(self) -> None:
        """Remove its entry from the store."""
        self.site.record.add("server-unregisters", id=self.id)
        self.beats = False
        self.site.store.drop("keyed.servers", self.id)

    async def _answer(self, method, target, headers, body, reply, connection) -> None:
        if target == "/report":
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
            await reply(200, [], json.dumps(report | {"busy": False, "born": self.born}).encode())
            return
        request = headers.get("x-request-id", "")
        name = [("x-request-id", request)]
        if self.after_answer is not None:
            extra = self.after_answer(self, connection)
            if extra:
                self.site.record.add("server-sends-extra", id=self.id, while_waits=request)
                await connection.stream.send_all(extra)
        if headers.get("x-expect-instance", self.id) != self.id:
            await reply(421, name, b"")
            return
        self.site.record.add("server-gets", id=self.id, request=request)
        self.site.arrived.append((self.site.record.now(), self.id, request))
        if self.refuse_for is not None:
            fields = [*name, ("x-not-executed", "1"), ("retry-after", str(self.refuse_for))]
            self.site.record.add("server-refuses", id=self.id, request=request)
            self.site.refused.append((self.site.record.now(), self.id, request))
            await reply(503, fields, b"")
            return
        if self.running >= self.slots:
            self.site.record.add("server-full", id=self.id, request=request)
            await reply(503, [*name, ("x-not-executed", "1")], b"")
            return
        self.running += 1
        self.site.ran.append((request, self.id, self.version))
        self.site.record.add("server-runs", id=self.id, version=self.version, request=request)
        born = self.born
        try:
            stamp = ("x-server-stamp", f"stamp.{self.id}.{self.version}.{request}")
            if self.service == DESK:
                # An order goes on when its connection closes: only most runners drop it then.
                with trio.CancelScope(shield=True):
                    await trio.sleep(self.work)
                self.site.record.add("server-has-run", id=self.id, request=request)
                data = f"{request} by {self.id}".encode()
                leaving = [("server-leaving", "1")] if self.state == "draining" else []
                await reply(200, [*name, stamp, ("keep-alive", "timeout=5"), *leaving], data)
            else:
                await self._stream(headers, [*name, stamp], request, connection)
        finally:
            if born == self.born:
                self.running -= 1

    async def _stream(self, headers, fields, request, connection) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        await trio.sleep(self.work)
        if self.deadly is not None and self.deadly in parts_of(headers):
            self.on_deadly(self, request)
            await trio.sleep_forever()
        state, send = connection.state, connection.stream.send_all
        fields = [*fields, ("content-type", "text/event-stream"), ("keep-alive", "timeout=5")]
        head = [*fields, ("transfer-encoding", "chunked")]
        await send(state.send(h11.Response(status_code=200, headers=head)))
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {self.id} {request} {number}\n\n"
            await send(state.send(h11.Data(data=event.encode())))
            await trio.sleep(self.gap)
        await send(state.send(h11.EndOfMessage()))


def parts_of(headers: dict[str, str]) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    return [each.partition(":")[0] for each in headers.get("x-prompt-prefix", "").split(",")]


def _reserve() -> tuple[socket.socket, str]:
    """Return a range of loopback addresses that no other script uses, and what keeps it."""
    while True:
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        reserved = socket.socket()
        try:
            reserved.bind((f"{prefix}.1", FRONT - 1))
        except OSError:
            reserved.close()
        else:
            return reserved, prefix


class Site:
    """The store, the servers and the entries of one script."""

    def __init__(self, nursery: trio.Nursery, folder: Path, record: Record) -> None:
        self.nursery, self.folder, self.record = nursery, folder, record
        self._reserved, self._prefix = _reserve()
        self._hosts = iter(range(2, 250))
        self.store = Store()
        self.entries: list[Entry] = []
        self.ran: list[tuple[str, str, str]] = []
        self.arrived: list[tuple[float, str, str]] = []
        self.refused: list[tuple[float, str, str]] = []

    def next_host(self) -> str:
        """Return a free loopback address."""
        return f"{self._prefix}.{next(self._hosts)}"

    async def start_store(self) -> None:
        """Start the store, with a configuration."""
        host = self.next_host()
        await self.nursery.start(Http(host, 8742, self.store).serve)
        self.store.address = f"{host}:8742"
        self.store.put("keyed.op", "config", configuration())

    async def add(self, name: str, service: str, **options) -> Server:
        """Start a server and register it."""
        server = Server(self, name, service, **options)
        await server.start()
        server.register()
        return server

    async def start_entries(self, count: int, descriptors: int | None = None) -> list[Entry]:
        """Start entries with the command of the deploy file, and wait until they are ready."""
        self.entries += [Entry(self, f"front-suva-{n + 1}", descriptors) for n in range(count)]
        for entry in self.entries:
            with trio.fail_after(30):
                while not await entry.is_ready():
                    await trio.sleep(0.05)
        await trio.sleep(3.5)  # until the entries know one another
        return self.entries


class Entry:
    """One entry, a process of its own."""

    def __init__(self, site: Site, name: str, descriptors: int | None) -> None:
        self.site, self.name, self.host = site, name, site.next_host()
        settings = {
            "node_id": name, "role": "entry", "machine_class": "front", "serves": ["front"],
            "ip": self.host, "zone": "suva", "region": "viti-levu",
            "zones": {"suva": "viti-levu"},
            "listen": {"front": f"{self.host}:{FRONT}", "readiness_addr": f"{self.host}:{READY}"},
            "inner_ports": [INNER, INNER + 15], "seed_nodes": [], "bootstrap": True,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300,
                       "max_fds": descriptors or 4200, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": site.store.address, "form": "log", "writes_per_s": 400,
                         "reads_per_s": 2000, "parts": 24, "append_ms": 1.0, "part_mb_s": 20.0,
                         "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
                         "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000},
        }  # fmt: skip
        path = site.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}

        def limit() -> None:
            import resource

            if descriptors is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        self.log = site.folder / f"{name}.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable if command[0] == "python3" else command[0], *command[1:]],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=limit,
                env=kept | {"PYTHONPATH": str(ROOT / "target" / "deps"),
                            "RAGWORTWING_CONFIG": str(path)},
            )  # fmt: skip
        site.record.add("entry-starts", name=name, pid=self.process.pid)

    async def is_ready(self) -> bool:
        """Return whether its readiness check succeeds."""
        if self.process.poll() is not None:
            raise CannotRunError(f"{self.name} ended: {self.log.read_text()[-500:]}")
        try:
            got = await http("GET", self.host, READY, "/readiness", {"host": self.host})
        except OSError:
            return False
        return got.status == 200

    async def call(
        self, method: str, path: str, request: str, body: bytes | None = None, **headers: str
    ) -> Answer:
        """Send a request as a client, on a connection of its own, and return the answer."""
        fields = {
            "host": HOST, "x-request-id": request, "authorization": f"Token {KEY}",
            "x-deadline-ms": headers.pop("deadline", "1500"),
        }  # fmt: skip
        fields |= {key.replace("_", "-"): value for key, value in headers.items()}
        self.site.record.add("client-sends", entry=self.name, request=request, path=path)
        if body is None:
            body = b"{}" if method == "POST" else b""
        try:
            got = await http(method, self.host, FRONT, path, fields, body)
        except OSError as error:
            got = Answer(None, {}, b"", False, str(error))
        self.site.record.add(
            "client-gets", request=request, status=got.status, whole=got.whole,
            stamp=got.headers.get("x-server-stamp", "-"), cause=got.cause or "-",
        )  # fmt: skip
        return got


class CannotRunError(Exception):
    """The case could not run."""


class Answer(msgspec.Struct):
    """What a client received."""

    status: int | None
    headers: dict[str, str]
    body: bytes
    whole: bool
    cause: str = ""


async def http(method, host, port, target, headers, body=b"", limit: float = 20.0) -> Answer:
    """Send a request on a new connection and receive its answer."""
    status, got, data, whole = None, {}, b"", False
    with trio.move_on_after(limit) as scope:
        with trio.fail_after(limit):
            stream = await trio.open_tcp_stream(host, port)
        try:
            state = h11.Connection(h11.CLIENT)
            fields = [*headers.items(), ("content-length", str(len(body)))]
            out = state.send(h11.Request(method=method, target=target, headers=fields))
            out += state.send(h11.Data(data=body)) or b""
            await stream.send_all(out + (state.send(h11.EndOfMessage()) or b""))
            while not whole:
                event = state.next_event()
                if event is h11.NEED_DATA:
                    state.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    got = {key.decode(): value.decode("latin-1") for key, value in event.headers}
                elif isinstance(event, h11.Data):
                    data += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    whole = True
                else:
                    break
        except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
            return Answer(status, got, data, False, type(error).__name__)
        finally:
            await trio.aclose_forcefully(stream)
    return Answer(status, got, data, whole, "no answer" if scope.cancelled_caught else "")


def configuration(version: int = 7, added: tuple[str, ...] = ()) -> dict:
    """Return the routes, services and tenants of a small deployment, like lali-cakes."""

    def route(name: str, service: str, kind: str, timeout: int, **more: object) -> dict:
        return {
            "name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": timeout, "latency_target_ms": 400, "priority": 2, "service": service,
            "max_attempts": 1, "public": False, "affinity": False, "resumable": False,
        } | more  # fmt: skip

    return {
        "version": version,
        "routes": [
            *(route(name, DESK, "safe", 800) for name in added),
            route("menu-draft", POOL, "streaming", 5000, latency_target_ms=600, priority=1,
                  max_attempts=2, affinity=True, resumable=True, gap_aim_ms=500),
            route("chat-reply", POOL, "streaming", 15000, priority=0, affinity=True,
                  gap_aim_ms=300),
            # A kind of bpg-readerpix: short, and it may be resumed at another runner.
            route(
                "reader-reply",
                POOL,
                "streaming",
                10000,
                priority=0,
                max_attempts=2,
                affinity=True,
                resumable=True,
                gap_aim_ms=300,
            ),
            route("place-order", DESK, "unsafe", 800),
            route("order-lookup", DESK, "safe", 800, max_attempts=2),
        ],
        "services": [
            {"name": POOL, "max_conns": 230, "health_path": "/health",
             "engine": {"slots": 32, "kv_tokens": 329630, "stride": 5, "kv_bytes": 262144,
                        "link_mbps": 740000.0}},
            {"name": DESK, "max_conns": 96, "health_path": "/health"},
        ],
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }  # fmt: skip


def run(scenario, folder: Path, trouble: bool) -> int:
    """Run a scenario; return 1 if it finds the rule broken, 0 if not, 2 if it could not run."""
    record = Record(folder / "record.txt")
    record.add("case", folder=folder.name, trouble=trouble)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    sites: list[Site] = []

    async def main() -> int:
        async with trio.open_nursery() as nursery:
            site = Site(nursery, temporary, record)
            sites.append(site)
            with trio.move_on_after(110) as scope:
                await site.start_store()
                broken = await scenario(site, trouble)
            if scope.cancelled_caught:
                raise CannotRunError("not finished in time")
            nursery.cancel_scope.cancel()
        return 1 if broken else 0

    def stop(*_: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    code = 2
    try:
        code = trio.run(main)
    except BaseException as error:  # noqa: BLE001 - whatever it was, the case could not run
        record.add("could-not-run", error=repr(error).replace("\n", " ")[:2000])
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        for site in sites:
            for entry in site.entries:
                if entry.process.poll() is None:
                    entry.process.kill()
                entry.process.wait()
        if os.environ.get("KEEP"):
            print(temporary, file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.add("result", exit=code)
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    return code


__all__ = [
    "DESK",
    "HEARTBEAT",
    "POOL",
    "Answer",
    "CannotRunError",
    "Counter",
    "Record",
    "Site",
    "run",
]
