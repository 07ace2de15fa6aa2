"""Datagrams between entries.

A datagram that is lost or late is made good by the next, so neither order nor delivery is wanted of
the transport.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import msgspec
import trio

from .decision_log import decided, warned
from .peer_messages import (
    LARGEST_DATAGRAM,
    PeerMessage,
    StatusMessage,
    decode,
    encode,
    status_message,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_policy.direct.peer_status import StatusBook

    Handler = Callable[[PeerMessage, "Address"], None]
    StatusHandler = Callable[[StatusMessage], None]

Address = tuple[str, int]
"""IP number and port."""

LEARNED_FOR = 5.0
"""Seconds for which a peer is sent to that is not on the list of members but sends statuses.

The list shows a new entry late, and one that the store turns away not at all."""

MOST_AT_ONCE = 64
"""Datagrams taken in at one turn of the loop after the first."""

STATUS_POLL = 0.1
"""Seconds between two checks whether a status is due."""


class PeerLink:
    """Sends and receives datagrams, and keeps the statuses going."""

    def __init__(self, book: StatusBook, clock: Clock) -> None:
        self._book = book
        self._clock = clock
        self._member_addresses_by_name: dict[str, Address] = {}
        self._addresses_by_name: dict[str, Address] = {}
        self._heard_at_by_name: dict[str, Instant] = {}
        self._socket: socket.socket | None = None
        self._status_due = trio.Event()
        self._handler: Handler | None = None
        self._status_handlers: list[StatusHandler] = []
        self._can_schedule: Callable[[], bool] = lambda: False
        self.unreadable = 0
        """Datagrams that were dropped because they could not be decoded."""

    @property
    def members(self) -> frozenset[str]:
        """The peers on the list of members."""
        return frozenset(self._member_addresses_by_name)

    def set_peers(self, addresses_by_name: Mapping[str, Address]) -> None:
        """Take over where the others are."""
        if dict(addresses_by_name) != self._member_addresses_by_name:
            decided("peers_changed", peers=sorted(addresses_by_name))
        self._member_addresses_by_name = dict(addresses_by_name)
        self._addresses_by_name.update(addresses_by_name)
        self._forget_silent(self._clock.monotonic())

    def on_message(self, handler: Handler, can_schedule: Callable[[], bool]) -> None:
        """Register who takes in messages, and who knows whether this entry can schedule."""
        self._handler = handler
        self._can_schedule = can_schedule

    def on_status(self, handler: StatusHandler) -> None:
        """Register one more that takes in each peer's statuses."""
        self._status_handlers.append(handler)

    def wake(self) -> None:
        """Send a status at once."""
        self._status_due.set()

    def knows(self, peer: str) -> bool:
        """Return whether a peer's address is known."""
        return peer in self._addresses_by_name

    def send(self, message: PeerMessage, peer: str) -> None:
        """Send a message to a peer; one that cannot be sent now is lost like any other."""
        address = self._addresses_by_name.get(peer)
        if address is not None:
            self.send_to(message, address)

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all peers."""
        for address in self._addresses_by_name.values():
            self.send_to(message, address)

    def send_to(self, message: PeerMessage, address: Address) -> None:
        """Send a message to an address."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(encode(message), address)
        except OSError as error:
            decided("datagram_not_sent", address=address, cause=str(error))

    async def run(self, host: str, port: int) -> None:
        """Send and receive until cancelled."""
        # Sent to without waiting: a datagram that does not fit into the buffer is lost.
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, trio.socket.from_stdlib_socket(self._socket))
            nursery.start_soon(self._send_statuses)

    async def _send_statuses(self) -> None:
        while True:
            with trio.move_on_after(STATUS_POLL):
                await self._status_due.wait()
            self._status_due = trio.Event()
            now = self._clock.monotonic()
            self._book.schedules(now, can_schedule=self._can_schedule())
            status = self._book.due(now)
            if status is None:
                continue
            self._forget_silent(now)
            self.broadcast(status_message(status))

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, address = await sock.recvfrom(LARGEST_DATAGRAM)
            except OSError as error:
                decided("datagram_not_received", cause=str(error))
                continue
            self._take_datagram(data, address)
            self._receive_queued()

    def _receive_queued(self) -> None:
        """Take in what has queued up meanwhile.

        On a VM that is out of processor time a turn of the loop takes long; one datagram a turn
        would leave news of the configuration behind seconds of older ones.
        """
        assert self._socket is not None, "the link is not running"
        for _ in range(MOST_AT_ONCE):
            try:
                data, address = self._socket.recvfrom(LARGEST_DATAGRAM)
            except OSError:
                # None is left, or the next wait tells what is wrong.
                return
            self._take_datagram(data, address)

    def _take_datagram(self, data: bytes, address: Address) -> None:
        try:
            message = decode(data)
        except msgspec.MsgspecError as error:
            self.unreadable += 1
            warned("datagram_unreadable", sender=address, cause=str(error))
            return
        self._take(message, address)

    def _take(self, message: PeerMessage, address: Address) -> None:
        if isinstance(message, StatusMessage):
            now = self._clock.monotonic()
            self._addresses_by_name[message.sender] = address
            self._heard_at_by_name[message.sender] = now
            self._book.take(status_of(message), now)
            for handler in self._status_handlers:
                handler(message)
        elif self._handler is not None:
            self._handler(message, address)

    def _forget_silent(self, now: Instant) -> None:
        """Stop sending to entries that are on no list and have fallen silent."""
        for name in list(self._addresses_by_name):
            heard_at = self._heard_at_by_name.get(name)
            is_silent = heard_at is None or now - heard_at > LEARNED_FOR
            if is_silent and name not in self._member_addresses_by_name:
                del self._addresses_by_name[name]
                self._heard_at_by_name.pop(name, None)
