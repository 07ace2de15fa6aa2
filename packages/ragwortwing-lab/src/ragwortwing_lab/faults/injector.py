"""Injects scheduled faults into a running site and reverts them."""

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

LOST_REPLY_COUNT = 3
SLOW_FACTOR = 10.0
LOG_DELAY_SECONDS = 0.4
"""Additional seconds that each call to a slow log takes."""


def handles(action: FaultAction) -> Callable[[Handler], Handler]:
    """Register the decorated function as the handler of a kind of fault."""

    def register(handler: Handler) -> Handler:
        _handlers_by_action[action] = handler
        return handler

    return register


class Injector:
    """Injects scheduled faults into a site.

    A fault is skipped if its target still has another fault. Otherwise reverting one fault could
    undo or overwrite the other.
    """

    def __init__(self, site: Site) -> None:
        self.site = site
        self.killed_entries: set[str] = set()
        """Base URLs of entries that were killed at least once."""
        self.races: list[PresetRace] = []
        self.injected: list[PlannedFault] = []
        self._busy_targets: set[str] = set()

    async def run(self, schedule: tuple[PlannedFault, ...]) -> None:
        """Inject each fault at its time and return when all are reverted."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in schedule:
                await trio.sleep_until(start + fault.at)
                nursery.start_soon(self._apply, fault)

    async def _apply(self, fault: PlannedFault) -> None:
        target = _target_name(fault)
        if target in self._busy_targets:
            return
        self._busy_targets.add(target)
        self.injected.append(fault)
        try:
            await _handlers_by_action[fault.action](self, fault)
        finally:
            self._busy_targets.discard(target)

    def process(self, name: str) -> Process:
        """Return the site's process of that name."""
        return self.site.process_by_name[name]

    async def kill(self, name: str) -> None:
        """Kill a process, as a crash does, and wait until it has exited."""
        process = self.process(name)
        process.kill()
        await process.wait_exited()

    async def freeze(self, name: str, seconds: float) -> None:
        """Suspend a process for some seconds."""
        process = self.process(name)
        process.freeze()
        await trio.sleep(seconds)
        process.unfreeze()

    async def apply_fault(self, name: str, duration: float, kind: str, **fields: object) -> None:
        """Set a stand-in's fault and clear it after `duration` seconds."""
        await self.site.fault(name, kind, **fields)
        await trio.sleep(duration)
        await self.site.clear(name)


def _target_name(fault: PlannedFault) -> str:
    if fault.action.endswith("_entry"):
        return f"entry-{fault.index}"
    if fault.action.startswith(("log", "membership")):
        return "store"
    if fault.action is FaultAction.RACE_OPERATORS:
        return "operators"
    return f"{fault.backend}-{fault.index}"


@handles(FaultAction.KILL_ENTRY)
async def _kill_entry(injector: Injector, fault: PlannedFault) -> None:
    name = f"entry-{fault.index}"
    injector.killed_entries.add(injector.site.entry_url(fault.index))
    await injector.kill(name)
    await injector.site.start_entry(fault.index)


@handles(FaultAction.KILL_AGENT)
async def _kill_agent(injector: Injector, fault: PlannedFault) -> None:
    await injector.kill(f"agent-{fault.backend}-{fault.index}")
    await injector.site.start_agent(fault.backend, fault.index)


@handles(FaultAction.KILL_BACKEND)
async def _kill_backend(injector: Injector, fault: PlannedFault) -> None:
    name = f"{fault.backend}-{fault.index}"
    port = int(injector.process(name).listen["http"].rpartition(":")[2])
    await injector.kill(name)
    await trio.sleep(fault.seconds / 2)
    await injector.site.start_backend(fault.backend, fault.index, port)


@handles(FaultAction.FREEZE_ENTRY)
async def _freeze_entry(injector: Injector, fault: PlannedFault) -> None:
    await injector.freeze(f"entry-{fault.index}", fault.seconds)


@handles(FaultAction.FREEZE_AGENT)
async def _freeze_agent(injector: Injector, fault: PlannedFault) -> None:
    await injector.freeze(f"agent-{fault.backend}-{fault.index}", fault.seconds)


@handles(FaultAction.FREEZE_BACKEND)
async def _freeze_backend(injector: Injector, fault: PlannedFault) -> None:
    await injector.freeze(f"{fault.backend}-{fault.index}", fault.seconds)


@handles(FaultAction.CUT_CONNECTIONS)
async def _cut_connections(injector: Injector, fault: PlannedFault) -> None:
    await injector.site.fault(_proxy(fault), "cut")
    await injector.site.clear(_proxy(fault))


@handles(FaultAction.SILENCE_CONNECTIONS)
async def _silence_connections(injector: Injector, fault: PlannedFault) -> None:
    await injector.site.fault(_proxy(fault), "silent")
    await injector.site.clear(_proxy(fault))


@handles(FaultAction.LOG_OUTAGE)
async def _log_outage(injector: Injector, fault: PlannedFault) -> None:
    await injector.apply_fault("store", fault.seconds, "records_outage")


@handles(FaultAction.LOG_SLOW)
async def _log_slow(injector: Injector, fault: PlannedFault) -> None:
    await injector.apply_fault("store", fault.seconds, "slow", seconds=LOG_DELAY_SECONDS)


@handles(FaultAction.LOG_LOSES_REPLIES)
async def _log_loses_replies(injector: Injector, fault: PlannedFault) -> None:
    await injector.apply_fault("store", fault.seconds, "lose_reply", count=LOST_REPLY_COUNT)


@handles(FaultAction.LOG_SILENT)
async def _log_silent(injector: Injector, fault: PlannedFault) -> None:
    await injector.apply_fault("store", fault.seconds, "silent", count=LOST_REPLY_COUNT)


@handles(FaultAction.MEMBERSHIP_OUTAGE)
async def _membership_outage(injector: Injector, fault: PlannedFault) -> None:
    await injector.apply_fault("store", fault.seconds, "groups_outage")


@handles(FaultAction.BACKEND_SLOW)
async def _backend_slow(injector: Injector, fault: PlannedFault) -> None:
    await injector.apply_fault(
        f"{fault.backend}-{fault.index}", fault.seconds, "slow", seconds=0.3, factor=SLOW_FACTOR
    )


@handles(FaultAction.BACKEND_DROPS_REPLIES)
async def _backend_drops_replies(injector: Injector, fault: PlannedFault) -> None:
    await injector.apply_fault(f"{fault.backend}-{fault.index}", fault.seconds, "drop_replies")


@handles(FaultAction.DRAIN_AGENT)
async def _drain_agent(injector: Injector, fault: PlannedFault) -> None:
    await injector.process(f"agent-{fault.backend}-{fault.index}").stop()
    await injector.site.start_agent(fault.backend, fault.index)


@handles(FaultAction.RACE_OPERATORS)
async def _race_operators(injector: Injector, _: PlannedFault) -> None:
    race = await race_presets(injector.site)
    if race is not None:
        injector.races.append(race)


def _proxy(fault: PlannedFault) -> str:
    return f"proxy-agent-{fault.backend}-{fault.index}"
