"""Simulates the peak loads of the sites with the shipped placement decisions."""

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


def total_worth(results: dict[str, KindResult]) -> float:
    return sum(result.worth for result in results.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_placement_beats_the_baselines_in_a_burst(seed: int) -> None:
    """Guards against drafts and chats that delay each other in a burst.

    Drafts arrive at 2.3 times their rate for 8.5 s, chats at 1.8 times for 4 s, overlapping. With
    random or least-reported placement, drafts are prefilled between the tokens of chats, so most
    chats pause too long. On separate engines that cache their sessions, both are on time.
    """
    shipped = run_replay(Replay(Placing.OURS, seed))
    for baseline in (Placing.RANDOM, Placing.LEAST_REPORTED):
        other = run_replay(Replay(baseline, seed))
        assert total_worth(shipped) > 1.2 * total_worth(other)
        for kind in ("chat", "draft"):
            assert shipped[kind].share_on_time > other[kind].share_on_time
    assert shipped["chat"].share_on_time > 0.85
    assert shipped["draft"].share_on_time > 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_many_entries_place_better_than_the_baselines(seed: int) -> None:
    """Guards against entries that fill the same engines because each knows little of the others."""
    many = run_replay(Replay(Placing.OURS, seed, entries=26))
    best = max(
        total_worth(run_replay(Replay(baseline, seed)))
        for baseline in (Placing.RANDOM, Placing.LEAST_REPORTED)
    )
    assert total_worth(many) > 1.08 * best
    assert many["chat"].share_on_time > 0.75
    assert many["draft"].share_on_time > 0.75


@pytest.mark.parametrize("seed", SEEDS)
def test_a_large_fleet_places_as_well_as_a_small_one(seed: int) -> None:
    """Guards against placement that degrades with more entries at the same load per engine."""
    small = run_replay(scaled_replay(seed, entries=17, engines=9))
    large = run_replay(scaled_replay(seed, entries=68, engines=39))
    for kind in ("chat", "draft"):
        assert large[kind].share_on_time > small[kind].share_on_time - 0.03
    assert large["chat"].share_on_time > 0.9


def test_a_scheduler_is_better_than_entries_that_decide_alone() -> None:
    """Guards against a scheduler that is no better than entries that do not know of each other."""
    alone = sum(total_worth(run_replay(Replay(Placing.OURS, s, scheduled=False))) for s in SEEDS)
    scheduled = sum(total_worth(run_replay(Replay(Placing.OURS, s))) for s in SEEDS)
    assert scheduled > 1.05 * alone


def test_chats_overflow_to_the_engines_of_drafts() -> None:
    """Guards against starved chats when their engines have too few slots.

    Chats arrive at three times their rate, which is more than the slots of their engines.
    """
    bursts = (Burst("chat", 1.0, 8.0, 3.0),)
    results = run_replay(Replay(Placing.OURS, 1, bursts=bursts))
    chats = results["chat"]
    assert chats.on_time + chats.late > 0.97 * chats.offered


def test_refused_drafts_that_retry_are_served_late() -> None:
    """Guards against refused callers that are lost or counted as new when they retry.

    Drafts arrive at four times their rate. Some of the refused ones that retry are served. They
    count as late, because their target starts at the first attempt.
    """
    bursts = (Burst("draft", 0.5, 8.0, 4.0),)
    without_retries = run_replay(Replay(Placing.OURS, 1, bursts=bursts))["draft"]
    with_retries = run_replay(Replay(Placing.OURS, 1, bursts=bursts, retries=1))["draft"]
    assert without_retries.refused > 0
    assert with_retries.late > without_retries.late
    assert (
        with_retries.on_time + with_retries.late + with_retries.refused + with_retries.timed_out
        >= with_retries.offered
    )


def cold_burst(seed: int, *, pauses_declared: bool = True, **options: int) -> dict[str, KindResult]:
    """Run a burst on engines with cold caches, as at the start of a day.

    Reviews arrive at 2.4 times their rate, later notes at 2.1 times.
    """
    replay = Replay(
        Placing.OURS,
        seed,
        engines=6,
        bursts=(Burst("review", 0.5, 9.0, 2.4), Burst("note", 6.0, 10.0, 2.1)),
        pace=SMALL_CHUNKS,
        kinds=(NOTE, SUMMARY, REVIEW),
        pauses_declared=pauses_declared,
        **options,  # type: ignore[arg-type]
    )
    return run_replay(replay)


@pytest.mark.parametrize("entries", [4, 28])
def test_few_fetches_are_useless_in_a_cold_burst(entries: int) -> None:
    """Guards against KV cache fetches that return nothing in a burst with cold caches.

    Prompts share parts that no engine has prefilled yet. An engine that fetches a part from one
    that is still prefilling it gets nothing and prefills it too. This doubles the work at the peak,
    and the predicted time does not include it.
    """
    results = [cold_burst(seed, entries=entries) for seed in SEEDS]
    fetches = sum(kind.fetches for result in results for kind in result.values())
    useless = sum(kind.useless_fetches for result in results for kind in result.values())
    assert fetches > 0
    assert useless < 0.1 * fetches


def test_declared_pauses_keep_notes_on_time() -> None:
    """Guards against notes that share engines with reviews and pause too long.

    Notes may pause for 0.12 s and reviews for 0.5 s. One note in five has a prompt as long as that
    of a short review. If only the length distinguishes them, long notes are prefilled among the
    reviews and pause with them.
    """
    declared = [cold_burst(seed) for seed in SEEDS]
    by_length = [cold_burst(seed, pauses_declared=False) for seed in SEEDS]
    on_time = sum(result["note"].on_time for result in declared)
    assert on_time > 1.05 * sum(result["note"].on_time for result in by_length)
    assert sum(map(total_worth, declared)) > sum(map(total_worth, by_length))


@pytest.mark.parametrize("seed", SEEDS)
def test_large_prompts_are_served_in_a_burst(seed: int) -> None:
    """Guards against starvation of large prompts by small ones that keep every engine busy."""
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
    """Guards against continuous prefill, which makes all streams late or incomplete."""
    bounded = [run_replay(shifted_replay(seed, engines=6)) for seed in SEEDS]
    monkeypatch.setattr(prefill_budget, "FRACTION_PER_LATE_STREAM", 0.0)
    unbounded = [run_replay(shifted_replay(seed, engines=6)) for seed in SEEDS]
    on_time = sum(result["draft"].on_time for result in bounded)
    assert on_time > 1.5 * sum(result["draft"].on_time for result in unbounded)
    assert sum(map(total_worth, bounded)) > 1.1 * sum(map(total_worth, unbounded))


def run_alone(engine: BatchingEngine, prompt: Prompt) -> list[float]:
    events: list[float] = []
    ends: list[float] = []
    engine.submit(EngineRun(prompt, 0, 0.0, events.append, ends.append))
    now = engine.pace.first_overhead
    while not ends:
        now = engine.step(now)
    return events


def test_an_engine_prefills_shared_parts_once() -> None:
    engine = BatchingEngine(EnginePace())
    parts = (PromptPart("shared", 5_000), PromptPart("own", 1_000))
    run_alone(engine, Prompt("m", parts, 6_000, 10))
    first = engine.read_tokens
    run_alone(engine, Prompt("m", (parts[0], PromptPart("other", 1_000)), 6_000, 10))
    assert first == 6_000
    assert engine.read_tokens == 7_000


def test_a_long_prompt_delays_the_other_streams() -> None:
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
