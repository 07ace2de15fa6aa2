"""Brings planned faults about at a running site, and undoes them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from .operators import PresetRace, race_presets
from .schedule import FaultAction

if TYPE_CHECKING:
    from ..processes import Process
    from ..site import Site
    from .schedule import PlannedFault

Handler = Callable[["Injector", "PlannedFault"], Awaitable[None]]

_handlers_by_action: dict[FaultAction, Handler] = {}

LOST_REPLIES = 3
SLOW_FACTOR = 10.0
LOG_DELAY = 0.4
"""Seconds that each call to a slow log takes."""


def brings_about(action: FaultAction) -> Callable[[Handler], Handler]:
    """Register the handler of a kind of fault."""

    def register(handler: Handler) -> Handler:
        _handlers_by_action[action] = handler
        return handler

    return register


class Injector:
    """Runs a schedule against a site.

    A place that is hit already is left alone until it is whole again, so that a fault's undoing
    finds what it left.
    """

    def __init__(self, site: Site) -> None:
        self.site = site
        self.stopped_entries: set[str] = set()
        """Base URLs of entries that were killed."""
        self.races: list[PresetRace] = []
        self.brought_about: list[PlannedFault] = []
        self._busy: set[str] = set()

    async def run(self, schedule: tuple[PlannedFault, ...]) -> None:
        """Bring each fault about at its time and return when all are undone."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in schedule:
                await trio.sleep_until(start + fault.at)
                nursery.start_soon(self._apply, fault)

    async def _apply(self, fault: PlannedFault) -> None:
        place = _place(fault)
        if place in self._busy:
            return
        self._busy.add(place)
        self.brought_about.append(fault)
        try:
            await _handlers_by_action[fault.action](self, fault)
        finally:
            self._busy.discard(place)

    def process(self, name: str) -> Process:
        """Return a process of the site."""
        return self.site.process_by_name[name]

    async def kill(self, name: str) -> None:
        """End a process as a crash would."""
        process = self.process(name)
        process.kill()
        await process.wait_dead()

    async def freeze(self, name: str, seconds: float) -> None:
        """Stop a process from running for a while."""
        process = self.process(name)
        process.freeze()
        await trio.sleep(seconds)
        process.thaw()

    async def fault_for(self, name: str, duration: float, kind: str, **fields: object) -> None:
        """Set a stand-in's fault, and clear it after a while."""
        await self.site.fault(name, kind, **fields)
        await trio.sleep(duration)
        await self.site.clear(name)


def _place(fault: PlannedFault) -> str:
    if fault.action.endswith("_entry"):
        return f"entry-{fault.index}"
    if fault.action.startswith(("log", "membership")):
        return "store"
    if fault.action is FaultAction.RACE_OPERATORS:
        return "operators"
    return f"{fault.backend}-{fault.index}"


@brings_about(FaultAction.KILL_ENTRY)
async def _kill_entry(injector: Injector, fault: PlannedFault) -> None:
    name = f"entry-{fault.index}"
    injector.stopped_entries.add(injector.site.entry_url(fault.index))
    await injector.kill(name)
    await injector.site.start_entry(fault.index)


@brings_about(FaultAction.KILL_AGENT)
async def _kill_agent(injector: Injector, fault: PlannedFault) -> None:
    await injector.kill(f"agent-{fault.backend}-{fault.index}")
    await injector.site.start_agent(fault.backend, fault.index)


@brings_about(FaultAction.KILL_BACKEND)
async def _kill_backend(injector: Injector, fault: PlannedFault) -> None:
    name = f"{fault.backend}-{fault.index}"
    port = int(injector.process(name).listen["http"].rpartition(":")[2])
    await injector.kill(name)
    await trio.sleep(fault.seconds / 2)
    await injector.site.start_backend(fault.backend, fault.index, port)


@brings_about(FaultAction.FREEZE_ENTRY)
async def _freeze_entry(injector: Injector, fault: PlannedFault) -> None:
    await injector.freeze(f"entry-{fault.index}", fault.seconds)


@brings_about(FaultAction.FREEZE_AGENT)
async def _freeze_agent(injector: Injector, fault: PlannedFault) -> None:
    await injector.freeze(f"agent-{fault.backend}-{fault.index}", fault.seconds)


@brings_about(FaultAction.FREEZE_BACKEND)
async def _freeze_backend(injector: Injector, fault: PlannedFault) -> None:
    await injector.freeze(f"{fault.backend}-{fault.index}", fault.seconds)


@brings_about(FaultAction.CUT_CONNECTIONS)
async def _cut(injector: Injector, fault: PlannedFault) -> None:
    await injector.site.fault(_proxy(fault), "cut")
    await injector.site.clear(_proxy(fault))


@brings_about(FaultAction.SILENCE_CONNECTIONS)
async def _silence(injector: Injector, fault: PlannedFault) -> None:
    await injector.site.fault(_proxy(fault), "silent")
    await injector.site.clear(_proxy(fault))


@brings_about(FaultAction.LOG_OUTAGE)
async def _log_outage(injector: Injector, fault: PlannedFault) -> None:
    await injector.fault_for("store", fault.seconds, "records_outage")


@brings_about(FaultAction.LOG_SLOW)
async def _log_slow(injector: Injector, fault: PlannedFault) -> None:
    await injector.fault_for("store", fault.seconds, "slow", seconds=LOG_DELAY)


@brings_about(FaultAction.LOG_LOSES_REPLIES)
async def _log_loses_replies(injector: Injector, fault: PlannedFault) -> None:
    await injector.fault_for("store", fault.seconds, "lose_reply", count=LOST_REPLIES)


@brings_about(FaultAction.LOG_SILENT)
async def _log_silent(injector: Injector, fault: PlannedFault) -> None:
    await injector.fault_for("store", fault.seconds, "silent", count=LOST_REPLIES)


@brings_about(FaultAction.MEMBERSHIP_OUTAGE)
async def _membership_outage(injector: Injector, fault: PlannedFault) -> None:
    await injector.fault_for("store", fault.seconds, "groups_outage")


@brings_about(FaultAction.BACKEND_SLOW)
async def _backend_slow(injector: Injector, fault: PlannedFault) -> None:
    await injector.fault_for(
        f"{fault.backend}-{fault.index}", fault.seconds, "slow", seconds=0.3, factor=SLOW_FACTOR
    )


@brings_about(FaultAction.BACKEND_DROPS_REPLIES)
async def _backend_drops_replies(injector: Injector, fault: PlannedFault) -> None:
    await injector.fault_for(f"{fault.backend}-{fault.index}", fault.seconds, "drop_replies")


@brings_about(FaultAction.DRAIN_AGENT)
async def _drain_agent(injector: Injector, fault: PlannedFault) -> None:
    await injector.process(f"agent-{fault.backend}-{fault.index}").stop()
    await injector.site.start_agent(fault.backend, fault.index)


@brings_about(FaultAction.RACE_OPERATORS)
async def _race(injector: Injector, _: PlannedFault) -> None:
    race = await race_presets(injector.site)
    if race is not None:
        injector.races.append(race)


def _proxy(fault: PlannedFault) -> str:
    return f"proxy-agent-{fault.backend}-{fault.index}"
