"""The engines of one service, as this entry gets them for requests, or schedules them for all."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from .engine_admission import EngineAdmission
from .pool_scheduler import PoolScheduler
from .waiting_room import WaitingRoom

if TYPE_CHECKING:
    from .entry_state import EntryState
    from .run_reporting import RunReporting

MAINTENANCE_INTERVAL = 0.03
"""Seconds between two looks for grants to repeat."""


class EnginePool:
    """What an entry has for one pool of engines."""

    def __init__(self, name: str, state: EntryState, reporting: RunReporting) -> None:
        self.room = WaitingRoom(name, state)
        self.scheduler = PoolScheduler(name, state, self.room)
        self.admission = EngineAdmission(name, state, self.room, reporting)

    async def run(self) -> None:
        """Run what the pool needs in the background."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.room.run)
            while True:
                await trio.sleep(MAINTENANCE_INTERVAL)
                self.scheduler.maintain()
