"""Tests of the connection: hellos, heartbeats, send limit, and the reason of each close."""

from __future__ import annotations

from datetime import timedelta

import pytest
import trio
import trio.testing

from ragwortwing_policy.clock import DEFAULT_EPOCH, ManualClock
from ragwortwing_wire.codec import encode
from ragwortwing_wire.connection import (
    CloseReason,
    ConnectionClosed,
    ConnectionSettings,
    open_connection,
)
from ragwortwing_wire.framing import with_length
from ragwortwing_wire.messages import EntryHello, Header, Heartbeat, Submit, Withdraw

HELLO = EntryHello("entry-1", "suva", -1)


class TrioClock:
    def monotonic(self) -> float:
        return trio.current_time()

    def utc_now(self):
        return DEFAULT_EPOCH + timedelta(seconds=trio.current_time())


async def test_messages_arrive_in_order_and_iteration_ends_when_the_peer_closes() -> None:
    local, remote = trio.testing.memory_stream_pair()
    received = []

    async def sender() -> None:
        async with open_connection(remote, TrioClock(), HELLO) as connection:
            for index in range(100):
                await connection.send(Withdraw(str(index)))
            await connection.flush()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender)
        async with open_connection(local, TrioClock(), HELLO) as connection:
            assert connection.peer == HELLO
            async for message in connection:
                received.append(message)
            assert connection.closed is CloseReason.ENDED
            with pytest.raises(ConnectionClosed):
                await connection.send(Withdraw("late"))
    assert [each for each in received if isinstance(each, Withdraw)] == [
        Withdraw(str(index)) for index in range(100)
    ]


async def test_silent_peer_is_closed_after_the_timeout(autojump_clock: trio.testing.MockClock):
    """Guards against callers that wait forever when a middlebox drops the connection's state.

    No bytes arrive and no write fails; only the missing heartbeats reveal it.
    """
    local, remote = trio.testing.memory_stream_pair()
    await remote.send_all(with_length(encode(HELLO)))
    started = trio.current_time()
    async with open_connection(local, TrioClock(), HELLO) as connection:
        async for _ in connection:
            raise AssertionError("nothing was sent")
        assert connection.closed is CloseReason.SILENT
    assert 2 <= trio.current_time() - started <= 3


async def test_process_pause_is_not_mistaken_for_a_silent_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a connection that is closed because this process was paused for a minute.

    After the pause its timers have expired, while bytes of the live peer wait to be read.
    """
    local, remote = trio.testing.memory_stream_pair()
    await remote.send_all(with_length(encode(HELLO)))
    clock = ManualClock()
    async with open_connection(local, clock, HELLO) as connection, trio.open_nursery() as nursery:

        async def read() -> None:
            async for _ in connection:
                raise AssertionError("nothing was sent")

        nursery.start_soon(read)
        await trio.testing.wait_all_tasks_blocked()
        clock.advance(60)
        await trio.sleep(0.6)
        assert connection.closed is None
        for _ in range(6):
            clock.advance(0.5)
            await trio.sleep(0.5)
        assert connection.closed is CloseReason.SILENT


async def test_heartbeats_keep_an_idle_connection_open(
    autojump_clock: trio.testing.MockClock,
) -> None:
    local, remote = trio.testing.memory_stream_pair()
    heartbeats = []

    async def read(stream: trio.abc.Stream) -> None:
        async with open_connection(stream, TrioClock(), HELLO) as connection:
            with trio.move_on_after(60):
                async for message in connection:
                    heartbeats.append(message)
            assert connection.closed is None
            await trio.sleep(1)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, local)
        nursery.start_soon(read, remote)
    assert len(heartbeats) > 200
    assert all(isinstance(each, Heartbeat) for each in heartbeats)


async def test_peer_that_sends_no_hello_is_closed_as_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    local, _remote = trio.testing.memory_stream_pair()
    with pytest.raises(ConnectionClosed) as caught:
        async with open_connection(local, TrioClock(), HELLO):
            raise AssertionError
    assert caught.value.reason is CloseReason.SILENT


@pytest.mark.parametrize(
    ("first", "reason"),
    [
        (with_length(encode(EntryHello("e", "z", 0, version=2))), CloseReason.VERSION),
        (with_length(encode(Withdraw("r"))), CloseReason.MALFORMED),
        (with_length(b"nonsense"), CloseReason.MALFORMED),
        (b"\xff\xff\xff\xff", CloseReason.MALFORMED),
        (b"GET / HTTP/1.1\r\n\r\n", CloseReason.MALFORMED),
        (b"", CloseReason.ENDED),
    ],
)
async def test_invalid_first_message_closes_the_connection(
    first: bytes, reason: CloseReason
) -> None:
    local, remote = trio.testing.memory_stream_pair()
    await remote.send_all(first)
    await remote.send_stream.aclose()
    with pytest.raises(ConnectionClosed) as caught:
        async with open_connection(local, TrioClock(), HELLO):
            raise AssertionError
    assert caught.value.reason is reason


async def test_peer_that_stops_reading_blocks_senders_and_is_closed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a send queue that grows without bound when the peer stops reading."""
    local, remote = trio.testing.lockstep_stream_pair()
    limit = ConnectionSettings(outgoing_limit=10_000)
    sent = 0

    async def send_hello() -> None:
        await remote.send_all(with_length(encode(HELLO)))

    async def receive_hello() -> None:
        await remote.receive_some(4096)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_hello)
        nursery.start_soon(receive_hello)
        async with open_connection(local, TrioClock(), HELLO, limit) as connection:
            with pytest.raises(ConnectionClosed) as caught:
                while True:
                    await connection.send(
                        Submit("r", "POST", "/", (Header(b"a", b"b"),), bytes(1000))
                    )
                    sent += 1
    assert caught.value.reason is CloseReason.SILENT
    assert sent < 12
