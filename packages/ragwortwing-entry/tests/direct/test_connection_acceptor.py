"""Connections are closed unread while the event loop delays requests for too long."""

from __future__ import annotations

import socket
import time
from contextlib import ExitStack

import pytest
import trio

from ragwortwing_entry.direct.connection_acceptor import ConnectionAcceptor
from ragwortwing_runtime.connection_slots import ConnectionSlots
from ragwortwing_runtime.system_clock import SystemClock


def occupy(seconds: float) -> None:
    """Let nothing else run."""
    time.sleep(seconds)


async def lengthen_turns(seconds: float) -> None:
    """Make each turn of the event loop take at least the given time."""
    while True:
        occupy(seconds)
        await trio.lowlevel.checkpoint()


def is_reset(caller: socket.socket) -> bool:
    """Return whether a connection was closed unread."""
    try:
        caller.recv(1)
    except ConnectionResetError:
        return True
    except BlockingIOError:
        return False
    return False


async def count_closed(turn_seconds: float, steps: int, connections_per_step: int) -> int:
    """Open connections every 20 ms, or in every turn if it is longer; return how many are reset."""

    async def serve(sock: trio.socket.SocketType) -> None:
        sock.close()

    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    listener.listen(steps * connections_per_step)
    slots = ConnectionSlots(steps * connections_per_step)
    acceptor = ConnectionAcceptor(SystemClock(), serve, slots)
    callers: list[socket.socket] = []
    with ExitStack() as stack:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.run, listener)
            nursery.start_soon(lengthen_turns, turn_seconds)
            for _ in range(steps):
                for _ in range(connections_per_step):
                    caller = stack.enter_context(socket.socket())
                    caller.setblocking(False)
                    caller.connect_ex(listener.getsockname())
                    callers.append(caller)
                await trio.sleep(0.02)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        closed = sum(is_reset(caller) for caller in callers)
        listener.close()
        return closed


async def test_requests_that_many_turns_delay_are_left_to_other_entries() -> None:
    """Guards against requests that end unanswered though each turn that they wait for is short."""
    assert await count_closed(0.02, steps=60, connections_per_step=4) > 0.2 * 240


async def test_long_turns_are_noticed_after_the_first() -> None:
    """Guards against a limit that comes late because the measured turns are long themselves."""
    assert await count_closed(0.3, steps=6, connections_per_step=20) > 0


@pytest.mark.parametrize("turn_seconds", [0.0, 0.002])
async def test_connections_of_a_busy_entry_are_all_served(turn_seconds: float) -> None:
    """Guards against connections that are closed though their requests are hardly delayed."""
    assert await count_closed(turn_seconds, steps=60, connections_per_step=4) == 0
