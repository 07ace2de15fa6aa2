"""Accepts the connections of callers, and closes those that an overrun event loop cannot serve."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.accept_gate import TARGET_DELAY, AcceptGate
from ragwortwing_runtime.tcp_sockets import accept_now, reset

from .decision_log import decided, warned

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ragwortwing_policy.clock import Clock
    from ragwortwing_runtime.connection_slots import ConnectionSlots

MAX_SERVED_PER_TURN = 8
"""Most connections of which a first request is read in one turn of the event loop. With more, the
turns of an overrun entry are so long that the limit on connections follows too late."""

TURNS_PER_REQUEST = 8
"""Turns of the event loop that a request takes from its first byte to its answer."""

MAX_ACCEPTED_PER_TURN = 256
"""Most connections that are accepted in one turn of the event loop, to serve or to close them."""

CLOSED_LOG_INTERVAL = 1.0
"""Minimum seconds between log lines about connections that are closed unread."""

ACCEPT_RETRY_SECONDS = 0.05
"""Seconds until the next attempt after the operating system refused to accept a connection."""


class ConnectionAcceptor:
    """Accepts connections and serves each in a task of its own.

    Args:
        clock: Measures how long the event loop delays requests.
        serve: Serves a connection until it ends.
        slots: The places for connections.
    """

    def __init__(
        self,
        clock: Clock,
        serve: Callable[[trio.socket.SocketType], Awaitable[None]],
        slots: ConnectionSlots,
    ) -> None:
        self._clock = clock
        self._serve = serve
        self._slots = slots
        self._gate = AcceptGate()
        self._closed_logged = self._displaced_logged = 0
        self._logged_at = -inf

    async def run(self, listener: trio.socket.SocketType) -> None:
        """Accept connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    sock, _ = await listener.accept()
                    self._accept_waiting(sock, listener, nursery)
                except OSError as error:
                    decided("accept_failed", cause=str(error))
                    await trio.sleep(ACCEPT_RETRY_SECONDS)
                self._log_closed()

    def _accept_waiting(
        self, first: trio.socket.SocketType, listener: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        """Serve or close a connection and those that wait behind it in the kernel."""
        sock: trio.socket.SocketType | None = first
        served = accepted = 0
        while sock is not None:
            accepted += 1
            if self._gate.accepts(now := self._clock.monotonic()) and self._slots.admit(sock):
                nursery.start_soon(self._serve_and_release, sock)
                nursery.start_soon(self._measure_delay, now)
                served += 1
            else:
                reset(sock)
            if served == MAX_SERVED_PER_TURN or accepted == MAX_ACCEPTED_PER_TURN:
                return
            sock = accept_now(listener)

    async def _serve_and_release(self, sock: trio.socket.SocketType) -> None:
        try:
            await self._serve(sock)
        finally:
            self._slots.release(sock)

    async def _measure_delay(self, accepted_at: float) -> None:
        """Measure how long the event loop delays a request of a connection."""
        now = accepted_at
        for _ in range(TURNS_PER_REQUEST):
            await trio.lowlevel.checkpoint()
            now = self._clock.monotonic()
            if now - accepted_at > TARGET_DELAY:
                # In long turns the whole delay would be known much too late.
                break
        self._gate.delayed(now - accepted_at, now)

    def _log_closed(self) -> None:
        """Log how many connections were closed for want of processor time or places."""
        now, closed, displaced = self._clock.monotonic(), self._gate.closed, self._slots.turned_away
        if now < self._logged_at + CLOSED_LOG_INTERVAL:
            return
        if closed != self._closed_logged:
            rate = None if self._gate.rate == inf else round(self._gate.rate)
            decided(
                "connections_closed_unread", count=closed - self._closed_logged, rate_limit=rate
            )
            self._closed_logged, self._logged_at = closed, now
        if displaced != self._displaced_logged:
            warned(
                "connection_limit_reached",
                count=displaced - self._displaced_logged,
                limit=self._slots.table.bound,
                refused=self._slots.refused,
                closed={each.name: n for each, n in self._slots.closed_by_activity.items()},
            )
            self._displaced_logged, self._logged_at = displaced, now
