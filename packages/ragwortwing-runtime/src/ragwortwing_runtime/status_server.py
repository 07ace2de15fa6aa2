"""HTTP servers for the readiness check and the metrics, each on its own address."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.connection_table import Activity

from .connection_slots import ConnectionSlots
from .tcp_sockets import RECEIVE_BYTES, reset, send_all

if TYPE_CHECKING:
    from collections.abc import Callable

READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

EXCHANGE_TIMEOUT = 2.0
"""Seconds for a whole exchange. The platform checks readiness every second, so slow connections
must not accumulate."""

METRICS_REUSE_SECONDS = 0.25
"""Time for which the text of the metrics is used again while several connections ask for it."""


def readiness(is_ready: bool) -> bytes:
    """Return the answer to a readiness check."""
    return READY if is_ready else NOT_READY


def metrics(text: bytes) -> bytes:
    """Return the answer to a scrape of the metrics."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\n"
    return head + b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(text) + text


class StatusServer:
    """Answers each connection with the current status and closes it.

    Args:
        create_answer: Returns the answer.
        max_connections: Most connections that are open at a time. Beyond them a new one replaces
            the oldest, so that clients that send nothing do not turn the platform's check away.
        reuse_seconds: Time for which an answer is used again while other connections are open.
    """

    def __init__(
        self,
        create_answer: Callable[[], bytes],
        max_connections: int,
        reuse_seconds: float = 0.0,
    ) -> None:
        self._create_answer = create_answer
        self._slots = ConnectionSlots(max_connections)
        self._reuse_seconds = reuse_seconds
        self._answer = b""
        self._answer_expires_at = -inf

    def _current_answer(self) -> bytes:
        """Return a new answer, or the last one if it was created shortly before."""
        now = trio.current_time()
        if len(self._slots.table) <= 1 or now >= self._answer_expires_at:
            self._answer, self._answer_expires_at = self._create_answer(), now + self._reuse_seconds
        return self._answer

    async def run(self, listener: trio.socket.SocketType) -> None:
        """Accept connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    sock, _ = await listener.accept()
                except OSError:
                    await trio.sleep(0.05)
                    continue
                if self._slots.admit(sock):
                    nursery.start_soon(self._serve, sock)
                else:
                    reset(sock)

    async def _serve(self, sock: trio.socket.SocketType) -> None:
        with (
            sock,
            trio.move_on_after(EXCHANGE_TIMEOUT),
            self._slots.waiting(sock, Activity.OPENED),
        ):
            try:
                await sock.recv(RECEIVE_BYTES)
                await send_all(sock, self._current_answer())
                sock.shutdown(trio.socket.SHUT_WR)
                await sock.recv(RECEIVE_BYTES)
            except OSError:
                pass
        self._slots.release(sock)
