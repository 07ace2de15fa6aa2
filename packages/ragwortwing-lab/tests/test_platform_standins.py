"""Tests of the store stand-in as a process: ready line, published protocol and faults."""

from __future__ import annotations

import json
import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import httpcore
import pytest
import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@asynccontextmanager
async def standin(*arguments: str) -> AsyncIterator[dict[str, str]]:
    """Run a stand-in as a process and yield its addresses."""
    command = [sys.executable, "-m", "ragwortwing_lab", *arguments]
    process = await trio.lowlevel.open_process(command, stdout=-1)
    try:
        assert process.stdout is not None
        line = await process.stdout.receive_some()
        yield json.loads(line)["listen"]
    finally:
        process.terminate()
        with trio.CancelScope(shield=True):
            await process.wait()


async def call(method: str, address: str, path: str, body: Any = None) -> tuple[int, Any]:
    content = json.dumps(body).encode() if body is not None else None
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(method, f"http://{address}{path}", content=content)
    return response.status, json.loads(response.content) if response.content else None


def framed(text: str) -> bytes:
    return len(text).to_bytes(4, "big") + text.encode()


async def raw_call(method: str, address: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(method, f"http://{address}{path}", content=body)
    return response.status, response.content


APPEND = "/log-append?topic=s&part=0"
READ = "/log-read?topic=s&part=0"


async def test_store_appends_reads_and_applies_faults() -> None:
    async with standin("store") as listen:
        http, control = listen["http"], listen["control"]
        status, body = await raw_call("POST", http, APPEND, framed("a"))
        assert (status, json.loads(body)) == (200, {"offset": 0, "end": 1})
        await call("POST", control, "/fault", {"kind": "lose_reply"})
        with pytest.raises(httpcore.RemoteProtocolError):
            await raw_call("POST", http, APPEND, framed("b"))
        head = (2).to_bytes(8, "big") + (0).to_bytes(8, "big")
        assert await raw_call("GET", http, f"{READ}&from=1") == (200, head + framed("b"))
        await call("POST", control, "/fault", {"kind": "trim", "stream": "s", "offset": 1})
        status, body = await raw_call("GET", http, f"{READ}&from=0")
        assert (status, json.loads(body)) == (410, {"first": 1})
        await call("POST", control, "/fault", {"kind": "outage"})
        assert (await raw_call("GET", http, f"{READ}&from=1"))[0] == 503
        await call("DELETE", control, "/fault")
        assert (await raw_call("GET", http, f"{READ}&from=1"))[0] == 200


async def test_read_at_the_end_waits_for_the_next_record() -> None:
    async with standin("store") as listen, trio.open_nursery() as nursery:
        http = listen["http"]
        pages: list[bytes] = []

        async def read() -> None:
            pages.append((await raw_call("GET", http, f"{READ}&from=0&wait_ms=20000"))[1])

        nursery.start_soon(read)
        await raw_call("POST", http, APPEND, framed("a"))
        with trio.fail_after(10):
            while not pages:
                await trio.lowlevel.checkpoint()
        assert pages[0][16:] == framed("a")


async def test_group_lists_its_members_and_its_outage_spares_records() -> None:
    async with standin("store") as listen:
        http, control = listen["http"], listen["control"]
        join = {"group": "g", "member": "m-1", "topics": ["g"], "ttl_ms": 60000, "generation": 0}
        status, joined = await call("POST", http, "/log-join", join)
        assert (status, joined["generation"], len(joined["parts"])) == (200, 1, 24)
        owners = (await call("GET", http, "/log-owners?group=g"))[1]["parts"]
        assert {row[2] for row in owners} == {"m-1"}
        await call("POST", control, "/fault", {"kind": "groups_outage"})
        assert (await call("GET", http, "/log-owners?group=g"))[0] == 503
        assert (await raw_call("POST", http, APPEND, framed("a")))[0] == 200
