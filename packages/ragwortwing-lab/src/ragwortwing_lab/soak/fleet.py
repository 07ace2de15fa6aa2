"""Processes of a soak test: entries, stand-ins for backend servers, and a proxy on each link."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..fault_proxy import FaultProxy
from ..standins.platform_site import (
    DESK,
    ENGINES,
    EntryProcess,
    PlatformSite,
    configuration,
    renamed_route,
)
from ..standins.published_backend import Pace, PublishedBackend
from .observations import PublishedConfiguration, RateLimitedSpan, entry_name

if TYPE_CHECKING:
    from random import Random
    from signal import Signals

DRAIN_SECONDS = 2.0
"""Minimum seconds for which a draining backend server goes on serving before it ends."""

VERSIONS = ("v1", "v2")
"""Software versions of engines that serve side by side."""

DESK_PACE = Pace(work=0.03, slots=20)
ENGINE_PACE = Pace(work=0.05, events=10, event_gap=0.02, slots=20, unread_cutoff=2.0)

KERNEL_BUFFER = 16_384
"""Bytes that the kernel may hold at each socket between an engine and an entry.

By default it holds some MB on loopback, so no answer would ever remain unread."""


@dataclass(slots=True)
class BackendSlot:
    """A position in the fleet, filled by successive incarnations of a backend server."""

    service: str
    number: int
    version: str = VERSIONS[0]
    incarnation: int = 0
    backend: PublishedBackend | None = None
    proxy: FaultProxy = field(default_factory=FaultProxy)
    scopes: tuple[trio.CancelScope, ...] = ()
    """Cancel scopes of the current incarnation and of its proxy."""


class Fleet:
    """Starts, signals and replaces the processes of a soak test."""

    def __init__(self, site: PlatformSite, random: Random, entries: int) -> None:
        self.site = site
        self.random = random
        self.backends: list[PublishedBackend] = []
        """Every backend server started so far, including those that have ended."""
        self.version = 1
        self.published: list[PublishedConfiguration] = []
        self.rate_limited_spans: list[RateLimitedSpan] = []
        self.entries: list[EntryProcess] = []
        self.expected_exit_pids: set[int] = set()
        """Process ids of entries that the soak test has killed or stopped."""
        self.stopped_at_by_incarnation: dict[str, float] = {}
        """Time of the stop signal for each entry process that was stopped as planned."""
        self.store_proxies: list[FaultProxy] = [
            FaultProxy(site.store_address) for _ in range(entries)
        ]
        self.ended_at_by_backend: dict[str, float] = {}
        self.backend_slots = [
            BackendSlot(ENGINES, number, VERSIONS[number % len(VERSIONS)]) for number in range(3)
        ]
        self.backend_slots += [BackendSlot(DESK, number) for number in range(2)]
        self._store_addresses: list[str] = []

    async def start(self) -> None:
        """Start backend servers, then entries, and wait until all are ready."""
        for backend_slot in self.backend_slots:
            await self.start_backend(backend_slot)
        for proxy in self.store_proxies:
            self._store_addresses.append(await self.site.nursery.start(proxy.serve))
        async with trio.open_nursery() as nursery:
            for number in range(len(self.store_proxies)):
                nursery.start_soon(self._start_entry, number)
        self.entries.sort(key=lambda entry: entry.name)
        for entry in self.entries:
            await self._until_ready(entry)

    async def start_backend(self, backend_slot: BackendSlot) -> None:
        """Start a new incarnation of a backend server behind its own proxy."""
        backend_slot.incarnation += 1
        streams = backend_slot.service == ENGINES
        pace = ENGINE_PACE if streams else DESK_PACE
        backend = PublishedBackend(
            f"{backend_slot.service}-{backend_slot.number}-{backend_slot.incarnation}",
            backend_slot.service,
            version=backend_slot.version,
            streams=streams,
            pace=pace,
            send_buffer=KERNEL_BUFFER,
        )
        scopes = (trio.CancelScope(), trio.CancelScope())
        address = await self.site.nursery.start(self._serve_backend, scopes[0], backend)
        proxy = FaultProxy(address, KERNEL_BUFFER)
        backend.address = await self.site.nursery.start(_serve_within, scopes[1], proxy)
        # Until both listen, a fault on this slot must hit the previous incarnation.
        backend_slot.scopes, backend_slot.proxy = scopes, proxy
        backend.announce(self.site.store)
        backend_slot.backend = backend
        self.backends.append(backend)

    async def _serve_backend(
        self,
        scope: trio.CancelScope,
        backend: PublishedBackend,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await _serve_within(scope, backend, task_status=task_status)
        self.ended_at_by_backend[backend.id] = trio.current_time()

    async def _start_entry(self, number: int) -> EntryProcess:
        entry = await self.site.add_entry(entry_name(number), self._store_addresses[number])
        self.entries.append(entry)
        return entry

    async def restart(self, entry: EntryProcess, number: int) -> None:
        """Wait until an entry has exited and start it again."""
        await entry.handle.wait()
        fresh = await self.site.add_entry(entry.name, self._store_addresses[number])
        self.entries[self.entries.index(entry)] = fresh

    def signal(self, entry: EntryProcess, number: Signals) -> None:
        """Send a signal to an entry if it is still running."""
        if entry.handle.poll() is None:
            entry.handle.send_signal(number)

    def publish(self, more_routes: int = 0, desk_timeout_ms: int | None = None) -> None:
        """Publish a configuration with one more route than the last.

        Args:
            more_routes: Number of additional routes that only this version has.
            desk_timeout_ms: Timeout of the routes to plain servers in this version; None leaves it.
        """
        self.version += 1
        document = configuration(self.version)
        for route in document["routes"]:
            if desk_timeout_ms is not None and route["service"] == DESK:
                route["timeout_ms"] = desk_timeout_ms
        lookups = next(each for each in document["routes"] if each["name"] == "lookups")
        for number in range(2, self.version + 1):
            document["routes"].append(renamed_route(lookups, f"added-{number}"))
        for number in range(more_routes):
            document["routes"].append(renamed_route(lookups, f"bulk-{self.version}-{number}"))
        self.site.configure(document)
        self.published.append(
            PublishedConfiguration(self.version, trio.current_time(), time.time())
        )

    def expect_exit(self, entry: EntryProcess) -> None:
        """Record that the soak test ends this process."""
        self.expected_exit_pids.add(entry.handle.pid)

    def unexpected_exits(self) -> list[str]:
        """Describe the entries that exited without being killed or stopped by the soak test."""
        return [
            f"{entry.name} exited with code {entry.handle.returncode}"
            for entry in self.site.entries
            if entry.handle.poll() is not None and entry.handle.pid not in self.expected_exit_pids
        ]

    async def _until_ready(self, entry: EntryProcess) -> None:
        while not await entry.is_ready():
            await trio.sleep(0.05)


def kill_backend(scopes: tuple[trio.CancelScope, ...]) -> None:
    """End an incarnation of a backend server abruptly, as a crash does."""
    for scope in scopes:
        scope.cancel()


async def _serve_within(
    scope: trio.CancelScope,
    server: PublishedBackend | FaultProxy,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    with scope:
        await server.serve(0, task_status=task_status)
