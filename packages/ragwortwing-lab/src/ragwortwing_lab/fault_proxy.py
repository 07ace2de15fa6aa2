"""A TCP proxy that injects network faults.

Supported fault kinds:

- `cut` resets all open connections.
- `silent` keeps reading but forwards nothing. An affected connection stays silent after the fault
  is cleared.
- `slow` delays each chunk by `seconds`.
- `narrow` forwards at most `per_second` bytes per second.
- `refuse` resets new connections.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import click
import trio
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .standins.faults import Direction, Fault, FaultKind, Faults, control_app
from .standins.http_server import RESET_ON_CLOSE
from .standins.serving import print_ready, start_app, stop_on_signal

if TYPE_CHECKING:
    from starlette.requests import Request

READ_SIZE = 65_536
NARROW_CHUNK_SIZE = 8_192
"""Most bytes forwarded at once while the bandwidth is limited."""


@dataclass(eq=False, slots=True)
class Link:
    """One connection through the proxy."""

    client: trio.SocketStream
    target: trio.SocketStream
    silenced_directions: set[Direction] = field(default_factory=set)

    def reset(self) -> None:
        """Reset the connections to the client and to the target."""
        _reset(self.client)
        _reset(self.target)


class FaultProxy:
    """Forwards TCP connections to one target and applies the active faults."""

    def __init__(self, target: str | None = None, buffer: int | None = None) -> None:
        """Create a proxy.

        Args:
            target: Address to forward to, as `ip:port`. Connections are reset while it is None.
            buffer: Bytes that the kernel may hold on each side of the way from the target to a
                client; by default its choice, some MB on loopback.
        """
        self._buffer = buffer
        self.faults = Faults()
        self.links: set[Link] = set()
        self.accepted = 0
        self._lock_by_direction = {
            data_direction: trio.Lock()
            for data_direction in (Direction.TO_TARGET, Direction.TO_CLIENT)
        }
        self.target = target
        self.control = control_app(
            self.faults,
            self.state,
            self.on_fault,
            extra_routes=(Route("/target", self.on_target, methods=["PUT"]),),
        )

    async def on_target(self, request: Request) -> Response:
        """Handle `PUT /target`: set the address that new connections are forwarded to."""
        self.target = (await request.json())["address"]
        return JSONResponse({})

    def state(self) -> dict[str, object]:
        """Return the connection counts that `GET /state` reports."""
        silent = sum(1 for each in self.links if each.silenced_directions)
        return {"open": len(self.links), "silent": silent, "accepted": self.accepted}

    def on_fault(self, fault: Fault) -> None:
        """Apply a fault to the open connections."""
        for link in list(self.links):
            if fault.kind is FaultKind.CUT:
                link.reset()
            elif fault.kind is FaultKind.SILENT:
                link.silenced_directions |= _affected_directions(fault)

    def set_fault(self, fault: Fault) -> None:
        """Activate a fault, as `POST /fault` on the control address does."""
        self.faults.set(fault)
        self.on_fault(fault)

    async def serve(
        self, port: int = 0, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled; reports its `ip:port` through `task_status` once it listens."""
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
        if self._buffer is not None:
            target.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._buffer)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self._buffer)
        link = Link(client, target)
        silent = self.faults.get(FaultKind.SILENT)
        if silent is not None and not silent.existing_only:
            link.silenced_directions |= _affected_directions(silent)
        self.links.add(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, link, client, target, Direction.TO_TARGET)
                nursery.start_soon(self._forward, link, target, client, Direction.TO_CLIENT)
        finally:
            self.links.discard(link)
            link.reset()

    async def _forward(
        self,
        link: Link,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        data_direction: Direction,
    ) -> None:
        try:
            while data := await source.receive_some(READ_SIZE):
                await self._delay(data_direction)
                if data_direction not in link.silenced_directions:
                    await self._send_throttled(sink, data, data_direction)
            if data_direction not in link.silenced_directions:
                await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Propagates the reset to the other side, except on a silenced link, where nothing may
            # get through.
            if not link.silenced_directions:
                link.reset()

    async def _send_throttled(
        self, sink: trio.SocketStream, data: bytes, data_direction: Direction
    ) -> None:
        while data and (narrow := self.faults.get(FaultKind.NARROW)) is not None:
            if not narrow.direction.covers(data_direction):
                break
            chunk, data = data[:NARROW_CHUNK_SIZE], data[NARROW_CHUNK_SIZE:]
            async with self._lock_by_direction[data_direction]:
                await trio.sleep(len(chunk) / narrow.per_second)
            await sink.send_all(chunk)
        if data:
            await sink.send_all(data)

    async def _delay(self, data_direction: Direction) -> None:
        slow = self.faults.get(FaultKind.SLOW)
        if slow is not None and slow.direction.covers(data_direction):
            await trio.sleep(slow.seconds)


def _affected_directions(fault: Fault) -> set[Direction]:
    directions = (Direction.TO_TARGET, Direction.TO_CLIENT)
    return {
        data_direction for data_direction in directions if fault.direction.covers(data_direction)
    }


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() >= 0:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()


async def _run(proxy: FaultProxy, name: str, port: int, control_port: int) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, nursery.cancel_scope.cancel)
        tcp = await nursery.start(proxy.serve, port)
        control = await start_app(nursery, proxy.control, control_port)
        print_ready(name, {"tcp": tcp, "control": control})


@click.command("proxy")
@click.option("--name", default="proxy", show_default=True)
@click.option("--target", help="Address to forward to, as `ip:port`; can be set later.")
@click.option("--port", default=0, help="Port to listen on; 0 lets the kernel choose.")
@click.option("--control-port", default=0, help="Port of the control address.")
def proxy_command(name: str, target: str | None, port: int, control_port: int) -> None:
    """Run a fault-injecting TCP proxy."""
    trio.run(_run, FaultProxy(target), name, port, control_port)
