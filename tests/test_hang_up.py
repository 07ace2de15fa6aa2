"""A caller that hangs up, over real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_lab.experiments.stream_readers import ReadCounts, read_stream
from ragwortwing_lab.site import SiteShape, running_site

if TYPE_CHECKING:
    from pathlib import Path

    from ragwortwing_lab.site import Site

ENDLESS = 1_000_000
GUARD_SECONDS = 10
POLL_SECONDS = 0.02


async def wait_cancelled(site: Site) -> None:
    while not (await site.state("engine-0"))["cancelled_by_id"]:
        await trio.sleep(POLL_SECONDS)


async def test_a_hang_up_stops_the_engine(tmp_path: Path) -> None:
    """A buyer reads the first word of a long answer and closes the page.

    The entry sees the closed connection and withdraws, the agent closes its call, the engine stops.
    Without that the engine would write a million tokens that nobody reads.
    """
    async with running_site(SiteShape(entries=1, engines=1, desks=0), tmp_path) as site:
        entry = site.process_by_name["entry-0"].listen["http"]
        await read_stream(entry, 1, ENDLESS, ReadCounts(), lambda: True)
        with trio.fail_after(GUARD_SECONDS):
            await wait_cancelled(site)
        state = await site.state("engine-0")
        assert state["running"] == 0
        assert state["finished_by_id"] == {}
