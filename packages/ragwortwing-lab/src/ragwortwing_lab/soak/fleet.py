"""The site of a soak: entries, stand-ins, and a proxy on each link, all by place."""

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
from .observations import LimitedSpan, Published

if TYPE_CHECKING:
    from random import Random
    from signal import Signals

DRAIN = 2.0
"""Seconds for which a backend server that leaves serves on; then it ends."""

DESK_PACE = Pace(work=0.03, slots=20)
ENGINE_PACE = Pace(work=0.05, events=10, event_gap=0.02, slots=20)


@dataclass(slots=True)
class Seat:
    """A place for a backend server, whose incarnations follow each other."""

    service: str
    number: int
    incarnation: int = 0
    backend: PublishedBackend | None = None
    proxy: FaultProxy = field(default_factory=FaultProxy)
    scopes: tuple[trio.CancelScope, ...] = ()
    """Ended together, they end the present incarnation and its proxy."""


class Fleet:
    """Starts, strikes and replaces the processes of a soak."""

    def __init__(self, site: PlatformSite, random: Random, entries: int) -> None:
        self.site = site
        self.random = random
        self.backends: list[PublishedBackend] = []
        """Every backend server that ever was."""
        self.version = 1
        self.published: list[Published] = []
        self.limited: list[LimitedSpan] = []
        self.entries: list[EntryProcess] = []
        self.ended_by_us: set[int] = set()
        """Process ids of entries that the soak has killed or stopped."""
        self.stopped_at_by_incarnation: dict[str, float] = {}
        """When an entry was asked to stop as planned."""
        self.store_proxies: list[FaultProxy] = [
            FaultProxy(site.store_address) for _ in range(entries)
        ]
        self.seats = [Seat(ENGINES, number) for number in range(3)]
        self.seats += [Seat(DESK, number) for number in range(2)]
        self._store_addresses: list[str] = []

    async def start(self) -> None:
        """Start backend servers, then entries, and wait until all are ready."""
        for seat in self.seats:
            await self.seat_backend(seat)
        for proxy in self.store_proxies:
            self._store_addresses.append(await self.site.nursery.start(proxy.serve))
        async with trio.open_nursery() as nursery:
            for number in range(len(self.store_proxies)):
                nursery.start_soon(self._start_entry, number)
        self.entries.sort(key=lambda entry: entry.name)
        for entry in self.entries:
            await self._until_ready(entry)

    async def seat_backend(self, seat: Seat) -> None:
        """Start a new incarnation of a backend server, behind a proxy of its own."""
        seat.incarnation += 1
        streams = seat.service == ENGINES
        pace = ENGINE_PACE if streams else DESK_PACE
        backend = PublishedBackend(
            f"{seat.service}-{seat.number}-{seat.incarnation}",
            seat.service,
            streams=streams,
            pace=pace,
        )
        scopes = (trio.CancelScope(), trio.CancelScope())
        address = await self.site.nursery.start(_serve_within, scopes[0], backend)
        proxy = FaultProxy(address)
        backend.address = await self.site.nursery.start(_serve_within, scopes[1], proxy)
        # Until both listen, a fault that strikes this seat is the former incarnation's.
        seat.scopes, seat.proxy = scopes, proxy
        backend.announce(self.site.store)
        seat.backend = backend
        self.backends.append(backend)

    async def _start_entry(self, number: int) -> EntryProcess:
        entry = await self.site.add_entry(f"entry-{number}", self._store_addresses[number])
        self.entries.append(entry)
        return entry

    async def restart(self, entry: EntryProcess, number: int) -> None:
        """Start an entry again in place of one that has ended."""
        await entry.handle.wait()
        fresh = await self.site.add_entry(entry.name, self._store_addresses[number])
        self.entries[self.entries.index(entry)] = fresh

    def signal(self, entry: EntryProcess, number: Signals) -> None:
        """Send a signal to an entry that still runs."""
        if entry.handle.poll() is None:
            entry.handle.send_signal(number)

    def publish(self, more_routes: int = 0) -> None:
        """Publish a configuration with one more route, and some that only this one has."""
        self.version += 1
        document = configuration(self.version)
        lookups = next(each for each in document["routes"] if each["name"] == "lookups")
        for number in range(2, self.version + 1):
            document["routes"].append(renamed_route(lookups, f"added-{number}"))
        for number in range(more_routes):
            document["routes"].append(renamed_route(lookups, f"bulk-{self.version}-{number}"))
        self.site.configure(document)
        self.published.append(Published(self.version, trio.current_time(), time.time()))

    def note_ended(self, entry: EntryProcess) -> None:
        """Note that the soak ends this process."""
        self.ended_by_us.add(entry.handle.pid)

    def unexpected_ends(self) -> list[str]:
        """Return the entries that ended by themselves."""
        return [
            f"{entry.name} ended with {entry.handle.returncode}"
            for entry in self.site.entries
            if entry.handle.poll() is not None and entry.handle.pid not in self.ended_by_us
        ]

    async def _until_ready(self, entry: EntryProcess) -> None:
        while not await entry.is_ready():
            await trio.sleep(0.05)


def end_backend(scopes: tuple[trio.CancelScope, ...]) -> None:
    """End an incarnation of a backend server as a crash would."""
    for scope in scopes:
        scope.cancel()


async def _serve_within(
    scope: trio.CancelScope,
    server: PublishedBackend | FaultProxy,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    with scope:
        await server.serve(0, task_status=task_status)
