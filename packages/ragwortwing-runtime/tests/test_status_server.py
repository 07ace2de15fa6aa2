"""Tests of the server of readiness and metrics while many clients connect to it."""

from __future__ import annotations

import trio

from ragwortwing_runtime.status_server import StatusServer, readiness
from ragwortwing_runtime.tcp_sockets import listen

ASK = b"GET /metrics HTTP/1.1\r\n\r\n"


async def ask(address: tuple[str, int]) -> bytes:
    async with await trio.open_tcp_stream(*address) as stream:
        await stream.send_all(ASK)
        received = b""
        with trio.fail_after(10):
            while data := await stream.receive_some():
                received += data
        return received


async def test_check_is_answered_while_silent_clients_hold_all_places() -> None:
    """Guards against silent connections that turn the platform's own check away."""
    listener = await listen("127.0.0.1", 0)
    address = listener.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(StatusServer(lambda: readiness(True), 8).run, listener)
        silent = [await trio.open_tcp_stream(*address) for _ in range(50)]
        assert (await ask(address)).startswith(b"HTTP/1.1 200")
        for each in silent:
            await each.aclose()
        nursery.cancel_scope.cancel()
