"""Tests of uncontrolled clients at the product's own interfaces, with real processes.

The memory of these processes has no setting; their descriptors are limited by the kernel.
"""

from __future__ import annotations

import resource
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

import h2.config
import h2.connection
import pytest
import trio
from site_callers import ACCOUNT
from uncontrolled_clients import (
    FLOOD_SECONDS,
    FLOODING_CLIENTS,
    SILENT_CLIENTS,
    Crowd,
    Usage,
    check_process_bears,
    sends_ahead,
    stays_silent,
)

from ragwortwing_lab.faults.call import KEY_BY_ACCOUNT, Call, chat_request
from ragwortwing_lab.faults.observations import Answer
from ragwortwing_lab.site import SiteShape, running_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from pathlib import Path
    from typing import Any

    from uncontrolled_clients import Behaviour

    from ragwortwing_lab.site import Site

MEMORY_BYTES = 128 << 20
MAX_DESCRIPTORS = 256
ANSWER_TIMEOUT = 40.0

NO_ROUTE = b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n"
READY = b"GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n"
METRICS = b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"
CHAT = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}"

SMALL_BODIES = {"requests": {"body_bytes": 1_000_000, "total_body_bytes": 16_000_000}}
BODY_CLIENTS = 100
HEAD_CLIENTS = 150
STREAMS_OPENED = 1_000
"""HTTP/2 streams that a client opens on its connection."""


def keyed_chat(headers: str, body: bytes = b"") -> bytes:
    """Return a chat request whose body is, or begins with, some bytes."""
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
        f"authorization: Bearer {KEY_BY_ACCOUNT[ACCOUNT]}\r\nx-request-class: chat\r\n"
    )
    return f"{head}{headers}\r\n\r\n".encode() + body


STREAM_BODY = chat_request("unread [tokens=40]", ACCOUNT, "chat").body
STREAMED_CHAT = keyed_chat(f"content-length: {len(STREAM_BODY)}", STREAM_BODY)
ONE_BYTE_CHUNKS = sends_ahead(b"1\r\nx\r\n", first=keyed_chat("transfer-encoding: chunked"))
ENDLESS_HEAD = sends_ahead(b"a: b\r\n", first=b"GET / HTTP/1.1\r\n")


async def never_finishes_a_body(stream: trio.SocketStream) -> None:
    size = 900_000
    await stream.send_all(keyed_chat(f"content-length: {size}"))
    for _ in range(size // 10_000 - 1):
        await stream.send_all(b"x" * 10_000)
        await trio.sleep(0.01)
    await stream.receive_some()


def sends_once(data: bytes) -> Behaviour:
    async def behaviour(stream: trio.SocketStream) -> None:
        await stream.send_all(data)
        await stream.receive_some()

    return behaviour


INVALID_HTTP2_SETTINGS = sends_once(
    b"GET /readyz HTTP/1.1\r\nhost: a\r\nupgrade: h2c\r\n"
    b"connection: upgrade, http2-settings\r\nhttp2-settings: AAAAA\r\n\r\n"
)
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\4\0\0\0\0\0"
HTTP2_PRIORITIES = sends_once(
    HTTP2_PREFACE
    + b"".join(
        b"\0\0\5\2\0" + (2 * each + 1).to_bytes(4, "big") + b"\0\0\0\0\x10"
        for each in range(3 * STREAMS_OPENED)
    )
)


def sends_a_body_that_is_not_read(path: str) -> Behaviour:
    """Send a body that its request is answered without, and leave once the answer is there."""
    size = 900_000
    request = f"POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n".encode()

    async def behaviour(stream: trio.SocketStream) -> None:
        await stream.send_all(request + b"x" * (size - 1))
        await stream.receive_some()

    return behaviour


async def opens_many_http2_streams(stream: trio.SocketStream) -> None:
    """Open as many streams as HTTP/2 has room for, and read no answer."""
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    await stream.send_all(connection.data_to_send())
    fields = [(":method", "GET"), (":path", "/nowhere"), (":authority", "a"), (":scheme", "http")]
    for number in range(STREAMS_OPENED):
        connection.send_headers(2 * number + 1, fields, end_stream=True)
        await stream.send_all(connection.data_to_send())
    await trio.sleep_forever()


@asynccontextmanager
async def small_site(
    tmp_path: Path, entry_settings: Mapping[str, Any] | None = None
) -> AsyncIterator[Site]:
    shape = SiteShape(entries=1, engines=1, desks=0, entry_settings=entry_settings or {})
    async with running_site(shape, tmp_path) as site:
        yield site


async def check_bears(site: Site, name: str, crowd: Crowd) -> None:
    """Check the memory and descriptors of a process, and chats through it during a crowd."""
    process = site.process_by_name[name]
    resource.prlimit(process.handle.pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))

    async def answered(prompt: str) -> None:
        answer = Answer(site.entry_url(0))
        with trio.fail_after(ANSWER_TIMEOUT):
            while answer.status != 200:
                answer = Answer(site.entry_url(0))
                with suppress(OSError):
                    await Call(answer).run(chat_request(prompt, ACCOUNT, "chat"))
                assert process.handle.poll() is None
                await trio.sleep(0.01)

    usage = Usage(process.handle.pid, frozenset(process.listen.values()))
    await check_process_bears(usage, crowd, answered)
    assert process.handle.poll() is None
    assert usage.memory <= MEMORY_BYTES, f"{usage.memory / (1 << 20):.0f} MB"
    assert usage.sockets <= MAX_DESCRIPTORS


@pytest.mark.parametrize(
    "behaviour",
    [
        pytest.param(sends_ahead(NO_ROUTE), id="no_route"),
        pytest.param(sends_ahead(READY), id="readiness_path"),
        pytest.param(sends_ahead(CHAT), id="no_usual_headers"),
    ],
)
async def test_own_interface_bears_clients_that_send_ahead(
    tmp_path: Path, behaviour: Behaviour
) -> None:
    """Guards against pipelined requests that fill the memory of the product's own entry."""
    async with small_site(tmp_path) as site:
        address = site.process_by_name["entry-0"].listen["http"]
        await check_bears(site, "entry-0", Crowd(address, behaviour))


@pytest.mark.parametrize(
    ("behaviour", "size"),
    [
        pytest.param(sends_ahead(STREAMED_CHAT), FLOODING_CLIENTS, id="streams_unread"),
        pytest.param(ONE_BYTE_CHUNKS, FLOODING_CLIENTS, id="one_byte_chunks"),
        pytest.param(ENDLESS_HEAD, HEAD_CLIENTS, id="heads_without_end"),
        pytest.param(never_finishes_a_body, BODY_CLIENTS, id="bodies_never_finished"),
        pytest.param(opens_many_http2_streams, FLOODING_CLIENTS, id="many_http2_streams"),
        pytest.param(
            sends_a_body_that_is_not_read("/v1/chat/completions"), BODY_CLIENTS, id="bodies_unread"
        ),
    ],
)
async def test_own_interface_bears_unfinished_requests(
    tmp_path: Path, behaviour: Behaviour, size: int
) -> None:
    """Guards against heads, bodies and streams that fill the entry's memory together."""
    async with small_site(tmp_path, SMALL_BODIES) as site:
        address = site.process_by_name["entry-0"].listen["http"]
        await check_bears(site, "entry-0", Crowd(address, behaviour, size))


@pytest.mark.parametrize(
    ("process", "interface"),
    [("entry-0", "http"), ("entry-0", "operator"), ("agent-engine-0", "http")],
)
@pytest.mark.parametrize(
    "behaviour",
    [
        pytest.param(INVALID_HTTP2_SETTINGS, id="invalid_http2_settings"),
        pytest.param(HTTP2_PRIORITIES, id="http2_priorities"),
    ],
)
async def test_process_outlives_connections_that_fail(
    tmp_path: Path, process: str, interface: str, behaviour: Behaviour
) -> None:
    """Guards against an error in the library that serves one connection and ends the process."""
    async with small_site(tmp_path) as site:
        address = site.process_by_name[process].listen[interface]
        await check_bears(site, process, Crowd(address, behaviour))


async def test_own_interface_bears_silent_connections(tmp_path: Path) -> None:
    """Guards against silent connections that use up the descriptors of the product's own entry."""
    async with small_site(tmp_path) as site:
        address = site.process_by_name["entry-0"].listen["http"]
        await check_bears(site, "entry-0", Crowd(address, stays_silent, SILENT_CLIENTS))


@pytest.mark.parametrize(
    ("interface", "behaviour"),
    [
        pytest.param("http", sends_ahead(READY), id="readiness_path"),
        pytest.param("http", sends_ahead(METRICS), id="metrics"),
        pytest.param("http", sends_ahead(NO_ROUTE), id="no_route"),
        pytest.param("http", ONE_BYTE_CHUNKS, id="one_byte_chunks"),
        pytest.param("http", ENDLESS_HEAD, id="heads_without_end"),
        pytest.param("http", opens_many_http2_streams, id="many_http2_streams"),
        pytest.param("http", sends_a_body_that_is_not_read("/status"), id="bodies_unread"),
        pytest.param("wire", sends_ahead(READY), id="bytes_of_another_protocol"),
        pytest.param("wire", sends_ahead(b"\0\0\0\1"), id="frames_without_end"),
    ],
)
async def test_agent_bears_clients_that_send_ahead(
    tmp_path: Path, interface: str, behaviour: Behaviour
) -> None:
    """Guards against requests that fill the memory of an agent, or use up its descriptors."""
    async with small_site(tmp_path) as site:
        listen = site.process_by_name["agent-engine-0"].listen
        await check_bears(site, "agent-engine-0", Crowd(listen[interface], behaviour))
        with trio.fail_after(ANSWER_TIMEOUT):
            reply = await site.call("GET", f"http://{listen['http']}/readyz")
        assert reply.status == 200


@pytest.mark.parametrize("interface", ["http", "wire"])
async def test_agent_bears_silent_connections(tmp_path: Path, interface: str) -> None:
    """Guards against silent connections that use up the descriptors of an agent."""
    async with small_site(tmp_path) as site:
        address = site.process_by_name["agent-engine-0"].listen[interface]
        await check_bears(site, "agent-engine-0", Crowd(address, stays_silent, SILENT_CLIENTS))


@pytest.mark.parametrize("interface", ["http", "wire"])
async def test_new_entry_reaches_an_agent_with_silent_connections(
    tmp_path: Path, interface: str
) -> None:
    """Guards against silent connections that keep an agent from entries that start later."""
    async with small_site(tmp_path) as site:
        agent = site.process_by_name["agent-engine-0"]
        resource.prlimit(
            agent.handle.pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        )
        usage = Usage(agent.handle.pid, frozenset(agent.listen.values()))
        crowd = Crowd(agent.listen[interface], stays_silent, SILENT_CLIENTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(usage.watch)
            nursery.start_soon(crowd.run)
            await trio.sleep(FLOOD_SECONDS)
            await site.start_entry(1)
            answer = Answer(site.entry_url(1))
            with trio.fail_after(ANSWER_TIMEOUT):
                while answer.status != 200:
                    answer = Answer(site.entry_url(1))
                    await Call(answer).run(chat_request("new", ACCOUNT, "chat"))
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert agent.handle.poll() is None
        assert usage.memory <= MEMORY_BYTES, f"{usage.memory / (1 << 20):.0f} MB"
        assert usage.sockets <= MAX_DESCRIPTORS
