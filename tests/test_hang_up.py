"""Tests a caller that disconnects during a stream, with real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_lab.experiments.stream_readers import ReadCounts, read_stream
from ragwortwing_lab.site import SiteShape, running_site

if TYPE_CHECKING:
    from pathlib import Path

    from ragwortwing_lab.site import Site

ENDLESS_TOKENS = 1_000_000
TEST_TIMEOUT_SECONDS = 10
POLL_SECONDS = 0.02


async def wait_for_cancellation(site: Site) -> None:
    while not (await site.state("engine-0"))["cancelled_by_id"]:
        await trio.sleep(POLL_SECONDS)


async def test_engine_stops_when_the_caller_disconnects(tmp_path: Path) -> None:
    """A caller reads the first event of a long stream and closes the connection.

    The entry must withdraw the request, and the agent must close its call so that the engine stops.
    Otherwise the engine generates a million tokens that nobody reads.
    """
    async with running_site(SiteShape(entries=1, engines=1, desks=0), tmp_path) as site:
        entry = site.process_by_name["entry-0"].listen["http"]
        await read_stream(entry, 1, ENDLESS_TOKENS, ReadCounts(), lambda: True)
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await wait_for_cancellation(site)
        state = await site.state("engine-0")
        assert state["running"] == 0
        assert state["finished_by_id"] == {}
