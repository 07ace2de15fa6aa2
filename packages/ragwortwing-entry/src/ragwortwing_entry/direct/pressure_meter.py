"""Measures this entry's pressure: the lag of its event loop and the memory held for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.entry_pressure import LAG_INTERVAL, PressureChange

from .decision_log import warned

if TYPE_CHECKING:
    from ragwortwing_policy.direct.entry_pressure import EntryPressure

    from .entry_state import EntryState


class PressureMeter:
    """Measures the pressure and tells peers of it."""

    def __init__(self, state: EntryState, pressure: EntryPressure) -> None:
        self._state = state
        self._pressure = pressure

    async def run(self) -> None:
        """Measure until cancelled."""
        clock, lag = self._state.clock, self._state.lag
        while True:
            planned_at = clock.monotonic() + LAG_INTERVAL
            await trio.sleep(LAG_INTERVAL)
            now = clock.monotonic()
            lag.measured(now - planned_at, now)
            memory = self._state.memory
            held = memory.held.used if memory is not None else 0.0
            change = self._pressure.update(lag.seconds, held, now)
            self._state.statuses.pressure = self._pressure.reported
            if change is not None:
                self._log(change)
                self._state.peers.wake()

    def _log(self, change: PressureChange) -> None:
        memory = self._state.memory
        warned(
            "pressure_entered" if change.entered else "pressure_left",
            pressure=change.pressure,
            lag_ms=round(1000 * change.lag),
            held=change.held,
            held_bytes=memory.held.total if memory is not None else 0,
            freezes_ignored=self._state.lag.ignored,
            capacity=self._state.identity.capacity,
        )
