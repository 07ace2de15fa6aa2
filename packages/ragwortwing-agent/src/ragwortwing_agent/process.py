"""Builds an agent from its settings and runs it."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ragwortwing_policy.routing import BackendKind
from ragwortwing_runtime.configuration_feed import ConfigurationFeed
from ragwortwing_runtime.order_book import OrderBook
from ragwortwing_runtime.platform_services import open_platform
from ragwortwing_runtime.system_clock import SystemClock

from .agent_app import AgentApp, new_agent_id
from .backend_client import BackendClient
from .engine_admin import EngineAdmin

if TYPE_CHECKING:
    from ragwortwing_runtime.settings import AgentSettings


async def run_agent(settings: AgentSettings) -> int:
    """Run an agent with these settings and return its exit code."""
    clock = SystemClock()
    random = Random()
    agent_id = new_agent_id(settings.name)
    platform = open_platform(str(settings.platform.log.address))
    feed = ConfigurationFeed(platform.log, clock, random)
    backend = BackendClient(settings.backend)
    orders: OrderBook | None = None
    admin: EngineAdmin | None = None
    if settings.backend.kind is BackendKind.SERVICE:
        orders = OrderBook(platform.log, clock, random, agent_id)
    else:
        targets = settings.backend.targets
        admin = EngineAdmin(backend, platform.log, feed, targets, clock, random)
    app = AgentApp(settings, backend, feed, platform.members, orders, admin, agent_id, clock)
    code = await app.run_with_signals()
    await backend.aclose()
    platform.close()
    return code
