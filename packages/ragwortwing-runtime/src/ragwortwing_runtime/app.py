"""The application object: it owns the nursery, the life cycle and the planned stop of a process."""

from __future__ import annotations

import signal
import sys
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

import logbook
import msgspec
import trio

from .message_handlers import MessageHandlers
from .system_clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from datetime import timedelta

    from ragwortwing_policy.clock import Clock

log = logbook.Logger("app")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask for a planned stop."""

CUT_EXIT_CODE = 3
"""Exit code where the stop cut requests in flight."""


class Phase(StrEnum):
    """Where a process is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class StopLimit(Protocol):
    """How long a planned stop may take."""

    @property
    def limit(self) -> timedelta:
        """Time for requests in flight to finish."""
        ...


class App(MessageHandlers):
    """Base of a process.

    A subclass opens what it owns in `mount`, closes it in `unmount`, and finishes what is in flight
    in `drain`. Tasks are started in `nursery`, which ends with the application.
    """

    def __init__(self, name: str, shutdown: StopLimit, clock: Clock | None = None) -> None:
        self.name = name
        self.clock: Clock = clock or SystemClock()
        self.phase = Phase.STARTING
        self._shutdown = shutdown
        self._nursery: trio.Nursery | None = None
        self._stop_requested = trio.Event()
        self._stop_forced = trio.Event()

    @property
    def nursery(self) -> trio.Nursery:
        """The nursery of the application's tasks."""
        assert self._nursery is not None, "the application is not running"
        return self._nursery

    async def mount(self) -> Mapping[str, str]:
        """Open what the application owns.

        Returns:
            The addresses it listens on, by name, for the ready line.
        """
        return {}

    async def drain(self) -> None:
        """Take nothing new and return once nothing is in flight."""

    def unfinished(self) -> tuple[str, ...]:
        """Return the ids of the requests in flight."""
        return ()

    async def unmount(self) -> None:
        """Close what the application owns."""

    def stop(self) -> None:
        """Ask for a planned stop; asked again, the stop does not wait any longer."""
        if self._stop_requested.is_set():
            self._stop_forced.set()
        self._stop_requested.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> int:
        """Run until a planned stop.

        Args:
            task_status: Told once the application is ready.

        Returns:
            The exit code of the process.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                listen = await self.mount()
                self.phase = Phase.SERVING
                print_ready(self.name, listen)
                task_status.started()
                await self._stop_requested.wait()
                cut = await self._drain_within_limit()
            finally:
                with trio.CancelScope(shield=True):
                    await self.unmount()
                self.phase = Phase.STOPPED
            nursery.cancel_scope.cancel()
        return CUT_EXIT_CODE if cut else 0

    async def run_with_signals(self) -> int:
        """Run as the one application of the process, which the stop signals end."""
        with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._stop_on_signals, signals)
                code = await self.run()
                nursery.cancel_scope.cancel()
        return code

    async def _stop_on_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            log.info("Stop requested", signal=signal.Signals(number).name)
            self.stop()

    async def _drain_within_limit(self) -> tuple[str, ...]:
        self.phase = Phase.DRAINING
        log.info("Draining", in_flight=len(self.unfinished()))
        with trio.move_on_after(self._shutdown.limit.total_seconds()):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_forced, nursery.cancel_scope)
                await self.drain()
                nursery.cancel_scope.cancel()
        cut = self.unfinished()
        if cut:
            log.error("Requests in flight were cut", request_ids=cut)
        else:
            log.info("Drained")
        return cut

    async def _cancel_when_forced(self, scope: trio.CancelScope) -> None:
        await self._stop_forced.wait()
        scope.cancel()


def print_ready(name: str, listen: Mapping[str, str]) -> None:
    """Print the one line of standard output that says that a process is ready.

    Args:
        name: Name of the process.
        listen: The addresses it listens on, by name.
    """
    line = msgspec.json.encode({"ready": True, "name": name, "listen": dict(listen)})
    sys.stdout.write(line.decode() + "\n")
    sys.stdout.flush()
