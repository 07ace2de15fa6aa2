"""Runs platform entries as real processes, with stand-ins for the services they depend on.

The stand-ins follow the platform's published protocol. They run in the process that starts the
entries, so that a test or a soak run can inspect them and change their behaviour at any time.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
from contextlib import asynccontextmanager, closing
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING, Any

import h11
import msgspec
import trio

from ..processes import ProcessFailedError, last_lines, python_command
from .loopback import LoopbackRange
from .published_backend import PublishedBackend
from .published_cloud import PublishedCloud
from .published_store import PublishedStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

OPERATOR_TOPIC = "keyed.op"
HOST = "bakery.example"
KEY = "suva-key"
ETHERNET_SEGMENT = 1_460
"""Bytes in a TCP segment on an Ethernet network."""

SECOND_KEY = "kazi-key"
"""Key of a second client account."""
ENGINES = "engines"
DESK = "desk"
UNREACHABLE_ADDRESS = "127.0.0.1:1"
CHAT_PROMPT = {"x-token-count": "300,40", "x-prompt-prefix": "aa:200,bb:100"}
DRAFT_PROMPT = {"x-token-count": "6000,40", "x-prompt-prefix": "cc:4000,dd:2000"}
"""Request headers that describe a long prompt; `CHAT_PROMPT` describes a short one."""

DUTY_BOUNDS = {"lease_ms": 800, "window_s": 1, "usage_late_s": 5}
"""Settings with short usage windows, so that a test covers several of them in a few seconds."""

CALLER_PORT = 20_081
READINESS_PORT = 20_082
METRICS_PORT = 20_083
PEER_PORT = 20_084
BACKEND_PORT = 20_085

WAIT_LIMIT = 20.0
"""Seconds to wait for any condition; only prevents a hang."""


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind; `changes` replace top-level fields."""
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
        "tenants": [
            {"name": "litia", "api_keys": [KEY]},
            {"name": "kazi", "api_keys": [SECOND_KEY]},
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 1_000_000,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 8000,
        },
    }
    return document | changes


def _route(
    name: str, prefix: str, service: str, kind: str, timeout_ms: int, **overrides: Any
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
    } | overrides


def large_configuration(version: int, routes: int = 1400) -> dict[str, Any]:
    """Return a configuration with many extra routes of about 230 bytes each."""
    document = configuration(version)
    lookup = document["routes"][3]
    extra_routes = [renamed_route(lookup, f"lookup-{version}-{number}") for number in range(routes)]
    return document | {"routes": document["routes"] + extra_routes}


def renamed_route(route: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a copy of a route with a new name and a path prefix made from it."""
    return route | {"name": name, "path_prefix": f"/{name}/"}


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """Response as a caller received it."""

    status: int | None
    """None if the connection ended before the response head."""
    headers: dict[str, str]
    body: bytes
    whole: bool
    """Whether the response was received to its end."""
    took: float

    @property
    def is_stamped(self) -> bool:
        """Whether it has the `x-server-stamp` header of a backend server."""
        return "x-server-stamp" in self.headers

    @property
    def backend_id(self) -> str:
        """The backend server that answered; empty if it is not known."""
        return self.headers.get("x-server-stamp", "").partition(".")[2]

    @property
    def leaving_backend_id(self) -> str | None:
        """The backend server that answered if it stated that it is leaving."""
        return self.backend_id if "server-leaving" in self.headers else None


class Caller:
    """One HTTP/1.1 client connection to an entry."""

    def __init__(self, address: str) -> None:
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self.stream: trio.SocketStream | None = None
        self._h11 = h11.Connection(h11.CLIENT)

    async def open(self, receive_buffer: int | None = None) -> None:
        """Open the connection.

        Args:
            receive_buffer: Bytes that the kernel may hold for this caller; by default its choice,
                some MB on loopback.
        """
        if receive_buffer is None:
            self.stream = await trio.open_tcp_stream(self._host, self._port)
            return
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        # The entry's kernel sizes its send buffer by the segment size, 64 KB on loopback.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT)
        self.stream = trio.SocketStream(sock)
        await sock.connect((self._host, self._port))

    async def send(
        self,
        path: str,
        request_id: str,
        body: bytes = b"{}",
        headers: dict[str, str] | None = None,
        method: str = "POST",
    ) -> None:
        """Send one request; opens the connection if needed.

        A header with an empty value is left out.
        """
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
            method=method,
            target=path,
            headers=[(k.encode(), v.encode("latin-1")) for k, v in fields.items() if v],
        )
        data = (self._h11.send(request) or b"") + (self._h11.send(h11.Data(data=body)) or b"")
        await self.stream.send_all(data + (self._h11.send(h11.EndOfMessage()) or b""))

    async def receive(
        self, size: int = 65536, pause: float = 0.0, body_limit: float = inf
    ) -> CallerResponse:
        """Receive one response, or the part of it that arrives before the connection ends.

        Args:
            size: Most bytes to read at once.
            pause: Seconds to wait before each read.
            body_limit: Bytes of the body after which to stop, as if the connection had been lost.
        """
        assert self.stream is not None
        started = trio.current_time()
        head: h11.Response | None = None
        body = b""
        whole = False
        while not whole and len(body) < body_limit:
            try:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    if pause:
                        await trio.sleep(pause)
                    self._h11.receive_data(await self.stream.receive_some(size))
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
        return CallerResponse(head.status_code if head else None, headers, body, whole, took)

    def next_request(self) -> None:
        """Prepare the connection for the next request."""
        self._h11.start_next_cycle()

    async def leave(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            await self.stream.aclose()


@dataclass(slots=True)
class EntryProcess:
    """One entry process with its addresses and its log."""

    name: str
    handle: trio.Process
    callers: str
    readiness: str
    metrics: str
    log_path: Path
    peer_address: tuple[str, int]
    """Address at which it receives datagrams from other entries."""
    log_start: int = 0
    """Bytes in the log that are of an earlier process of the same name."""

    def lines(self, message: str | None = None) -> list[dict[str, Any]]:
        """Return the JSON log lines written so far, or only those with the given message."""
        return _matching_lines(self.log_path.read_bytes(), message)

    async def metrics_text(self) -> str:
        """Fetch the metrics in their text format."""
        caller = Caller(self.metrics)
        await caller.send("/metrics", "", method="GET", body=b"")
        got = await caller.receive()
        await caller.leave()
        return got.body.decode()

    async def is_listening(self) -> bool:
        """Return whether the process has reported that it listens."""
        own_lines = _matching_lines(self.log_path.read_bytes()[self.log_start :])
        return any(line.get("ready") for line in own_lines)

    async def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        caller = Caller(self.readiness)
        try:
            await caller.send("/readiness", "", method="GET", body=b"")
            return (await caller.receive()).status == 200
        except OSError:
            return False
        finally:
            await caller.leave()

    async def wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Poll until a condition holds.

        Raises:
            ProcessFailedError: If the process ends or `WAIT_LIMIT` seconds pass before that.
        """
        with trio.move_on_after(WAIT_LIMIT):
            while not await condition():
                if self.handle.poll() is not None:
                    break
                await trio.sleep(0.02)
            else:
                return
        status = self.handle.poll()
        state = "is not ready" if status is None else f"ended with exit status {status}"
        raise ProcessFailedError(
            self.name, f"{state}; its log ends with\n{last_lines(self.log_path)}"
        )


def _matching_lines(log: bytes, message: str | None = None) -> list[dict[str, Any]]:
    matching = []
    for line in log.splitlines():
        try:
            fields = msgspec.json.decode(line)
        except msgspec.DecodeError:
            continue
        if message is None or fields.get("message") == message:
            matching.append(fields)
    return matching


@dataclass(slots=True)
class PlatformSite:
    """The stand-ins and entries of one test."""

    nursery: trio.Nursery
    folder: Path
    store: PublishedStore
    store_address: str
    addresses: LoopbackRange
    """Addresses of the entries and of the backend servers."""
    grace: float = 3.0
    """Seconds that an entry may take to shut down, as `grace_s` in its settings."""
    settings: dict[str, Any] = field(default_factory=dict)
    """Top-level settings of the entries, beside or instead of the usual ones."""
    cloud: PublishedCloud | None = None
    """Receives the usage reports; None if the entries have no duties."""
    cloud_address: str = ""
    backends_by_id: dict[str, PublishedBackend] = field(default_factory=dict)
    entries: list[EntryProcess] = field(default_factory=list)
    _ip_by_name: dict[str, str] = field(default_factory=dict)

    def configure(self, document: dict[str, Any]) -> None:
        """Publish a configuration document."""
        self.store.put(OPERATOR_TOPIC, "config", document)

    async def add_backend(
        self, backend_id: str, service: str, *, announce: bool = True, **attributes: Any
    ) -> PublishedBackend:
        """Start a backend server and, unless told otherwise, announce it in the store."""
        host = self.addresses.next_address()
        backend = PublishedBackend(backend_id, service, host=host, **attributes)
        await self.nursery.start(backend.serve, BACKEND_PORT)
        if announce:
            backend.announce(self.store)
        self.backends_by_id[backend_id] = backend
        return backend

    def entry_ip(self, name: str) -> str:
        """Return the IP address of an entry, which it keeps when it starts again."""
        if name not in self._ip_by_name:
            self._ip_by_name[name] = self.addresses.next_address()
        return self._ip_by_name[name]

    async def add_entry(self, name: str = "entry-1", store: str | None = None) -> EntryProcess:
        """Start an entry and wait until it listens, which can be before it is ready.

        Raises:
            ProcessFailedError: If it ends or doesn't listen within `WAIT_LIMIT` seconds.
        """
        ip = self.entry_ip(name)
        settings = _settings(name, ip, store or self.store_address, self.grace) | self.settings
        if self.cloud is not None:
            settings["cloud_api"] = {"address": self.cloud_address, "duties": ["usage_report"]}
            settings["bounds"] |= DUTY_BOUNDS
        settings_path = self.folder / f"{name}.json"
        settings_path.write_bytes(msgspec.json.encode(settings))
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            log_start = log.tell()
            handle = await trio.lowlevel.open_process(
                python_command("ragwortwing_platform", "--metrics-port", str(METRICS_PORT)),
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
            f"{ip}:{METRICS_PORT}",
            log_path,
            (ip, PEER_PORT),
            log_start,
        )
        self.entries.append(entry)
        await entry.wait_until(entry.is_listening)
        return entry

    async def ready_entry(self, name: str = "entry-1", store: str | None = None) -> EntryProcess:
        """Start an entry and wait until its readiness probe succeeds.

        Args:
            name: Name of the entry.
            store: Address at which the entry reaches the store; the store's own by default.

        Raises:
            ProcessFailedError: If it ends or isn't ready within `WAIT_LIMIT` seconds.
        """
        entry = await self.add_entry(name, store)
        await entry.wait_until(entry.is_ready)
        return entry

    async def start_pair(self) -> list[EntryProcess]:
        """Start two backend servers and two entries, and wait until the entries are ready."""
        for number in range(2):
            await self.add_backend(f"i-{number}", DESK)
        return [await self.ready_entry(name) for name in ("entry-1", "entry-2")]

    def kill_entries(self) -> None:
        """Kill every entry that still runs, including frozen ones."""
        for entry in self.entries:
            if entry.handle.poll() is None:
                entry.handle.send_signal(signal.SIGKILL)


async def call(entry: EntryProcess, path: str, request_id: str, **options: Any) -> CallerResponse:
    """Send one request on a new connection and return the response."""
    caller = Caller(entry.callers)
    try:
        with trio.fail_after(WAIT_LIMIT):
            await caller.send(path, request_id, **options)
            return await caller.receive()
    finally:
        await caller.leave()


async def check_all_served(entries: list[EntryProcess], requests: int = 4) -> None:
    """Send lookups and orders to each entry; every one has to be served."""
    for entry in entries:
        for number in range(requests):
            for path, method in (("/lookup/", "GET"), ("/order/", "POST")):
                got = await call(entry, path, f"{entry.name}{path}{number}", method=method)
                assert got.status == 200, (entry.name, path, number)
        assert entry.handle.poll() is None
        assert not entry.lines("request_handling_failed")


async def until(condition: Callable[[], bool]) -> None:
    """Poll until a condition holds; fails after `WAIT_LIMIT` seconds."""
    with trio.fail_after(WAIT_LIMIT):
        while not condition():
            await trio.sleep(0.01)


@asynccontextmanager
async def platform_site(
    folder: Path, grace: float = 3.0, *, with_duties: bool = False
) -> AsyncIterator[PlatformSite]:
    """Start a store with a configuration; stops all processes and stand-ins on exit."""
    store = PublishedStore()
    store.put(OPERATOR_TOPIC, "config", configuration())
    with closing(LoopbackRange()) as addresses:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(store.serve)
            site = PlatformSite(nursery, folder, store, address, addresses, grace)
            if with_duties:
                site.cloud = PublishedCloud()
                site.cloud_address = await nursery.start(site.cloud.serve)
            try:
                yield site
            finally:
                site.kill_entries()
                nursery.cancel_scope.cancel()


def _settings(name: str, ip: str, store: str, grace: float) -> dict[str, Any]:
    return {
        "node_id": name,
        "ip": ip,
        "zone": "zone-a",
        "listen": {"front": f"{ip}:{CALLER_PORT}", "readiness_addr": f"{ip}:{READINESS_PORT}"},
        "inner_ports": [PEER_PORT, PEER_PORT],
        "platform": {"address": store},
        "bounds": {
            "grace_s": grace,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra": 20,
        },
        "unknown_field": {"is": "passed over"},
    }
