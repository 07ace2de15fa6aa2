"""The load that the sites see at their worst, replayed on the product's own decisions."""

from __future__ import annotations

import pytest

from ragwortwing_lab.model.batching_engine import BatchingEngine, EnginePace, EngineRun
from ragwortwing_lab.model.burst_replay import (
    NOTE,
    REVIEW,
    SMALL_CHUNKS,
    SUMMARY,
    Burst,
    KindResult,
    Placing,
    Replay,
    run_replay,
    scaled_replay,
    shifted_replay,
)
from ragwortwing_policy.direct import prefill_budget
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart

SEEDS = (1, 2, 3)


def total(results: dict[str, KindResult]) -> float:
    return sum(result.worth for result in results.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_burst_of_drafts_and_then_chats(seed: int) -> None:
    """Drafts come at 2.3 times their rate for 8.5 s, chats at 1.8 times for 4 s of these.

    Placed at random or by reported load, drafts are read between the tokens of chats: most chats
    pause too long. Apart, and at the engines that keep their sessions, both are on time.
    """
    ours = run_replay(Replay(Placing.OURS, seed))
    for baseline in (Placing.RANDOM, Placing.LEAST_REPORTED):
        other = run_replay(Replay(baseline, seed))
        assert total(ours) > 1.2 * total(other)
        for kind in ("chat", "draft"):
            assert ours[kind].share_on_time > other[kind].share_on_time
    assert ours["chat"].share_on_time > 0.85
    assert ours["draft"].share_on_time > 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_many_entries_act_as_one(seed: int) -> None:
    """Guards against entries that each fill the same engines on what they know of each other."""
    many = run_replay(Replay(Placing.OURS, seed, entries=26))
    best = max(
        total(run_replay(Replay(baseline, seed)))
        for baseline in (Placing.RANDOM, Placing.LEAST_REPORTED)
    )
    assert total(many) > 1.08 * best
    assert many["chat"].share_on_time > 0.75
    assert many["draft"].share_on_time > 0.75


@pytest.mark.parametrize("seed", SEEDS)
def test_a_large_fleet_places_as_well_as_a_small_one(seed: int) -> None:
    """Guards against decisions that get worse with the number of entries at the same load."""
    small = run_replay(scaled_replay(seed, entries=17, engines=9))
    large = run_replay(scaled_replay(seed, entries=68, engines=39))
    for kind in ("chat", "draft"):
        assert large[kind].share_on_time > small[kind].share_on_time - 0.03
    assert large["chat"].share_on_time > 0.9


def test_entries_that_decide_alone_are_worse_off() -> None:
    """Guards against a scheduler that is worth no more than entries without any word of others."""
    alone = sum(total(run_replay(Replay(Placing.OURS, s, scheduled=False))) for s in SEEDS)
    scheduled = sum(total(run_replay(Replay(Placing.OURS, s))) for s in SEEDS)
    assert scheduled > 1.05 * alone


def test_chats_that_outgrow_their_engines_borrow_from_drafts() -> None:
    """Chats come at three times their rate: more than their engines' slots. None waits for good."""
    bursts = (Burst("chat", 1.0, 8.0, 3.0),)
    results = run_replay(Replay(Placing.OURS, 1, bursts=bursts))
    chats = results["chat"]
    assert chats.on_time + chats.late > 0.97 * chats.asked


def test_refused_callers_come_back_as_often_as_they_do() -> None:
    """Drafts come at four times their rate. Of those that are refused and come back, some are
    served, late: their target counts from the first attempt."""
    bursts = (Burst("draft", 0.5, 8.0, 4.0),)
    gone = run_replay(Replay(Placing.OURS, 1, bursts=bursts))["draft"]
    back = run_replay(Replay(Placing.OURS, 1, bursts=bursts, returns=1))["draft"]
    assert gone.refused > 0
    assert back.late > gone.late
    assert back.on_time + back.late + back.refused + back.cut >= back.asked


def cold_burst(seed: int, *, pauses_declared: bool = True, **more: int) -> dict[str, KindResult]:
    """Replay a day's begin: nothing is kept anywhere, and reviews come at 2.4 times their rate."""
    replay = Replay(
        Placing.OURS,
        seed,
        engines=6,
        bursts=(Burst("review", 0.5, 9.0, 2.4), Burst("note", 6.0, 10.0, 2.1)),
        pace=SMALL_CHUNKS,
        kinds=(NOTE, SUMMARY, REVIEW),
        pauses_declared=pauses_declared,
        **more,  # type: ignore[arg-type]
    )
    return run_replay(replay)


@pytest.mark.parametrize("entries", [4, 28])
def test_a_fetch_brings_what_it_was_for(entries: int) -> None:
    """The day begins with a burst, and prompts share parts that no engine has read yet.

    An engine sent to fetch a part from one that still reads it gets nothing and reads it as well:
    twice the work in the worst second, behind a prediction that left it out.
    """
    results = [cold_burst(seed, entries=entries) for seed in SEEDS]
    fetches = sum(kind.fetches for result in results for kind in result.values())
    vain = sum(kind.vain_fetches for result in results for kind in result.values())
    assert fetches > 0
    assert vain < 0.1 * fetches


def test_declared_pauses_keep_short_answers_fluent() -> None:
    """Notes may pause for 0.12 s, reviews beside them for 0.5 s, and one note in five has a prompt
    as long as a short review's.

    Told apart by length alone, long notes are read among the reviews and pause with them.
    """
    declared = [cold_burst(seed) for seed in SEEDS]
    by_length = [cold_burst(seed, pauses_declared=False) for seed in SEEDS]
    on_time = sum(result["note"].on_time for result in declared)
    assert on_time > 1.05 * sum(result["note"].on_time for result in by_length)
    assert sum(map(total, declared)) > sum(map(total, by_length))


@pytest.mark.parametrize("seed", SEEDS)
def test_large_prompts_are_served_in_a_burst(seed: int) -> None:
    """Guards against small prompts that keep every engine too busy for a large one."""
    replay = Replay(
        Placing.OURS,
        seed,
        engines=6,
        bursts=(Burst("review", 0.5, 10.0, 6.0),),
        pace=SMALL_CHUNKS,
        kinds=(NOTE, SUMMARY, REVIEW),
    )
    review = run_replay(replay)["review"]
    assert review.share_served < 0.95
    assert review.share_of_largest_served > 0.5 * review.share_served


def test_drafts_get_their_events_in_time_in_a_cold_burst(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against engines that prefill without a pause: every stream there is late or cut."""
    bounded = [run_replay(shifted_replay(seed, engines=6)) for seed in SEEDS]
    monkeypatch.setattr(prefill_budget, "PART_PER_EXCEEDED", 0.0)
    unbounded = [run_replay(shifted_replay(seed, engines=6)) for seed in SEEDS]
    on_time = sum(result["draft"].on_time for result in bounded)
    assert on_time > 1.5 * sum(result["draft"].on_time for result in unbounded)
    assert sum(map(total, bounded)) > 1.1 * sum(map(total, unbounded))


def run_alone(engine: BatchingEngine, prompt: Prompt) -> list[float]:
    events: list[float] = []
    ends: list[float] = []
    engine.submit(EngineRun(prompt, 0, 0.0, events.append, ends.append))
    now = engine.pace.first_overhead
    while not ends:
        now = engine.step(now)
    return events


def test_an_engine_reads_shared_parts_once() -> None:
    engine = BatchingEngine(EnginePace())
    parts = (PromptPart("shared", 5_000), PromptPart("own", 1_000))
    run_alone(engine, Prompt("m", parts, 6_000, 10))
    first = engine.read_tokens
    run_alone(engine, Prompt("m", (parts[0], PromptPart("other", 1_000)), 6_000, 10))
    assert first == 6_000
    assert engine.read_tokens == 7_000


def test_a_long_prompt_makes_the_others_pause() -> None:
    pace = EnginePace()
    engine = BatchingEngine(pace)
    events: list[float] = []
    chat = Prompt("m", (PromptPart("c", 100),), 100, 200)
    engine.submit(EngineRun(chat, 0, 0.0, events.append, lambda _: None))
    now = pace.first_overhead
    for _ in range(20):
        now = engine.step(now)
    engine.submit(EngineRun(Prompt("m", (), 12_000, 5), 1, 0.0, lambda _: None, lambda _: None))
    while len(events) < 12:
        now = engine.step(now)
    pauses = [after - before for before, after in zip(events, events[1:], strict=False)]
    assert sum(pauses) > 12_000 / pace.tokens_per_second
    assert max(pauses) > 5 * min(pauses)
