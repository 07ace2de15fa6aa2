"""Measures the memory and heartbeat cost of connections between entry and agent."""

from __future__ import annotations

import gc
import tracemalloc
from datetime import timedelta
from time import process_time

import trio
from trio.testing import memory_stream_pair

from ragwortwing_policy.routing import BackendKind
from ragwortwing_runtime.system_clock import SystemClock
from ragwortwing_wire.connection import ConnectionSettings, Hello, open_connection
from ragwortwing_wire.messages import AgentHello, EntryHello

from .slopes import Slope, fit

SIZES = (16, 64, 192)
HEARTBEAT_INTERVAL = timedelta(milliseconds=100)
MEASURED_SECONDS = 2.0
ENDS = 2
"""Both ends of each connection are in the measuring process."""


def connection_memory(_: int) -> Slope:
    """Fit the memory of one end of a connection."""
    return fit(
        "all: memory of a connection's end", "B", SIZES, lambda size: trio.run(_memory, size)
    )


def heartbeat_cpu(_: int) -> Slope:
    """Fit the CPU time per heartbeat interval, with a heartbeat each way on every connection."""
    return fit(
        "all: heartbeats of a second at one end, one each way, by connection",
        "µs",
        SIZES,
        lambda size: trio.run(_heartbeats, size),
    )


async def _memory(size: int) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        async with trio.open_nursery() as nursery:
            await _open(size, timedelta(seconds=60), nursery)
            gc.collect()
            allocated, _ = tracemalloc.get_traced_memory()
            nursery.cancel_scope.cancel()
    finally:
        tracemalloc.stop()
    return allocated / ENDS


async def _heartbeats(size: int) -> float:
    async with trio.open_nursery() as nursery:
        await _open(size, HEARTBEAT_INTERVAL, nursery)
        start = process_time()
        await trio.sleep(MEASURED_SECONDS)
        cpu_seconds = process_time() - start
        nursery.cancel_scope.cancel()
    heartbeats_per_end = MEASURED_SECONDS / HEARTBEAT_INTERVAL.total_seconds()
    return cpu_seconds / heartbeats_per_end / ENDS * 1e6


class _OpenEnds:
    """Sets an event once all connection ends are open."""

    def __init__(self, expected: int) -> None:
        self.all_open = trio.Event()
        self._missing = expected

    def count(self) -> None:
        self._missing -= 1
        if not self._missing:
            self.all_open.set()


async def _open(size: int, interval: timedelta, nursery: trio.Nursery) -> None:
    settings = ConnectionSettings(heartbeat_interval=interval, silence_timeout=interval * 20)
    open_ends = _OpenEnds(size * ENDS)
    for index in range(size):
        entry_end, agent_end = memory_stream_pair()
        agent_id = f"agent-{index}/1"
        entry_hello = EntryHello("entry-1/1", "zone-1", 1)
        agent_hello = AgentHello(agent_id, "zone-1", BackendKind.ENGINE, ("model",), 1)
        nursery.start_soon(_run_end, entry_end, entry_hello, settings, open_ends)
        nursery.start_soon(_run_end, agent_end, agent_hello, settings, open_ends)
    await open_ends.all_open.wait()


async def _run_end(
    stream: trio.abc.Stream, hello: Hello, settings: ConnectionSettings, open_ends: _OpenEnds
) -> None:
    async with open_connection(stream, SystemClock(), hello, settings) as connection:
        open_ends.count()
        async for _ in connection:
            pass
