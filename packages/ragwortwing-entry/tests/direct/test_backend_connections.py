"""Tests of asking a server's process when it started before a stream goes on there."""

from __future__ import annotations

from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio

from ragwortwing_entry.direct.backend_connections import BackendConnections
from ragwortwing_entry.direct.ports import (
    ProcessCheck,
    ProcessReplacedError,
    ProcessUnknownError,
    SendOrder,
)
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_runtime.process_report import ProcessReport
from ragwortwing_runtime.system_clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REGISTERED = 1000
SILENT = b"silent"
CLOSED = b""


def report(body: bytes, headers: bytes = b"", status: bytes = b"200 OK") -> bytes:
    length = b"content-length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + length + headers + b"\r\n" + body


SAME = report(b'{"born": 1000}')
LATER = report(b'{"born": 2000}')
EARLIER = report(b'{"born": 500}')


@dataclass
class ScriptedServer:
    """Answers the calls on each connection as scripted; the last answer serves all further ones."""

    answers: list[bytes]
    address: str = ""
    asked: list[int] = field(default_factory=list)
    """Numbers of the connections on which calls arrived."""
    accepted: int = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        number, self.accepted = self.accepted, self.accepted + 1
        async with stream:
            # The client resets a connection that it gives up.
            with suppress(trio.BrokenResourceError):
                await self._answer(stream, number)

    async def _answer(self, stream: trio.SocketStream, number: int) -> None:
        while await stream.receive_some(4096):
            self.asked.append(number)
            answer = self.answers[min(number, len(self.answers) - 1)]
            if answer == SILENT:
                continue
            if answer == CLOSED:
                return
            await stream.send_all(answer)


@asynccontextmanager
async def serving(*answers: bytes) -> AsyncIterator[ScriptedServer]:
    server = ScriptedServer(list(answers))
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1"),
        )
        host, port = listeners[0].socket.getsockname()[:2]
        server.address = f"{host}:{port}"
        yield server
        nursery.cancel_scope.cancel()


def connections() -> BackendConnections:
    return BackendConnections(ProcessReport("/report", "born", b"x-request-id"), SystemClock())


def order(
    server: ScriptedServer, check: ProcessCheck, started_at: int | None = REGISTERED
) -> SendOrder:
    backend = BackendServer("i-1", "engines", server.address, "", 8, started_at=started_at)
    return SendOrder(backend, None, 0, 1e9, 3, True, True, process_check=check)


BOTH = pytest.mark.parametrize("check", [ProcessCheck.IF_ANSWERED, ProcessCheck.REQUIRED])


@BOTH
async def test_connection_to_the_registered_process_is_asked_once(check: ProcessCheck) -> None:
    async with serving(SAME) as server:
        found = connections()
        connection = await found.acquire(order(server, check), "a")
        await connection.send_request("GET", "/", [(b"host", b"a")], b"")
        assert (await connection.receive_head()).status_code == 200
        assert [data async for data in connection.receive_body()]
        found.pool.release("i-1", connection)
        assert await found.acquire(order(server, check), "b") is connection
        assert server.asked == [0, 0]


async def test_a_send_that_needs_no_certainty_asks_nothing() -> None:
    async with serving(SAME) as server:
        await connections().acquire(order(server, ProcessCheck.NONE), "a")
        assert not server.asked


@BOTH
@pytest.mark.parametrize(
    "first",
    [LATER, CLOSED, report(b"{}", b"x-request-id: a\r\n")],
    ids=["stated", "after a connection that closed", "after a late answer to the request"],
)
async def test_another_process_is_recognized(check: ProcessCheck, first: bytes) -> None:
    """Guards against a connection that closes with its process and is followed by an unasked one.

    A late answer to an earlier request says nothing either.
    """
    async with serving(first, LATER) as server:
        with pytest.raises(ProcessReplacedError) as raised:
            await connections().acquire(order(server, check), "a")
        assert raised.value.started_at == 2000


@BOTH
async def test_kept_connection_to_a_former_process_is_given_up(check: ProcessCheck) -> None:
    """Guards against a server that counts as replaced by the process before the registered one."""
    async with serving(EARLIER, SAME) as server:
        connection = await connections().acquire(order(server, check), "a")
        assert connection.peer_started_at == REGISTERED
        assert server.asked == [0, 1]


@BOTH
async def test_process_that_only_states_an_earlier_start_gets_no_stream(
    check: ProcessCheck,
) -> None:
    """Guards against an endless search for the process that is registered."""
    async with serving(EARLIER) as server:
        with pytest.raises(ProcessUnknownError):
            await connections().acquire(order(server, check), "a")
        assert server.asked == [0, 1]


UNSTATED = [
    report(b"{}", status=b"404 Not Found"),
    report(b"{}"),
    report(b"[]"),
    report(b'{"born": "soon"}'),
    report(b'{"born": true}'),
    report(b'{"a":' * 5000),
    SILENT,
]


@pytest.mark.parametrize("answer", UNSTATED)
async def test_process_that_does_not_state_its_start_is_unknown(answer: bytes) -> None:
    """Guards against trust in silence, and against refusals where a current list suffices."""
    async with serving(answer) as server:
        assert await connections().acquire(order(server, ProcessCheck.IF_ANSWERED), "a")
        with pytest.raises(ProcessUnknownError):
            await connections().acquire(order(server, ProcessCheck.REQUIRED), "a")


@pytest.mark.parametrize("answer", UNSTATED)
async def test_connection_on_which_no_report_arrived_carries_no_request(answer: bytes) -> None:
    """Guards against a late answer without an id that leaves the report as the next answer."""
    async with serving(answer) as server:
        connection = await connections().acquire(order(server, ProcessCheck.IF_ANSWERED), "a")
        assert not connection.peer_was_asked
        assert server.asked == [0]


async def test_record_without_a_start_proves_no_process() -> None:
    async with serving(SAME) as server:
        assert await connections().acquire(order(server, ProcessCheck.IF_ANSWERED, None), "a")
        with pytest.raises(ProcessUnknownError):
            await connections().acquire(order(server, ProcessCheck.REQUIRED, None), "a")


@BOTH
async def test_request_gets_a_connection_of_its_own_if_the_report_closes_one(
    check: ProcessCheck,
) -> None:
    """Guards against streams that are refused because each report ends its connection."""
    async with serving(report(b'{"born": 1000}', b"connection: close\r\n")) as server:
        connection = await connections().acquire(order(server, check), "a")
        assert not connection.is_over
        assert server.asked == [0]
