"""Tests of the order desk stand-in over loopback HTTP."""

from __future__ import annotations

import httpcore
import pytest
import trio

from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.order_desk import OrderDeskStandIn, serve_order_desk


@pytest.mark.parametrize("drops", [False, True])
async def test_repeated_order_is_run_and_counted_each_time(drops: bool) -> None:
    """Guards against a stand-in that hides orders sent twice, even if replies are dropped."""
    desk = OrderDeskStandIn(work_seconds=0.0)
    if drops:
        desk.faults.set(Fault(FaultKind.DROP_REPLIES))
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_order_desk, desk)
        headers = {"x-request-id": "o1", "idempotency-key": "k1"}
        for _ in range(2):
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    reply = await pool.request("POST", f"http://{address}/orders", headers=headers)
                assert (reply.status, drops) == (201, False)
            except httpcore.RemoteProtocolError:
                assert drops
        nursery.cancel_scope.cancel()
    state = desk.state()
    assert state["executions_by_id"] == {"o1": 2}
    assert state["executions_by_key"] == {"k1": 2}


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/orders/none", 404), ("PUT", "/orders", 404), ("GET", "/", 404)],
)
async def test_other_requests_are_not_found_and_run_nothing(
    method: str, path: str, status: int
) -> None:
    desk = OrderDeskStandIn(work_seconds=0.0)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_order_desk, desk)
        async with httpcore.AsyncConnectionPool() as pool:
            reply = await pool.request(method, f"http://{address}{path}")
        nursery.cancel_scope.cancel()
    assert reply.status == status
    assert desk.state()["executions"] == 0
