"""Tests of uncontrolled clients at the product's own interfaces, with real processes.

The memory of these processes has no setting; their descriptors are limited by the kernel.
"""

from __future__ import annotations

import resource
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

import pytest
import trio
from site_callers import ACCOUNT
from uncontrolled_clients import (
    FLOOD_SECONDS,
    SILENT_CLIENTS,
    Crowd,
    Usage,
    check_process_bears,
    sends_ahead,
    stays_silent,
)

from ragwortwing_lab.faults.call import Call, chat_request
from ragwortwing_lab.faults.observations import Answer
from ragwortwing_lab.site import SiteShape, running_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from uncontrolled_clients import Behaviour

    from ragwortwing_lab.site import Site

MEMORY_BYTES = 128 << 20
MAX_DESCRIPTORS = 256
ANSWER_TIMEOUT = 40.0

NO_ROUTE = b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n"
READY = b"GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n"
METRICS = b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"
CHAT = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}"


@asynccontextmanager
async def small_site(tmp_path: Path) -> AsyncIterator[Site]:
    async with running_site(SiteShape(entries=1, engines=1, desks=0), tmp_path) as site:
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
        pytest.param("wire", sends_ahead(READY), id="bytes_of_another_protocol"),
        pytest.param("wire", sends_ahead(b"\0\0\0\1"), id="frames_without_end"),
    ],
)
async def test_agent_bears_clients_that_send_ahead(
    tmp_path: Path, interface: str, behaviour: Behaviour
) -> None:
    """Guards against requests that fill the memory of an agent."""
    async with small_site(tmp_path) as site:
        address = site.process_by_name["agent-engine-0"].listen[interface]
        await check_bears(site, "agent-engine-0", Crowd(address, behaviour))


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
