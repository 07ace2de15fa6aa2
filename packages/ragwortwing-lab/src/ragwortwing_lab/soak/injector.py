"""Brings the faults of a soak about from outside, and undoes them."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from ..standins.faults import Direction, Fault, FaultKind
from ..standins.published_backend import SERVERS_TOPIC, Misbehaviour
from ..standins.published_store import StoreMood
from .fleet import DRAIN, end_backend
from .observations import Disturbance, LimitedSpan, Span, incarnation
from .schedule import CUTS_ANSWERS, DISTURBS_ALL, DISTURBS_ENTRY, STRIKES_ENTRY, SoakFault

if TYPE_CHECKING:
    from ..fault_proxy import FaultProxy
    from ..standins.platform_site import EntryProcess
    from .fleet import Fleet, Seat
    from .schedule import PlannedFault

Handler = Callable[["Injector", "PlannedFault"], Awaitable[None]]

_handlers_by_kind: dict[SoakFault, Handler] = {}

HELD_UP = 0.15
"""Seconds for which a slow link holds each piece."""

STORE_DELAY = 0.3
"""Seconds that each call to a slow store takes longer."""


NARROW_LINK = 150_000
"""Bytes a second of a narrow link to the store."""

NARROW_FOR = 6.0
"""Seconds that a link is narrow, besides the fault's own."""

BULK_ROUTES = 800
"""Routes of a large configuration: over a narrow link it takes a second and more."""

LARGE_INTERVAL = 3.0
"""Least seconds from a configuration to a large one: the store takes some to accept one, and an
operator waits for that."""

LIMITS = (0.5, 1.0, 3.0)
"""Requests a second that a backend server in need names."""

LIMITED_FOR = 6.0
"""Seconds that a backend server is in need, besides the fault's own: its limit binds only after
some of them, and in a span of others."""


def strikes(kind: SoakFault) -> Callable[[Handler], Handler]:
    """Register the handler of a kind of fault."""

    def register(handler: Handler) -> Handler:
        _handlers_by_kind[kind] = handler
        return handler

    return register


class Injector:
    """Strikes a fleet by a schedule."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.struck: list[PlannedFault] = []
        self.cutting: list[Span] = []
        """When faults that may cut an answer were in force."""
        self.disturbances: list[Disturbance] = []
        self._busy_entries: set[int] = set()
        self._busy_seats: set[tuple[str, int]] = set()

    async def run(self, schedule: tuple[PlannedFault, ...]) -> None:
        """Bring each fault about at its time and return when all are undone."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in schedule:
                await trio.sleep_until(start + fault.at)
                nursery.start_soon(self._strike, fault)

    async def _strike(self, fault: PlannedFault) -> None:
        self.struck.append(fault)
        began = trio.current_time()
        await _handlers_by_kind[fault.kind](self, fault)
        span = Span(began, trio.current_time())
        if fault.kind in CUTS_ANSWERS:
            self.cutting.append(span)
        if fault.kind in DISTURBS_ALL or fault.kind in DISTURBS_ENTRY:
            number = fault.place % len(self.fleet.entries)
            entry = None if fault.kind in DISTURBS_ALL else number
            self.disturbances.append(Disturbance(span, entry, fault.kind in STRIKES_ENTRY))

    async def on_entry(
        self, fault: PlannedFault, strike: Callable[[EntryProcess, int], Awaitable[None]]
    ) -> None:
        """Strike one entry, unless it is being struck by something that replaces it."""
        number = fault.place % len(self.fleet.entries)
        if number in self._busy_entries:
            return
        self._busy_entries.add(number)
        try:
            await strike(self.fleet.entries[number], number)
        finally:
            self._busy_entries.discard(number)

    def seat(self, fault: PlannedFault) -> Seat:
        """Return the struck place of a backend server."""
        return self.fleet.seats[fault.place % len(self.fleet.seats)]

    async def replace(self, seat: Seat) -> None:
        """Put a new incarnation in a seat whose backend server has ended."""
        key = (seat.service, seat.number)
        if key in self._busy_seats:
            return
        self._busy_seats.add(key)
        try:
            await self.fleet.seat_backend(seat)
        finally:
            self._busy_seats.discard(key)


async def _fault_for(proxy: FaultProxy, seconds: float, fault: Fault) -> None:
    proxy.set_fault(fault)
    await trio.sleep(seconds)
    proxy.faults.clear()


@strikes(SoakFault.KILL_ENTRY)
async def _kill_entry(injector: Injector, fault: PlannedFault) -> None:
    async def kill(entry: EntryProcess, number: int) -> None:
        injector.fleet.note_ended(entry)
        injector.fleet.signal(entry, signal.SIGKILL)
        await injector.fleet.restart(entry, number)

    await injector.on_entry(fault, kill)


@strikes(SoakFault.FREEZE_ENTRY)
async def _freeze_entry(injector: Injector, fault: PlannedFault) -> None:
    async def freeze(entry: EntryProcess, _: int) -> None:
        injector.fleet.signal(entry, signal.SIGSTOP)
        await trio.sleep(fault.seconds)
        injector.fleet.signal(entry, signal.SIGCONT)

    await injector.on_entry(fault, freeze)


@strikes(SoakFault.STOP_ENTRY)
async def _stop_entry(injector: Injector, fault: PlannedFault) -> None:
    async def stop(entry: EntryProcess, number: int) -> None:
        injector.fleet.note_ended(entry)
        injector.fleet.stopped_at_by_incarnation[incarnation(entry)] = trio.current_time()
        injector.fleet.signal(entry, signal.SIGTERM)
        await injector.fleet.restart(entry, number)

    await injector.on_entry(fault, stop)


@strikes(SoakFault.RELOAD_ENTRY)
async def _reload_entry(injector: Injector, fault: PlannedFault) -> None:
    entries = injector.fleet.entries
    injector.fleet.signal(entries[fault.place % len(entries)], signal.SIGHUP)


async def _store_mood(injector: Injector, fault: PlannedFault, mood: StoreMood) -> None:
    store = injector.fleet.site.store
    store.mood = mood
    await trio.sleep(fault.seconds)
    store.mood = StoreMood.WELL


@strikes(SoakFault.STORE_SILENT)
async def _store_silent(injector: Injector, fault: PlannedFault) -> None:
    await _store_mood(injector, fault, StoreMood.SILENT)


@strikes(SoakFault.STORE_BUSY)
async def _store_busy(injector: Injector, fault: PlannedFault) -> None:
    await _store_mood(injector, fault, StoreMood.BUSY)


@strikes(SoakFault.STORE_RESETS)
async def _store_resets(injector: Injector, fault: PlannedFault) -> None:
    await _store_mood(injector, fault, StoreMood.RESET)


@strikes(SoakFault.STORE_SLOW)
async def _store_slow(injector: Injector, fault: PlannedFault) -> None:
    store = injector.fleet.site.store
    store.faults.set(Fault(FaultKind.SLOW, seconds=STORE_DELAY))
    await trio.sleep(fault.seconds)
    store.faults.clear()


@strikes(SoakFault.STORE_FORGETS)
async def _store_forgets(injector: Injector, _: PlannedFault) -> None:
    injector.fleet.site.store.forget_history()


def _store_link(injector: Injector, fault: PlannedFault) -> FaultProxy:
    proxies = injector.fleet.store_proxies
    return proxies[fault.place % len(proxies)]


@strikes(SoakFault.STORE_REFUSES_ONE)
async def _store_refuses_one(injector: Injector, fault: PlannedFault) -> None:
    proxy = _store_link(injector, fault)
    proxy.set_fault(Fault(FaultKind.CUT))
    await _fault_for(proxy, fault.seconds, Fault(FaultKind.REFUSE))


@strikes(SoakFault.STORE_LINK_SILENT)
async def _store_link_silent(injector: Injector, fault: PlannedFault) -> None:
    silent = Fault(FaultKind.SILENT, existing_only=True)
    await _fault_for(_store_link(injector, fault), fault.seconds, silent)


@strikes(SoakFault.LINK_CUT)
async def _link_cut(injector: Injector, fault: PlannedFault) -> None:
    await _fault_for(injector.seat(fault).proxy, 0.0, Fault(FaultKind.CUT))


@strikes(SoakFault.LINK_SILENT)
async def _link_silent(injector: Injector, fault: PlannedFault) -> None:
    silent = Fault(FaultKind.SILENT, existing_only=True)
    await _fault_for(injector.seat(fault).proxy, fault.seconds, silent)


@strikes(SoakFault.LINK_ONE_WAY)
async def _link_one_way(injector: Injector, fault: PlannedFault) -> None:
    one_way = Fault(FaultKind.SILENT, direction=Direction.TO_CLIENT)
    await _fault_for(injector.seat(fault).proxy, fault.seconds, one_way)


@strikes(SoakFault.LINK_SLOW)
async def _link_slow(injector: Injector, fault: PlannedFault) -> None:
    slow = Fault(FaultKind.SLOW, seconds=HELD_UP)
    await _fault_for(injector.seat(fault).proxy, fault.seconds, slow)


@strikes(SoakFault.BACKEND_MISBEHAVES)
async def _backend_misbehaves(injector: Injector, fault: PlannedFault) -> None:
    backend = injector.seat(fault).backend
    assert backend is not None
    backend.misbehaviour = injector.fleet.random.choice(list(Misbehaviour))
    await trio.sleep(fault.seconds)
    backend.misbehaviour = Misbehaviour.NONE


@strikes(SoakFault.BACKEND_CRASHES)
async def _backend_crashes(injector: Injector, fault: PlannedFault) -> None:
    seat = injector.seat(fault)
    backend = seat.backend
    assert backend is not None
    end_backend(seat.scopes)
    await trio.sleep(fault.seconds)
    injector.fleet.site.store.drop(SERVERS_TOPIC, backend.id)
    if seat.backend is backend:
        await injector.replace(seat)


@strikes(SoakFault.BACKEND_LEAVES)
async def _backend_leaves(injector: Injector, fault: PlannedFault) -> None:
    fleet, seat = injector.fleet, injector.seat(fault)
    backend, scopes = seat.backend, seat.scopes
    assert backend is not None
    await injector.replace(seat)
    if seat.backend is backend:
        return
    backend.announce(fleet.site.store, state="draining")
    await trio.sleep(DRAIN + fault.seconds)
    end_backend(scopes)
    fleet.site.store.drop(SERVERS_TOPIC, backend.id)


@strikes(SoakFault.CONFIGURE)
async def _configure(injector: Injector, _: PlannedFault) -> None:
    injector.fleet.publish()


@strikes(SoakFault.CONFIGURE_LARGE)
async def _configure_large(injector: Injector, _: PlannedFault) -> None:
    published = injector.fleet.published
    if not published or trio.current_time() - published[-1].at >= LARGE_INTERVAL:
        injector.fleet.publish(BULK_ROUTES)


@strikes(SoakFault.STORE_LINK_NARROW)
async def _store_link_narrow(injector: Injector, fault: PlannedFault) -> None:
    narrow = Fault(FaultKind.NARROW, per_second=NARROW_LINK)
    await _fault_for(_store_link(injector, fault), NARROW_FOR + fault.seconds, narrow)


@strikes(SoakFault.BACKEND_LIMITS)
async def _backend_limits(injector: Injector, fault: PlannedFault) -> None:
    backend = injector.seat(fault).backend
    if backend is None or backend.rate_limit is not None:
        return
    rate = LIMITS[fault.place % len(LIMITS)]
    backend.rate_limit = str(rate)
    began = trio.current_time()
    await trio.sleep(LIMITED_FOR + fault.seconds)
    backend.rate_limit = None
    span = Span(began, trio.current_time())
    injector.fleet.limited.append(LimitedSpan(backend, rate, span))
