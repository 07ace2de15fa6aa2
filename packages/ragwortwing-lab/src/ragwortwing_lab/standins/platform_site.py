"""Entries of the platform as real processes, between stand-ins of the users' published protocol.

The stand-ins run in the process that starts the entries, so that a test or a soak can look into
them and change what they do at any moment.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import h11
import msgspec
import trio

from .published_backend import PublishedBackend
from .published_cloud import PublishedCloud
from .published_store import PublishedStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

OPERATOR_TOPIC = "keyed.op"
HOST = "bakery.example"
KEY = "suva-key"
ENGINES = "engines"
DESK = "desk"
NOBODY = "127.0.0.1:1"
CHAT_PROMPT = {"x-token-count": "300,40", "x-prompt-prefix": "aa:200,bb:100"}
DRAFT_PROMPT = {"x-token-count": "6000,40", "x-prompt-prefix": "cc:4000,dd:2000"}
"""Headers that tell of a short and of a long prompt."""

DUTY_BOUNDS = {"lease_ms": 800, "window_s": 1, "usage_late_s": 5}
"""Bounds of duties that let a test see several windows in a few seconds."""

WAIT_LIMIT = 20.0
"""Seconds for any condition; only a guard against hanging."""


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one route of each kind."""
    document: dict[str, Any] = {
        "version": version,
        "routes": [
            _route("chats", "/chat/", ENGINES, "streaming", 4000, affinity=True),
            _route("drafts", "/draft/", ENGINES, "streaming", 4000, affinity=True, resumable=True)
            | {"priority": 1, "max_attempts": 2},
            _route("orders", "/order/", DESK, "unsafe", 1500),
            _route("lookups", "/lookup/", DESK, "safe", 1500) | {"max_attempts": 2},
            _route("open", "/open/", DESK, "safe", 1500, public=True),
        ],
        "services": [
            {"name": ENGINES, "max_conns": 100, "engine": {"slots": 8, "kv_tokens": 100_000}},
            {"name": DESK, "max_conns": 100},
        ],
        "tenants": [{"name": "litia", "api_keys": [KEY]}],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 1_000_000,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 8000,
        },
    }
    return document | changes


def _route(
    name: str, prefix: str, service: str, kind: str, timeout_ms: int, **more: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "latency_target_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "affinity": False,
        "resumable": False,
    } | more


def large_configuration(version: int, routes: int = 1400) -> dict[str, Any]:
    """Return a configuration with many routes: about 230 bytes for each of them."""
    document = configuration(version)
    lookup = document["routes"][3]
    more = [renamed_route(lookup, f"lookup-{version}-{number}") for number in range(routes)]
    return document | {"routes": document["routes"] + more}


def renamed_route(route: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a route like another, under a name and a prefix of its own."""
    return route | {"name": name, "path_prefix": f"/{name}/"}


@dataclass(frozen=True, slots=True)
class Got:
    """What a caller saw."""

    status: int | None
    """None where the connection ended without the head of an answer."""
    headers: dict[str, str]
    body: bytes
    whole: bool
    """Whether the answer's end came."""
    took: float

    @property
    def is_stamped(self) -> bool:
        """Whether it bears the mark of a backend server."""
        return "x-server-stamp" in self.headers


class Caller:
    """One connection of a caller."""

    def __init__(self, address: str) -> None:
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self.stream: trio.SocketStream | None = None
        self._h11 = h11.Connection(h11.CLIENT)

    async def open(self) -> None:
        """Connect."""
        self.stream = await trio.open_tcp_stream(self._host, self._port)

    async def send(
        self,
        path: str,
        request_id: str,
        body: bytes = b"{}",
        headers: dict[str, str] | None = None,
        method: str = "POST",
    ) -> None:
        """Send one request, on the open connection where there is one."""
        if self.stream is None:
            await self.open()
        assert self.stream is not None
        fields = {
            "host": HOST,
            "x-request-id": request_id,
            "authorization": f"Token {KEY}",
            "x-deadline-ms": "3000",
            "content-length": str(len(body)),
        }
        if path.startswith(("/chat/", "/draft/")):
            fields |= {"x-model": "m", "x-token-count": "100,40", "x-prompt-prefix": "aa:60,bb:40"}
        fields |= headers or {}
        request = h11.Request(
            method=method, target=path, headers=[(k, v) for k, v in fields.items() if v]
        )
        data = (self._h11.send(request) or b"") + (self._h11.send(h11.Data(data=body)) or b"")
        await self.stream.send_all(data + (self._h11.send(h11.EndOfMessage()) or b""))

    async def receive(self) -> Got:
        """Receive one answer, or what there is of it."""
        assert self.stream is not None
        started = trio.current_time()
        head: h11.Response | None = None
        body = b""
        whole = False
        while not whole:
            try:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    self._h11.receive_data(await self.stream.receive_some(65536))
                    continue
            except (trio.BrokenResourceError, h11.RemoteProtocolError):
                break
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                whole = True
            elif isinstance(event, h11.ConnectionClosed):
                break
        headers = {k.decode(): v.decode() for k, v in head.headers} if head else {}
        took = trio.current_time() - started
        return Got(head.status_code if head else None, headers, body, whole, took)

    def next_request(self) -> None:
        """Prepare the connection for one more request."""
        self._h11.start_next_cycle()

    async def leave(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            await self.stream.aclose()


@dataclass(slots=True)
class EntryProcess:
    """One entry, its addresses and its log."""

    name: str
    handle: trio.Process
    callers: str
    readiness: str
    metrics: str
    log_path: Path
    peer_address: tuple[str, int]
    """Where it takes the datagrams of other entries."""

    def lines(self, message: str | None = None) -> list[dict[str, Any]]:
        """Return the lines logged so far, those with one message if one is given."""
        found = []
        for line in self.log_path.read_bytes().splitlines():
            try:
                fields = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue
            if message is None or fields.get("message") == message:
                found.append(fields)
        return found

    async def metrics_text(self) -> str:
        """Return the metrics' text."""
        caller = Caller(self.metrics)
        await caller.send("/metrics", "", method="GET", body=b"")
        got = await caller.receive()
        await caller.leave()
        return got.body.decode()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        caller = Caller(self.readiness)
        try:
            await caller.send("/readiness", "", method="GET", body=b"")
            return (await caller.receive()).status == 200
        except OSError:
            return False
        finally:
            await caller.leave()


@dataclass(slots=True)
class PlatformSite:
    """Stand-ins and entries of one test."""

    nursery: trio.Nursery
    folder: Path
    store: PublishedStore
    store_address: str
    grace: float = 3.0
    """Seconds between the word to stop and the end of an entry."""
    cloud: PublishedCloud | None = None
    """Takes the reports of duties, where entries have any."""
    cloud_address: str = ""
    backends_by_id: dict[str, PublishedBackend] = field(default_factory=dict)
    entries: list[EntryProcess] = field(default_factory=list)
    peer_port: int = field(default_factory=lambda: _free_port(socket.SOCK_DGRAM))
    """Port of the entries' own traffic, the same on each entry's IP number."""
    _ip_by_name: dict[str, str] = field(default_factory=dict)

    def configure(self, document: dict[str, Any]) -> None:
        """Publish a configuration."""
        self.store.put(OPERATOR_TOPIC, "config", document)

    async def add_backend(
        self, backend_id: str, service: str, *, announce: bool = True, **more: Any
    ) -> PublishedBackend:
        """Start a backend server."""
        backend = PublishedBackend(backend_id, service, **more)
        await self.nursery.start(backend.serve)
        if announce:
            backend.announce(self.store)
        self.backends_by_id[backend_id] = backend
        return backend

    async def add_entry(self, name: str = "entry-1", store: str | None = None) -> EntryProcess:
        """Start an entry and wait until it listens."""
        ip = self._ip_by_name.setdefault(name, f"127.0.0.{2 + len(self._ip_by_name)}")
        settings = _settings(name, ip, store or self.store_address, self.grace)
        settings["inner_ports"] = [self.peer_port, self.peer_port]
        if self.cloud is not None:
            settings["cloud_api"] = {"address": self.cloud_address, "duties": ["usage_report"]}
            settings["bounds"] |= DUTY_BOUNDS
        settings_path = self.folder / f"{name}.json"
        settings_path.write_bytes(msgspec.json.encode(settings))
        log_path = self.folder / f"{name}.log"
        metrics_port = _free_port()
        with log_path.open("ab") as log:
            handle = await trio.lowlevel.open_process(
                [sys.executable, "-m", "ragwortwing_platform", "--metrics-port", str(metrics_port)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "RAGWORTWING_CONFIG": str(settings_path)},
            )
        listen = settings["listen"]
        entry = EntryProcess(
            name,
            handle,
            listen["front"],
            listen["readiness_addr"],
            f"{ip}:{metrics_port}",
            log_path,
            (ip, self.peer_port),
        )
        self.entries.append(entry)
        await until(lambda: any(line.get("ready") for line in entry.lines()))
        return entry

    async def ready_entry(self, name: str = "entry-1", store: str | None = None) -> EntryProcess:
        """Start an entry and wait until it serves.

        Args:
            name: Its name.
            store: Where it finds the store, if not at the store's own address.
        """
        entry = await self.add_entry(name, store)
        with trio.fail_after(WAIT_LIMIT):
            while not await entry.is_ready():
                await trio.sleep(0.02)
        return entry

    def end_entries(self) -> None:
        """End every entry, frozen ones too."""
        for entry in self.entries:
            if entry.handle.poll() is None:
                entry.handle.send_signal(signal.SIGKILL)


async def call(entry: EntryProcess, path: str, request_id: str, **more: Any) -> Got:
    """Make one call on a connection of its own."""
    caller = Caller(entry.callers)
    try:
        with trio.fail_after(WAIT_LIMIT):
            await caller.send(path, request_id, **more)
            return await caller.receive()
    finally:
        await caller.leave()


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition."""
    with trio.fail_after(WAIT_LIMIT):
        while not condition():
            await trio.sleep(0.01)


@asynccontextmanager
async def platform_site(
    folder: Path, grace: float = 3.0, *, with_duties: bool = False
) -> AsyncIterator[PlatformSite]:
    """Start a store with a configuration; everything ends with the context."""
    store = PublishedStore()
    store.put(OPERATOR_TOPIC, "config", configuration())
    async with trio.open_nursery() as nursery:
        address = await nursery.start(store.serve)
        site = PlatformSite(nursery, folder, store, address, grace)
        if with_duties:
            site.cloud = PublishedCloud()
            site.cloud_address = await nursery.start(site.cloud.serve)
        try:
            yield site
        finally:
            site.end_entries()
            nursery.cancel_scope.cancel()


def _settings(name: str, ip: str, store: str, grace: float) -> dict[str, Any]:
    return {
        "node_id": name,
        "ip": ip,
        "zone": "zone-a",
        "listen": {"front": _free_address(), "readiness_addr": _free_address()},
        "platform": {"address": store},
        "bounds": {
            "grace_s": grace,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra": 20,
        },
        "unknown_field": {"is": "passed over"},
    }


def _free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(type=kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def _free_address() -> str:
    return f"127.0.0.1:{_free_port()}"
