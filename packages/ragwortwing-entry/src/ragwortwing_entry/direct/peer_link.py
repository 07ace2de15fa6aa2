"""Exchanges datagrams with the other entries and sends the periodic statuses.

The next datagram makes up for one that is lost or late, so the transport need guarantee neither
order nor delivery.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.decoding import InvalidDataError
from ragwortwing_policy.direct.scheduler_choice import PEER_SILENCE

from .decision_log import decided, failed, warned
from .peer_messages import (
    MAX_DATAGRAM_BYTES,
    BlockBody,
    PeerMessage,
    RequestBlockBody,
    StatusMessage,
    decode,
    encode,
    status_message,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_policy.direct.peer_status import StatusExchange

    Handler = Callable[[PeerMessage, "Address"], None]
    StatusHandler = Callable[[StatusMessage], None]

Address = tuple[str, int]
"""IP address and port."""

UNLISTED_PEER_TIMEOUT = 5.0
"""Seconds after its last status for which a peer outside the member list is still sent to.

A new entry appears in the list late; an entry that the store rejects never appears."""

MAX_QUEUED_PER_TURN = 64
"""Maximum queued datagrams that are handled after the first in one turn of the event loop."""

STATUS_POLL = 0.1
"""Seconds between checks whether a status is due."""


class PeerLink:
    """Sends and receives datagrams, and broadcasts this entry's status when it is due."""

    def __init__(self, book: StatusExchange, clock: Clock) -> None:
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
        self.blocks_to_report: Callable[[Instant], tuple[BlockBody, ...]] = lambda _: ()
        """Returns the blocked prompt parts that the next status lists."""
        self.requests_to_report: Callable[[Instant], tuple[RequestBlockBody, ...]] = lambda _: ()
        """Returns the blocked requests that the next status lists."""
        self.unreadable = 0
        """Number of datagrams that were dropped because they could not be decoded."""

    @property
    def members(self) -> frozenset[str]:
        """The peers on the member list."""
        return frozenset(self._member_addresses_by_name)

    def set_peers(self, addresses_by_name: Mapping[str, Address]) -> None:
        """Set the addresses of the peers on the member list."""
        if dict(addresses_by_name) != self._member_addresses_by_name:
            decided("peers_changed", peers=sorted(addresses_by_name))
            self._book.report_again()
            self.wake()
        self._member_addresses_by_name = dict(addresses_by_name)
        self._addresses_by_name.update(addresses_by_name)
        self._forget_silent(self._clock.monotonic())

    def on_message(self, handler: Handler, can_schedule: Callable[[], bool]) -> None:
        """Register the message handler, and the check whether this entry can schedule."""
        self._handler = handler
        self._can_schedule = can_schedule

    def on_status(self, handler: StatusHandler) -> None:
        """Add a handler for the statuses of peers."""
        self._status_handlers.append(handler)

    def send_status(
        self,
        peer: str,
        blocks: tuple[BlockBody, ...],
        request_blocks: tuple[RequestBlockBody, ...],
    ) -> None:
        """Send the current status with given blocked prompt parts and requests to one peer."""
        status = self._book.status(self._clock.monotonic())
        self.send(status_message(status, blocks, request_blocks), peer)

    def wake(self) -> None:
        """Trigger a status without waiting for the next poll."""
        self._status_due.set()

    def knows(self, peer: str) -> bool:
        """Return whether a peer's address is known."""
        return peer in self._addresses_by_name

    def heard(self, now: Instant) -> frozenset[str]:
        """Return the peers whose status has been received recently."""
        heard = self._heard_at_by_name.items()
        return frozenset(name for name, at in heard if now - at < PEER_SILENCE)

    def send(self, message: PeerMessage, peer: str) -> None:
        """Send a message to a peer; it is dropped if it cannot be sent now."""
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
        # Sends do not block: a datagram that does not fit into the send buffer is dropped.
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
            self._book.update_can_schedule(now, can_schedule=self._can_schedule())
            status = self._book.due(now)
            if status is None:
                continue
            self._forget_silent(now)
            self.broadcast(
                status_message(status, self.blocks_to_report(now), self.requests_to_report(now))
            )

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, address = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                decided("datagram_not_received", cause=str(error))
                continue
            self._handle_datagram(data, address)
            self._receive_queued()

    def _receive_queued(self) -> None:
        """Handle the datagrams that have queued up in the socket buffer.

        On a VM that is out of CPU time, a turn of the event loop takes long. With one datagram per
        turn, configuration updates would wait for seconds behind older datagrams.
        """
        assert self._socket is not None, "the link is not running"
        for _ in range(MAX_QUEUED_PER_TURN):
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # The queue is empty, or the next blocking receive reports the error.
                return
            self._handle_datagram(data, address)

    def _handle_datagram(self, data: bytes, address: Address) -> None:
        try:
            message = decode(data)
        except InvalidDataError as error:
            self.unreadable += 1
            warned("datagram_unreadable", sender=address, cause=error.cause)
            return
        try:
            self._handle_message(message, address)
        except Exception:  # noqa: BLE001 - one message must not end the process and its requests
            failed("message_handling_failed", sender=address, kind=type(message).__name__)

    def _handle_message(self, message: PeerMessage, address: Address) -> None:
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
        """Remove the addresses of entries that are silent and not on the member list."""
        for name in list(self._addresses_by_name):
            heard_at = self._heard_at_by_name.get(name)
            is_silent = heard_at is None or now - heard_at > UNLISTED_PEER_TIMEOUT
            if is_silent and name not in self._member_addresses_by_name:
                del self._addresses_by_name[name]
                self._heard_at_by_name.pop(name, None)
