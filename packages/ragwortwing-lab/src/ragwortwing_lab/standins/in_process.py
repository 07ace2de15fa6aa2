"""Runs stand-ins inside a test's own process, on real loopback sockets."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from ragwortwing_runtime.system_clock import SystemClock

from .log import DEFAULT_APPENDS_PER_SECOND, DEFAULT_RETENTION, LogStandIn, RecordLog
from .membership import MembershipStandIn
from .serving import start_app
from .weight_store import DEFAULT_READS_PER_SECOND, WeightStoreStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from datetime import timedelta


@asynccontextmanager
async def running_log(
    appends_per_second: float = DEFAULT_APPENDS_PER_SECOND,
    retention: timedelta = DEFAULT_RETENTION,
) -> AsyncIterator[tuple[LogStandIn, str]]:
    """Run a log and give it with its address."""
    standin = LogStandIn(RecordLog(SystemClock(), appends_per_second, retention))
    async with trio.open_nursery() as nursery:
        yield standin, await start_app(nursery, standin.app)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def running_membership() -> AsyncIterator[tuple[MembershipStandIn, str]]:
    """Run a membership list and give it with its address."""
    standin = MembershipStandIn(SystemClock())
    async with trio.open_nursery() as nursery:
        yield standin, await start_app(nursery, standin.app)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def running_weight_store(
    reads_per_second: float = DEFAULT_READS_PER_SECOND,
) -> AsyncIterator[tuple[WeightStoreStandIn, str]]:
    """Run a weight store and give it with its address."""
    standin = WeightStoreStandIn(SystemClock(), reads_per_second)
    async with trio.open_nursery() as nursery:
        yield standin, await start_app(nursery, standin.app)
        nursery.cancel_scope.cancel()
