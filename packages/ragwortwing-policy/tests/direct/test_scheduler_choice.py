"""Selection of a pool's scheduler by each entry from the statuses it has received."""

from __future__ import annotations

from ragwortwing_policy.direct.scheduler_choice import (
    CHOICE_LIFETIME,
    PEER_SILENCE,
    SETTLED_AFTER,
    SUSPICION_SECONDS,
    Candidate,
    SchedulerChoice,
)

POOL = "engines"


def candidate(
    number: int, now: float = 0.0, capacity: float = 1.0, uptime: float = 60.0
) -> Candidate:
    return Candidate(f"entry-{number}", capacity, uptime, now)


def fleet(count: int, now: float = 0.0) -> list[SchedulerChoice]:
    choices = []
    for own in range(count):
        choice = SchedulerChoice(f"entry-{own}")
        choice.offer(candidate(own, now))
        for other in range(count):
            if other != own:
                choice.update_from_peer(candidate(other, now))
        choices.append(choice)
    return choices


def test_all_entries_choose_the_same_scheduler() -> None:
    chosen = {choice.scheduler(POOL, 0.0) for choice in fleet(20)}
    assert len(chosen) == 1


def test_pools_are_spread_over_the_entries() -> None:
    choice, *_ = fleet(20)
    assert len({choice.scheduler(f"pool-{number}", 0.0) for number in range(40)}) > 10


def test_a_fleet_of_one_schedules_itself() -> None:
    choice = SchedulerChoice("entry-0")
    choice.offer(candidate(0))
    assert choice.scheduler(POOL, 0.0) == "entry-0"
    assert choice.informed(POOL, 0.0) == frozenset()


def test_small_vms_do_not_schedule_beside_large_ones() -> None:
    choice = SchedulerChoice("entry-0")
    choice.offer(candidate(0, capacity=0.4))
    for number in range(1, 30):
        choice.update_from_peer(candidate(number, capacity=2.1 if number == 7 else 0.4))
    assert choice.scheduler(POOL, 0.0) == "entry-7"


def test_a_silent_scheduler_is_replaced_by_an_informed_entry() -> None:
    """Guards against a successor that does not know the running requests."""
    choice, *_ = fleet(20)
    first = choice.scheduler(POOL, 0.0)
    informed = choice.informed(POOL, 0.0)
    later = PEER_SILENCE + 0.1
    for number in range(20):
        if f"entry-{number}" not in (first, "entry-0"):
            choice.update_from_peer(candidate(number, later))
    second = choice.scheduler(POOL, later)
    assert second != first
    assert second in informed | {"entry-0"}


def test_an_unresponsive_entry_is_temporarily_excluded() -> None:
    *_, choice = fleet(5)
    first = choice.scheduler(POOL, 0.0)
    assert first not in (None, "entry-4")
    assert first is not None
    choice.suspect(first, 0.0)
    assert choice.scheduler(POOL, 0.1) != first
    assert choice.scheduler(POOL, SUSPICION_SECONDS + CHOICE_LIFETIME) == first
    choice.suspect(first, 1.2)
    choice.answered(first)
    assert choice.scheduler(POOL, 1.3) == first


def test_a_restarted_entry_is_informed_before_it_schedules() -> None:
    """Guards against a restarted scheduler that takes over again without its previous knowledge."""
    *_, choice = fleet(5)
    first = choice.scheduler(POOL, 0.0)
    assert first not in (None, "entry-4")
    assert first is not None
    number = int(first.removeprefix("entry-"))
    choice.withdraw(first)
    before = choice.scheduler(POOL, 0.1)
    choice.update_from_peer(candidate(number, 0.2, uptime=0.0))
    assert choice.scheduler(POOL, 0.2) == before
    assert first in choice.informed(POOL, 0.2)
    for other in range(4):
        if other != number:
            choice.update_from_peer(candidate(other, SETTLED_AFTER))
    choice.update_from_peer(candidate(number, SETTLED_AFTER + 0.3, uptime=SETTLED_AFTER))
    assert choice.scheduler(POOL, SETTLED_AFTER + 0.3) == first


def test_a_newly_started_fleet_has_a_scheduler_at_once() -> None:
    choice = SchedulerChoice("entry-0")
    choice.update_from_peer(candidate(1, uptime=0.0))
    assert choice.scheduler(POOL, 0.0) == "entry-1"


def test_a_leaving_entry_does_not_schedule() -> None:
    choice, *_ = fleet(2)
    choice.withdraw("entry-1")
    assert choice.scheduler(POOL, 0.0) == "entry-0"
    choice.offer(None)
    assert choice.scheduler(POOL, 0.0) is None
