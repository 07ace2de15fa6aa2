"""Contract of the connection: hellos, heartbeats, bounds, and a typed reason for each end."""

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


async def test_messages_arrive_in_order_and_a_closed_peer_ends_the_iteration() -> None:
    ours, theirs = trio.testing.memory_stream_pair()
    received = []

    async def sender() -> None:
        async with open_connection(theirs, TrioClock(), HELLO) as connection:
            for index in range(100):
                await connection.send(Withdraw(str(index)))
            await connection.flush()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender)
        async with open_connection(ours, TrioClock(), HELLO) as connection:
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
    """A middle box forgets the connection: no bytes come, no write fails, nothing breaks.

    Callers would wait for ever; the heartbeats that stay away show it.
    """
    ours, theirs = trio.testing.memory_stream_pair()
    await theirs.send_all(with_length(encode(HELLO)))
    started = trio.current_time()
    async with open_connection(ours, TrioClock(), HELLO) as connection:
        async for _ in connection:
            raise AssertionError("nothing was sent")
        assert connection.closed is CloseReason.SILENT
    assert 2 <= trio.current_time() - started <= 3


async def test_paused_process_does_not_take_its_own_pause_for_silence(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A process stands still for a minute; its peer was alive all the time.

    Its timers are long past when it goes on, while the peer's bytes still wait to be read.
    """
    ours, theirs = trio.testing.memory_stream_pair()
    await theirs.send_all(with_length(encode(HELLO)))
    clock = ManualClock()
    async with open_connection(ours, clock, HELLO) as connection, trio.open_nursery() as nursery:

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


async def test_idle_connection_lives_on_heartbeats(autojump_clock: trio.testing.MockClock) -> None:
    ours, theirs = trio.testing.memory_stream_pair()
    heartbeats = []

    async def read(stream: trio.abc.Stream) -> None:
        async with open_connection(stream, TrioClock(), HELLO) as connection:
            with trio.move_on_after(60):
                async for message in connection:
                    heartbeats.append(message)
            assert connection.closed is None
            await trio.sleep(1)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, ours)
        nursery.start_soon(read, theirs)
    assert len(heartbeats) > 200
    assert all(isinstance(each, Heartbeat) for each in heartbeats)


async def test_peer_that_never_says_hello(autojump_clock: trio.testing.MockClock) -> None:
    ours, _theirs = trio.testing.memory_stream_pair()
    with pytest.raises(ConnectionClosed) as caught:
        async with open_connection(ours, TrioClock(), HELLO):
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
async def test_bad_first_message(first: bytes, reason: CloseReason) -> None:
    ours, theirs = trio.testing.memory_stream_pair()
    await theirs.send_all(first)
    await theirs.send_stream.aclose()
    with pytest.raises(ConnectionClosed) as caught:
        async with open_connection(ours, TrioClock(), HELLO):
            raise AssertionError
    assert caught.value.reason is reason


async def test_peer_that_takes_no_bytes_holds_its_senders_and_is_closed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A peer stops reading. Without a bound this process would hold every byte sent to it."""
    ours, theirs = trio.testing.lockstep_stream_pair()
    limit = ConnectionSettings(outgoing_limit=10_000)
    sent = 0

    async def greet() -> None:
        await theirs.send_all(with_length(encode(HELLO)))

    async def take_hello() -> None:
        await theirs.receive_some(4096)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(greet)
        nursery.start_soon(take_hello)
        async with open_connection(ours, TrioClock(), HELLO, limit) as connection:
            with pytest.raises(ConnectionClosed) as caught:
                while True:
                    await connection.send(
                        Submit("r", "POST", "/", (Header(b"a", b"b"),), bytes(1000))
                    )
                    sent += 1
    assert caught.value.reason is CloseReason.SILENT
    assert sent < 12
