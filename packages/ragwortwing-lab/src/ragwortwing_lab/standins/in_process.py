"""Runs stand-ins inside the process of a test, on real loopback sockets."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from ragwortwing_runtime.system_clock import SystemClock

from .published_store import PublishedStore
from .record_log import DEFAULT_APPENDS_PER_SECOND, DEFAULT_RETENTION, RecordLog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from datetime import timedelta


@asynccontextmanager
async def running_store(
    appends_per_second: float = DEFAULT_APPENDS_PER_SECOND,
    retention: timedelta = DEFAULT_RETENTION,
) -> AsyncIterator[tuple[PublishedStore, str]]:
    """Run a store and yield it with its address."""
    store = PublishedStore(RecordLog(SystemClock(), appends_per_second, retention))
    async with trio.open_nursery() as nursery:
        yield store, await nursery.start(store.serve)
        nursery.cancel_scope.cancel()
