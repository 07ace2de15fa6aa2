"""A site ends every process that it started."""

from __future__ import annotations

import trio

from ragwortwing_lab.site import SiteShape, running_site

LIMIT = 30.0
"""Seconds after which the test fails instead of hanging."""


async def test_a_replaced_proxy_ends(tmp_path) -> None:
    """An agent is killed and comes back behind a new proxy of the same name.

    The old proxy is known to nobody then; it used to run on after the site, a process for each
    agent that the fault runner replaced.
    """
    async with running_site(
        SiteShape(entries=1, engines=1, desks=0, proxied=True), tmp_path
    ) as site:
        before = site.process_by_name["proxy-agent-engine-0"]
        agent = site.process_by_name["agent-engine-0"]
        agent.kill()
        await agent.wait_dead()
        await site.start_agent("engine", 0)
        assert site.process_by_name["proxy-agent-engine-0"] is not before
        with trio.fail_after(LIMIT):
            await before.wait_dead()
    assert before.handle.poll() is not None
