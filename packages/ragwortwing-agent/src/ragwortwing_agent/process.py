"""Puts an agent together from its settings."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ragwortwing_platform.configuration_feed import ConfigurationFeed
from ragwortwing_platform.log_client import LogClient
from ragwortwing_platform.membership_feed import MembershipFeed
from ragwortwing_platform.order_book import OrderBook
from ragwortwing_platform.system_clock import SystemClock
from ragwortwing_policy.routing import BackendKind

from .agent_app import AgentApp, new_agent_id

if TYPE_CHECKING:
    from ragwortwing_platform.settings import AgentSettings


async def run_agent(settings: AgentSettings) -> int:
    """Run the agent of some settings and return its exit code."""
    clock = SystemClock()
    random = Random()
    agent_id = new_agent_id(settings.name)
    log_client = LogClient(str(settings.platform.log.address))
    feed = ConfigurationFeed(log_client, clock, random)
    members = MembershipFeed(str(settings.platform.membership.address), random)
    orders = None
    if settings.backend.kind is BackendKind.SERVICE:
        orders = OrderBook(log_client, clock, random, agent_id)
    code = await AgentApp(settings, feed, members, orders, agent_id, clock).run_with_signals()
    await log_client.aclose()
    return code
