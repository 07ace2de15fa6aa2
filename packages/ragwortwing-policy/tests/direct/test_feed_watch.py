"""Few entries watch the store, and all notice what is new."""

from __future__ import annotations

from ragwortwing_policy.direct.feed_watch import (
    IDLE_RETRY,
    PROBE_RETRY,
    TURNED_AWAY_RETRY,
    WATCHER_SILENCE,
    WATCHERS,
    FeedWatch,
)

NAMES = [f"entry-{number}" for number in range(26)]


def fleet(now: float = 0.0) -> dict[str, FeedWatch]:
    watches = {name: FeedWatch(name) for name in NAMES}
    for watch in watches.values():
        watch.reached("operator", 4, now)
    tell(watches, now)
    return watches


def tell(watches: dict[str, FeedWatch], now: float, silent: frozenset[str] = frozenset()) -> None:
    for name, watch in watches.items():
        for peer, other in watches.items():
            if peer != name and name not in silent:
                other.told(name, watch.positions_by_feed, now, hears_store=watch.hears_store(now))


def watchers(watches: dict[str, FeedWatch], now: float) -> set[str]:
    return {name for name, watch in watches.items() if watch.is_watcher(now)}


def test_three_of_many_watch_and_one_relays() -> None:
    watches = fleet()
    assert len(watchers(watches, 0.1)) == WATCHERS
    following = {name for name, watch in watches.items() if watch.follows(0.1)}
    assert following == set(NAMES) - watchers(watches, 0.1)
    relays = {name for name, watch in watches.items() if watch.relays(0.1)}
    assert len(relays) == 1
    assert relays < watchers(watches, 0.1)


def test_nobody_follows_watchers_that_are_silent() -> None:
    """Guards against a fleet that hears of no change for as long as its watchers are thought of."""
    watches = fleet()
    assert not any(watch.follows(WATCHER_SILENCE + 0.1) for watch in watches.values())


def test_entries_give_way_to_those_that_watch_before_them() -> None:
    """Guards against a call of every entry at the moment at which the watchers are lost."""
    watches = fleet()
    delays = sorted(watch.take_over_delay(0.1) for watch in watches.values())
    assert delays[0] == 0.0
    assert len(set(delays)) == len(NAMES)


def test_relayed_records_are_no_answer_of_the_store() -> None:
    watch = FeedWatch("entry-1")
    watch.advanced("operator", 9)
    watch.advanced("operator", 4)
    assert watch.positions_by_feed == {"operator": 9}
    assert not watch.hears_store(0.1)


def test_an_entry_on_its_own_watches() -> None:
    assert FeedWatch("alone").is_watcher(0.0)


def test_others_take_over_from_watchers_that_fall_silent() -> None:
    watches = fleet()
    lost = frozenset(watchers(watches, 0.1))
    for moment in range(1, 6):
        now = moment / 2
        for name, watch in watches.items():
            if name not in lost:
                watch.reached("operator", 4, now)
        tell(watches, now, silent=lost)
    assert len(watchers(watches, 2.5) - lost) == WATCHERS


def test_in_an_outage_everyone_looks_for_the_stores_return() -> None:
    watches = fleet()
    for moment in range(1, 8):
        tell(watches, moment / 2)
    assert watchers(watches, 3.5) == set(NAMES)


def test_an_entry_whose_wait_was_forgotten_learns_that_it_is_behind() -> None:
    """Something between an entry and the store has lost track of its connection.

    Its long wait hears nothing. A watcher reads a new configuration and says how far it is; the
    entry asks again at once, and not while its own answer is merely on the way.
    """
    watches = fleet()
    one, other = (watches[name] for name in NAMES[:2])
    one.reached("operator", 7, 1.0)
    other.told(NAMES[0], one.positions_by_feed, 1.0, hears_store=True)
    assert not other.is_behind("operator", 1.1)
    assert other.is_behind("operator", 1.2)
    other.reached("operator", 7, 1.3)
    assert not other.is_behind("operator", 9.0)


def test_an_entry_that_slept_through_an_outage_hears_of_it() -> None:
    """A removal just after an outage may mean a lapse. An entry whose wait lasted through the whole
    outage knows of it only from those that noticed."""
    watch = FeedWatch("sleeper")
    watch.told("noticed", {}, 10.0, hears_store=True, unsure_for=2.0)
    assert watch.unsure_for(11.5) == 0.5
    assert watch.unsure_for(12.5) == 0.0


def test_few_look_for_a_store_that_is_away_and_tell_the_others() -> None:
    """The store is down for all. If each of 26 entries asked every 0.2 s, they would make 260 calls
    a second that are paid for; three do, and all hear at once when one of them is answered."""
    watches = fleet()
    for moment in range(1, 8):
        tell(watches, moment / 2)
    limits = sorted(watch.retry_limit(3.5) for watch in watches.values())
    assert limits == [PROBE_RETRY] * WATCHERS + [IDLE_RETRY] * (len(NAMES) - WATCHERS)
    prober = next(name for name, watch in watches.items() if watch.retry_limit(3.5) == PROBE_RETRY)
    watches[prober].reached("operator", 4, 3.6)
    tell(watches, 3.7)
    assert all(watch.regained_since(3.5) for name, watch in watches.items() if name != prober)


def test_an_entry_that_the_store_turns_away_asks_less_often() -> None:
    """The store serves most entries and refuses one; asking often would bring it nothing."""
    watches = fleet()
    refused = NAMES[0]
    for moment in range(1, 8):
        for name, watch in watches.items():
            if name != refused:
                watch.reached("operator", 4, moment / 2)
        tell(watches, moment / 2)
    assert watches[refused].retry_limit(3.5) == TURNED_AWAY_RETRY
    assert not watches[refused].regained_since(1.0)


def test_an_entry_on_its_own_looks_for_the_store_itself() -> None:
    assert FeedWatch("alone").retry_limit(100.0) == PROBE_RETRY


def test_a_store_that_served_the_others_was_not_away() -> None:
    """One entry is cut from the store for 6 s while all others hear it. No server's line lapsed
    meanwhile; taken for an outage of all, a server that leaves now would be kept for 2.5 s."""
    watches = fleet()
    cut = NAMES[0]
    for moment in range(1, 13):
        for name, watch in watches.items():
            if name != cut:
                watch.reached("operator", 4, moment / 2)
        tell(watches, moment / 2)
    assert not watches[cut].was_for_all(lost_at=0.5, now=6.0)


def test_an_outage_of_all_is_one_for_whoever_hears_the_store_last() -> None:
    """The store is down for 6 s. One entry is answered first and tells the others; for those that
    are answered next it must not look as if the store had served it all the while."""
    watches = fleet()
    for moment in range(1, 13):
        tell(watches, moment / 2)
    first, *others = NAMES
    assert watches[first].was_for_all(lost_at=0.5, now=6.1)
    watches[first].reached("operator", 4, 6.1)
    tell(watches, 6.2)
    assert all(watches[name].was_for_all(lost_at=0.5, now=6.3) for name in others)


def test_an_entry_cut_off_from_everyone_does_not_take_that_for_an_outage() -> None:
    """Guards against a leaving server kept for seconds by entries that come back from a cut."""
    watches = fleet()
    cut = NAMES[0]
    for moment in range(1, 17):
        now = moment / 2
        for name, watch in watches.items():
            if name != cut:
                watch.reached("operator", 4, now)
                for peer, other in watches.items():
                    if peer not in (name, cut):
                        other.told(name, {}, now, hears_store=True)
    watches[cut].told(NAMES[1], {}, 8.4, hears_store=True)
    assert not watches[cut].was_for_all(lost_at=2.0, now=8.5)


def test_an_entry_that_the_store_turned_away_while_others_took_turns_to_hear_it() -> None:
    """Guards against an outage seen in the gap between two watchers that the store serves."""
    watch = FeedWatch("entry-1")
    for moment in range(20):
        now = moment / 2
        watch.told("before", {}, now, hears_store=now < 4.0)
        watch.told("after", {}, now, hears_store=now > 6.0)
    assert not watch.was_for_all(lost_at=1.0, now=9.6)


def test_a_short_outage_counts_as_one_for_all() -> None:
    watches = fleet()
    assert watches[NAMES[0]].was_for_all(lost_at=0.5, now=2.0)


def test_the_doubt_of_an_entry_that_was_cut_off_is_its_own() -> None:
    """An entry comes back from behind a cut and says that removals may stem from an outage. The
    others heard the store all the time, and a server that leaves now gets no more work."""
    watch = FeedWatch("entry-1")
    watch.told("entry-2", {}, 0.0, hears_store=True)
    watch.told("entry-2", {}, 1.0, hears_store=True, unsure_for=2.5)
    assert watch.unsure_for(1.0) == 2.5
    watch.told("entry-3", {}, 0.0, hears_store=True)
    watch.told("entry-3", {}, 6.0, hears_store=False, unsure_for=2.5)
    assert watch.unsure_for(6.0) == 0.0
    watch.told("entry-3", {}, 6.1, hears_store=True, unsure_for=2.4)
    assert watch.unsure_for(6.1) == 0.0


def test_a_long_wait_that_ends_is_no_return_of_the_store() -> None:
    """All is well. An entry that waits long for news says between two answers that it does not hear
    the store, and then that it does; taken for a return, one that the store turns away would ask
    it again each time, and take its own loss for an outage of all."""
    watch = FeedWatch("entry-1")
    for moment in range(20):
        now = moment / 2
        watch.told("watcher", {}, now, hears_store=True)
        watch.told("waits-long", {}, now, hears_store=moment % 5 == 0)
    assert not watch.regained_since(0.6)
    assert not watch.was_for_all(lost_at=1.0, now=9.6)
