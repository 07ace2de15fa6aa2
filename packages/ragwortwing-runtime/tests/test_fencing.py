"""Tests of fencing numbers: an agent that starts later has a higher number."""

from __future__ import annotations

from random import Random

import trio
from trio.testing import MockClock

from ragwortwing_lab.standins.in_memory import InMemoryLog, LogFaults, TrioClock
from ragwortwing_lab.standins.record_log import RecordLog
from ragwortwing_runtime.fencing import acquire_fencing_number


def test_numbers_increase_when_appends_fail() -> None:
    async def scenario() -> list[int]:
        clock = TrioClock()
        async with trio.open_nursery() as nursery:
            faults = LogFaults(refused=0.2, reply_lost=0.2, late=0.2, dropped=0.2)
            log = InMemoryLog(RecordLog(clock), Random(3), nursery, faults=faults)
            numbers = [
                await acquire_fencing_number(log, clock, Random(1), f"agent-1/{index}", "suva")
                for index in range(20)
            ]
            nursery.cancel_scope.cancel()
        return numbers

    numbers = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert numbers == sorted(set(numbers))
