"""Base class of an application: its task nursery, life cycle and graceful shutdown."""

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
"""Signals that request a graceful shutdown."""

ABORTED_REQUESTS_EXIT_CODE = 3
"""Exit code when the shutdown aborted requests in flight."""


class Phase(StrEnum):
    """Phase of a process's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class StopLimit(Protocol):
    """Settings of the graceful shutdown."""

    @property
    def limit(self) -> timedelta:
        """Time that requests in flight have to finish."""
        ...


class App(MessageHandlers):
    """Base class of a process's application.

    A subclass opens its resources in `mount`, closes them in `unmount`, and finishes requests in
    flight in `drain`. It starts its tasks in `nursery`, which is cancelled when the application
    stops.
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
        """Open the application's resources.

        Returns:
            The addresses that the application listens on, by name, for the ready line.
        """
        return {}

    async def drain(self) -> None:
        """Accept no new requests and return once none is in flight."""

    def unfinished(self) -> tuple[str, ...]:
        """Return the ids of the requests in flight."""
        return ()

    async def unmount(self) -> None:
        """Close the application's resources."""

    def stop(self) -> None:
        """Request a graceful shutdown. A second call ends the wait for requests in flight."""
        if self._stop_requested.is_set():
            self._stop_forced.set()
        self._stop_requested.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> int:
        """Run until a graceful shutdown has ended.

        Args:
            task_status: Started once the application is ready.

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
                aborted = await self._drain_within_limit()
            finally:
                with trio.CancelScope(shield=True):
                    await self.unmount()
                self.phase = Phase.STOPPED
            nursery.cancel_scope.cancel()
        return ABORTED_REQUESTS_EXIT_CODE if aborted else 0

    async def run_with_signals(self) -> int:
        """Run as the only application of the process; the stop signals request its shutdown."""
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
        """Drain within the shutdown limit; return the ids of requests that did not finish."""
        self.phase = Phase.DRAINING
        log.info("Draining", in_flight=len(self.unfinished()))
        with trio.move_on_after(self._shutdown.limit.total_seconds()):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_forced, nursery.cancel_scope)
                await self.drain()
                nursery.cancel_scope.cancel()
        aborted = self.unfinished()
        if aborted:
            log.error("Shutdown aborted requests in flight", request_ids=aborted)
        else:
            log.info("Drained")
        return aborted

    async def _cancel_when_forced(self, scope: trio.CancelScope) -> None:
        await self._stop_forced.wait()
        scope.cancel()


def print_ready(name: str, listen: Mapping[str, str]) -> None:
    """Print the ready line, which reports that the process is ready and where it listens.

    It is a single JSON object on standard output.

    Args:
        name: Name of the process.
        listen: The addresses that the process listens on, by name.
    """
    line = msgspec.json.encode({"ready": True, "name": name, "listen": dict(listen)})
    sys.stdout.write(line.decode() + "\n")
    sys.stdout.flush()
