"""The share of an engine's memory that an entry uses with, beside and without a scheduler."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from ragwortwing_entry.direct.direct_entry import DirectEntry
from ragwortwing_entry.direct.entry_state import EntryIdentity, EntryState
from ragwortwing_entry.direct.peer_messages import StatusMessage, decode, encode, status_of
from ragwortwing_policy.direct.admission_queue import Granted
from ragwortwing_policy.direct.memory_guard import REPORTS_WITHIN, MemoryBounds
from ragwortwing_policy.direct.repeat_budget import RepeatAllowance
from ragwortwing_policy.direct.routing_table import EngineTraits, RoutingTable, Service
from ragwortwing_policy.direct.scheduler_choice import Candidate

from .test_engine_admission import SERVERS, FakeLink, Network, TrioClock, waiting_request

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

POOL = "engines"
TRAITS = EngineTraits(slots=64, memory_tokens=8_000, tokens_per_event=5)
ENTRIES = 4
TOKENS = 500


class HearingLink(FakeLink):
    """A fake link that hears the entries from which the network lets messages through."""

    def heard(self, now: float) -> frozenset[str]:
        assert now >= 0.0
        return frozenset(each for each in self.members if not self.network.drop(each, None))

    @property
    def network(self) -> Network:
        return self._network


class Fleet:
    def __init__(self, network: Network) -> None:
        self.network = network
        self._sent = 0
        links: dict[str, FakeLink] = {}
        for number in range(ENTRIES):
            name = f"entry-{number}"
            links[name] = HearingLink(name, links, network)
        self.entries = [_entry(link) for link in links.values()]

    def announce(self, scheduler: int, to: list[int]) -> None:
        """Let entries choose a scheduler, in place of statuses."""
        candidate = Candidate(f"entry-{scheduler}", 9.0, 60.0, trio.current_time())
        for number in to:
            choice = self.entries[number].state.choice
            if number == scheduler:
                choice.offer(candidate)
            else:
                choice.update_from_peer(candidate)

    async def fill(self, number: int, most: int = 200) -> int:
        """Send requests until none is granted; return the tokens that were granted."""
        granted = 0
        for _ in range(most):
            self._sent += 1
            found = None
            with trio.move_on_after(0.3):
                request = waiting_request(f"r-{self._sent}", TOKENS - 10)
                found = await self.entries[number].pool(POOL).admission.admit(request)
            if not isinstance(found, Granted):
                break
            granted += TOKENS
        return granted

    def committed(self) -> int:
        """Return the tokens on the fullest engine, of the runs of all entries themselves."""
        return max(
            sum(
                load.memory_tokens
                for entry in self.entries
                for key, load in entry.state.placement.loads_by_id.items()
                if key == server.id
            )
            for server in SERVERS
        )


def _entry(link: FakeLink) -> DirectEntry:
    allowance = RepeatAllowance(0.2, 10, timedelta(seconds=10))
    state = EntryState(
        EntryIdentity(link.name, "suva"),
        allowance,
        TrioClock(),
        memory_bounds=MemoryBounds.of_process(200 << 20),
    )
    state.peers = link  # type: ignore[assignment]
    state.accept_table(RoutingTable(1, (), {POOL: Service(POOL, TRAITS)}, {}))
    for server in SERVERS:
        state.backends.put(server)
    state.entries_counted(ENTRIES)
    return DirectEntry(state, None, Random(1))  # type: ignore[arg-type]


@pytest.fixture
async def fleet(autojump_clock: object) -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        found = Fleet(Network(nursery))
        for entry in found.entries:
            await nursery.start(entry.run)
        yield found
        nursery.cancel_scope.cancel()


async def test_entries_that_are_all_alone_do_not_exceed_an_engine(fleet: Fleet) -> None:
    """Guards against an engine that crashes because each entry fills it by itself."""
    fleet.network.drop = lambda *_: True
    for number in range(ENTRIES):
        fleet.announce(number, [number])
        granted = await fleet.fill(number)
        assert 0 < granted <= len(SERVERS) * TRAITS.memory_tokens // ENTRIES
    assert fleet.committed() <= TRAITS.memory_tokens


async def test_new_scheduler_waits_for_reports_before_it_commits_everything(fleet: Fleet) -> None:
    """Guards against a new scheduler that does not know the runs of the others yet."""
    fleet.announce(0, [0])
    began_at = trio.current_time()
    early = await fleet.fill(0)
    assert trio.current_time() - began_at < REPORTS_WITHIN
    share = len(SERVERS) * TRAITS.memory_tokens // ENTRIES
    assert early == share
    await trio.sleep(REPORTS_WITHIN)
    fleet.announce(0, [0])
    assert early + await fleet.fill(0) > share


async def test_scheduler_of_all_entries_commits_everything_but_no_more(fleet: Fleet) -> None:
    """Guards against memory that stays unused while a scheduler knows all runs."""

    async def announce() -> None:
        while True:
            fleet.announce(0, list(range(ENTRIES)))
            await trio.sleep(0.5)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(announce)
        assert (await fleet.fill(1, most=1)) == TOKENS
        await trio.sleep(REPORTS_WITHIN + 0.1)
        granted = TOKENS + sum([await fleet.fill(number, most=30) for number in range(4)])
        nursery.cancel_scope.cancel()
    assert granted == len(SERVERS) * TRAITS.memory_tokens
    scheduler = fleet.entries[0].state
    assert max(each.memory_tokens for each in scheduler.placement.loads_by_id.values()) <= 8_000


async def test_without_bounds_the_memory_is_not_shared(fleet: Fleet) -> None:
    """Guards against a changed decision on a platform that does not ask for the guard."""
    state = EntryState(
        EntryIdentity("x", "suva"), RepeatAllowance(0.2, 10, timedelta(seconds=10)), TrioClock()
    )
    state.entries_counted(ENTRIES)
    assert state.memory_share(POOL) is None
    assert fleet.entries[0].state.memory_share(POOL) is not None


def test_status_without_pressure_is_read_as_no_pressure() -> None:
    """Guards against entries of two versions that cannot read each other's statuses."""
    status = StatusMessage("a", 1.0, 5.0, True, 0.0, {}, pressure=0.7)
    received = decode(encode(status))
    assert isinstance(received, StatusMessage)
    assert status_of(received).pressure == 0.7
    fields = msgspec.msgpack.decode(encode(status))
    former = decode(msgspec.msgpack.encode(fields[:-1]))
    assert isinstance(former, StatusMessage)
    assert status_of(former).pressure == 0.0
