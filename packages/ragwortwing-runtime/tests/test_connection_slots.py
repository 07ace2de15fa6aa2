"""Tests of connections that lose their places to new ones."""

from __future__ import annotations

import trio

from ragwortwing_policy.connection_table import Activity
from ragwortwing_runtime.connection_slots import ConnectionSlots
from ragwortwing_runtime.fair_turns import FairTurns


async def test_connection_that_waits_ends_when_its_place_is_taken() -> None:
    slots = ConnectionSlots(1)
    assert slots.admit("a")
    with trio.fail_after(5), slots.waiting("a", Activity.IDLE) as scope:
        assert slots.admit("b")
        await trio.sleep_forever()
    assert scope.cancelled_caught
    assert slots.closed_by_activity == {Activity.IDLE: 1}


async def test_new_connection_keeps_its_place_until_it_was_read() -> None:
    """Guards against a crowd whose new connections push out each other before any is read."""
    slots = ConnectionSlots(1)
    assert slots.admit("a")
    assert not slots.admit("b")
    with trio.fail_after(5), slots.holding("a"):
        assert slots.admit("b")
        await trio.sleep_forever()
    assert "b" in slots.table


async def test_head_that_arrives_as_its_place_is_taken_is_not_served() -> None:
    """Guards against a request that is passed on although its connection is being closed."""
    slots = ConnectionSlots(1)
    assert slots.admit("a")
    with slots.waiting("a", Activity.OPENED) as scope:
        assert slots.admit("b")
    assert scope.cancel_called
    assert "a" not in slots.table


async def test_connection_whose_request_is_served_keeps_its_place() -> None:
    slots = ConnectionSlots(1)
    assert slots.admit("a")
    with slots.holding("a"):
        slots.set_activity("a", Activity.BUSY)
        assert not slots.admit("b")
        await trio.lowlevel.checkpoint()
    assert slots.refused == slots.turned_away == 1
    assert slots.admit("b")


async def test_turns_are_given_in_order() -> None:
    """Guards against a connection with many requests that takes the turns of the others."""
    turns = FairTurns()
    order: list[int] = []

    async def work(number: int) -> None:
        for _ in range(3):
            await turns.wait()
            order.append(number)

    async with trio.open_nursery() as nursery:
        for number in range(4):
            nursery.start_soon(work, number)
    assert [sorted(order[first : first + 4]) for first in (0, 4, 8)] == [[0, 1, 2, 3]] * 3
