"""Statuses are sent every second, and at once if a value changes that peers react to."""

from __future__ import annotations

from ragwortwing_policy.clock import ManualClock
from ragwortwing_policy.direct.feed_watch import FeedWatch
from ragwortwing_policy.direct.peer_status import STATUS_INTERVAL, StatusExchange
from ragwortwing_policy.direct.scheduler_choice import SchedulerChoice
from ragwortwing_policy.duties.candidates import DutyCandidates
from ragwortwing_policy.duties.fleet_time import FleetTime


class Entry:
    def __init__(self, name: str, capacity: float = 1.0) -> None:
        self.watch = FeedWatch(name)
        self.choice = SchedulerChoice(name)
        self.candidates = DutyCandidates(name)
        clock = FleetTime(ManualClock())
        self.book = StatusExchange(name, capacity, self.watch, self.choice, self.candidates, clock)


def test_a_status_is_sent_each_second() -> None:
    book = Entry("a").book
    assert book.due(0.0) is not None
    assert book.due(0.5) is None
    assert book.due(STATUS_INTERVAL) is not None


def test_a_stop_is_announced_at_once() -> None:
    """Guards against a scheduler that has stopped and is asked for another second."""
    leaving, other = Entry("a", capacity=9.0), Entry("b")
    leaving.book.update_can_schedule(0.0, can_schedule=True)
    status = leaving.book.due(0.0)
    assert status is not None
    other.book.take(status, 0.0)
    assert other.choice.scheduler("engines", 0.0) == "a"
    leaving.book.update_can_schedule(0.2, can_schedule=False)
    status = leaving.book.due(0.2)
    assert status is not None
    other.book.take(status, 0.2)
    assert other.choice.scheduler("engines", 0.2) is None


def test_a_watchers_position_is_announced_at_once() -> None:
    """Guards against entries that learn of a new configuration a second after the watcher."""
    entry = Entry("a")
    entry.watch.reached("operator", 4, 0.0)
    assert entry.book.due(0.0) is not None
    entry.watch.reached("operator", 5, 0.1)
    status = entry.book.due(0.1)
    assert status is not None
    assert status.positions_by_feed == {"operator": 5}


def test_a_regained_store_is_announced_at_once() -> None:
    entry, other = Entry("a"), Entry("b")
    entry.book.due(0.0)
    entry.watch.reached("operator", 4, 0.1)
    status = entry.book.due(0.1)
    assert status is not None
    assert status.hears_store
    other.book.take(status, 0.1)
    assert other.watch.is_behind("operator", 1.0)


def test_an_entry_ignores_its_own_status() -> None:
    entry = Entry("a")
    entry.book.update_can_schedule(0.0, can_schedule=True)
    entry.book.take(entry.book.status(0.0), 0.0)
    entry.book.update_can_schedule(0.1, can_schedule=False)
    assert entry.choice.scheduler("engines", 0.1) is None
