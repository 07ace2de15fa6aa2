"""Tests of the configuration publisher: results reflect what was read back from the log."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
import trio
from trio.testing import MockClock

from ragwortwing_lab.standins.in_memory import InMemoryLog, LogFaults, TrioClock
from ragwortwing_lab.standins.record_log import RecordLog
from ragwortwing_policy.configuration_log import NO_REVISION, Accepted, Conflict
from ragwortwing_runtime.configuration_publisher import ConfigurationPublisher, PublishUnknown
from ragwortwing_runtime.record_log import LogUnavailable

DOCUMENT: dict[str, Any] = {
    "format": 1,
    "classes": {"chat": {"tier": 0}},
    "presets": {"ordinary": {}, "peak": {}},
}

FAULT_CASES = [
    pytest.param(LogFaults(), Accepted, 1, id="no fault"),
    pytest.param(LogFaults(reply_lost=1.0), Accepted, 1, id="reply lost"),
    pytest.param(LogFaults(late=1.0, late_by=5.0), Accepted, 1, id="takes effect late"),
    pytest.param(LogFaults(dropped=1.0), PublishUnknown, 0, id="never takes effect"),
    pytest.param(LogFaults(refused=1.0), LogUnavailable, 0, id="refused"),
]


@pytest.mark.parametrize(("faults", "expected", "records"), FAULT_CASES)
def test_publish_result_matches_the_log_under_faults(
    faults: LogFaults, expected: type, records: int
) -> None:
    async def scenario() -> tuple[object, int]:
        clock = TrioClock()
        stored = RecordLog(clock)
        async with trio.open_nursery() as nursery:
            log = InMemoryLog(stored, Random(1), nursery, faults=faults)
            publisher = ConfigurationPublisher(log, clock, "vani")
            result = await publisher.publish(DOCUMENT, "ordinary", NO_REVISION)
            nursery.cancel_scope.cancel()
        return result, stored.stream("configuration").next_offset

    result, stored = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert isinstance(result, expected)
    assert stored == records


@pytest.mark.parametrize("seed", range(5))
def test_exactly_one_of_several_concurrent_operators_wins(seed: int) -> None:
    async def scenario() -> list[object]:
        clock = TrioClock()
        results: list[object] = []
        random = Random(seed)

        async def switch_preset(log: InMemoryLog) -> None:
            publisher = ConfigurationPublisher(log, clock)
            await publisher.catch_up()
            await trio.sleep(random.random())
            results.append(await publisher.use_preset("peak", publisher.state.revision))

        async with trio.open_nursery() as nursery:
            faults = LogFaults(reply_lost=0.5)
            log = InMemoryLog(RecordLog(clock), Random(seed), nursery, faults=faults)
            first = ConfigurationPublisher(log, clock)
            assert await first.publish(DOCUMENT, "ordinary", NO_REVISION) == Accepted(0, "ordinary")
            async with trio.open_nursery() as operators:
                for _ in range(6):
                    operators.start_soon(switch_preset, log)
            nursery.cancel_scope.cancel()
        return results

    results = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert results.count(Accepted(1, "peak")) == 1
    assert results.count(Conflict(0, 1, "peak")) == 5
