"""Tests of the relay of datagrams between an entry and its peers, over loopback UDP."""

from __future__ import annotations

from contextlib import asynccontextmanager, closing
from typing import TYPE_CHECKING

import pytest
import trio

from ragwortwing_lab.standins.loopback import LoopbackRange
from ragwortwing_lab.standins.peer_relay import PeerRelay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ENTRY_PORT = 20_085
PEER_PORT = 20_084

SILENCE_SECONDS = 0.05
"""Seconds in which no data may arrive; too short a time can hide a defect, but not report one."""

WAIT_LIMIT = 10.0
"""Seconds to wait for expected data; only prevents a hang."""


class Endpoint:
    """A socket that sends to the relay and receives from it."""

    def __init__(self, sock: trio.socket.SocketType, target: tuple[str, int]) -> None:
        self.sock = sock
        self.target = target
        """Address at which it reaches the other side."""

    async def send(self, data: bytes) -> None:
        await self.sock.sendto(data, self.target)

    async def receive(self, seconds: float = WAIT_LIMIT) -> bytes | None:
        """Return the next datagram, which must come from `target`; None if there is none."""
        with trio.move_on_after(seconds):
            data, sender = await self.sock.recvfrom(1_000)
            assert sender == self.target
            return data
        return None


@asynccontextmanager
async def relayed_endpoints() -> AsyncIterator[tuple[PeerRelay, Endpoint, Endpoint]]:
    """Yield a relay, an entry and a peer that exchange datagrams through it."""
    with closing(LoopbackRange()) as addresses:
        entry_ip, peer_ip = addresses.address(0), addresses.address(1)
        relay = PeerRelay(entry_ip, ENTRY_PORT, PEER_PORT)
        entry = Endpoint(await _bound(entry_ip, ENTRY_PORT), (peer_ip, ENTRY_PORT))
        peer = Endpoint(await _bound(peer_ip, PEER_PORT), (entry_ip, PEER_PORT))
        with entry.sock, peer.sock:
            async with trio.open_nursery() as nursery:
                await nursery.start(relay.serve, [peer_ip])
                yield relay, entry, peer
                nursery.cancel_scope.cancel()


async def _bound(ip: str, port: int) -> trio.socket.SocketType:
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind((ip, port))
    return sock


async def test_relay_forwards_in_both_directions() -> None:
    """Guards against a relay that loses datagrams, or whose receivers see its own address."""
    async with relayed_endpoints() as (_, entry, peer):
        await entry.send(b"from the entry")
        assert await peer.receive() == b"from the entry"
        await peer.send(b"from the peer")
        assert await entry.receive() == b"from the peer"


@pytest.mark.parametrize(("to_entry", "from_entry"), [(True, False), (False, True), (True, True)])
async def test_relay_cuts_only_the_chosen_directions(to_entry: bool, from_entry: bool) -> None:
    """Guards against a one-way cut that drops the other direction too, or that never ends."""
    async with relayed_endpoints() as (relay, entry, peer):
        relay.cut(to_entry=to_entry, from_entry=from_entry)
        for sender, receiver, is_cut in ((peer, entry, to_entry), (entry, peer, from_entry)):
            await sender.send(b"cut")
            seconds = SILENCE_SECONDS if is_cut else WAIT_LIMIT
            assert await receiver.receive(seconds) == (None if is_cut else b"cut")
        assert relay.dropped == to_entry + from_entry
        relay.heal()
        await peer.send(b"healed")
        assert await entry.receive() == b"healed"


async def test_relay_delays_datagrams() -> None:
    """Guards against a delay that holds up only the first of several datagrams."""
    async with relayed_endpoints() as (relay, entry, peer):
        relay.delay = 0.1
        started = trio.current_time()
        await peer.send(b"1")
        await peer.send(b"2")
        received = {await entry.receive(), await entry.receive()}
        assert received == {b"1", b"2"}
        assert trio.current_time() - started >= relay.delay
