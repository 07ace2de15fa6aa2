"""Tests of the HTTP server: HTTP/2, large answers, slow callers and forced shutdown."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import httpcore
import msgspec
import pytest
import trio
from entry_bench import AUTHORIZED, CHAT, CHAT_PATH, running_entry

from ragwortwing_entry.request_run import MAX_BUFFERED_ANSWER_BYTES
from ragwortwing_policy.outcomes import Completed, Outcome, Unknown, UnknownReason
from ragwortwing_policy.routing import BackendKind
from ragwortwing_runtime.app import ABORTED_REQUESTS_EXIT_CODE
from ragwortwing_runtime.settings import RequestLimitSettings
from ragwortwing_wire.messages import End, ResponseHead

if TYPE_CHECKING:
    from entry_bench import Bench, FakeAgent

EVENT = b'data: {"choices":[{"delta":{"content":" x"}}]}\n\n'
LARGE_EVENT = b'data: {"choices":[],"x":"' + b"x" * 500_000 + b'"}\n\n'
SHORT = timedelta(milliseconds=200)
EVENTS_BEYOND_SOCKET_BUFFERS = 40
"""Number of large events; loopback socket buffers hold a few megabytes on each side."""


async def connect(bench: Bench) -> trio.SocketStream:
    host, _, port = bench.listen["http"].partition(":")
    return await trio.open_tcp_stream(host, int(port))


async def open_stalled_call(bench: Bench) -> trio.SocketStream:
    stream = await connect(bench)
    body = msgspec.json.encode(CHAT)
    head = f"POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n"
    lines = "".join(f"{name}: {value}\r\n" for name, value in AUTHORIZED.items())
    await stream.send_all(f"{head}{lines}\r\n".encode() + body)
    return stream


async def fill_socket_buffers(agent: FakeAgent) -> str:
    submit = await agent.grant()
    for sequence in range(EVENTS_BEYOND_SOCKET_BUFFERS):
        await agent.chunk(submit.request_id, sequence, LARGE_EVENT)
    return submit.request_id


async def test_answer_is_streamed_over_http_2(bench: Bench) -> None:
    agent = await bench.add_agent("agent-1")

    async def serve() -> None:
        submit = await agent.grant()
        await agent.answer(submit.request_id, EVENT)

    async with (
        trio.open_nursery() as nursery,
        httpcore.AsyncConnectionPool(http1=False, http2=True) as http,
    ):
        nursery.start_soon(serve)
        content = msgspec.json.encode(CHAT)
        response = await http.request(
            "POST", bench.url(CHAT_PATH), headers=AUTHORIZED, content=content
        )
    assert response.extensions["http_version"] == b"HTTP/2"
    assert response.status == 200
    assert EVENT + b"event: outcome" in response.content


@pytest.mark.parametrize("outcome", [Completed(), Unknown(UnknownReason.BACKEND_LOST)])
async def test_large_answer_is_complete_or_truncated(bench: Bench, outcome: Outcome) -> None:
    """Guards against a truncated answer that looks complete when a service is lost mid-response.

    The head has already been sent, so only an incomplete body can signal the failure.
    """
    agent = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    piece = b"x" * (MAX_BUFFERED_ANSWER_BYTES // 2 + 1)

    async def serve() -> None:
        request_id = (await agent.grant()).request_id
        await agent.send(ResponseHead(request_id, 200, ()))
        for sequence in range(4):
            await agent.chunk(request_id, sequence, piece, tokens=0)
        await agent.send(End(request_id, 4, outcome))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        if isinstance(outcome, Completed):
            assert (await bench.call("GET", "/desk/orders/export")).body == piece * 4
        else:
            with pytest.raises(httpcore.RemoteProtocolError):
                await bench.call("GET", "/desk/orders/export")


async def test_stalled_caller_does_not_delay_other_callers(bench: Bench) -> None:
    """Guards against a blocked write to one caller that delays the answers of other callers."""
    agent = await bench.add_agent("agent-1")
    stalled = await open_stalled_call(bench)
    await fill_socket_buffers(agent)

    async def serve() -> None:
        submit = await agent.grant()
        await agent.answer(submit.request_id, EVENT)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        with trio.fail_after(5):
            async with bench.stream() as parts:
                assert EVENT in b"".join([part async for part in parts])
    await stalled.aclose()


async def test_caller_that_does_not_read_is_disconnected() -> None:
    """Guards against an unread answer that keeps its request and its connection for good."""
    async with running_entry(requests=RequestLimitSettings(send_timeout=SHORT)) as bench:
        agent = await bench.add_agent("agent-1")
        stalled = await open_stalled_call(bench)
        await fill_socket_buffers(agent)
        await bench.wait_until(lambda: not bench.app.unfinished())
        await stalled.aclose()


async def test_body_that_is_not_finished_is_answered_408() -> None:
    """Guards against an unfinished body that keeps its memory and its connection for good."""
    async with running_entry(requests=RequestLimitSettings(body_timeout=SHORT)) as bench:
        stream = await connect(bench)
        lines = "".join(f"{name}: {value}\r\n" for name, value in AUTHORIZED.items())
        head = f"POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n{lines}\r\n"
        await stream.send_all(f"{head}half of it".encode())
        answer = b""
        with trio.fail_after(5):
            while part := await stream.receive_some():
                answer += part
        assert answer.startswith(b"HTTP/1.1 408 ")
        assert b"body_timeout" in answer


async def test_forced_stop_ends_write_to_stalled_caller() -> None:
    """Guards against a forced shutdown that hangs on a caller that does not read.

    Hypercorn shields the write from cancellation; only closing the socket ends it.
    """
    async with running_entry() as bench:
        agent = await bench.add_agent("agent-1")
        stalled = await open_stalled_call(bench)
        request_id = await fill_socket_buffers(agent)
        bench.app.stop()
        await bench.wait_until(lambda: bench.app.requests.draining)
        assert bench.app.unfinished() == (request_id,)
        bench.app.stop()
        await bench.wait_until(lambda: bench.exit_code is not None)
        await stalled.aclose()
    assert bench.exit_code == ABORTED_REQUESTS_EXIT_CODE
