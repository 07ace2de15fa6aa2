"""Clients that nobody controls: crowds that send without reading, and the usage of their target."""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import trio

FLOOD_SECONDS = 3.0
"""Least duration of a crowd."""
FLOODING_CLIENTS = 40
SILENT_CLIENTS = 500

Behaviour = Callable[[trio.SocketStream], Awaitable[None]]
"""What a client does on its connection."""

WRITE_BYTES = 65536
RECONNECT_SECONDS = 0.05
SAMPLE_SECONDS = 0.05


@dataclass
class Usage:
    """The most memory and descriptors that a process has used while it was watched."""

    pid: int
    addresses: frozenset[str]
    """Where the process listens, as `ip:port`."""
    memory: int = 0
    """Resident bytes, and bytes that the kernel has received for it and that it has not read."""
    sockets: int = 0
    """Descriptors of sockets and pipes."""

    def sample(self) -> None:
        unread = unread_bytes(self.addresses)
        self.memory = max(self.memory, resident_bytes(self.pid) + unread)
        self.sockets = max(self.sockets, count_sockets(self.pid))

    async def watch(self) -> None:
        while True:
            self.sample()
            await trio.sleep(SAMPLE_SECONDS)


def resident_bytes(pid: int) -> int:
    pages = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def unread_bytes(addresses: frozenset[str]) -> int:
    """Return the bytes in the kernel's receive queues of all connections to some addresses."""
    wanted = {_kernel_address(each) for each in addresses}
    established = "01"
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    found = (row for row in rows if row[1] in wanted and row[3] == established)
    return sum(int(row[4].partition(":")[2], 16) for row in found)


def _kernel_address(address: str) -> str:
    """Return an address as `/proc/net/tcp` writes it."""
    host, _, port = address.rpartition(":")
    number = int.from_bytes(bytes(int(each) for each in host.split(".")), sys.byteorder)
    return f"{number:08X}:{int(port):04X}"


def count_sockets(pid: int) -> int:
    count = 0
    for each in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(OSError):
            count += os.readlink(each).startswith(("socket:", "pipe:"))
    return count


@dataclass
class Crowd:
    """Clients that each keep a connection to one address and do the same on it."""

    address: str
    behaviour: Behaviour
    size: int = FLOODING_CLIENTS
    opened: int = field(default=0, init=False)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(self.size):
                nursery.start_soon(self._keep_connected)

    async def _keep_connected(self) -> None:
        host, port = self.address.rsplit(":", 1)
        while True:
            with suppress(OSError, trio.BrokenResourceError):
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    self.opened += 1
                    await self.behaviour(stream)
            await trio.sleep(RECONNECT_SECONDS)


def sends_ahead(request: bytes, *, first: bytes = b"") -> Behaviour:
    """Repeat a request as fast as the connection takes it; read no answer."""
    block = request * max(1, WRITE_BYTES // len(request))

    async def behaviour(stream: trio.SocketStream) -> None:
        await stream.send_all(first + block)
        while True:
            await stream.send_all(block)

    return behaviour


def sends_ahead_and_reads(request: bytes) -> Behaviour:
    flood = sends_ahead(request)

    async def behaviour(stream: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(flood, stream)
            while await stream.receive_some(WRITE_BYTES):
                pass
            nursery.cancel_scope.cancel()

    return behaviour


async def stays_silent(stream: trio.SocketStream) -> None:
    await stream.receive_some()


async def check_process_bears(
    usage: Usage, crowd: Crowd, answered: Callable[[str], Awaitable[None]]
) -> None:
    """Run a crowd and measure a process, until it answers ordinary requests beside and afterwards.

    Args:
        usage: Measures the process.
        crowd: The clients.
        answered: Sends an ordinary request, named by the argument, until it is answered.
    """
    async with trio.open_nursery() as watched:
        watched.start_soon(usage.watch)
        async with trio.open_nursery() as clients:
            clients.start_soon(crowd.run)
            await trio.sleep(FLOOD_SECONDS)
            assert crowd.opened > 0
            await answered("beside")
            clients.cancel_scope.cancel()
        await answered("afterwards")
        watched.cancel_scope.cancel()
