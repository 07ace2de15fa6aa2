"""Digests between entries, as datagrams.

A datagram that is lost or late is made good by the next, so neither order nor delivery is wanted of
the transport. The codec is msgspec's MessagePack: the wire package's pycapnp takes half a second to
load on a small machine, and these messages are read by their own kind only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from ragwortwing_policy.direct.peer_digest import PeerDigest

from .decision_log import decided, warned

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.direct.peer_digest import DigestBook

INTERVAL_PER_PEER = 0.004
"""Seconds between digests for each peer: an entry sends 250 datagrams a second at most, and as the
fleet grows the digests get older instead (0.1 s at 26 entries)."""

SHORTEST_INTERVAL = 0.03
"""Seconds between digests in a small fleet. An engine takes a long prompt every 100 ms in a burst:
what an entry knows of it has to be younger than that."""

LONGEST_INTERVAL = 1.0
"""Seconds after which a digest is sent though nothing has changed: it is the sign of life."""

WHOLE_INTERVAL = 2.0
"""Seconds between whole digests, which make good what was lost."""

LARGEST_DATAGRAM = 60_000


class PeerLink:
    """Sends this entry's digest to the others and takes theirs."""

    def __init__(self, book: DigestBook, clock: Clock) -> None:
        self._book = book
        self._clock = clock
        self._addresses: dict[str, tuple[str, int]] = {}
        self._something_new = trio.Event()
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(PeerDigest).decode
        self.unreadable = 0

    def set_peers(self, addresses_by_name: Mapping[str, tuple[str, int]]) -> None:
        """Take over where the others are."""
        if dict(addresses_by_name) != self._addresses:
            decided("peers_changed", peers=sorted(addresses_by_name))
        self._addresses = dict(addresses_by_name)

    def wake(self) -> None:
        """Note that there is something to tell."""
        self._something_new.set()

    async def run(self, host: str, port: int) -> None:
        """Send and receive until cancelled."""
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await sock.bind((host, port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, sock)
            nursery.start_soon(self._send, sock)
            nursery.start_soon(self._drop_silent)

    async def _send(self, sock: trio.socket.SocketType) -> None:
        whole_at = 0.0
        while True:
            with trio.move_on_after(LONGEST_INTERVAL):
                await self._something_new.wait()
            self._something_new = trio.Event()
            now = self._clock.monotonic()
            whole = now >= whole_at
            whole_at = now + WHOLE_INTERVAL if whole else whole_at
            data = self._encode(self._book.digest(now, whole=whole))
            for address in self._addresses.values():
                try:
                    await sock.sendto(data, address)
                except OSError as error:
                    decided("digest_not_sent", address=address, cause=str(error))
            await trio.sleep(max(SHORTEST_INTERVAL, INTERVAL_PER_PEER * len(self._addresses)))

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, address = await sock.recvfrom(LARGEST_DATAGRAM)
                self._book.take(self._decode(data), self._clock.monotonic())
            except OSError as error:
                decided("digest_not_received", cause=str(error))
            except msgspec.MsgspecError as error:
                self.unreadable += 1
                warned("digest_unreadable", sender=address, cause=str(error))

    async def _drop_silent(self) -> None:
        while True:
            await trio.sleep(0.5)
            for name in self._book.drop_silent(self._clock.monotonic()):
                decided("peer_silent", peer=name)
