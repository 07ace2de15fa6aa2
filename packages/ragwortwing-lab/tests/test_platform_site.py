"""Tests of the site that runs entries as processes."""

from __future__ import annotations

import socket
from contextlib import closing
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from ragwortwing_lab.processes import ProcessFailedError
from ragwortwing_lab.standins.loopback import LOOPBACK, LoopbackRange
from ragwortwing_lab.standins.platform_site import CALLER_PORT, DESK, platform_site, until

if TYPE_CHECKING:
    from pathlib import Path


def test_reserved_addresses_are_not_given_to_another_site() -> None:
    """Guards against two test runs that listen on the same addresses."""
    with closing(LoopbackRange(Random(7))) as first, closing(LoopbackRange(Random(7))) as second:
        assert first.prefix != second.prefix
    with closing(LoopbackRange(Random(7))) as again:
        assert again.prefix == first.prefix


async def test_port_of_an_entry_is_not_taken_before_it_listens(tmp_path: Path) -> None:
    """Guards against an entry that ends because something else got the port chosen for it."""
    async with platform_site(tmp_path) as site:
        fleet = [await site.add_entry(f"entry-{number}") for number in range(2)]
        taken = set()
        for entry in fleet:
            host, port = entry.peer_address
            taken |= {entry.callers, entry.readiness, entry.metrics, f"{host}:{port}"}
        assert len(taken) == 8
        assert all(address.startswith(f"{site.addresses.prefix}.") for address in taken)
        stream = await trio.open_tcp_stream(fleet[0].peer_address[0], CALLER_PORT)
        assert not stream.socket.getsockname()[0].startswith(site.addresses.prefix)
        await stream.aclose()


async def test_crashed_server_finds_its_port_free(tmp_path: Path) -> None:
    """Guards against a server that can't restart because another test was given its port."""
    async with platform_site(tmp_path) as site:
        server = await site.add_backend("i-1", DESK, restart_after=0.1)
        host, port = server.address.rsplit(":", 1)
        server.crash()
        await trio.testing.wait_all_tasks_blocked()
        with socket.socket() as other:
            other.bind((LOOPBACK, int(port)))
            await until(lambda: server.id != "i-1")
            await trio.testing.wait_all_tasks_blocked()
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.aclose()


async def test_entry_that_ends_before_it_listens_fails_its_test_at_once(tmp_path: Path) -> None:
    """Guards against a wait for a process that has ended, which then hides its log."""
    async with platform_site(tmp_path) as site:
        with socket.socket() as other:
            other.bind((site.addresses.address(0), CALLER_PORT))
            other.listen()
            with trio.fail_after(10), pytest.raises(ProcessFailedError) as caught:
                await site.add_entry()
    assert "ended with exit status 1" in str(caught.value)
    assert "Address already in use" in str(caught.value)


async def test_restarted_entry_listens_when_its_start_is_reported(tmp_path: Path) -> None:
    """Guards against a restart that counts as done because the log has an earlier ready line."""
    async with platform_site(tmp_path) as site:
        first = await site.add_entry()
        site.kill_entries()
        await first.handle.wait()
        second = await site.add_entry()
        assert await second.is_listening()
        host, port = second.callers.rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.aclose()
