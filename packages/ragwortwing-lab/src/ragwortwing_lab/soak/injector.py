"""Injects the faults of a soak test from outside the processes and reverts them."""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

import trio

from ..standins.faults import Direction, Fault, FaultKind
from ..standins.platform_site import DESK, ENGINES
from ..standins.published_backend import SERVERS_TOPIC, Misbehaviour
from ..standins.published_store import StoreMood
from .fleet import DRAIN_SECONDS, VERSIONS, kill_backend
from .observations import Disturbance, RateLimitedSpan, Span, incarnation_name
from .schedule import (
    DISTURB_ALL_ENTRIES,
    DISTURB_ONE_ENTRY,
    ENTRY_FAULTS,
    LINK_FAULTS,
    MAY_CUT_ANSWERS,
    SoakFault,
)

if TYPE_CHECKING:
    from ..fault_proxy import FaultProxy
    from ..standins.platform_site import EntryProcess
    from ..standins.published_backend import PublishedBackend
    from .callers import Callers
    from .fleet import BackendSlot, Fleet
    from .schedule import PlannedFault

Handler = Callable[["Injector", "PlannedFault"], Awaitable[None]]

_handlers_by_kind: dict[SoakFault, Handler] = {}

LINK_DELAY_SECONDS = 0.15
"""Seconds by which a slow link delays each chunk of data."""

STORE_DELAY_SECONDS = 0.3
"""Additional seconds that each call to a slow store takes."""

SHORT_TIMEOUT_MS = 400
"""Timeout of routes to plain servers, in milliseconds, while one answers at the deadline."""

NARROW_LINK_BYTES_PER_SECOND = 150_000
"""Bandwidth of a low-bandwidth link to the store."""

NARROW_LINK_SECONDS = 6.0
"""Seconds of low bandwidth, in addition to the fault's drawn duration."""

LARGE_CONFIGURATION_ROUTES = 800
"""Additional routes of a large configuration.

A low-bandwidth link takes more than a second to transfer them."""

LARGE_CONFIGURATION_INTERVAL = 3.0
"""Minimum seconds between a configuration and a large one after it.

The store takes some seconds to accept one, and an operator waits for that."""

RATE_LIMITS = (0.5, 1.0, 3.0)
"""Rate limits, in requests per second, that an overloaded backend server announces."""

BACKOFF_SECONDS = 1.5
"""Seconds of a requested backoff, in addition to the fault's drawn duration."""

BURST_SECONDS = 3.0
"""Seconds of a burst, in addition to the fault's drawn duration."""

SLOWDOWN_FACTOR = 6.0
SLOWDOWN_SECONDS = 2.0
"""Seconds for which an engine is slow, in addition to the fault's drawn duration."""

RATE_LIMIT_SECONDS = 6.0
"""Seconds for which a rate limit is announced, in addition to the fault's drawn duration.

The check allows a delay before the limit applies (`RATE_LIMIT_DELAY`), then counts requests over a
window (`RATE_LIMIT_WINDOW`); both must fit in."""


def handles(kind: SoakFault) -> Callable[[Handler], Handler]:
    """Register the decorated function as the handler of a kind of fault."""

    def register(handler: Handler) -> Handler:
        _handlers_by_kind[kind] = handler
        return handler

    return register


class Injector:
    """Injects scheduled faults into a fleet."""

    def __init__(self, fleet: Fleet, callers: Callers) -> None:
        self.fleet = fleet
        self.callers = callers
        self.injected: list[PlannedFault] = []
        self.cutting_spans: list[Span] = []
        """Time spans of faults that may cut a response."""
        self.disturbances: list[Disturbance] = []
        self.spans: list[tuple[SoakFault, Span]] = []
        """Time span of each fault."""
        self.link_spans_by_backend: dict[str, list[Span]] = {}
        """Time spans of faults of the links to backend servers."""
        self.interruptions_by_entry: defaultdict[str, list[Span]] = defaultdict(list)
        """Time spans in which an entry process was killed, suspended or past its grace."""
        self._busy_entries: set[int] = set()
        self._busy_backend_slots: set[tuple[str, int]] = set()

    async def run(self, schedule: tuple[PlannedFault, ...]) -> None:
        """Inject each fault at its time and return when all are reverted."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in schedule:
                await trio.sleep_until(start + fault.at)
                nursery.start_soon(self._inject, fault)

    async def _inject(self, fault: PlannedFault) -> None:
        self.injected.append(fault)
        start = trio.current_time()
        backend = self.backend_slot(fault).backend
        await _handlers_by_kind[fault.kind](self, fault)
        span = Span(start, trio.current_time())
        self.spans.append((fault.kind, span))
        if fault.kind in LINK_FAULTS and backend is not None:
            self.link_spans_by_backend.setdefault(backend.id, []).append(span)
        if fault.kind in MAY_CUT_ANSWERS:
            self.cutting_spans.append(span)
        if fault.kind in DISTURB_ALL_ENTRIES or fault.kind in DISTURB_ONE_ENTRY:
            number = fault.target_index % len(self.fleet.entries)
            entry = None if fault.kind in DISTURB_ALL_ENTRIES else number
            self.disturbances.append(Disturbance(span, entry, fault.kind in ENTRY_FAULTS))

    async def drain(self, backend: PublishedBackend) -> None:
        """List a backend server as draining."""
        backend.announce(self.fleet.site.store, state="draining")

    def unsound_by_backend(self) -> dict[str, list[Span]]:
        """Return the time spans in which backend servers had ended or their links had failed."""
        ended = self.fleet.ended_at_by_backend
        names = ended.keys() | self.link_spans_by_backend.keys()
        return {
            name: [*self.link_spans_by_backend.get(name, ()), Span(ended.get(name, inf), inf)]
            for name in names
        }

    async def run_on_entry(
        self, fault: PlannedFault, apply: Callable[[EntryProcess, int], Awaitable[None]]
    ) -> None:
        """Apply a fault to one entry, unless another one is still being applied to it."""
        number = fault.target_index % len(self.fleet.entries)
        if number in self._busy_entries:
            return
        self._busy_entries.add(number)
        try:
            await apply(self.fleet.entries[number], number)
        finally:
            self._busy_entries.discard(number)

    def backend_slot(self, fault: PlannedFault) -> BackendSlot:
        """Return the backend slot that a fault targets."""
        return self.fleet.backend_slots[fault.target_index % len(self.fleet.backend_slots)]

    def server_slot(self, fault: PlannedFault, service: str) -> BackendSlot:
        """Return the backend slot of a service that a fault targets."""
        slots = [each for each in self.fleet.backend_slots if each.service == service]
        return slots[fault.target_index % len(slots)]

    async def replace_backend(self, backend_slot: BackendSlot) -> None:
        """Start a new incarnation in a backend slot, unless one is already being started."""
        key = (backend_slot.service, backend_slot.number)
        if key in self._busy_backend_slots:
            return
        self._busy_backend_slots.add(key)
        try:
            await self.fleet.start_backend(backend_slot)
        finally:
            self._busy_backend_slots.discard(key)


async def _misbehave(
    backend: PublishedBackend | None, seconds: float, misbehaviour: Misbehaviour
) -> None:
    assert backend is not None
    backend.misbehaviour = misbehaviour
    await trio.sleep(seconds)
    backend.misbehaviour = Misbehaviour.NONE


async def _apply_fault(proxy: FaultProxy, seconds: float, fault: Fault) -> None:
    proxy.set_fault(fault)
    await trio.sleep(seconds)
    proxy.faults.clear()


@handles(SoakFault.KILL_ENTRY)
async def _kill_entry(injector: Injector, fault: PlannedFault) -> None:
    async def kill(entry: EntryProcess, number: int) -> None:
        injector.fleet.expect_exit(entry)
        span = Span(trio.current_time(), inf)
        injector.interruptions_by_entry[incarnation_name(entry)].append(span)
        injector.fleet.signal(entry, signal.SIGKILL)
        await injector.fleet.restart(entry, number)

    await injector.run_on_entry(fault, kill)


@handles(SoakFault.FREEZE_ENTRY)
async def _freeze_entry(injector: Injector, fault: PlannedFault) -> None:
    async def freeze(entry: EntryProcess, _: int) -> None:
        start = trio.current_time()
        injector.fleet.signal(entry, signal.SIGSTOP)
        await trio.sleep(fault.seconds)
        injector.fleet.signal(entry, signal.SIGCONT)
        span = Span(start, trio.current_time())
        injector.interruptions_by_entry[incarnation_name(entry)].append(span)

    await injector.run_on_entry(fault, freeze)


@handles(SoakFault.STOP_ENTRY)
async def _stop_entry(injector: Injector, fault: PlannedFault) -> None:
    async def stop(entry: EntryProcess, number: int) -> None:
        injector.fleet.expect_exit(entry)
        now, name = trio.current_time(), incarnation_name(entry)
        injector.fleet.stopped_at_by_incarnation[name] = now
        span = Span(now + injector.fleet.site.grace, inf)
        injector.interruptions_by_entry[name].append(span)
        injector.fleet.signal(entry, signal.SIGTERM)
        await injector.fleet.restart(entry, number)

    await injector.run_on_entry(fault, stop)


@handles(SoakFault.RELOAD_ENTRY)
async def _reload_entry(injector: Injector, fault: PlannedFault) -> None:
    entries = injector.fleet.entries
    injector.fleet.signal(entries[fault.target_index % len(entries)], signal.SIGHUP)


async def _apply_store_mood(injector: Injector, fault: PlannedFault, mood: StoreMood) -> None:
    store = injector.fleet.site.store
    store.mood = mood
    await trio.sleep(fault.seconds)
    store.mood = StoreMood.WELL


@handles(SoakFault.STORE_SILENT)
async def _store_silent(injector: Injector, fault: PlannedFault) -> None:
    await _apply_store_mood(injector, fault, StoreMood.SILENT)


@handles(SoakFault.STORE_BUSY)
async def _store_busy(injector: Injector, fault: PlannedFault) -> None:
    await _apply_store_mood(injector, fault, StoreMood.BUSY)


@handles(SoakFault.STORE_RESETS)
async def _store_resets(injector: Injector, fault: PlannedFault) -> None:
    await _apply_store_mood(injector, fault, StoreMood.RESET)


@handles(SoakFault.STORE_SLOW)
async def _store_slow(injector: Injector, fault: PlannedFault) -> None:
    store = injector.fleet.site.store
    store.faults.set(Fault(FaultKind.SLOW, seconds=STORE_DELAY_SECONDS))
    await trio.sleep(fault.seconds)
    store.faults.clear()


@handles(SoakFault.STORE_FORGETS)
async def _store_forgets(injector: Injector, _: PlannedFault) -> None:
    injector.fleet.site.store.forget_history()


def _store_link(injector: Injector, fault: PlannedFault) -> FaultProxy:
    proxies = injector.fleet.store_proxies
    return proxies[fault.target_index % len(proxies)]


@handles(SoakFault.STORE_REFUSES_ONE)
async def _store_refuses_one(injector: Injector, fault: PlannedFault) -> None:
    proxy = _store_link(injector, fault)
    proxy.set_fault(Fault(FaultKind.CUT))
    await _apply_fault(proxy, fault.seconds, Fault(FaultKind.REFUSE))


@handles(SoakFault.STORE_LINK_SILENT)
async def _store_link_silent(injector: Injector, fault: PlannedFault) -> None:
    silent = Fault(FaultKind.SILENT, existing_only=True)
    await _apply_fault(_store_link(injector, fault), fault.seconds, silent)


@handles(SoakFault.LINK_CUT)
async def _link_cut(injector: Injector, fault: PlannedFault) -> None:
    await _apply_fault(injector.backend_slot(fault).proxy, 0.0, Fault(FaultKind.CUT))


@handles(SoakFault.LINK_SILENT)
async def _link_silent(injector: Injector, fault: PlannedFault) -> None:
    silent = Fault(FaultKind.SILENT, existing_only=True)
    await _apply_fault(injector.backend_slot(fault).proxy, fault.seconds, silent)


@handles(SoakFault.LINK_ONE_WAY)
async def _link_one_way(injector: Injector, fault: PlannedFault) -> None:
    one_way = Fault(FaultKind.SILENT, direction=Direction.TO_CLIENT)
    await _apply_fault(injector.backend_slot(fault).proxy, fault.seconds, one_way)


@handles(SoakFault.LINK_SLOW)
async def _link_slow(injector: Injector, fault: PlannedFault) -> None:
    slow = Fault(FaultKind.SLOW, seconds=LINK_DELAY_SECONDS)
    await _apply_fault(injector.backend_slot(fault).proxy, fault.seconds, slow)


@handles(SoakFault.BACKEND_MISBEHAVES)
async def _backend_misbehaves(injector: Injector, fault: PlannedFault) -> None:
    misbehaviour = injector.fleet.random.choice(list(Misbehaviour))
    await _misbehave(injector.backend_slot(fault).backend, fault.seconds, misbehaviour)


@handles(SoakFault.BACKEND_CRASHES)
async def _backend_crashes(injector: Injector, fault: PlannedFault) -> None:
    backend_slot = injector.backend_slot(fault)
    backend = backend_slot.backend
    assert backend is not None
    kill_backend(backend_slot.scopes)
    await trio.sleep(fault.seconds)
    injector.fleet.site.store.drop(SERVERS_TOPIC, backend.id)
    if backend_slot.backend is backend:
        await injector.replace_backend(backend_slot)


async def _replace_leaving(
    injector: Injector,
    fault: PlannedFault,
    leave: Callable[[PublishedBackend], Awaitable[None]],
    backend_slot: BackendSlot | None = None,
) -> None:
    """Start a replacement, let the former backend server leave, and end it."""
    backend_slot = backend_slot or injector.backend_slot(fault)
    backend, scopes = backend_slot.backend, backend_slot.scopes
    assert backend is not None
    await injector.replace_backend(backend_slot)
    if backend_slot.backend is backend:
        return
    await leave(backend)
    await trio.sleep(DRAIN_SECONDS + fault.seconds)
    kill_backend(scopes)
    injector.fleet.site.store.drop(SERVERS_TOPIC, backend.id)


@handles(SoakFault.BACKEND_LEAVES)
async def _backend_leaves(injector: Injector, fault: PlannedFault) -> None:
    await _replace_leaving(injector, fault, injector.drain)


@handles(SoakFault.ENGINE_RELEASE)
async def _engine_release(injector: Injector, fault: PlannedFault) -> None:
    engine_slot = injector.server_slot(fault, ENGINES)
    number = VERSIONS.index(engine_slot.version) + 1
    engine_slot.version = VERSIONS[number % len(VERSIONS)]
    await _replace_leaving(injector, fault, injector.drain, engine_slot)


@handles(SoakFault.BACKEND_ANSWERS_TWICE)
async def _backend_answers_twice(injector: Injector, fault: PlannedFault) -> None:
    backend = injector.server_slot(fault, DESK).backend
    await _misbehave(backend, fault.seconds, Misbehaviour.ANSWER_TWICE_LATE)


@handles(SoakFault.BACKEND_DECLINES_LATE)
async def _backend_declines_late(injector: Injector, fault: PlannedFault) -> None:
    backend = injector.backend_slot(fault).backend
    await _misbehave(backend, fault.seconds, Misbehaviour.DECLINE_LATE)


@handles(SoakFault.BACKEND_ANSWERS_AT_DEADLINE)
async def _backend_answers_at_deadline(injector: Injector, fault: PlannedFault) -> None:
    backend = injector.server_slot(fault, DESK).backend
    assert backend is not None
    backend.pace = replace(backend.pace, until_deadline=True)
    injector.fleet.publish(desk_timeout_ms=SHORT_TIMEOUT_MS)
    await trio.sleep(fault.seconds)
    backend.pace = replace(backend.pace, until_deadline=False)
    injector.fleet.publish()


@handles(SoakFault.BACKEND_LEAVES_UNLISTED)
async def _backend_leaves_unlisted(injector: Injector, fault: PlannedFault) -> None:
    async def leave(backend: PublishedBackend) -> None:
        backend.leaving = "1"
        await trio.sleep(DRAIN_SECONDS)
        backend.announce(injector.fleet.site.store)

    await _replace_leaving(injector, fault, leave)


@handles(SoakFault.BACKEND_REQUESTS_BACKOFF)
async def _backend_requests_backoff(injector: Injector, fault: PlannedFault) -> None:
    backend = injector.backend_slot(fault).backend
    if backend is None or backend.retry_after is not None:
        return
    entries = injector.fleet.entries
    asked = fault.target_index % (2 * len(entries))
    backend.declines_ids = f"{entries[asked].name}." if asked < len(entries) else ""
    backend.retry_after = f"{BACKOFF_SECONDS + fault.seconds:.2f}"
    await trio.sleep(BACKOFF_SECONDS + fault.seconds)
    backend.retry_after = None


@handles(SoakFault.CONFIGURE)
async def _configure(injector: Injector, _: PlannedFault) -> None:
    injector.fleet.publish()


@handles(SoakFault.CONFIGURE_LARGE)
async def _configure_large(injector: Injector, _: PlannedFault) -> None:
    published = injector.fleet.published
    if not published or trio.current_time() - published[-1].at >= LARGE_CONFIGURATION_INTERVAL:
        injector.fleet.publish(LARGE_CONFIGURATION_ROUTES)


@handles(SoakFault.STORE_LINK_NARROW)
async def _store_link_narrow(injector: Injector, fault: PlannedFault) -> None:
    narrow = Fault(FaultKind.NARROW, per_second=NARROW_LINK_BYTES_PER_SECOND)
    await _apply_fault(_store_link(injector, fault), NARROW_LINK_SECONDS + fault.seconds, narrow)


@handles(SoakFault.BACKEND_LIMITS)
async def _backend_limits(injector: Injector, fault: PlannedFault) -> None:
    backend = injector.backend_slot(fault).backend
    if backend is None or backend.rate_limit is not None:
        return
    rate = RATE_LIMITS[fault.target_index % len(RATE_LIMITS)]
    backend.rate_limit = str(rate)
    start = trio.current_time()
    await trio.sleep(RATE_LIMIT_SECONDS + fault.seconds)
    backend.rate_limit = None
    span = Span(start, trio.current_time())
    injector.fleet.rate_limited_spans.append(RateLimitedSpan(backend, rate, span))


@handles(SoakFault.ACCOUNT_BURST)
async def _account_burst(injector: Injector, fault: PlannedFault) -> None:
    # Several bursts at once would only show how many connections this process can open.
    if not injector.callers.bursting:
        await injector.callers.burst(BURST_SECONDS + fault.seconds)


@handles(SoakFault.SLOW_READERS)
async def _slow_readers(injector: Injector, _: PlannedFault) -> None:
    await injector.callers.read_slowly()


@handles(SoakFault.ENGINE_SLOWS)
async def _engine_slows(injector: Injector, fault: PlannedFault) -> None:
    backend = injector.server_slot(fault, ENGINES).backend
    assert backend is not None
    backend.slowdown = SLOWDOWN_FACTOR
    await trio.sleep(SLOWDOWN_SECONDS + fault.seconds)
    backend.slowdown = 1.0
