"""Contract of the weight store: each fault gives the one typed result that is true of it."""

from __future__ import annotations

from datetime import timedelta

import pytest

from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.in_process import running_weight_store
from ragwortwing_lab.standins.weight_store import DEFAULT_SIZE_BYTES, weight_bytes
from ragwortwing_runtime._http import Timeouts
from ragwortwing_runtime.weight_store_client import (
    WeightCause,
    Weights,
    WeightStoreClient,
    WeightsUnavailable,
)

SHORT = Timeouts(timedelta(seconds=2), timedelta(milliseconds=200))


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (None, Weights(weight_bytes("menu", "1", DEFAULT_SIZE_BYTES))),
        (Fault(FaultKind.OUTAGE), WeightsUnavailable(WeightCause.OUTAGE)),
        (Fault(FaultKind.SLOW, seconds=5), WeightsUnavailable(WeightCause.NO_ANSWER)),
    ],
)
async def test_read_under_fault(fault: Fault | None, expected: object) -> None:
    async with running_weight_store() as (standin, address):
        if fault is not None:
            standin.faults.set(fault)
        client = WeightStoreClient(address, SHORT)
        assert await client.read("menu", "1") == expected
        await client.aclose()


async def test_the_rate_tells_when_to_come_back() -> None:
    async with running_weight_store(reads_per_second=0.01) as (_, address):
        client = WeightStoreClient(address)
        assert isinstance(await client.read("menu", "1"), Weights)
        refused = await client.read("menu", "1")
        assert isinstance(refused, WeightsUnavailable)
        assert refused.cause is WeightCause.RATE
        assert refused.retry_after is not None
        assert refused.retry_after > timedelta(seconds=90)
        await client.aclose()


async def test_a_store_that_is_gone_is_unreachable() -> None:
    async with running_weight_store() as (_, address):
        pass
    client = WeightStoreClient(address)
    assert await client.read("menu", "1") == WeightsUnavailable(WeightCause.UNREACHABLE)
