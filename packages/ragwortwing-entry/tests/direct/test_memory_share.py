"""The share of an engine's memory that an entry uses with, beside and without a scheduler."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
import trio

from ragwortwing_entry.direct.direct_entry import DirectEntry
from ragwortwing_entry.direct.entry_state import EntryIdentity, EntryState
from ragwortwing_entry.direct.peer_messages import StatusMessage, decode, encode, status_of
from ragwortwing_policy.direct.admission_queue import Granted, WaitingRequest
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.memory_guard import REPORTS_WITHIN, MemoryBounds
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.repeat_budget import RepeatAllowance
from ragwortwing_policy.direct.routing_table import EngineTraits, RoutingTable, Service
from ragwortwing_policy.direct.scheduler_choice import Candidate

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

POOL = "engines"
TRAITS = EngineTraits(slots=64, memory_tokens=8_000, tokens_per_event=5)
SERVERS = [BackendServer(f"i-{number}", POOL, "", "suva", TRAITS.slots) for number in range(2)]
ENTRIES = 4
TOKENS = 500


class Network:
    """Delivers messages between entries in this process; `connected` is set to False to cut all."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.connected = True
        self.links_by_name: dict[str, Link] = {}
        self.nursery = nursery


class Link:
    """Stands in for the PeerLink of one entry; the host of an address is the peer's name."""

    def __init__(self, name: str, network: Network) -> None:
        self.name = name
        self._network = network
        self._handler: Callable[[Any, Any], None] = lambda *_: None
        network.links_by_name[name] = self

    def on_message(self, handler: Callable[[Any, Any], None], _: Callable[[], bool]) -> None:
        self._handler = handler

    def on_status(self, handler: Callable[[Any], None]) -> None:
        pass

    @property
    def members(self) -> frozenset[str]:
        return frozenset(self._network.links_by_name) - {self.name}

    def heard(self, now: float) -> frozenset[str]:
        assert now >= 0.0
        return self.members if self._network.connected else frozenset()

    def wake(self) -> None:
        pass

    def knows(self, peer: str) -> bool:
        return peer in self.members

    def send(self, message: Any, peer: str) -> None:
        self.send_to(message, (peer, 0))

    def send_to(self, message: Any, address: tuple[str, int]) -> None:
        async def deliver() -> None:
            await trio.sleep(0.001)
            self._network.links_by_name[address[0]].receive(message, (self.name, 0))

        if self._network.connected:
            self._network.nursery.start_soon(deliver)

    def receive(self, message: Any, address: tuple[str, int]) -> None:
        self._handler(message, address)


class TrioClock:
    def monotonic(self) -> float:
        return trio.current_time()

    def utc_now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC)


def waiting_request(ticket: str) -> WaitingRequest:
    now = trio.current_time()
    prompt = Prompt("m", (PromptPart(ticket, TOKENS - 10),), TOKENS - 10, 10)
    return WaitingRequest(ticket, ticket, prompt, Waiter(0, now + 0.4, now + 5.0, now))


class Fleet:
    def __init__(self, network: Network) -> None:
        self.network = network
        self._sent = 0
        links = [Link(f"entry-{number}", network) for number in range(ENTRIES)]
        self.entries = [_entry(link) for link in links]

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
                request = waiting_request(f"r-{self._sent}")
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


def _entry(link: Link) -> DirectEntry:
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
async def fleet() -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        found = Fleet(Network(nursery))
        for entry in found.entries:
            await nursery.start(entry.run)
        yield found
        nursery.cancel_scope.cancel()


async def test_entries_that_are_all_alone_do_not_exceed_an_engine(
    fleet: Fleet, autojump_clock: object
) -> None:
    """Guards against an engine that crashes because each entry fills it by itself."""
    fleet.network.connected = False
    for number in range(ENTRIES):
        fleet.announce(number, [number])
        granted = await fleet.fill(number)
        assert 0 < granted <= len(SERVERS) * TRAITS.memory_tokens // ENTRIES
    assert fleet.committed() <= TRAITS.memory_tokens


async def test_new_scheduler_waits_for_reports_before_it_commits_everything(
    fleet: Fleet, autojump_clock: object
) -> None:
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


async def test_scheduler_of_all_entries_commits_everything_but_no_more(
    fleet: Fleet, autojump_clock: object
) -> None:
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


async def test_without_bounds_the_memory_is_not_shared(
    fleet: Fleet, autojump_clock: object
) -> None:
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
    before_pressure = 1 + StatusMessage.__struct_fields__.index("pressure")
    former = decode(msgspec.msgpack.encode(fields[:before_pressure]))
    assert isinstance(former, StatusMessage)
    assert status_of(former).pressure == 0.0
