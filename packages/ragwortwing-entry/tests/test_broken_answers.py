"""Answers to callers of HTTP/1.0, whose end is that of their connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from entry_bench import AUTHORIZED

from ragwortwing_entry.request_run import MAX_BUFFERED_ANSWER_BYTES
from ragwortwing_policy.outcomes import Completed, Unknown, UnknownReason
from ragwortwing_policy.routing import BackendKind
from ragwortwing_wire.messages import End, ResponseHead

if TYPE_CHECKING:
    from entry_bench import Bench, FakeAgent

PIECE = b"x" * (MAX_BUFFERED_ANSWER_BYTES // 2 + 1)
PIECES = 4


async def open_old_call(bench: Bench) -> trio.SocketStream:
    host, _, port = bench.listen["http"].partition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    lines = "".join(f"{name}: {value}\r\n" for name, value in AUTHORIZED.items())
    request = f"GET /desk/orders/export HTTP/1.0\r\nhost: x\r\n{lines}\r\n"
    await stream.send_all(request.encode())
    return stream


async def send_pieces(agent: FakeAgent) -> str:
    request_id = (await agent.grant()).request_id
    await agent.send(ResponseHead(request_id, 200, ()))
    for sequence in range(PIECES):
        await agent.chunk(request_id, sequence, PIECE, tokens=0)
    return request_id


async def read_to_the_end(stream: trio.SocketStream) -> bytes | None:
    """Return what arrives until the end of the stream, or None after a reset."""
    received = b""
    try:
        while data := await stream.receive_some():
            received += data
    except trio.BrokenResourceError:
        return None
    return received


async def test_old_caller_learns_that_the_answer_behind_a_head_has_ended(bench: Bench) -> None:
    """Guards against an answer without a length whose connection stays open behind it."""
    agent = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    stream = await open_old_call(bench)

    async def serve() -> None:
        request_id = await send_pieces(agent)
        await agent.send(End(request_id, PIECES, Completed()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        with trio.fail_after(5):
            received = await read_to_the_end(stream)
    assert received is not None
    assert received.endswith(b"\r\n\r\n" + PIECE * PIECES)


async def test_old_caller_learns_that_the_answer_behind_a_head_is_cut(bench: Bench) -> None:
    """Guards against a part of an answer that ends like a whole one, with its connection."""
    agent = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    stream = await open_old_call(bench)

    async def serve() -> None:
        request_id = await send_pieces(agent)
        await agent.send(End(request_id, PIECES, Unknown(UnknownReason.BACKEND_LOST)))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        with trio.fail_after(5):
            assert await read_to_the_end(stream) is None


async def test_forced_stop_does_not_end_an_answer_behind_a_head_like_a_whole_one(
    bench: Bench,
) -> None:
    """Guards against a part of an answer that looks whole because its entry was stopped."""
    agent = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    stream = await open_old_call(bench)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_pieces, agent)
        with trio.fail_after(5):
            assert await stream.receive_some()
            bench.app.stop()
            await bench.wait_until(lambda: bench.app.requests.draining)
            bench.app.stop()
            assert await read_to_the_end(stream) is None
