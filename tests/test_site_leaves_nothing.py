"""Tests that a site ends every process that it started."""

from __future__ import annotations

import trio

from ragwortwing_lab.site import SiteShape, running_site

EXIT_TIMEOUT = 30.0
"""Seconds after which the test fails if the old proxy has not exited."""


async def test_replaced_proxy_exits(tmp_path) -> None:
    """A killed agent restarts behind a new proxy of the same name.

    The site no longer tracked the old proxy, which kept running after the site had stopped: one
    leaked process for each agent that the fault runner replaced.
    """
    async with running_site(
        SiteShape(entries=1, engines=1, desks=0, proxied=True), tmp_path
    ) as site:
        before = site.process_by_name["proxy-agent-engine-0"]
        agent = site.process_by_name["agent-engine-0"]
        agent.kill()
        await agent.wait_exited()
        await site.start_agent("engine", 0)
        assert site.process_by_name["proxy-agent-engine-0"] is not before
        with trio.fail_after(EXIT_TIMEOUT):
            await before.wait_exited()
    assert before.handle.poll() is not None
