"""Shares of client accounts: usage, order, refusals, and the replay of one account's burst."""

from __future__ import annotations

from dataclasses import replace
from math import inf, nan

import pytest

from ragwortwing_policy.direct.account_shares import (
    MAXIMUM_CHARGE_AGE,
    NO_SHARES,
    SHARED_ACCOUNT,
    AccountShares,
    PoolShares,
)
from ragwortwing_policy.direct.admission_queue import (
    AdmissionQueue,
    Granted,
    Rejected,
    WaitingRequest,
)
from ragwortwing_policy.direct.failure_tracker import FailureTracker
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.run_cost import RunCost
from ragwortwing_policy.direct.run_ledger import SENDER_SILENCE, RunLedger
from ragwortwing_policy.direct.run_report import ReportedRun, RunReporter
from ragwortwing_policy.direct.usage_window import DECAY_SECONDS, RESCALE_EXPONENT, UsageWindow

from .builders import TRAITS, engines, prompt
from .share_replay import Replay, together

COST = RunCost(prefill_seconds=0.08, output_tokens=50, slots=8)
POOL = "engines"


def queue_with(*usage: tuple[str, float]) -> tuple[AdmissionQueue, PoolShares]:
    """Return an empty queue whose accounts have used engine seconds in urgency 1."""
    placement = Placement()
    placement.shares.enabled = True
    shares = placement.shares.by_pool[POOL] = PoolShares()
    for account, seconds in usage:
        for number in range(100):
            cost = RunCost(seconds / 100, 0, 8)
            shares.began(f"{account}-used-{number}", account, 1, cost, 0.0)
    return AdmissionQueue(POOL, placement), shares


def request(
    ticket: str, account: str | None, arrived_at: float = 0.0, urgency: int = 1, tokens: int = 3_000
) -> WaitingRequest:
    waiter = Waiter(urgency, arrived_at + 0.6, arrived_at + 5.0, arrived_at)
    return WaitingRequest(ticket, ticket, prompt(tokens, ticket), waiter, account=account)


def order_of(queue: AdmissionQueue, now: float = 0.0, count: int = 4) -> list[str]:
    decisions = queue.dispatch(TRAITS, lambda _: engines(count), now)
    return [each.request.ticket for each in decisions if isinstance(each, Granted)]


def contend(queue: AdmissionQueue, account: str, demand: int = 60) -> None:
    """Let an account ask for more than the engines give; its requests are behind all others."""
    for number in range(demand):
        queue.enter(request(f"{account}-more-{number}", account, 0.001), 0.0)


def test_an_account_below_its_share_precedes_one_beyond_it() -> None:
    """Guards against an account that waits behind the burst of another."""
    queue, _ = queue_with(("small", 0.5), ("large", 5.0))
    contend(queue, "large")
    queue.enter(request("small-1", "small", 0.1), 0.1)
    assert order_of(queue, 0.1)[0] == "small-1"


def test_the_order_is_that_of_targets_if_no_account_is_beyond_its_share() -> None:
    """Guards against shares that reorder requests while all accounts send alike."""
    queue, _ = queue_with(("a", 10.0), ("b", 10.0), ("c", 9.5))
    plain = AdmissionQueue(POOL, Placement())
    for number, account in enumerate("cabbac"):
        asked = request(f"{account}-{number}", account, 0.01 * number)
        queue.enter(asked, 0.0)
        plain.enter(asked, 0.0)
    assert order_of(queue) == order_of(plain)


def test_shares_are_off_without_client_accounts() -> None:
    """Guards against any effect or state in a deployment that has no client accounts."""
    placement = Placement()
    assert placement.shares.pool(POOL) is NO_SHARES
    queue = AdmissionQueue(POOL, placement)
    queue.enter(request("r", None), 0.0)
    (decision,) = queue.dispatch(TRAITS, lambda _: engines(1), 0.0)
    assert decision.standing is None
    placement.shares.began(POOL, "t", "a", 0, COST, 0.0)
    assert not placement.shares.by_pool


def test_shares_are_dropped_when_the_configuration_loses_its_accounts() -> None:
    shares = AccountShares()
    shares.enabled = True
    shares.began(POOL, "t", "a", 0, COST, 0.0)
    shares.enabled = False
    assert shares.pool(POOL) is NO_SHARES
    assert not shares.by_pool


def test_requests_that_waited_before_shares_were_on_are_served() -> None:
    """Guards against a queue that fails when a configuration brings the first client accounts."""
    placement = Placement()
    queue = AdmissionQueue(POOL, placement)
    for number in range(20):
        queue.enter(request(f"before-{number}", "a"), 0.0)
    placement.shares.enabled = True
    for number in range(20):
        queue.enter(request(f"after-{number}", "a"), 0.0)
    assert order_of(queue)
    queue.dispatch(TRAITS, lambda _: engines(1), 5.0)
    assert len(queue) == 0
    placement.shares.enabled = False
    queue.enter(request("off", "a", 5.0), 5.0)
    assert order_of(queue, 5.0) == ["off"]


def test_a_stall_of_all_engines_refuses_nobody_early() -> None:
    """Guards against refusals because no engine was usable for a moment, for example during the
    backoff of all: the rate of grants is unknown then, not zero."""
    queue, _ = queue_with(("small", 0.5), ("large", 8.0))
    for number in range(60):
        asked = request(f"large-{number}", "large")
        queue.enter(replace(asked, unusable_until={"i-0": 0.3}), 0.0)
    for step in range(15):
        assert queue.dispatch(TRAITS, lambda _: [], 0.02 * step) == []
    assert order_of(queue, 0.3, count=1)


def test_a_share_never_delays_a_more_urgent_request() -> None:
    """Guards against shares that weaken strict tiers."""
    queue, _ = queue_with(("small", 0.5), ("large", 5.0))
    queue.enter(request("small-1", "small"), 0.0)
    queue.enter(request("large-urgent", "large", 0.2, urgency=0), 0.2)
    contend(queue, "large")
    assert order_of(queue, 0.2)[0] == "large-urgent"


def test_a_resumed_answer_of_an_account_beyond_its_share_is_first() -> None:
    """Guards against a broken stream that waits because its account sends much."""
    queue, _ = queue_with(("small", 0.5), ("large", 5.0))
    contend(queue, "large")
    queue.enter(request("small-1", "small"), 0.0)
    resumed = request("resumed", "large", 0.3)
    resumed = replace(resumed, waiter=replace(resumed.waiter, resumed=True))
    queue.enter(resumed, 0.3)
    assert order_of(queue, 0.3)[0] == "resumed"


def test_a_late_request_within_its_share_follows_one_that_can_be_on_time() -> None:
    """Guards against shares that spend engines on late answers while others become late."""
    queue, _ = queue_with(("small", 0.5), ("large", 5.0))
    large = prompt(50_000, "small-late")
    queue.enter(replace(request("small-late", "small"), prompt=large), 0.0)
    queue.enter(request("large-1", "large", 0.7), 0.7)
    contend(queue, "large")
    granted = order_of(queue, 0.7)
    assert granted[0] == "large-1"


def test_a_new_account_with_many_requests_does_not_take_all_engines() -> None:
    """Guards against a pass that grants everything to an account without usage so far."""
    queue, _ = queue_with(("small", 0.2), ("other", 0.2))
    for number in range(40):
        queue.enter(request(f"new-{number}", "new", 0.0), 0.0)
    for number in range(4):
        queue.enter(request(f"small-{number}", "small", 0.01), 0.01)
    granted = order_of(queue, 0.01)
    assert {f"small-{number}" for number in range(4)} <= set(granted)


def test_unused_engine_time_goes_to_an_account_beyond_its_share() -> None:
    """Guards against engines that stay idle while requests wait: shares are work conserving."""
    queue, _ = queue_with(("small", 0.5), ("large", 5.0))
    contend(queue, "large", demand=4)
    assert len(order_of(queue)) == 4


def test_weights_scale_shares() -> None:
    """Guards against a weight without effect: twice the weight is twice the share."""
    shares = PoolShares()
    for account, weight, seconds in (("plain", 1.0, 4.0), ("double", 2.0, 3.0)):
        shares.began(f"{account}-used", account, 0, RunCost(seconds, 0, 8), 0.0)
        for number in range(40):
            shares.arrived(f"{account}-{number}", account, weight, 0, COST, 0.0)
    ranks = shares.ranks(["plain-0", "double-0"], 0.0)
    assert list(ranks) == ["plain-0"]


@pytest.mark.parametrize("weight", [0.0, -1.0, nan, inf, -inf])
def test_an_invalid_weight_counts_as_one(weight: float) -> None:
    """Guards against a weight that starves an account, or that divides by zero."""
    shares = PoolShares()
    shares.arrived("r-1", "a", weight, 0, COST, 0.0)
    shares.arrived("r-2", "a", weight, 0, COST, 0.0)
    assert shares.invalid_weights == 2
    assert list(shares.take_invalid_weights()) == ["a"]
    assert not shares.take_invalid_weights()
    shares.began("run", "b", 0, COST, 0.0)
    assert 0.0 < shares.standing("a", 0, 0.0).share < inf


def test_requests_without_an_account_share_one() -> None:
    """Guards against public routes that are exempt from shares."""
    queue, shares = queue_with(("small", 0.5))
    for number in range(100):
        shares.began(f"public-{number}", None, 1, RunCost(0.05, 0, 8), 0.0)
    for number in range(60):
        queue.enter(request(f"public-more-{number}", None, 0.0), 0.0)
    queue.enter(request("small-1", "small", 0.1), 0.1)
    assert order_of(queue, 0.1)[0] == "small-1"
    assert shares.standing(None, 1, 0.1).account == SHARED_ACCOUNT


def test_usage_is_charged_at_the_grant() -> None:
    queue, shares = queue_with()
    queue.enter(request("r", "a"), 0.0)
    order_of(queue)
    ((_, standing),) = shares.largest(0.0)
    assert standing.account == "a"
    assert shares.charges == 1


def test_the_unused_part_of_a_failed_run_is_credited() -> None:
    """Guards against an account that pays for engines that crash."""
    shares = PoolShares()
    shares.arrived("r", "a", 1.0, 0, COST, 0.0)
    shares.granted("r", COST, 0.0)
    shares.ended("r", 0.0)
    assert shares.standing("a", 0, 0.0).usage == pytest.approx(0.0)
    assert shares.charges == 0


def test_a_run_that_ends_during_its_answer_keeps_its_prefill() -> None:
    unused = COST.unused(until_read=0.2, after_read=0.1)
    decode = COST.seconds - COST.prefill_seconds
    assert unused == pytest.approx(decode - 0.1 / COST.slots)


def test_a_slow_engine_does_not_increase_a_charge() -> None:
    """Guards against an account that pays for the prompts of others on its engine."""
    assert COST.unused(until_read=0.2, after_read=60.0) == 0.0
    assert COST.unused(until_read=None, after_read=0.0) == pytest.approx(COST.seconds)


def test_a_lost_end_report_does_not_keep_a_charge_forever() -> None:
    """Guards against state that grows with every lost report of a run's end."""
    shares = PoolShares()
    shares.began("lost", "a", 0, COST, 0.0)
    for number in range(5):
        shares.began(f"r-{number}", "a", 0, COST, MAXIMUM_CHARGE_AGE + 1.0 + number)
    assert shares.charges == 5


def test_a_request_that_leaves_takes_back_its_demand() -> None:
    """Guards against callers that disconnect and thereby reduce the shares of others."""
    shares = PoolShares()
    shares.began("run", "a", 0, COST, 0.0)
    shares.arrived("gone", "b", 1.0, 0, COST, 0.0)
    shares.left("gone")
    shares.arrived("r", "a", 1.0, 0, RunCost(0.0, 0, 8), 0.0)
    assert shares.ranks(["r"], 0.0) == {}


def test_usage_decays() -> None:
    """Guards against an account that pays forever for a burst that has ended."""
    window = UsageWindow()
    window.used("a", 8.0, 0.0)
    window.used("b", 1.0, 4 * DECAY_SECONDS)
    window.demanded("a", 10.0, 4 * DECAY_SECONDS)
    window.demanded("b", 10.0, 4 * DECAY_SECONDS)
    ranks = window.ranks([("a", "a", 0.0), ("b", "b", 0.0)], 4 * DECAY_SECONDS)
    assert list(ranks) == ["b"]


def test_sums_survive_weeks_and_a_frozen_machine() -> None:
    """Guards against an overflow of the growing scale of sums."""
    window = UsageWindow()
    for step in range(200):
        now = step * DECAY_SECONDS * RESCALE_EXPONENT / 7
        window.demanded("a", 2.0, now)
        window.used("a", 1.0, now)
        assert window.level(now) < inf
    now += 1e9
    window.used("a", 1.0, now)
    window.demanded("a", 1.0, now)
    assert window.level(now) == inf
    assert len(window) == 1


def test_state_is_bounded_by_the_accounts_that_lately_sent() -> None:
    """Guards against memory that grows with every account that ever sent a request."""
    window = UsageWindow()
    for number in range(3_500):
        window.used(f"a-{number}", 1.0, 0.0)
    window.level(0.0)
    assert len(window) == 3_500
    window.level(20 * DECAY_SECONDS)
    assert len(window) == 0


def test_the_account_furthest_beyond_its_share_is_refused_first_and_early() -> None:
    """Guards against refusals that hit all accounts alike, and against callers that learn only
    after waiting that they are refused."""
    queue, shares = queue_with(("small", 0.5), ("large", 2.0), ("huge", 8.0))
    refused: list[tuple[float, str | None]] = []
    for step in range(60):
        now = 0.02 * step
        for account, each in (("small", step % 10 == 0), ("large", 2), ("huge", 4)):
            for number in range(each):
                queue.enter(request(f"{account}-{step}-{number}", account, now), now)
        for decision in queue.dispatch(TRAITS, lambda _: engines(4), now):
            if isinstance(decision, Rejected):
                waited = now - decision.request.waiter.arrived_at
                refused.append((waited, decision.request.account))
                assert decision.retry_after is not None
    accounts = [account for _, account in refused]
    assert accounts[0] == "huge"
    early = [account for waited, account in refused if waited < 0.3]
    assert early
    assert "small" not in early
    assert shares.refusals["beyond"] > shares.refusals["within"]


def replays(base: float) -> dict[str, Replay]:
    names = [f"a{number}" for number in range(1, 12)]
    rates = dict.fromkeys(names, base)
    return {
        "usual": Replay({**rates, "big": base}, new_shares=None),
        "today": Replay({**rates, "big": 10 * base}, new_shares=None),
        "shares": Replay({**rates, "big": 10 * base}),
    }


@pytest.mark.parametrize(
    ("base", "today_is_worse_by"),
    [(4.0, 0.2), (5.5, 0.2)],
    ids=["engines that suffice without it", "engines that never suffice"],
)
def test_an_account_at_ten_times_its_share_does_not_hurt_others(
    base: float, today_is_worse_by: float
) -> None:
    """Guards against one account's burst that makes others' requests late or refused: at most a
    tenth more often than while it sends as much as each other account."""
    found = {name: replay.run() for name, replay in replays(base).items()}
    missed = {name: together(each, without="big").missed for name, each in found.items()}
    assert missed["today"] > missed["usual"] + today_is_worse_by
    assert missed["shares"] <= 1.1 * missed["usual"] + 0.01
    served = {name: sum(each.on_time for each in found[name].values()) for name in found}
    assert served["shares"] >= 0.97 * served["today"]
    assert found["shares"]["big"].on_time > 0


def test_a_burst_of_short_prompts_does_not_take_all_slots() -> None:
    """Guards against short prompts of others that wait for slots behind one account's burst."""
    rates = dict.fromkeys((f"a{number}" for number in range(11)), 7.0)
    rates["big"] = 70.0
    short = dict.fromkeys(rates, 300)
    today = Replay(rates, tokens_by_account=short, slots=8, new_shares=None).run()
    shares = Replay(rates, tokens_by_account=short, slots=8).run()
    assert together(today, without="big").missed > 0.2
    assert together(shares, without="big").missed < 0.02
    assert shares["big"].on_time + shares["big"].late > 0.25 * shares["big"].offered


@pytest.mark.parametrize("starved", ["short", "long"])
def test_no_kind_of_request_is_starved(starved: str) -> None:
    """Guards against shares that serve only one kind of request of an urgency."""
    rates = {f"a{number}": 4.0 for number in range(8)}
    rates |= {"big": 40.0, "short": 4.0, "long": 2.0}
    outcome = Replay(rates, tokens_by_account={"short": 300, "long": 6_000}).run()[starved]
    assert outcome.on_time >= 0.9 * outcome.offered


def test_shares_do_not_make_engines_idle() -> None:
    """Guards against a reserve for accounts within their share that idle engines pay for."""
    found = replays(4.0)
    for replay in found.values():
        replay.run()
    idle = {name: replay.idle_engine_seconds_while_waiting for name, replay in found.items()}
    assert idle["shares"] <= idle["today"] + 0.01 * 4 * 12.0


def test_large_prompts_are_not_starved() -> None:
    """Guards against large prompts that are refused because each exceeds a small share."""
    rates = {f"a{number}": 4.0 for number in range(8)}
    replay = Replay({**rates, "big": 40.0, "novels": 1.0}, tokens_by_account={"novels": 12_000})
    outcome = replay.run()["novels"]
    assert outcome.on_time + outcome.late >= 0.8 * outcome.offered


def test_an_account_beyond_its_share_is_not_starved() -> None:
    """Guards against an account that gets nothing while others get what they ask for."""
    outcome = replays(5.5)["shares"].run()
    mean = together(outcome, without="big").on_time / 11
    assert outcome["big"].on_time >= 0.6 * mean


def test_twice_the_weight_gets_about_twice_as_much() -> None:
    rates = dict.fromkeys(("a", "b", "double"), 60.0)
    outcome = Replay(rates, weight_by_account={"double": 2.0}).run()
    one = (outcome["a"].on_time + outcome["b"].on_time) / 2
    assert 1.6 * one <= outcome["double"].on_time <= 2.4 * one


class Entry:
    """An entry that schedules or may schedule the pool, fed by the reports of another."""

    def __init__(self) -> None:
        self.placement = Placement()
        self.placement.shares.enabled = True
        by_id = {each.id: (each, TRAITS) for each in engines(2)}
        self.ledger = RunLedger(self.placement, FailureTracker(), by_id.get)

    def usage(self, account: str) -> float:
        return dict(self.placement.shares.by_pool[POOL].usage()).get(account, 0.0)


def run_of(account: str, number: int) -> ReportedRun:
    asked = prompt(3_000, f"{account}-{number}")
    load = Placement().load(engines(1)[0], TRAITS)
    return ReportedRun(
        f"{account}-{number}", "i-0", asked, load.plan_prefill(asked), 1, account=account
    )


def test_a_new_scheduler_rebuilds_usage_from_the_runs_it_adopts() -> None:
    """Guards against a scheduler that takes over in a burst and knows nothing of who caused it."""
    reporter = RunReporter("entry-2", 1, POOL)
    for number in range(10):
        reporter.begin(run_of("large", number), 0.0)
    reporter.begin(run_of("small", 0), 0.0)
    successor = Entry()
    successor.ledger.take(reporter.full_report(0.0), 0.0)
    assert successor.usage("large") == pytest.approx(10 * successor.usage("small"))
    before = successor.usage("large")
    successor.ledger.take(reporter.full_report(0.0), 0.0)
    assert successor.usage("large") == pytest.approx(before)


def test_a_lost_end_report_is_made_up_by_the_next_whole_report() -> None:
    """Guards against a charge that is never corrected after a lost datagram."""
    reporter = RunReporter("entry-2", 1, POOL)
    reporter.begin(run_of("a", 0), 0.0)
    scheduler = Entry()
    scheduler.ledger.take(reporter.report(0.0), 0.0)
    reporter.end("a-0", failed=True)
    reporter.report(0.0)  # Lost.
    assert scheduler.usage("a") > 0.0
    scheduler.ledger.take(reporter.full_report(0.0), 0.0)
    assert scheduler.usage("a") == pytest.approx(0.0)


def test_the_runs_of_a_silent_entry_are_credited() -> None:
    """Guards against charges of an entry that crashed, whose runs ended with its connections."""
    reporter = RunReporter("entry-2", 1, POOL)
    reporter.begin(run_of("a", 0), 0.0)
    scheduler = Entry()
    scheduler.ledger.take(reporter.report(0.0), 0.0)
    scheduler.ledger.expire(SENDER_SILENCE + 0.1)
    assert scheduler.placement.shares.by_pool[POOL].charges == 0


def test_a_run_on_an_engine_that_is_gone_is_credited() -> None:
    """Guards against charges that stay because the engine of a run is no longer listed."""
    reporter = RunReporter("entry-2", 1, POOL)
    reporter.begin(run_of("a", 0), 0.0)
    scheduler = Entry()
    scheduler.ledger.take(reporter.report(0.0), 0.0)
    scheduler.placement.forget("i-0")
    reporter.end("a-0", failed=True)
    scheduler.ledger.take(reporter.report(0.0), 0.0)
    assert scheduler.usage("a") == pytest.approx(0.0)


def test_two_schedulers_are_each_fair_over_what_they_know() -> None:
    """Guards against a run that is charged twice at the scheduler that granted it: reports of a
    run that another scheduler granted are adopted, reports of its own grant are not."""
    reporter = RunReporter("entry-2", 1, POOL)
    first, second = Entry(), Entry()
    queue = AdmissionQueue(POOL, first.placement)
    run = run_of("a", 0)
    waiter = Waiter(1, 0.6, 5.0, 0.0)
    key = f"entry-2/{run.ticket}"
    queue.enter(WaitingRequest(key, key, run.prompt, waiter, account="a"), 0.0)
    (granted,) = queue.dispatch(TRAITS, lambda _: engines(1), 0.0)
    assert isinstance(granted, Granted)
    first.ledger.granted(POOL, "entry-2", 1, run.ticket, "i-0", 0.0)
    reporter.begin(run, 0.0)
    report = reporter.report(0.0)
    first.ledger.take(report, 0.0)
    second.ledger.take(report, 0.0)
    assert first.usage("a") == pytest.approx(second.usage("a"))


def test_an_entry_that_decides_alone_is_fair_over_its_own_requests() -> None:
    """Guards against an entry without a scheduler that serves one account's burst first."""
    entry = Entry()
    queue = AdmissionQueue(POOL, entry.placement)
    for number in range(100):
        cost = RunCost(0.05, 0, 8)
        entry.placement.shares.began(POOL, f"own-{number}", "large", 1, cost, 0.0)
    contend(queue, "large")
    queue.enter(request("small-1", "small", 0.1), 0.1)
    assert order_of(queue, 0.1)[0] == "small-1"
