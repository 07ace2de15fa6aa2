"""A TCP proxy that breaks connections in the ways that networks do.

Kinds of faults: `cut` resets what is open; `silent` goes on taking bytes and forwards none, for
good on the connections it befell; `slow` holds each piece for `seconds`; `narrow` passes on at most
`per_second` bytes a second; `refuse` resets new ones.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import click
import trio
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .standins.faults import Direction, Fault, FaultKind, Faults, control_app
from .standins.serving import print_ready, start_app, stop_on_signal

if TYPE_CHECKING:
    from starlette.requests import Request

READ_SIZE = 65_536
NARROW_PIECE = 8_192
"""Bytes that a narrow link passes on in one go."""
LINGER_NONE = struct.pack("ii", 1, 0)
"""Socket option by which closing resets the connection."""


@dataclass(eq=False, slots=True)
class Link:
    """One connection through the proxy."""

    client: trio.SocketStream
    target: trio.SocketStream
    silent_ways: set[Direction] = field(default_factory=set)

    def reset(self) -> None:
        """Reset both ends."""
        _reset(self.client)
        _reset(self.target)


class FaultProxy:
    """Forwards TCP connections to one target."""

    def __init__(self, target: str | None = None) -> None:
        """Create a proxy.

        Args:
            target: Where to forward to, as `ip:port`; until there is one, connections are reset.
        """
        self.faults = Faults()
        self.links: set[Link] = set()
        self.accepted = 0
        self._lock_by_way = {way: trio.Lock() for way in (Direction.TO_TARGET, Direction.TO_CLIENT)}
        self.target = target
        self.control = control_app(
            self.faults,
            self.state,
            self.on_fault,
            extra_routes=(Route("/target", self.on_target, methods=["PUT"]),),
        )

    async def on_target(self, request: Request) -> Response:
        """Take over where to forward new connections to, from the control address."""
        self.target = (await request.json())["address"]
        return JSONResponse({})

    def state(self) -> dict[str, object]:
        """Return the counts."""
        silent = sum(1 for each in self.links if each.silent_ways)
        return {"open": len(self.links), "silent": silent, "accepted": self.accepted}

    def on_fault(self, fault: Fault) -> None:
        """Apply a fault to the open connections."""
        for link in list(self.links):
            if fault.kind is FaultKind.CUT:
                link.reset()
            elif fault.kind is FaultKind.SILENT:
                link.silent_ways |= _ways_of(fault)

    def set_fault(self, fault: Fault) -> None:
        """Set a fault, as the control address would."""
        self.faults.set(fault)
        self.on_fault(fault)

    async def serve(
        self, port: int = 0, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled; the `ip:port` is told once it listens."""
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        host, bound_port = listeners[0].socket.getsockname()[:2]
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve_client, listeners)
            task_status.started(f"{host}:{bound_port}")

    async def _serve_client(self, client: trio.SocketStream) -> None:
        self.accepted += 1
        if self.faults.active(FaultKind.REFUSE) or self.target is None:
            _reset(client)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            target = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset(client)
            return
        link = Link(client, target)
        silent = self.faults.get(FaultKind.SILENT)
        if silent is not None and not silent.existing_only:
            link.silent_ways |= _ways_of(silent)
        self.links.add(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, link, client, target, Direction.TO_TARGET)
                nursery.start_soon(self._forward, link, target, client, Direction.TO_CLIENT)
        finally:
            self.links.discard(link)
            link.reset()

    async def _forward(
        self, link: Link, source: trio.SocketStream, sink: trio.SocketStream, way: Direction
    ) -> None:
        try:
            while data := await source.receive_some(READ_SIZE):
                await self._delay(way)
                if way not in link.silent_ways:
                    await self._pass_on(sink, data, way)
            if way not in link.silent_ways:
                await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # An end that is gone is not told to the other where the fault is that nothing comes
            # through; everywhere else a reset goes on as a reset.
            if not link.silent_ways:
                link.reset()

    async def _pass_on(self, sink: trio.SocketStream, data: bytes, way: Direction) -> None:
        while data and (narrow := self.faults.get(FaultKind.NARROW)) is not None:
            if not narrow.direction.covers(way):
                break
            piece, data = data[:NARROW_PIECE], data[NARROW_PIECE:]
            async with self._lock_by_way[way]:
                await trio.sleep(len(piece) / narrow.per_second)
            await sink.send_all(piece)
        if data:
            await sink.send_all(data)

    async def _delay(self, way: Direction) -> None:
        slow = self.faults.get(FaultKind.SLOW)
        if slow is not None and slow.direction.covers(way):
            await trio.sleep(slow.seconds)


def _ways_of(fault: Fault) -> set[Direction]:
    ways = (Direction.TO_TARGET, Direction.TO_CLIENT)
    return {way for way in ways if fault.direction.covers(way)}


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() >= 0:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        stream.socket.close()


async def _run(proxy: FaultProxy, name: str, port: int, control_port: int) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, nursery.cancel_scope.cancel)
        tcp = await nursery.start(proxy.serve, port)
        control = await start_app(nursery, proxy.control, control_port)
        print_ready(name, {"tcp": tcp, "control": control})


@click.command("proxy")
@click.option("--name", default="proxy", show_default=True)
@click.option("--target", help="Where to forward to, as `ip:port`; may be told later.")
@click.option("--port", default=0, help="Port to listen on; 0 lets the kernel choose.")
@click.option("--control-port", default=0, help="Port of the control address.")
def proxy_command(name: str, target: str | None, port: int, control_port: int) -> None:
    """Run a fault-injecting TCP proxy."""
    trio.run(_run, FaultProxy(target), name, port, control_port)
