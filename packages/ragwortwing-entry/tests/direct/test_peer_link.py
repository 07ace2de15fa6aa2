"""Statuses between entries over real sockets, and whom an entry sends to."""

from __future__ import annotations

import socket

import trio

from ragwortwing_entry.direct.peer_link import PeerLink
from ragwortwing_entry.direct.peer_messages import WithdrawMessage, encode
from ragwortwing_policy.direct.feed_watch import FeedWatch
from ragwortwing_policy.direct.peer_status import StatusBook
from ragwortwing_policy.direct.scheduler_choice import SchedulerChoice
from ragwortwing_policy.duties.candidates import DutyCandidates
from ragwortwing_policy.duties.fleet_time import FleetTime
from ragwortwing_runtime.system_clock import SystemClock


def free_port() -> int:
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Entry:
    def __init__(self, name: str, capacity: float = 1.0) -> None:
        self.port = free_port()
        self.choice = SchedulerChoice(name)
        clock = SystemClock()
        book = StatusBook(
            name,
            capacity,
            FeedWatch(name),
            self.choice,
            DutyCandidates(name),
            FleetTime(clock),
        )
        self.link = PeerLink(book, clock)
        self.link.on_message(lambda *_: None, lambda: True)


async def until(condition) -> None:  # type: ignore[no-untyped-def]
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


async def test_an_entry_that_no_list_shows_is_answered() -> None:
    """Guards against entries that decide alone because the list of members does not show them."""
    listed, unlisted = Entry("listed", capacity=9.0), Entry("unlisted")
    unlisted.link.set_peers({"listed": ("127.0.0.1", listed.port)})
    async with trio.open_nursery() as nursery:
        for entry in (listed, unlisted):
            nursery.start_soon(entry.link.run, "127.0.0.1", entry.port)
        clock = SystemClock()
        await until(lambda: unlisted.choice.scheduler("p", clock.monotonic()) == "listed")
        assert listed.link.knows("unlisted")
        nursery.cancel_scope.cancel()


async def test_a_peer_that_leaves_the_list_and_is_heard_stays_known() -> None:
    """Guards against an entry cut off from its peers because the store turned it away."""
    one, other = Entry("one"), Entry("other")
    one.link.set_peers({"other": ("127.0.0.1", other.port)})
    other.link.set_peers({"one": ("127.0.0.1", one.port)})
    async with trio.open_nursery() as nursery:
        for entry in (one, other):
            nursery.start_soon(entry.link.run, "127.0.0.1", entry.port)
        await trio.sleep(0.3)
        one.link.set_peers({})
        assert one.link.knows("other")
        nursery.cancel_scope.cancel()


def test_a_peer_that_is_neither_listed_nor_heard_is_forgotten() -> None:
    one = Entry("one")
    one.link.set_peers({"gone": ("127.0.0.1", 1)})
    assert one.link.knows("gone")
    one.link.set_peers({})
    assert not one.link.knows("gone")


async def test_datagrams_that_queued_up_are_taken_in_at_one_turn() -> None:
    """Guards against news that wait for seconds behind older datagrams while the loop is slow."""
    entry = Entry("one")
    turns = 0
    turn_by_taken: list[int] = []
    entry.link.on_message(lambda *_: turn_by_taken.append(turns), lambda: True)
    message = encode(WithdrawMessage("other", "engines", "r-1"))

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.link.run, "127.0.0.1", entry.port)
        await trio.sleep(0.05)
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            for _ in range(40):
                sock.sendto(message, ("127.0.0.1", entry.port))
        nursery.start_soon(count_turns)
        await until(lambda: len(turn_by_taken) == 40)
        nursery.cancel_scope.cancel()
    assert turn_by_taken[-1] - turn_by_taken[0] <= 2
