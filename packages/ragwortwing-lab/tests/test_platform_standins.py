"""The platform's stand-ins run as processes, say when they are ready and take faults."""

from __future__ import annotations

import base64
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
    """Run a stand-in and give its addresses."""
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


def payload(text: str) -> dict[str, str]:
    return {"payload": base64.b64encode(text.encode()).decode()}


async def test_log_appends_reads_and_loses_a_reply() -> None:
    async with standin("log") as listen:
        http, control = listen["http"], listen["control"]
        assert await call("POST", http, "/streams/s/records", payload("a")) == (200, {"offset": 0})
        await call("POST", control, "/fault", {"kind": "lose_reply"})
        with pytest.raises(httpcore.RemoteProtocolError):
            await call("POST", http, "/streams/s/records", payload("b"))
        status, page = await call("GET", http, "/streams/s/records?offset=1")
        assert status == 200
        assert page["records"] == [{"offset": 1, **payload("b")}]
        await call("POST", control, "/fault", {"kind": "trim", "stream": "s", "offset": 1})
        expired = await call("GET", http, "/streams/s/records?offset=0")
        assert expired == (410, {"first_offset": 1})
        await call("POST", control, "/fault", {"kind": "outage"})
        assert (await call("GET", http, "/streams/s/records"))[0] == 503
        await call("DELETE", control, "/fault")
        assert (await call("GET", http, "/streams/s/records?offset=1"))[0] == 200


async def test_log_holds_a_read_at_the_end_until_a_record_comes() -> None:
    async with standin("log") as listen, trio.open_nursery() as nursery:
        http = listen["http"]
        pages: list[Any] = []

        async def read() -> None:
            pages.append(await call("GET", http, "/streams/s/records?offset=0&wait=20"))

        nursery.start_soon(read)
        await call("POST", http, "/streams/s/records", payload("a"))
        with trio.fail_after(10):
            while not pages:
                await trio.lowlevel.checkpoint()
        assert [each["offset"] for each in pages[0][1]["records"]] == [0]


async def test_membership_shows_changes_and_outage() -> None:
    async with standin("membership") as listen:
        http, control = listen["http"], listen["control"]
        member = {"address": "127.0.0.1:1", "zone": "suva", "role": "agent", "state": "live"}
        assert (await call("PUT", control, "/members/agent-1", member))[0] == 200
        status, shown = await call("GET", http, "/members?version=0&wait=5")
        assert (status, shown) == (200, {"version": 1, "members": [{"name": "agent-1"} | member]})
        await call("POST", control, "/fault", {"kind": "lag", "seconds": 600})
        await call("DELETE", control, "/members/agent-1")
        assert (await call("GET", http, "/members"))[1]["version"] == 1
        await call("POST", control, "/fault", {"kind": "outage"})
        assert (await call("GET", http, "/members"))[0] == 503


async def test_weight_store_limits_its_rate() -> None:
    async with standin("weights", "--reads-per-second", "0.01") as listen:
        async with httpcore.AsyncConnectionPool() as pool:
            first = await pool.request("GET", f"http://{listen['http']}/weights/m/1")
            second = await pool.request("GET", f"http://{listen['http']}/weights/m/1")
        assert (first.status, len(first.content)) == (200, 65_536)
        assert second.status == 429
        assert int({k.lower(): v for k, v in second.headers}[b"retry-after"]) > 90
