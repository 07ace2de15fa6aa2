"""Contract of the membership list: changes show, faults leave the last list, versions only rise."""

from __future__ import annotations

from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.in_process import running_membership
from ragwortwing_lab.standins.membership import (
    ListedMember,
    ListedRole,
    ListedState,
    MembershipStandIn,
    Snapshot,
)
from ragwortwing_runtime.membership_feed import MemberRole, MembershipFeed, MemberState

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

AGENT = ListedMember("agent-1", "127.0.0.1:7001", "suva", ListedRole.AGENT)
ENTRY = ListedMember("entry-1", "127.0.0.1:7002", "nadi", ListedRole.ENTRY)


@asynccontextmanager
async def running_feed(address: str) -> AsyncIterator[MembershipFeed]:
    feed = MembershipFeed(address, Random(1))
    async with trio.open_nursery() as nursery:
        await nursery.start(feed.run)
        yield feed
        nursery.cancel_scope.cancel()


async def until_version(feed: MembershipFeed, version: int) -> None:
    with trio.fail_after(10):
        while feed.current.version < version:
            await feed.changed()


async def test_members_come_leave_and_go() -> None:
    async with running_membership() as (standin, address):
        standin.set_member(AGENT)
        standin.set_member(ENTRY)
        async with running_feed(address) as feed:
            assert [each.name for each in feed.current.with_role(MemberRole.AGENT)] == ["agent-1"]
            leaving = ListedMember(
                "agent-1", AGENT.address, "suva", AGENT.role, ListedState.LEAVING
            )
            standin.set_member(leaving)
            await until_version(feed, 3)
            assert feed.current.by_name["agent-1"].state is MemberState.LEAVING
            standin.remove_member("agent-1")
            await until_version(feed, 4)
            assert list(feed.current.by_name) == ["entry-1"]


def show_older_list(standin: MembershipStandIn) -> None:
    """Let the list answer with an older version, as a replica that is behind does."""
    standin._snapshots[:] = [Snapshot(0, 0.0, ())]


@pytest.mark.parametrize("kind", [FaultKind.OUTAGE, FaultKind.LAG, None])
async def test_the_last_list_stays_under_fault(kind: FaultKind | None) -> None:
    async with running_membership() as (standin, address):
        standin.set_member(AGENT)
        async with running_feed(address) as feed:
            if kind is None:
                show_older_list(standin)
            else:
                standin.faults.set(Fault(kind, seconds=600))
                standin.remove_member("agent-1")
            with trio.fail_after(5):
                await feed._poll(feed._poll_wait * 0)
            assert list(feed.current.by_name) == ["agent-1"]
            assert feed.reachable is (kind is not FaultKind.OUTAGE)
