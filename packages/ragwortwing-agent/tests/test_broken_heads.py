"""Answers of an engine or a service whose connection ends within the head, or with a reset."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio
from agent_harness import agent_bench, agent_settings
from click.testing import CliRunner

from ragwortwing_agent.__main__ import UNREACHABLE_EXIT_CODE, main
from ragwortwing_agent.backend_client import BackendCallError, BackendClient, CallFailure
from ragwortwing_lab.standins.faults import Faults
from ragwortwing_lab.standins.http_server import (
    RESET_ON_CLOSE,
    ConnectionCutError,
    Exchange,
    serve_http,
)
from ragwortwing_lab.standins.response_cuts import HEAD_PLACES, cut_after, head_cut
from ragwortwing_policy.outcomes import Failed, FailedReason, Unknown, UnknownReason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
LARGE_BODY = b"x" * 8_000_000
"""More than the kernel holds on both sides of a connection."""


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("place", HEAD_PLACES)
async def test_order_with_a_broken_head_has_an_unknown_outcome(place: str, resets: bool) -> None:
    """Guards against an order that counts as completed though only a part of its head arrived."""
    async with agent_bench("service") as bench, bench.entry() as entry:
        bench.desk.cut = head_cut(place, resets=resets)
        for request_id, method, path in (("r1", "POST", "/orders"), ("r2", "GET", "/orders/o1")):
            await entry.order(request_id, method, path)
            answer = await entry.ended(request_id)
            assert answer.end is not None
            assert answer.end.outcome == Unknown(UnknownReason.BACKEND_LOST)
            assert (answer.head, answer.body) == (None, b"")
    assert bench.desk.state()["executions_by_id"] == {"r1": 1}


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("place", HEAD_PLACES)
@pytest.mark.parametrize("streams", [False, True])
async def test_chat_with_a_broken_head_has_failed(place: str, resets: bool, streams: bool) -> None:
    """Guards against an empty chat that its caller takes for whole."""
    async with agent_bench() as bench, bench.entry() as entry:
        bench.engine.cut = head_cut(place, resets=resets)
        await entry.granted("r1")
        await entry.submit_chat("r1", "hello", stream=streams)
        answer = await entry.ended("r1")
        assert answer.end is not None
        assert answer.end.outcome == Failed(FailedReason.BACKEND_LOST)
        assert (answer.head, answer.body) == (None, b"")


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("streams", [False, True])
async def test_chat_that_breaks_behind_its_head_has_failed(resets: bool, streams: bool) -> None:
    """Guards against a part of a chat that its caller takes for whole."""
    async with agent_bench() as bench, bench.entry() as entry:
        bench.engine.cut = cut_after(b"data: ", resets=resets, more=4)
        await entry.granted("r1")
        await entry.submit_chat("r1", "hello", stream=streams)
        answer = await entry.ended("r1")
        assert answer.end is not None
        assert answer.end.outcome == Failed(FailedReason.BACKEND_LOST)
        assert answer.body == b""


@asynccontextmanager
async def resetting_server(answer: bytes, *, ends: bool) -> AsyncIterator[BackendClient]:
    """Yield a client of a server that answers before it has read the request, and resets.

    Args:
        answer: The answer.
        ends: Whether the server ends the stream before the reset.
    """

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1024)
        # The client fills its buffer and waits.
        await trio.sleep(0.3)
        await stream.send_all(answer)
        if ends:
            await stream.send_eof()
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(partial(trio.serve_listeners, serve, [listener]))
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        yield BackendClient(agent_settings(address, "service").backend)
        nursery.cancel_scope.cancel()


async def body_of_answer(client: BackendClient, body: bytes = LARGE_BODY) -> bytes:
    call = client.call("POST", "/orders", (), body, timedelta(seconds=5), lambda: None)
    async with call as answer:
        return b"".join([data async for data in answer.iter_body()])


@pytest.mark.parametrize("body", [b"", b"part"])
async def test_body_behind_a_head_is_lost_after_a_reset_within_the_request(body: bytes) -> None:
    """Guards against a reset that the kernel reports to the write, and to no read after it."""
    async with resetting_server(HEAD + body, ends=False) as client:
        with pytest.raises(BackendCallError) as caught:
            await body_of_answer(client)
    assert caught.value.failure is CallFailure.LOST


async def test_body_behind_a_head_is_whole_if_its_end_came_before_the_reset() -> None:
    """Guards against an answer that is lost because its server did not read the whole request."""
    async with resetting_server(HEAD + b"whole", ends=True) as client:
        assert await body_of_answer(client) == b"whole"


async def test_answer_with_a_length_is_whole_in_spite_of_the_reset_behind_its_head() -> None:
    """Guards against a complete refusal of a large request that is taken for a lost one."""
    answer = b"HTTP/1.1 413 Too Large\r\ncontent-length: 4\r\n\r\nlong"
    async with resetting_server(answer, ends=False) as client:
        assert await body_of_answer(client) == b"long"


CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 100 Continue\r\n",
        b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nx-a: b\r\n",
        CHUNKED,
        CHUNKED + b"0\r\n",
        CHUNKED + b"0\r\nx-trailer: a\r\n",
    ],
)
async def test_interim_heads_and_trailers_that_stop_midway_are_no_answer(
    answer: bytes, resets: bool
) -> None:
    """Guards against a part of an answer that the agent's client takes for all of it."""

    async def handle(exchange: Exchange) -> None:
        await exchange.write_raw(answer)
        raise ConnectionCutError(resets=resets)

    async with trio.open_nursery() as nursery:
        address = await nursery.start(partial(serve_http, handle, Faults(), 0))
        client = BackendClient(agent_settings(address, "service").backend)
        with pytest.raises(BackendCallError) as caught:
            await body_of_answer(client, b"{}")
        assert caught.value.failure is CallFailure.LOST
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("place", HEAD_PLACES)
async def test_operator_command_prints_nothing_of_a_broken_head(place: str, resets: bool) -> None:
    """Guards against an empty status that an operator takes for that of the agent."""

    async def handle(exchange: Exchange) -> None:
        exchange.cut = head_cut(place, resets=resets)
        await exchange.respond_json(200, {"state": "ready"})

    async with trio.open_nursery() as nursery:
        address = await nursery.start(partial(serve_http, handle, Faults(), 0))
        invoke = partial(CliRunner().invoke, main, ["status", "--address", address])
        result = await trio.to_thread.run_sync(invoke)
        assert result.exit_code == UNREACHABLE_EXIT_CODE
        assert result.stdout == ""
        nursery.cancel_scope.cancel()
