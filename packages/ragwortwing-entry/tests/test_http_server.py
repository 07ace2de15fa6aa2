"""The server towards callers: both versions of HTTP, callers that do not read, a forced stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore
import msgspec
import pytest
import trio
from entry_bench import AUTHORIZED, CHAT, CHAT_PATH, running_entry

from ragwortwing_entry.request_run import WHOLE_ANSWER_BYTES
from ragwortwing_policy.outcomes import Completed, Outcome, Unknown, UnknownReason
from ragwortwing_policy.routing import BackendKind
from ragwortwing_runtime.app import CUT_EXIT_CODE
from ragwortwing_wire.messages import End, ResponseHead

if TYPE_CHECKING:
    from entry_bench import Bench, FakeAgent

EVENT = b'data: {"choices":[{"delta":{"content":" x"}}]}\n\n'
LARGE_EVENT = b'data: {"choices":[],"x":"' + b"x" * 500_000 + b'"}\n\n'
MORE_THAN_SOCKETS_HOLD = 40
"""Large events; sockets of loopback hold some megabytes on either side."""


async def ask_without_reading(bench: Bench) -> trio.SocketStream:
    host, _, port = bench.listen["http"].partition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    body = msgspec.json.encode(CHAT)
    head = f"POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n"
    lines = "".join(f"{name}: {value}\r\n" for name, value in AUTHORIZED.items())
    await stream.send_all(f"{head}{lines}\r\n".encode() + body)
    return stream


async def send_too_much(agent: FakeAgent) -> str:
    submit = await agent.grant()
    for sequence in range(MORE_THAN_SOCKETS_HOLD):
        await agent.chunk(submit.request_id, sequence, LARGE_EVENT)
    return submit.request_id


async def test_streams_over_http_2(bench: Bench) -> None:
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
async def test_a_large_answer_is_whole_or_breaks_off(bench: Bench, outcome: Outcome) -> None:
    """A desk sends a long export, and its VM is gone before the end.

    The export's head is with the caller by then, so only a body that breaks off can tell them.
    """
    agent = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    piece = b"x" * (WHOLE_ANSWER_BYTES // 2 + 1)

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


async def test_a_caller_that_does_not_read_holds_up_nobody_else(bench: Bench) -> None:
    """One caller's line stands still in the middle of a long answer, while another one asks.

    The write to the first caller waits; the second caller's answer must not wait with it.
    """
    agent = await bench.add_agent("agent-1")
    stuck = await ask_without_reading(bench)
    await send_too_much(agent)

    async def serve() -> None:
        submit = await agent.grant()
        await agent.answer(submit.request_id, EVENT)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        with trio.fail_after(5):
            async with bench.stream() as parts:
                assert EVENT in b"".join([part async for part in parts])
    await stuck.aclose()


async def test_a_forced_stop_ends_a_write_that_waits_for_its_caller() -> None:
    """An operator stops an entry twice while a caller's line stands still.

    The write to that caller cannot be cancelled; only a closed socket ends it, and the process.
    """
    async with running_entry() as bench:
        agent = await bench.add_agent("agent-1")
        stuck = await ask_without_reading(bench)
        request_id = await send_too_much(agent)
        bench.app.stop()
        await bench.wait_until(lambda: bench.app.requests.draining)
        assert bench.app.unfinished() == (request_id,)
        bench.app.stop()
        await bench.wait_until(lambda: bench.exit_code is not None)
        await stuck.aclose()
    assert bench.exit_code == CUT_EXIT_CODE
