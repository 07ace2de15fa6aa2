"""Contract of the fault-injecting proxy, over loopback."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio

from ragwortwing_lab.fault_proxy import FaultProxy
from ragwortwing_lab.standins.faults import Direction, Fault, FaultKind

A_WHILE = 0.05
"""Seconds in which nothing may come; too short a time can only hide a fault, not report one."""

LIMIT = 10.0
"""Seconds for what must come; only a guard against hanging."""


@asynccontextmanager
async def proxied_echo():
    received = bytearray()

    async def echo(stream: trio.SocketStream) -> None:
        try:
            while data := await stream.receive_some():
                received.extend(data)
                await stream.send_all(data)
        except trio.BrokenResourceError:
            return

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        await nursery.start(trio.serve_listeners, echo, listeners)
        port = listeners[0].socket.getsockname()[1]
        proxy = FaultProxy(f"127.0.0.1:{port}")
        address = await nursery.start(proxy.serve)

        async def connect() -> trio.SocketStream:
            return await trio.open_tcp_stream("127.0.0.1", int(address.rsplit(":", 1)[1]))

        yield proxy, connect, received
        nursery.cancel_scope.cancel()


async def echoed(stream: trio.SocketStream, data: bytes = b"x") -> bool:
    """Send some bytes and return whether they come back, which they must."""
    return await _comes_back(stream, data, LIMIT)


async def stays_silent(stream: trio.SocketStream, data: bytes = b"x") -> bool:
    """Send some bytes and return whether nothing comes back for a while."""
    return not await _comes_back(stream, data, A_WHILE)


async def _comes_back(stream: trio.SocketStream, data: bytes, seconds: float) -> bool:
    await stream.send_all(data)
    with trio.move_on_after(seconds):
        return await stream.receive_some() == data
    return False


async def test_forwards_and_passes_on_the_end() -> None:
    async with proxied_echo() as (_, connect, _received):
        stream = await connect()
        await stream.send_all(b"hello")
        await stream.send_eof()
        data = b""
        while piece := await stream.receive_some():
            data += piece
    assert data == b"hello"


async def test_cut_resets_what_is_open_and_new_connections_work() -> None:
    async with proxied_echo() as (proxy, connect, _):
        stream = await connect()
        assert await echoed(stream)
        proxy.set_fault(Fault(FaultKind.CUT))
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        assert await echoed(await connect())


@pytest.mark.parametrize(
    ("direction", "reaches_target"),
    [(Direction.BOTH, False), (Direction.TO_TARGET, False), (Direction.TO_CLIENT, True)],
)
async def test_silent_for_existing_connections_only(
    direction: Direction, reaches_target: bool
) -> None:
    async with proxied_echo() as (proxy, connect, received):
        stream = await connect()
        assert await echoed(stream, b"a")
        proxy.set_fault(Fault(FaultKind.SILENT, direction=direction, existing_only=True))
        assert await stays_silent(stream, b"b")
        assert (b"b" in received) is reaches_target
        assert await echoed(await connect(), b"c")
        proxy.faults.clear()
        assert await stays_silent(stream, b"d")


async def test_silent_for_all_until_cleared() -> None:
    async with proxied_echo() as (proxy, connect, _):
        proxy.set_fault(Fault(FaultKind.SILENT))
        assert await stays_silent(await connect())
        proxy.faults.clear()
        assert await echoed(await connect())


async def test_refuse_and_slow() -> None:
    async with proxied_echo() as (proxy, connect, _):
        proxy.set_fault(Fault(FaultKind.REFUSE))
        stream = await connect()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        proxy.faults.clear()
        proxy.set_fault(Fault(FaultKind.SLOW, seconds=0.1, direction=Direction.TO_CLIENT))
        stream = await connect()
        started = trio.current_time()
        await stream.send_all(b"x")
        assert await stream.receive_some() == b"x"
        assert trio.current_time() - started >= 0.1
