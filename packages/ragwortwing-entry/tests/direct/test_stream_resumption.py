"""Tests of resumed streams with several entries over a network that drops chosen messages."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
import trio
from peer_network import FakeLink, Network, TrioClock

from ragwortwing_entry.direct.direct_entry import DirectEntry
from ragwortwing_entry.direct.entry_state import EntryIdentity, EntryState
from ragwortwing_entry.direct.feed_relay import FeedRecord
from ragwortwing_entry.direct.peer_messages import (
    DecisionMessage,
    OriginMessage,
    OriginQueryMessage,
    PlaceMessage,
    ReportMessage,
    decode,
    encode,
    report_of,
    waiting_request_of,
)
from ragwortwing_entry.direct.ports import CallerRequest, Refused
from ragwortwing_entry.direct.store_port import Snapshot
from ragwortwing_policy.direct.admission_queue import Granted, WaitingRequest
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.repeat_budget import RepeatAllowance
from ragwortwing_policy.direct.routing_table import (
    EngineTraits,
    Repetition,
    Route,
    RoutingTable,
    Service,
    ServiceShare,
)
from ragwortwing_policy.direct.scheduler_choice import Candidate
from ragwortwing_policy.direct.stream_origins import STREAM_LIFETIME, StreamOrigin
from ragwortwing_policy.outcomes import NotRunReason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock

POOL = "engines"
TRAITS = EngineTraits(slots=4, memory_tokens=100_000, tokens_per_event=5)
SERVERS = [
    BackendServer(f"i-{number}", POOL, f"127.0.0.1:{number}", "suva", TRAITS.slots, version=version)
    for number, version in enumerate(["v1", "v2"])
]
ROUTE = Route(
    "drafts",
    "a.example",
    "/draft/",
    (ServiceShare(POOL, 1.0),),
    Repetition.RESUMABLE,
    True,
    timedelta(seconds=4),
    timedelta(seconds=1),
    0,
    2,
)
OLD, NEW = StreamOrigin(POOL, "v1"), StreamOrigin(POOL, "v2")
FEED = "keyed.servers"


class Fleet:
    """Three entries; the first of the candidates schedules, the second is its successor."""

    def __init__(self, network: Network) -> None:
        self.network = network
        links: dict[str, FakeLink] = {}
        for name in ("a", "b", "c"):
            links[name] = FakeLink(name, links, network)
        self.by_name = {name: _entry(link) for name, link in links.items()}
        self.candidates = ["a", "b"]
        self.reaching_store: set[str] = set()
        """Entries whose reads of the store succeed."""
        self.reads: list[str] = []
        """The entry of each read that a resumption caused."""
        for name, entry in self.by_name.items():
            entry.state.catch_up.follow(FEED, partial(self._read, name))

    async def _read(self, name: str) -> bool:
        self.reads.append(name)
        await trio.sleep(0.004)
        return name in self.reaching_store

    async def announce(self) -> None:
        while True:
            now = trio.current_time()
            for name, entry in self.by_name.items():
                choice = entry.state.choice
                for other in self.candidates:
                    candidate = Candidate(other, 9.0, 60.0, now)
                    if other == name:
                        choice.offer(candidate)
                    else:
                        choice.update_from_peer(candidate)
            await trio.sleep(0.5)

    def follow_list(self, *names: str) -> None:
        """Let entries know the list of backend servers up to now."""
        self.reaching_store |= set(names)
        for name in names:
            self.by_name[name].state.watch.reached(FEED, 1, trio.current_time())

    def cut_from_store(self, *names: str) -> None:
        """Let the reads of entries fail from now on."""
        self.reaching_store -= set(names)

    async def begin(self, name: str, request_id: str, *, is_read: bool = True) -> BackendServer:
        """Send a request to an engine and, if asked for, receive its first event."""
        entry = self.by_name[name]
        ticket = entry.new_ticket(request_id)
        granted = await entry.pool(POOL).admission.admit(waiting_request(ticket, request_id))
        assert isinstance(granted, Granted)
        if is_read:
            entry.resumption.began(request_id, granted.backend)
            entry.engine_first_event(granted.backend.id, POOL, ticket, None)
        await trio.sleep(0.1)
        return granted.backend

    async def resume(
        self, name: str, resumes: str | None, request_id: str = "again"
    ) -> StreamOrigin | Refused:
        resumption = self.by_name[name].resumption
        return await resumption.decide(caller_request(request_id, resumes), ROUTE)

    def queries(self, name: str) -> int:
        return self.network.count(name, OriginQueryMessage)


def caller_request(request_id: str, resumes: str | None) -> CallerRequest:
    return CallerRequest(
        request_id, "POST", "a.example", "/draft/x", None, None, 3, 0.0, None, None, resumes
    )


def waiting_request(
    ticket: str, request_id: str = "r", version: str | None = None
) -> WaitingRequest:
    now = trio.current_time()
    waiter = Waiter(0, now + 0.4, now + 5.0, now)
    prompt = Prompt("m", (PromptPart(ticket, 300),), 300, 10)
    return WaitingRequest(ticket, request_id, prompt, waiter, version=version)


def _entry(link: FakeLink) -> DirectEntry:
    allowance = RepeatAllowance(0.2, 10, timedelta(seconds=10))
    state = EntryState(EntryIdentity(link.name, "suva"), allowance, TrioClock())
    state.peers = link  # type: ignore[assignment]
    state.accept_table(RoutingTable(1, (ROUTE,), {POOL: Service(POOL, TRAITS)}, {}))
    for server in SERVERS:
        state.backend_listed(server)
    return DirectEntry(state, None, Random(1))  # type: ignore[arg-type]


@pytest.fixture
async def fleet(autojump_clock: MockClock) -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        found = Fleet(Network(nursery))
        for entry in found.by_name.values():
            await nursery.start(entry.run)
        nursery.start_soon(found.announce)
        await trio.sleep(0.01)
        yield found
        nursery.cancel_scope.cancel()


def list_only(fleet: Fleet, *versions: str) -> None:
    """Let every entry list only servers of some versions."""
    for entry in fleet.by_name.values():
        for server in SERVERS:
            if server.version not in versions:
                entry.state.backends.remove(server.id)


def drop_from(*senders: str) -> Any:
    return lambda sender, _: sender in senders


@pytest.mark.parametrize("at", ["a", "b", "c"])
@pytest.mark.parametrize("by", ["a", "b", "c"])
async def test_any_entry_knows_a_stream_that_another_began(
    fleet: Fleet, autojump_clock: MockClock, by: str, at: str
) -> None:
    """Guards against an origin that is lost with its entry."""
    backend = await fleet.begin(by, "r")
    fleet.network.drop = drop_from(by) if by != at else drop_from()
    assert await fleet.resume(at, "r") == StreamOrigin(POOL, backend.version)


@pytest.mark.parametrize("at", ["a", "b", "c"])
@pytest.mark.parametrize("by", ["a", "b", "c"])
async def test_send_without_an_event_does_not_tell_where_a_stream_began(
    fleet: Fleet, autojump_clock: MockClock, by: str, at: str
) -> None:
    """Guards against a join by an entry that was not told of a later send of the same request."""
    await fleet.begin(by, "r", is_read=False)
    fleet.network.drop = drop_from(by) if by != at else drop_from()
    assert await fleet.resume(at, "r") == Refused(NotRunReason.STREAM_UNKNOWN)


async def test_grant_that_was_lost_does_not_tell_where_a_stream_began(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a join by a scheduler whose answers do not arrive."""
    fleet.network.drop = drop_from("a")
    backend = await fleet.begin("c", "r")
    fleet.network.drop = lambda *_: True
    found = await fleet.resume("a", "r")
    assert found in (StreamOrigin(POOL, backend.version), Refused(NotRunReason.STREAM_UNKNOWN))


async def test_stream_that_an_entry_began_needs_no_query(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    await fleet.begin("c", "r")
    await fleet.resume("c", "r")
    assert fleet.queries("c") == 0


@pytest.mark.parametrize("at", ["a", "b"])
async def test_lost_reports_leave_the_announcement_of_the_first_event(
    fleet: Fleet, autojump_clock: MockClock, at: str
) -> None:
    """Guards against an unknown origin after an entry failed before its first report arrived."""
    fleet.network.drop = lambda _, message: isinstance(message, ReportMessage)
    backend = await fleet.begin("c", "r")
    assert await fleet.resume(at, "r") == StreamOrigin(POOL, backend.version)


async def test_origin_outlasts_a_change_of_the_scheduler(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against streams that cannot go on because their scheduler has failed."""
    backend = await fleet.begin("c", "r")
    fleet.network.drop = drop_from("a")
    fleet.candidates = ["b", "c"]
    await trio.sleep(3.0)
    for at in ("b", "c"):
        assert await fleet.resume(at, "r") == StreamOrigin(POOL, backend.version)


async def test_unknown_stream_is_refused_at_once(fleet: Fleet, autojump_clock: MockClock) -> None:
    started_at = trio.current_time()
    assert await fleet.resume("c", "never") == Refused(NotRunReason.STREAM_UNKNOWN)
    assert trio.current_time() - started_at < 0.01


async def test_silent_peers_hold_a_resumption_only_briefly(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a caller that is held for peers which have failed."""
    fleet.network.drop = drop_from("a", "b")
    started_at = trio.current_time()
    assert await fleet.resume("c", "never") == Refused(NotRunReason.STREAM_UNKNOWN)
    assert trio.current_time() - started_at < 0.15


async def test_lost_query_or_answer_is_sent_again(fleet: Fleet, autojump_clock: MockClock) -> None:
    """Guards against a stream that is refused because one datagram was lost."""
    backend = await fleet.begin("a", "r")
    for kind in (OriginQueryMessage, OriginMessage):
        lost: list[Any] = []

        def drop(_: str, message: Any, kind: type = kind, lost: list[Any] = lost) -> bool:
            if not isinstance(message, kind) or len(lost) >= 2:
                return False
            lost.append(message)
            return True

        fleet.network.drop = drop
        found = await fleet.resume("c", "r", f"again-{kind.__name__}")
        assert found == StreamOrigin(POOL, backend.version)


async def test_chain_of_attempts_keeps_its_origin(fleet: Fleet, autojump_clock: MockClock) -> None:
    """Guards against an attempt that names another resumption instead of the first attempt."""
    backend = await fleet.begin("a", "r")
    origin = StreamOrigin(POOL, backend.version)
    assert await fleet.resume("b", "r", "second") == origin
    assert await fleet.resume("b", "second", "third") == origin
    assert await fleet.resume("b", "r", "fourth") == origin


async def test_request_id_used_again_at_another_version_is_refused(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a guess between two streams with the same id."""
    for name, server in (("a", SERVERS[0]), ("b", SERVERS[1])):
        fleet.by_name[name].resumption.began("r", server)
    assert await fleet.resume("c", "r") == Refused(NotRunReason.STREAM_UNKNOWN)


async def test_sole_version_is_certain_once_the_list_is_known_long_enough(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a join by an entry that started after the other version had left."""
    list_only(fleet, "v1")
    for entry in fleet.by_name.values():
        entry.state.versions.list_read(trio.current_time(), has_all_records=False)
    fleet.follow_list("a", "b", "c")
    assert await fleet.resume("c", None) == Refused(NotRunReason.STREAM_UNKNOWN)
    await trio.sleep(STREAM_LIFETIME + 0.1)
    fleet.follow_list("a", "b", "c")
    assert await fleet.resume("c", None) == OLD


async def test_sole_version_is_not_certain_while_the_list_cannot_be_read(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against an entry that has not read of the newest version and joins it to its own."""
    list_only(fleet, "v1")
    for entry in fleet.by_name.values():
        entry.state.versions.list_read(trio.current_time(), has_all_records=True)
    fleet.follow_list("a", "b", "c")
    assert await fleet.resume("c", None) == OLD
    fleet.cut_from_store("a", "b", "c")
    assert await fleet.resume("c", None) == Refused(NotRunReason.STREAM_UNKNOWN)
    await trio.sleep(5.0)
    assert await fleet.resume("c", None) == Refused(NotRunReason.STREAM_UNKNOWN)
    fleet.follow_list("a")
    assert await fleet.resume("c", None) == OLD


async def test_entry_that_is_cut_off_does_not_resume_at_the_version_that_it_knows(
    fleet: Fleet,
    autojump_clock: MockClock,
) -> None:
    """Guards against a join while a version that an entry has not read of yet has begun streams."""
    list_only(fleet, "v1")
    for entry in fleet.by_name.values():
        entry.state.versions.list_read(trio.current_time(), has_all_records=True)
    fleet.follow_list("a", "b", "c")
    fleet.cut_from_store("c")
    fleet.network.drop = lambda sender, _: True
    started_at = trio.current_time()
    assert await fleet.resume("c", "r") == Refused(NotRunReason.STREAM_UNKNOWN)
    assert trio.current_time() - started_at < 0.15


@pytest.mark.parametrize("listed_by", ["a", "c"])
async def test_version_that_joined_before_the_question_is_read_of(
    fleet: Fleet, autojump_clock: MockClock, listed_by: str
) -> None:
    """Guards against a reading that began before the caller resumed the stream."""
    list_only(fleet, "v1")
    for name, entry in fleet.by_name.items():
        entry.state.versions.list_read(trio.current_time(), has_all_records=name != "c")
    state = fleet.by_name[listed_by].state

    async def read() -> bool:
        await trio.sleep(0.004)
        state.backend_listed(SERVERS[1])
        return True

    state.catch_up.follow(FEED, read)
    fleet.follow_list("a", "b", "c")
    if listed_by == "c":
        state.versions.list_read(trio.current_time(), has_all_records=True)
    fleet.candidates = ["a"]
    await trio.sleep(2.0)
    fleet.follow_list("a", "b", "c")
    assert await fleet.resume("c", None) == Refused(NotRunReason.STREAM_UNKNOWN)


async def test_route_that_moved_before_the_question_is_read_of(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a stream that goes on at the former service of its route."""
    list_only(fleet, "v1")
    state = fleet.by_name["c"].state
    state.versions.list_read(trio.current_time(), has_all_records=True)
    fleet.follow_list("c")
    assert await fleet.resume("c", None) == OLD

    async def read() -> bool:
        moved = replace(ROUTE, shares=(ServiceShare("others", 1.0),))
        state.accept_table(RoutingTable(2, (moved,), {POOL: Service(POOL, TRAITS)}, {}))
        return True

    state.catch_up.follow("keyed.op", read)
    assert await fleet.resume("c", None) == Refused(NotRunReason.STREAM_UNKNOWN)


async def test_peer_does_not_vouch_for_the_former_service_of_a_route(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a stream that its route's new service began and the former one continues."""
    list_only(fleet, "v1")
    moved = replace(ROUTE, shares=(ServiceShare("others", 1.0),))
    table = RoutingTable(2, (moved,), {POOL: Service(POOL, TRAITS)}, {})
    for entry in fleet.by_name.values():
        entry.state.versions.list_read(trio.current_time(), has_all_records=True)
    for name in ("a", "b"):
        fleet.by_name[name].state.accept_table(table)
    fleet.follow_list("a", "b", "c")
    state = fleet.by_name["c"].state

    async def read() -> bool:
        state.accept_table(table)
        return True

    state.catch_up.follow("keyed.op", read)
    assert await fleet.resume("c", None) == Refused(NotRunReason.STREAM_UNKNOWN)


async def test_peer_with_another_configuration_does_not_vouch(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a peer that knows of a route's new service, which this entry does not."""
    list_only(fleet, "v1")
    for name in ("a", "b"):
        state = fleet.by_name[name].state
        state.versions.list_read(trio.current_time(), has_all_records=True)
        state.accept_table(RoutingTable(2, (), {POOL: Service(POOL, TRAITS)}, {}))
    fleet.follow_list("a", "b")
    assert await fleet.resume("c", None) == Refused(NotRunReason.STREAM_UNKNOWN)


async def test_peers_of_a_large_fleet_are_given_time_to_read(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against refusals at a new entry whose peers read the store less often."""
    list_only(fleet, "v1")
    for name, entry in fleet.by_name.items():
        entry.state.catch_up._entries = lambda: 340
        entry.state.versions.list_read(trio.current_time(), has_all_records=name != "c")
    fleet.follow_list("a", "b", "c")
    assert await fleet.resume("c", "first") == OLD
    assert await fleet.resume("c", "second") == OLD


async def test_resumptions_share_reads_of_the_store(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a read of the store for each of the streams that an entry's end broke."""
    list_only(fleet, "v1")
    state = fleet.by_name["c"].state
    state.versions.list_read(trio.current_time(), has_all_records=True)
    fleet.follow_list("c")
    found: list[StreamOrigin | Refused] = []

    async def resume(number: int) -> None:
        await trio.sleep(number / 1000)
        found.append(await fleet.resume("c", f"r-{number}", f"again-{number}"))

    async with trio.open_nursery() as nursery:
        for number in range(200):
            nursery.start_soon(resume, number)
    assert found == 200 * [OLD]
    assert 2 <= fleet.reads.count("c") <= 6


async def test_newest_version_at_a_peer_outweighs_an_older_list(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a stream of a version that only the other entries list yet."""
    list_only(fleet, "v1")
    entry = fleet.by_name["c"]
    entry.state.versions.list_read(trio.current_time(), has_all_records=True)
    fleet.follow_list("c")
    fleet.by_name["b"].state.backend_listed(SERVERS[1])
    assert await fleet.resume("c", None) == Refused(NotRunReason.STREAM_UNKNOWN)
    fleet.by_name["b"].resumption.began("r", SERVERS[1])
    assert await fleet.resume("c", "r") == NEW


async def test_version_that_left_counts_while_its_streams_can_be_resumed(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a stream of a version that left just before it is resumed."""
    for entry in fleet.by_name.values():
        entry.state.versions.list_read(trio.current_time(), has_all_records=True)
        entry.state.backend_gone("i-0")
    fleet.follow_list("a", "b", "c")
    assert await fleet.resume("c", "unknown") == Refused(NotRunReason.STREAM_UNKNOWN)
    await trio.sleep(STREAM_LIFETIME + 0.1)
    fleet.follow_list("a", "b", "c")
    assert await fleet.resume("c", "unknown") == NEW


async def test_stream_of_a_plain_service_is_known_to_the_others(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against streams whose runs no report names."""
    fleet.by_name["c"].resumption.began("r", SERVERS[1])
    await trio.sleep(0.01)
    assert await fleet.resume("b", "r") == NEW


@pytest.mark.parametrize("version", ["v1", "v2"])
@pytest.mark.parametrize("at", ["a", "c"])
async def test_engine_of_the_version_is_granted(
    fleet: Fleet, autojump_clock: MockClock, at: str, version: str
) -> None:
    """Guards against a scheduler, or an entry that decides alone, that ignores the version."""
    for number in range(3):
        request = waiting_request(f"r-{number}/1", f"r-{number}", version)
        granted = await fleet.by_name[at].pool(POOL).admission.admit(request)
        assert isinstance(granted, Granted)
        assert granted.backend.version == version


async def test_grant_of_another_version_is_not_used(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a scheduler of the previous version, which does not read the field."""
    for name in ("a", "b"):
        state = fleet.by_name[name].state
        for server in SERVERS:
            state.backends.put(replace(server, version="v1"))
    request = waiting_request("r/1", "r", "v1")
    granted = await fleet.by_name["c"].pool(POOL).admission.admit(request)
    assert isinstance(granted, Granted)
    assert granted.backend.id == "i-0"


async def test_request_is_refused_at_once_without_an_engine_of_its_version(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a caller that is held, or told to return, for a version that has left."""
    started_at = trio.current_time()
    for name in ("a", "c"):
        request = waiting_request(f"{name}/1", name, "v0")
        found = await fleet.by_name[name].pool(POOL).admission.admit(request)
        assert found == Refused(NotRunReason.NO_SAME_VERSION)
    assert trio.current_time() - started_at < 0.1


async def test_caller_is_told_to_return_while_its_version_backs_off(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against a final refusal although the engines of the version are back soon."""
    entry = fleet.by_name["c"]
    entry.state.backoff_requested(SERVERS[0], 30.0)
    found = await entry.pool(POOL).admission.admit(waiting_request("r/1", "r", "v1"))
    assert isinstance(found, Refused)
    assert found.reason is NotRunReason.OVERLOADED
    assert found.retry_after is not None


async def test_plain_server_of_the_version_is_chosen(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against plain services, which no scheduler places, at another version."""
    plain = fleet.by_name["c"].plain
    until = trio.current_time()
    for _ in range(6):
        assert await plain.admit(POOL, frozenset(), until, "v2") == SERVERS[1]
    assert await plain.admit(POOL, {"i-1"}, until, "v2") == SERVERS[1]
    refused = await plain.admit(POOL, frozenset(), until, "v0")
    assert refused == Refused(NotRunReason.NO_SAME_VERSION)


async def test_messages_of_the_previous_version_have_no_version(
    fleet: Fleet, autojump_clock: MockClock
) -> None:
    """Guards against entries that cannot read each other while the fleet is upgraded."""
    await fleet.begin("c", "r")
    sent = [message for _, message in fleet.network.sent]
    place = next(each for each in sent if isinstance(each, PlaceMessage))
    fields = msgspec.msgpack.decode(encode(place))
    former = decode(msgspec.msgpack.encode(fields[:-1]))
    assert isinstance(former, PlaceMessage)
    assert waiting_request_of(former, "t", 0.0).version is None
    report = next(each for each in sent if isinstance(each, ReportMessage) and each.runs)
    fields = msgspec.msgpack.decode(encode(report))
    assert fields[5][0].pop() in ("v1", "v2")
    former_report = decode(msgspec.msgpack.encode(fields))
    assert isinstance(former_report, ReportMessage)
    assert report_of(former_report).runs[0].version is None
    assert any(isinstance(each, DecisionMessage) for each in sent)


@pytest.mark.parametrize(
    ("offsets", "end", "expected"),
    [([0, 1], 2, True), ([], 0, True), ([1], 2, False), ([0, 3], 4, False), ([0, 1, 2], 2, True)],
)
def test_snapshot_without_replaced_records_is_recognized(
    offsets: list[int], end: int, *, expected: bool
) -> None:
    """Guards against a list that counts as complete although a version of it was removed."""
    records = tuple(FeedRecord(f"i-{each}", b"{}", each) for each in offsets)
    assert Snapshot(records, end).has_all_records is expected
