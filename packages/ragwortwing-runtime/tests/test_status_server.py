"""Tests of the server of readiness and metrics while many clients connect to it."""

from __future__ import annotations

import trio
import trio.testing

from ragwortwing_runtime.status_server import StatusServer, metrics, readiness
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


async def test_answer_is_created_once_for_many_clients_at_a_time() -> None:
    """Guards against a crowd that keeps the process busy with the text of the metrics."""
    listener = await listen("127.0.0.1", 0)
    address = listener.getsockname()
    created = 0

    def create() -> bytes:
        nonlocal created
        created += 1
        return metrics(b"x 1\n")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(StatusServer(create, 64, reuse_seconds=60.0).run, listener)
        silent = await trio.open_tcp_stream(*address)
        async with trio.open_nursery() as clients:
            for _ in range(20):
                clients.start_soon(ask, address)
        assert created == 1
        await silent.aclose()
        nursery.cancel_scope.cancel()


async def test_lone_client_gets_a_new_answer() -> None:
    """Guards against outdated metrics for an operator's only scraper."""
    listener = await listen("127.0.0.1", 0)
    answers = iter(range(10))
    server = StatusServer(lambda: metrics(b"x %d\n" % next(answers)), 64, reuse_seconds=60.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run, listener)
        assert (await ask(listener.getsockname())).endswith(b"x 0\n")
        await trio.testing.wait_all_tasks_blocked()
        assert (await ask(listener.getsockname())).endswith(b"x 1\n")
        nursery.cancel_scope.cancel()
