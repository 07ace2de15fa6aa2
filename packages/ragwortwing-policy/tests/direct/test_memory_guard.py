"""Memory of engines and entries is never committed beyond its bounds."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortwing_policy.direct.engine_load import EngineLoad
from ragwortwing_policy.direct.failure_tracker import FailureTracker
from ragwortwing_policy.direct.memory_guard import (
    RETAINED_AFTER_LOSS,
    HeldBytes,
    MemoryBounds,
    MemoryShares,
)
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.routing_table import EngineTraits
from ragwortwing_policy.direct.run_ledger import GRANT_EXPIRY, SENDER_SILENCE, RunLedger, run_key
from ragwortwing_policy.direct.run_report import ReportedRun, RunReporter

from .builders import engines, prompt

POOL = "engines"
MEMORY = 100_000
TRAITS = EngineTraits(slots=1000, memory_tokens=MEMORY, tokens_per_event=5)
ENGINE = engines(1)[0]


class DecidingEntry:
    """An entry that places requests on one engine by what it knows of the engine."""

    def __init__(self, share: float | None) -> None:
        self.load = EngineLoad(ENGINE.id, POOL, TRAITS)
        self.load.memory_share = share
        self._tickets = 0

    def place(self, tokens: int, output: int = 50, urgency: int = 0) -> bool:
        asked = prompt(tokens, output=output)
        if not self.load.fits(asked, urgency):
            return False
        self._tickets += 1
        ticket = f"r-{self._tickets}"
        self.load.begin(ticket, asked, self.load.plan_prefill(asked), 0.0, urgency)
        self.load.placed(ticket)
        return True


@given(
    st.integers(1, 40),
    st.lists(st.tuples(st.integers(0, 39), st.integers(2, 30_000)), max_size=200),
)
def test_entries_that_decide_alone_do_not_exceed_an_idle_engine(
    entries: int, requests: list[tuple[int, int]]
) -> None:
    """Guards against an engine that crashes because every entry fills it by itself."""
    alone = [DecidingEntry(1.0 / entries) for _ in range(entries)]
    for number, tokens in requests:
        alone[number % entries].place(tokens)
    assert sum(each.load.memory_tokens for each in alone) <= MEMORY


@given(st.lists(st.integers(2, 30_000), max_size=60))
def test_answers_at_their_maximum_fit(requests: list[int]) -> None:
    """Guards against an engine that is full once its answers have grown."""
    scheduler = DecidingEntry(1.0)
    for tokens in requests:
        scheduler.place(tokens, output=tokens // 2)
    assert scheduler.load.memory_tokens <= MEMORY


def test_an_entry_alone_adds_to_its_earlier_runs_only_its_share_of_the_rest() -> None:
    """Guards against an entry that loses its scheduler and goes on as if it were the scheduler."""
    entry = DecidingEntry(1.0)
    while entry.load.memory_tokens < MEMORY // 2:
        assert entry.place(9_950)
    entry.load.memory_share = 0.25
    before = entry.load.memory_tokens
    while entry.place(950):
        pass
    added = entry.load.memory_tokens - before
    assert 0.25 * (MEMORY - before) - 1_000 < added <= 0.25 * (MEMORY - before)


def test_a_request_of_the_whole_memory_fits_an_idle_engine_in_every_rank() -> None:
    """Guards against a request that waits forever as its rank leaves a part of engines free."""
    asked = MEMORY - 50
    assert DecidingEntry(1.0).place(asked, urgency=9)
    busy = DecidingEntry(1.0)
    assert busy.place(10)
    assert not busy.place(asked - 100, urgency=9)


def test_without_the_guard_the_rule_is_the_former_one() -> None:
    """Guards against a changed decision on a platform that does not ask for the guard."""
    entry = DecidingEntry(None)
    assert not entry.place(MEMORY - 50, urgency=9)
    assert entry.place(80_000, urgency=9)
    entry.load.end("r-1", 1.0, retain_for=4.0)
    assert entry.place(80_000, urgency=9)


def test_groups_of_a_divided_fleet_share_the_memory() -> None:
    """Guards against two schedulers that each commit everything after the network is divided."""
    names = [f"entry-{number}" for number in range(10)]
    groups = [names[:6], names[6:9], names[9:]]
    total = 0.0
    for group in groups:
        scheduler, *others = group
        assert scheduler not in others
        shares = MemoryShares()
        for now in (0.0, 5.0):
            share = shares.share(
                POOL,
                now,
                entries=len(names),
                heard=frozenset(others),
                reported=frozenset(),
                schedules=True,
            )
        total += share
    assert total == pytest.approx(1.0)


def test_a_scheduler_that_returns_starts_again_with_an_equal_share() -> None:
    """Guards against an entry that commits everything with the runs it knew a minute ago."""
    shares = MemoryShares()
    peers = frozenset({"b", "c", "d"})

    def share(now: float, *, schedules: bool) -> float:
        return shares.share(
            POOL, now, entries=4, heard=peers, reported=frozenset(), schedules=schedules
        )

    assert share(0.0, schedules=True) == 0.25
    assert share(1.3, schedules=True) == 1.0
    assert share(60.0, schedules=False) == 0.25
    assert share(61.0, schedules=True) == 0.25


class Scheduler:
    def __init__(self) -> None:
        placement = Placement()
        self.load = placement.load(ENGINE, TRAITS)
        self.load.memory_share = 1.0
        self.ledger = RunLedger(placement, FailureTracker(), lambda _: (ENGINE, TRAITS))

    def grant(self, ticket: str, tokens: int, now: float) -> None:
        asked = prompt(tokens)
        self.load.begin(run_key("a", ticket), asked, self.load.plan_prefill(asked), now)
        self.ledger.granted(POOL, "a", 1, ticket, ENGINE.id, now)

    def fits(self, tokens: int, now: float) -> bool:
        self.load.retained.expire(now)
        return self.load.fits(prompt(tokens), urgency=0)


def test_tokens_of_a_silent_entry_stay_committed_for_a_while() -> None:
    """Guards against a frozen entry whose runs go on while its memory is given to others."""
    scheduler = Scheduler()
    reporter = RunReporter("a", 1, POOL)
    asked = prompt(80_000)
    reading = scheduler.load.plan_prefill(asked)
    reporter.begin(ReportedRun("r-1", ENGINE.id, asked, reading, 0), 0.0)
    scheduler.ledger.take(reporter.report(0.0), 0.0)
    silent_at = SENDER_SILENCE + 0.1
    assert scheduler.ledger.expire(silent_at) == ("a",)
    assert scheduler.load.running == 0
    assert not scheduler.fits(30_000, silent_at)
    assert scheduler.fits(30_000, silent_at + RETAINED_AFTER_LOSS)


def test_tokens_of_an_unreported_grant_stay_committed_until_a_whole_report() -> None:
    """Guards against a grant that its entry uses although its first reports were lost."""
    scheduler = Scheduler()
    scheduler.grant("r-1", 80_000, 0.0)
    expired_at = GRANT_EXPIRY + 0.1
    scheduler.ledger.expire(expired_at)
    assert scheduler.load.running == 0
    assert not scheduler.fits(30_000, expired_at)
    assert scheduler.fits(30_000, 1.4)


def test_whole_reports_tell_who_has_been_heard() -> None:
    scheduler = Scheduler()
    reporter = RunReporter("a", 1, POOL)
    assert scheduler.ledger.reported(POOL, 0.0) == frozenset()
    scheduler.ledger.take(reporter.full_report(0.0), 0.0)
    assert scheduler.ledger.reported(POOL, 0.1) == frozenset({"a"})
    assert scheduler.ledger.reported(POOL, SENDER_SILENCE + 0.1) == frozenset()


@given(st.lists(st.tuples(st.integers(0, 99), st.integers(1, 60_000)), max_size=400))
def test_answers_that_nobody_reads_stay_within_the_bounds(pieces: list[tuple[int, int]]) -> None:
    """Guards against a hundred callers that stop reading and fill the memory of the process.

    Each answer may hold one piece beyond the bound of the total, as it could not begin otherwise.
    """
    held = HeldBytes(MemoryBounds(total_bytes=1_000_000, answer_bytes=200_000))
    own = [0] * 100
    first = [0] * 100
    for number, size in pieces:
        if held.may_hold(size, own[number]):
            first[number] = first[number] or size
            own[number] += size
            held.add(size)
    assert max(own) <= 200_000
    assert held.total <= 750_000 + sum(first)
    assert held.total == sum(own)


def test_answers_leave_room_for_request_bodies() -> None:
    """Guards against callers that stop reading and keep other callers' requests from arriving."""
    held = HeldBytes(MemoryBounds(total_bytes=1_000_000, answer_bytes=200_000))
    while held.may_hold(10_000, own=1):
        held.add(10_000)
    assert held.total <= 750_000
    assert held.may_receive
