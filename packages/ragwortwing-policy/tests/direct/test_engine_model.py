"""Performance model of engines: replays in virtual time and implausible measurements."""

from __future__ import annotations

import heapq
from collections import defaultdict
from dataclasses import replace
from math import inf, nan
from random import Random
from typing import TYPE_CHECKING

import pytest

from ragwortwing_policy.direct.engine_load import (
    FIRST_EVENT_OVERHEAD,
    INITIAL_TOKENS_PER_SECOND,
    PrefillPlan,
)
from ragwortwing_policy.direct.engine_model import (
    LOG_INTERVAL,
    MARGIN_DEVIATIONS,
    MINIMUM_POOL_SAMPLES,
    PLAUSIBLE_GAP_SECONDS,
    EngineModel,
    PoolModel,
)
from ragwortwing_policy.direct.failure_tracker import FailureTracker
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.placement_request import Placed, PlacementRequest
from ragwortwing_policy.direct.run_ledger import RunLedger
from ragwortwing_policy.direct.run_report import ReportedRun, RunReporter, learn_own_gaps

from .builders import TRAITS, engines, prompt

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "engines"
LARGE = replace(TRAITS, slots=64, memory_tokens=10_000_000)


class Pool:
    """Engines that read one prompt after another, with a fixed time that overlaps the reading."""

    def __init__(
        self,
        speeds: tuple[float, ...],
        *,
        fixed_time: float,
        seconds_per_token: float = 18e-6,
        noise: Callable[[int, float], float] = lambda _number, _now: 1.0,
    ) -> None:
        self.placement = Placement()
        self.servers = engines(len(speeds))
        self.errors: dict[int, list[float]] = defaultdict(list)
        self.late: dict[int, list[bool]] = defaultdict(list)
        self._speeds = speeds
        self._fixed_time = fixed_time
        self._seconds_per_token = seconds_per_token
        self._noise = noise
        self._free_at = [0.0] * len(speeds)
        self._tickets = 0

    def run(self, *, seconds: float, per_second: float, seed: int, target: float = 0.6) -> None:
        """Place prompts of different sizes at random times."""
        random, now = Random(seed), 0.0
        events: list[tuple[float, str, int, float, float]] = []
        while now < seconds:
            now += random.expovariate(per_second)
            while events and events[0][0] <= now:
                self._first_event(*heapq.heappop(events))
            tokens = random.choice((400, 1_500, 3_000, 6_000))
            self._tickets += 1
            asked = prompt(tokens, f"s-{self._tickets}", own=str(self._tickets))
            request = PlacementRequest(SERVICE, asked, target, urgency=1)
            found = self.placement.place(request, self.servers, LARGE, now)
            if not isinstance(found, Placed):
                continue
            number = self.servers.index(found.backend)
            load = self.placement.load(found.backend, LARGE)
            ticket = str(self._tickets)
            load.begin(ticket, asked, found.reading, now, 1)
            took = tokens * self._seconds_per_token / self._speeds[number]
            begins = max(now, self._free_at[number])
            self._free_at[number] = begins + took * self._noise(number, begins)
            at = self._free_at[number] + self._fixed_time
            heapq.heappush(events, (at, ticket, number, now, found.first_event_after))

    def _first_event(
        self, at: float, ticket: str, number: int, sent_at: float, predicted: float
    ) -> None:
        backend = self.servers[number].id
        self.placement.first_event(backend, ticket, at, at - sent_at)
        self.placement.loads_by_id[backend].end(ticket, at)
        self.errors[number].append(at - sent_at - predicted)
        self.late[number].append(at - sent_at > 0.6)

    def rate(self, number: int) -> float:
        return 1.0 / self.placement.loads_by_id[f"i-{number}"].model.seconds_per_token


def test_a_fixed_time_is_not_mistaken_for_a_slow_rate() -> None:
    """Guards against a rate that is learned half as high because the fixed time is 90 ms, not 35.
    The backlog is then counted twice."""
    pool = Pool((1.0,) * 4, fixed_time=0.09)
    pool.run(seconds=20.0, per_second=30.0, seed=1)
    model = pool.placement.pool_model(SERVICE)
    assert model.in_force
    assert model.first_event.fixed_time == pytest.approx(0.09, abs=0.008)
    assert pool.rate(0) == pytest.approx(1 / 18e-6, rel=0.12)
    late_errors = sorted(error for each in pool.errors.values() for error in each[-60:])
    assert abs(late_errors[len(late_errors) // 2]) < 0.02


def test_the_constants_stay_in_force_on_engines_that_match_them() -> None:
    """Guards against a pool that decides differently although its measurements show nothing new."""
    pool = Pool((1.0,) * 4, fixed_time=0.035, seconds_per_token=20e-6)
    pool.run(seconds=20.0, per_second=30.0, seed=2)
    load = pool.placement.loads_by_id["i-0"]
    assert not load.pool.in_force
    assert load.fixed_time == FIRST_EVENT_OVERHEAD
    assert load.spare_margin(0.18, 1) == 0.0
    assert load.stays_within(0.0, 20.0)
    assert load.prefill_budget(0.3, None) is None


@pytest.mark.parametrize("speeds", [(0.55, 1.2, 1.2, 1.2), (1.0, 1.0, 1.3, 1.3)])
def test_engines_of_unequal_speed_are_on_time(speeds: tuple[float, ...]) -> None:
    """Guards against a slow engine that gets as much as a fast one and is late with most of it."""
    pool = Pool(speeds, fixed_time=0.01, seconds_per_token=25e-6)
    pool.run(seconds=20.0, per_second=38.0, seed=3)
    assert pool.placement.pool_model(SERVICE).in_force
    assert pool.rate(3) / pool.rate(0) == pytest.approx(speeds[3] / speeds[0], rel=0.25)
    for late in pool.late.values():
        assert sum(late) < 0.25 * len(late)


def test_engines_with_random_slowdowns_are_on_time() -> None:
    """Guards against late first events on engines that take 2.5 times as long for 0.15 of the
    time."""

    def noise(number: int, now: float) -> float:
        return 2.5 if Random(f"{number}/{int(now / 0.6)}").random() < 0.15 else 1.0

    pool = Pool((0.55, 1.2, 1.2, 1.2), fixed_time=0.01, seconds_per_token=25e-6, noise=noise)
    pool.run(seconds=20.0, per_second=30.0, seed=4)
    for late in pool.late.values():
        assert sum(late) < 0.25 * len(late)


def test_a_slowdown_is_noticed_and_its_end_too() -> None:
    """Guards against an engine that is slow for seconds and keeps its share of the prompts, or
    keeps less of them afterwards."""
    slow_until = 8.0

    def noise(number: int, now: float) -> float:
        return 3.0 if number == 0 and 5.0 <= now < slow_until else 1.0

    pool = Pool((1.0,) * 4, fixed_time=0.09, noise=noise)
    factors: dict[float, float] = {}
    load = pool.placement.load(pool.servers[0], LARGE)
    original = load.model.slowdown
    pool.run(seconds=5.0, per_second=40.0, seed=5)
    for tokens in (3_000,) * 4:
        load.model.learn_first_event(tokens, 0.162, 5.5, includes_fixed_time=False)
    factors[5.5] = original(5.6)
    for tokens in (3_000,) * 5:
        load.model.learn_first_event(tokens, 0.054, 8.5, includes_fixed_time=False)
    factors[8.5] = original(8.6)
    assert factors[5.5] > 1.6
    assert factors[8.5] == 1.0


def test_an_overdue_first_event_lengthens_the_backlog() -> None:
    """Guards against an engine that stalls and counts as idle until its next event."""
    pool = Pool((1.0,) * 2, fixed_time=0.09)
    pool.run(seconds=10.0, per_second=15.0, seed=6)
    load = pool.placement.loads_by_id["i-0"]
    for ticket in list(load.runs_by_ticket):
        load.end(ticket, 20.0)
    for number in range(3):
        load.begin(f"n-{number}", prompt(3_000, f"n-{number}"), PrefillPlan(3_000), 20.0, 1)
    assert load.backlog(20.9) > load.backlog(20.0)


def learned_pool(fixed_time: float = 0.09) -> PoolModel:
    pool = PoolModel()
    model = pool.engine("i-0")
    for number in range(200):
        tokens = (400, 2_000, 6_000)[number % 3]
        seconds = fixed_time + tokens * 18e-6
        model.learn_first_event(tokens, seconds, number * 0.1, includes_fixed_time=True)
    return pool


@pytest.mark.parametrize("seconds", [-0.1, inf, -inf, nan, 1e6])
def test_implausible_measurements_are_ignored_and_counted(seconds: float) -> None:
    """Guards against an estimate that one measurement of a clock that jumped has spoiled."""
    pool = learned_pool()
    model = pool.engine("i-0")
    before = (model.fixed_time, model.seconds_per_token, pool.first_event.fixed_time)
    model.learn_first_event(3_000, seconds, 30.0, includes_fixed_time=True)
    model.learn_error(0, seconds if seconds != -0.1 else inf)
    assert (model.fixed_time, model.seconds_per_token, pool.first_event.fixed_time) == before
    assert pool.rejected == 2


@pytest.mark.parametrize("after", [-1.0, inf, nan, 1e6])
def test_an_implausible_report_still_frees_the_prefill(after: float) -> None:
    """Guards against prefill that stays pending because the measurement of its end was refused."""
    placement = Placement()
    load = placement.load(engines(1)[0], TRAITS)
    load.begin("r", prompt(3_000), PrefillPlan(3_000), 0.0, 1)
    assert placement.first_event("i-0", "r", 0.2, after) is not None
    assert load.backlog(0.2) == 0.0
    assert load.pool.rejected == 1
    load.stream_gaps(after, 0.1, 3, 0.3)
    load.stream_gaps(0.1, after, 3, 0.3)
    load.stream_gaps(0.1, 0.1, 0, 0.3)
    load.stream_gaps(PLAUSIBLE_GAP_SECONDS + 1.0, 0.1, 3, 0.3)
    assert load.pool.rejected == 5
    assert load.pool.gaps.samples == 0.0


def test_one_stall_moves_the_estimate_little() -> None:
    """Guards against a frozen VM whose single measurement of 20 s makes an engine look slow."""
    pool = learned_pool()
    model = pool.engine("i-0")
    for number in range(20):
        model.learn_first_event(2_000, 0.126, 20.0 + number, includes_fixed_time=True)
    before = model.seconds_per_token
    model.learn_first_event(2_000, 20.0, 41.0, includes_fixed_time=True)
    assert model.seconds_per_token < 1.5 * before


def test_an_engine_restarted_under_its_id_starts_from_the_pools_estimate() -> None:
    """Guards against the speed of a process that has ended, and against the constants."""
    placement = Placement()
    server = engines(1)[0]
    load = placement.load(server, TRAITS)
    for number in range(200):
        tokens = (400, 2_000, 6_000)[number % 3]
        load.model.learn_first_event(
            tokens, 0.09 + tokens * 18e-6, number * 0.1, includes_fixed_time=True
        )
    placement.forget(server.id)
    fresh = placement.load(server, TRAITS).model
    assert fresh is not load.model
    assert fresh.first_event.samples == 0
    assert fresh.fixed_time == pytest.approx(0.09, abs=0.005)


def with_gaps(
    pool: PoolModel, *, quiet: float, continuous: float, samples: int = 40
) -> EngineModel:
    model = pool.engine("i-0")
    for _ in range(samples):
        model.learn_quiet_gap(quiet, 10, 0.0)
    for _ in range(samples):
        model.learn_prefill_gap(continuous, 10)
    return model


def test_an_engine_with_small_chunks_takes_short_and_long_prompts() -> None:
    """Guards against a lane split that wastes engines whose streams bear continuous prefill."""
    pool = PoolModel()
    with_gaps(pool, quiet=0.04, continuous=0.1)
    assert pool.engine("i-1").is_shared(0.15, 10)
    assert not pool.engine("i-2").is_shared(0.10, 10)
    assert not pool.engine("i-3").is_shared(None, 10)


def test_an_engine_with_large_chunks_stays_in_its_lane() -> None:
    """Guards against chats beside chunks of 4,096 tokens: a gap of 400 ms against 300 ms."""
    pool = PoolModel()
    with_gaps(pool, quiet=0.024, continuous=0.4)
    assert not pool.engine("i-1").is_shared(0.3, 10)


def test_few_gaps_decide_nothing() -> None:
    """Guards against a lane split that ends on the first measurements."""
    pool = PoolModel()
    with_gaps(pool, quiet=0.04, continuous=0.1, samples=15)
    assert not pool.engine("i-1").is_shared(0.15, 10)


def test_the_first_gaps_of_an_engine_correct_the_pools_estimate() -> None:
    """Guards against chats that stay on a slow engine because others bear prefill."""
    pool = PoolModel()
    with_gaps(pool, quiet=0.04, continuous=0.1)
    slow = pool.engine("i-1")
    assert slow.is_shared(0.15, 10)
    for _ in range(3):
        slow.learn_prefill_gap(0.25, 10)
    assert not slow.is_shared(0.15, 10)


def test_a_request_avoids_an_engine_whose_gap_exceeds_its_pause_target() -> None:
    """Guards against streams that are late on a slow engine while another one bears them."""
    pool = Pool((0.4, 1.2), fixed_time=0.01, seconds_per_token=25e-6)
    pool.run(seconds=12.0, per_second=8.0, seed=7)
    loads = [pool.placement.loads_by_id[f"i-{number}"] for number in range(2)]
    for load in loads:
        for ticket in list(load.runs_by_ticket):
            load.end(ticket, 30.0)
    for _ in range(40):
        for load, gap in zip(loads, (0.3, 0.03), strict=True):
            load.model.learn_quiet_gap(gap, 1, 0.0)
            load.model.learn_prefill_gap(2 * gap, 1)
    asked = PlacementRequest(SERVICE, prompt(400), 0.6, pause_target=0.2, shortest_pause=0.2)
    for _ in range(5):
        found = pool.placement.place(asked, pool.servers, LARGE, 30.0)
        assert isinstance(found, Placed)
        assert found.backend.id == "i-1"
    alone = pool.placement.place(asked, pool.servers[:1], LARGE, 30.0)
    assert isinstance(alone, Placed)


def test_an_engine_with_wide_errors_keeps_a_wider_margin() -> None:
    """Guards against one margin for a steady engine and for one that varies."""
    pool = learned_pool()
    steady, varying = pool.engine("steady"), pool.engine("varying")
    for number in range(60):
        steady.learn_error(1, 0.02 if number % 2 else -0.02)
        varying.learn_error(1, 0.1 if number % 2 else -0.1)
    wide, narrow = varying.margin(1), steady.margin(1)
    assert wide is not None
    assert narrow is not None
    assert wide > 2.0 * narrow
    assert pool.engine("new").margin_ratio == MARGIN_DEVIATIONS


def test_errors_are_kept_by_urgency() -> None:
    """Guards against a margin of patient requests that follows from the errors of urgent ones."""
    pool = learned_pool()
    model = pool.engine("i-0")
    for _ in range(round(MINIMUM_POOL_SAMPLES) + 1):
        model.learn_error(0, 0.01)
    assert model.margin(0) is not None
    assert model.margin(2) is None


class Reporting:
    """An entry with a run on an engine, and a scheduler that receives its reports."""

    def __init__(self) -> None:
        self.engine = engines(1)[0]
        self.reporter = RunReporter("a", 1, SERVICE)
        self.scheduler = Placement()
        self.load = self.scheduler.load(self.engine, TRAITS)
        self.ledger = RunLedger(self.scheduler, FailureTracker(), lambda _: (self.engine, TRAITS))

    def begin(self, ticket: str, now: float) -> None:
        run = ReportedRun(ticket, self.engine.id, prompt(3_000), PrefillPlan(3_000), 1)
        self.reporter.begin(run, now)


def test_reports_carry_the_measured_first_event() -> None:
    """Guards against first events that are measured by the arrival of a delayed report."""
    reporting = Reporting()
    reporting.begin("r", 0.0)
    reporting.ledger.take(reporting.reporter.report(0.01), 0.012)
    reporting.reporter.first_event("r", 0.14)
    reporting.ledger.take(reporting.reporter.report(0.4), 0.5)
    assert reporting.load.pool.first_event.samples == 1.0
    clean = Reporting()
    clean.begin("r", 0.0)
    clean.ledger.take(clean.reporter.report(0.01), 0.01)
    clean.reporter.first_event("r", 0.14)
    clean.ledger.take(clean.reporter.report(0.14), 0.14)
    assert reporting.load.model.fixed_time == pytest.approx(clean.load.model.fixed_time, abs=0.002)


def test_a_lost_report_does_not_repeat_or_spoil_a_measurement() -> None:
    """Guards against a first event that is learned from every whole report after it."""
    reporting = Reporting()
    reporting.begin("r", 0.0)
    reporting.ledger.take(reporting.reporter.report(0.01), 0.012)
    reporting.reporter.first_event("r", 0.14)
    reporting.reporter.report(0.15)
    for now in (1.1, 2.2, 3.3):
        reporting.ledger.take(reporting.reporter.report(now), now)
    assert reporting.load.pool.first_event.samples == 1.0


def test_a_new_scheduler_learns_nothing_from_prompts_that_it_did_not_see() -> None:
    """Guards against waits behind unknown prompts that a new scheduler learns as slowness."""
    reporting = Reporting()
    reporting.begin("r", 0.0)
    reporting.ledger.take(reporting.reporter.full_report(0.5), 0.5)
    reporting.reporter.first_event("r", 0.9)
    reporting.ledger.take(reporting.reporter.report(0.91), 0.91)
    assert reporting.load.pool.first_event.samples == 0.0
    assert reporting.load.backlog(0.91) == 0.0


def test_reports_carry_the_gaps_since_the_last_report() -> None:
    reporting = Reporting()
    reporting.begin("r", 0.0)
    reporting.reporter.first_event("r", 0.1)
    reporting.reporter.report(0.1)
    for at, gap in ((0.2, 0.1), (0.25, 0.05), (0.55, 0.3)):
        reporting.reporter.gap("r", gap, at)
    (run,) = reporting.reporter.report(1.2).runs
    assert run.events == 3
    assert run.mean_gap == pytest.approx(0.15)
    # The gap that is still open is longer than the others.
    assert run.longest_gap == pytest.approx(0.65)
    (later,) = reporting.reporter.report(2.3).runs
    assert (later.events, later.longest_gap, later.mean_gap) == (0, None, None)


def test_gaps_measured_over_a_suspension_are_discarded() -> None:
    """Guards against a frozen entry that makes every engine look slow."""
    reporting = Reporting()
    reporting.begin("r", 0.0)
    reporting.reporter.gap("r", 3.0, 3.0)
    reporting.reporter.discard_gaps()
    (run,) = reporting.reporter.report(3.1).runs
    assert run.longest_gap is None


def test_two_schedulers_learn_the_same_from_the_same_reports() -> None:
    """Guards against schedulers that judge an engine differently while both decide."""
    first, second = Reporting(), Reporting()
    for number in range(60):
        now = number * 0.5
        first.begin(f"r-{number}", now)
        for report in (first.reporter.report(now + 0.01),):
            for each in (first, second):
                each.ledger.take(report, now + 0.012)
        first.reporter.first_event(f"r-{number}", 0.144)
        report = first.reporter.report(now + 0.16)
        for each in (first, second):
            each.ledger.take(report, now + 0.162)
        first.reporter.end(f"r-{number}", failed=False)
    assert first.load.model.fixed_time == second.load.model.fixed_time
    assert first.load.model.seconds_per_token == second.load.model.seconds_per_token


def test_gaps_teach_an_entry_that_decides_alone() -> None:
    """Guards against an entry without a scheduler that knows nothing of its own streams."""
    reporting = Reporting()
    own = Placement()
    load = own.load(reporting.engine, TRAITS)
    load.begin("r", prompt(3_000), PrefillPlan(3_000), 0.0, 1)
    reporting.begin("r", 0.0)
    own.first_event(reporting.engine.id, "r", 0.1)
    for number in range(1, 10):
        reporting.reporter.gap("r", 0.05, 0.1 + number * 0.05)
    learn_own_gaps(own, reporting.reporter.report(1.0), 1.0)
    assert load.pool.gaps.samples == 1.0


def test_logged_estimates_are_bounded() -> None:
    """Guards against a log line for every measurement."""
    pool = learned_pool()
    model = pool.engine("i-0")
    assert model.changed_estimate(1, 0.0) is not None
    assert model.changed_estimate(1, LOG_INTERVAL + 0.1) is None
    for _ in range(40):
        model.learn_first_event(3_000, 0.5, 10.0, includes_fixed_time=True)
    assert model.changed_estimate(1, LOG_INTERVAL - 0.1) is None
    assert model.changed_estimate(1, LOG_INTERVAL + 0.2) is not None


def test_the_assumed_rate_is_used_before_anything_is_learned() -> None:
    load = Placement().load(engines(1)[0], TRAITS)
    assert load.tokens_per_second == INITIAL_TOKENS_PER_SECOND
    assert load.fixed_time == FIRST_EVENT_OVERHEAD
