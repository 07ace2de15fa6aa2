"""Tests of the fault-injecting proxy over loopback TCP."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio

from ragwortwing_lab.fault_proxy import FaultProxy
from ragwortwing_lab.standins.faults import Direction, Fault, FaultKind

SILENCE_SECONDS = 0.05
"""Seconds in which no data may arrive; too short a time can hide a defect, but not report one."""

WAIT_LIMIT = 10.0
"""Seconds to wait for expected data; only prevents a hang."""


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


async def is_echoed(stream: trio.SocketStream, data: bytes = b"x") -> bool:
    """Send bytes and return whether they are echoed within `WAIT_LIMIT`."""
    return await _is_echoed_within(stream, data, WAIT_LIMIT)


async def stays_silent(stream: trio.SocketStream, data: bytes = b"x") -> bool:
    """Send bytes and return whether they are not echoed within `SILENCE_SECONDS`."""
    return not await _is_echoed_within(stream, data, SILENCE_SECONDS)


async def _is_echoed_within(stream: trio.SocketStream, data: bytes, seconds: float) -> bool:
    await stream.send_all(data)
    with trio.move_on_after(seconds):
        return await stream.receive_some() == data
    return False


async def test_forwards_data_and_end_of_stream() -> None:
    async with proxied_echo() as (_, connect, _received):
        stream = await connect()
        await stream.send_all(b"hello")
        await stream.send_eof()
        data = b""
        while chunk := await stream.receive_some():
            data += chunk
    assert data == b"hello"


async def test_cut_resets_open_connections_and_new_ones_work() -> None:
    """Guards against a cut that leaves connections open or also breaks later ones."""
    async with proxied_echo() as (proxy, connect, _):
        stream = await connect()
        assert await is_echoed(stream)
        proxy.set_fault(Fault(FaultKind.CUT))
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        assert await is_echoed(await connect())


@pytest.mark.parametrize(
    ("direction", "reaches_target"),
    [(Direction.BOTH, False), (Direction.TO_TARGET, False), (Direction.TO_CLIENT, True)],
)
async def test_silent_affects_only_existing_connections_even_after_clearing(
    direction: Direction, reaches_target: bool
) -> None:
    """Guards against a silenced connection that works again once the fault is cleared."""
    async with proxied_echo() as (proxy, connect, received):
        stream = await connect()
        assert await is_echoed(stream, b"a")
        proxy.set_fault(Fault(FaultKind.SILENT, direction=direction, existing_only=True))
        assert await stays_silent(stream, b"b")
        assert (b"b" in received) is reaches_target
        assert await is_echoed(await connect(), b"c")
        proxy.faults.clear()
        assert await stays_silent(stream, b"d")


async def test_silent_affects_new_connections_until_cleared() -> None:
    """Guards against new connections that are not silenced, or still are after clearing."""
    async with proxied_echo() as (proxy, connect, _):
        proxy.set_fault(Fault(FaultKind.SILENT))
        assert await stays_silent(await connect())
        proxy.faults.clear()
        assert await is_echoed(await connect())


async def test_refuse_resets_new_connections_and_slow_delays_data() -> None:
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
