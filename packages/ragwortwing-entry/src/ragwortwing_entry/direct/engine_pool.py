"""The components for one pool of engines: its queue, its scheduler and admission to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from .engine_admission import EngineAdmission
from .pool_scheduler import PoolScheduler
from .queue_dispatcher import QueueDispatcher

if TYPE_CHECKING:
    from .crash_watch import CrashWatch
    from .entry_state import EntryState
    from .run_reporting import RunReporting

MAINTENANCE_INTERVAL = 0.03
"""Seconds between checks for grants to resend and entries to expire."""


class EnginePool:
    """One entry's queue, scheduler and admission for one pool of engines."""

    def __init__(
        self, name: str, state: EntryState, reporting: RunReporting, crashes: CrashWatch
    ) -> None:
        self.dispatcher = QueueDispatcher(name, state)
        self.scheduler = PoolScheduler(name, state, self.dispatcher)
        self.admission = EngineAdmission(name, state, self.dispatcher, reporting, crashes)

    async def run(self) -> None:
        """Run the pool's background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.dispatcher.run)
            while True:
                await trio.sleep(MAINTENANCE_INTERVAL)
                self.scheduler.maintain()
                self.dispatcher.refresh_memory_share()
