"""Relays the datagrams between one entry and its peers, and drops or delays them.

The entry uses another port than its peers. The relay listens on the entry's address at the port of
the peers, and on the address of each peer at the port of the entry. Each side therefore sees the
addresses that it expects, and the datagrams are forwarded unchanged.
"""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

MAX_DATAGRAM_BYTES = 65_536


class PeerRelay:
    """Relays the datagrams of one entry.

    Attributes:
        drops_to_entry: Whether a datagram from a peer is dropped.
        drops_from_entry: Whether a datagram from the entry is dropped.
        delay: Seconds by which each datagram is delayed, in either direction.
        dropped: Number of datagrams that were dropped.
    """

    def __init__(self, entry_ip: str, entry_port: int, peer_port: int) -> None:
        """Create a relay.

        Args:
            entry_ip: Address of the entry.
            entry_port: Port at which the entry receives datagrams, and to which it sends them.
            peer_port: The same of its peers.
        """
        self.drops_to_entry: Callable[[bytes], bool] = lambda _: False
        self.drops_from_entry: Callable[[bytes], bool] = lambda _: False
        self.delay = 0.0
        self.dropped = 0
        self._entry = (entry_ip, entry_port)
        self._peer_port = peer_port

    def cut(self, *, to_entry: bool = True, from_entry: bool = True) -> None:
        """Drop all datagrams in one direction or in both."""
        self.drops_to_entry = lambda _: to_entry
        self.drops_from_entry = lambda _: from_entry

    def heal(self) -> None:
        """Drop no further datagrams."""
        self.cut(to_entry=False, from_entry=False)

    async def serve(
        self,
        peer_ips: Iterable[str],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay until cancelled.

        Args:
            peer_ips: Addresses of the peers.
            task_status: Reports the start once datagrams are received.
        """
        entry_ip, entry_port = self._entry
        async with AsyncExitStack() as stack:
            outer = stack.enter_context(await _bound_socket(entry_ip, self._peer_port))
            inner_by_ip = {
                ip: stack.enter_context(await _bound_socket(ip, entry_port)) for ip in peer_ips
            }
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(self._receive_from_peers, nursery, outer, inner_by_ip)
            for ip, inner in inner_by_ip.items():
                peer = (ip, self._peer_port)
                nursery.start_soon(self._receive_from_entry, nursery, inner, outer, peer)
            task_status.started()

    async def _receive_from_peers(
        self,
        nursery: trio.Nursery,
        outer: trio.socket.SocketType,
        inner_by_ip: Mapping[str, trio.socket.SocketType],
    ) -> None:
        while True:
            data, (ip, _) = await outer.recvfrom(MAX_DATAGRAM_BYTES)
            inner = inner_by_ip.get(ip)
            if inner is None or self.drops_to_entry(data):
                self.dropped += 1
                continue
            nursery.start_soon(self._forward, inner, data, self._entry)

    async def _receive_from_entry(
        self,
        nursery: trio.Nursery,
        inner: trio.socket.SocketType,
        outer: trio.socket.SocketType,
        peer: tuple[str, int],
    ) -> None:
        while True:
            data, _ = await inner.recvfrom(MAX_DATAGRAM_BYTES)
            if self.drops_from_entry(data):
                self.dropped += 1
                continue
            nursery.start_soon(self._forward, outer, data, peer)

    async def _forward(
        self, sender: trio.socket.SocketType, data: bytes, receiver: tuple[str, int]
    ) -> None:
        await trio.sleep(self.delay)
        await sender.sendto(data, receiver)


async def _bound_socket(ip: str, port: int) -> trio.socket.SocketType:
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind((ip, port))
    return sock
