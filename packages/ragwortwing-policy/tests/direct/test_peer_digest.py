"""Entries that tell each other their load, over a transport that loses and repeats."""

from __future__ import annotations

import pytest

from ragwortwing_policy.direct.feed_watch import FeedWatch
from ragwortwing_policy.direct.peer_digest import SILENCE, DigestBook
from ragwortwing_policy.direct.placement import Placement

from .builders import TRAITS, engines, prompt

ENGINE = engines(1)[0]


class Entry:
    def __init__(self, name: str, started: int = 1) -> None:
        self.placement = Placement()
        self.load = self.placement.load(ENGINE, TRAITS)
        self.book = DigestBook(name, started, self.placement, FeedWatch(name))
        self._sent = 0

    def send(self, tokens: int, now: float) -> None:
        self._sent += 1
        asked = prompt(tokens)
        self.load.begin(f"r-{self._sent}", asked, self.load.reading_of(asked), now)
        self.book.placed(ENGINE.id, asked.parts)

    def first_event(self, number: int, now: float) -> None:
        run = self.load.first_event(f"r-{number}", now)
        assert run is not None
        self.book.prompt_read(ENGINE.id, run.parts)


def test_four_entries_do_not_fill_an_engine_four_times() -> None:
    """Each of four entries may place eight requests on an engine of eight slots; without each
    other's word they would place 32, and the engine would preempt chats."""
    entries = [Entry(f"entry-{number}") for number in range(4)]
    placed = 0
    for _ in range(8):
        for entry in entries:
            if entry.load.fits(prompt(500), urgency=0):
                entry.send(500, 0.0)
                placed += 1
            for other in entries:
                other.book.take(entry.book.digest(0.0), 0.0)
    assert placed == TRAITS.slots


def test_a_lost_digest_is_made_good_by_the_next() -> None:
    sender, receiver = Entry("a"), Entry("b")
    receiver.book.take(sender.book.digest(0.0), 0.0)
    sender.send(20_000, 0.0)
    sender.book.digest(0.0)
    sender.send(20_000, 0.0)
    receiver.book.take(sender.book.digest(0.0), 0.0)
    assert receiver.load.backlog(0.0) == pytest.approx(sender.load.backlog(0.0), rel=0.01)


def test_a_repeated_digest_counts_once() -> None:
    sender, receiver = Entry("a"), Entry("b")
    receiver.book.take(sender.book.digest(0.0), 0.0)
    sender.send(20_000, 0.0)
    digest = sender.book.digest(0.0)
    for _ in range(3):
        receiver.book.take(digest, 0.0)
    assert receiver.load.backlog(0.0) == pytest.approx(sender.load.backlog(0.0), rel=0.01)
    assert receiver.load.running == 1


def test_the_first_load_of_an_engine_is_seen() -> None:
    """In the first second of a burst 26 entries each use 24 engines for the first time.

    A receiver that took the first word of each engine as a mere starting point would miss it all.
    """
    sender, receiver = Entry("a"), Entry("b")
    receiver.book.take(sender.book.digest(0.0), 0.0)
    sender.send(20_000, 0.0)
    receiver.book.take(sender.book.digest(0.0), 0.0)
    assert receiver.load.backlog(0.0) > 0.4


def test_an_entry_that_joins_late_does_not_take_old_work_for_new() -> None:
    sender, receiver = Entry("a"), Entry("b")
    for number in range(10):
        sender.send(20_000, 0.0)
        sender.first_event(number + 1, 30.0)
    receiver.book.take(sender.book.digest(60.0), 60.0)
    assert receiver.load.backlog(60.0) == 0.0
    assert receiver.load.running == 10


def test_a_restarted_peer_begins_anew() -> None:
    receiver = Entry("b")
    before = Entry("a", started=1)
    before.send(20_000, 0.0)
    receiver.book.take(before.book.digest(0.0), 0.0)
    after = Entry("a", started=2)
    receiver.book.take(after.book.digest(1.0), 1.0)
    assert receiver.load.running == 0
    after.send(4_000, 1.0)
    receiver.book.take(after.book.digest(1.0), 1.0)
    assert receiver.load.running == 1


def test_a_silent_peers_load_is_dropped() -> None:
    """An entry loses power. Its requests were cut with it; counted on, they would leave slots
    empty."""
    sender, receiver = Entry("a"), Entry("b")
    sender.send(500, 0.0)
    receiver.book.take(sender.book.digest(0.0), 0.0)
    assert receiver.book.drop_silent(SILENCE - 0.1) == ()
    assert receiver.book.drop_silent(SILENCE + 0.1) == ("a",)
    assert receiver.load.running == 0


def test_a_digest_between_whole_ones_tells_only_what_changed() -> None:
    sender = Entry("a")
    sender.send(500, 0.0)
    assert len(sender.book.digest(0.0, whole=False).engines) == 1
    assert sender.book.digest(0.0, whole=False).engines == ()
    assert len(sender.book.digest(0.0, whole=True).engines) == 1


def test_an_engine_that_reads_slowly_stays_busy_for_every_entry() -> None:
    """An engine turns slow without a word. Nobody sees a first event from it.

    Believed to read on at its usual pace, it would look idle after a second to all who have sent
    it nothing themselves, and each would send it one more.
    """
    sender, receiver = Entry("a"), Entry("b")
    for _ in range(4):
        sender.send(20_000, 0.0)
    receiver.book.take(sender.book.digest(0.0), 0.0)
    before = receiver.load.backlog(0.0)
    receiver.book.take(sender.book.digest(5.0), 5.0)
    assert receiver.load.backlog(5.0) >= 0.7 * before
    for number in range(4):
        sender.first_event(number + 1, 6.0)
    receiver.book.take(sender.book.digest(6.0), 6.0)
    assert receiver.load.backlog(6.0) == 0.0


def test_urgent_prompts_do_not_wait_behind_less_urgent_ones() -> None:
    """Engines read urgent prompts first: seconds of drafts ahead say nothing of a chat."""
    load = Entry("a").load
    load.begin("draft", prompt(20_000), load.reading_of(prompt(20_000)), 0.0, urgency=5)
    assert load.backlog(0.0, urgency=3) == 0.0
    assert load.backlog(0.0, urgency=5) > 0.4


def test_a_part_can_be_fetched_once_a_peer_saw_it_read() -> None:
    sender, receiver = Entry("a"), Entry("b")
    sender.send(3_000, 0.0)
    receiver.book.take(sender.book.digest(0.0), 0.0)
    assert receiver.load.read_tokens(prompt(3_000)) == 0
    sender.first_event(1, 0.1)
    receiver.book.take(sender.book.digest(0.1), 0.1)
    assert receiver.load.read_tokens(prompt(3_000)) == 100


def test_parts_that_a_peer_had_read_are_known() -> None:
    sender, receiver = Entry("a"), Entry("b")
    sender.send(3_000, 0.0)
    receiver.book.take(sender.book.digest(0.0), 0.0)
    assert receiver.load.reading_of(prompt(3_000)).unread_tokens == 2_900
