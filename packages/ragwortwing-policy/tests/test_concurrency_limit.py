from __future__ import annotations

from ragwortwing_policy.concurrency_limit import (
    MAXIMUM_SETPOINT_SHARE,
    MINIMUM_SETPOINT_SHARE,
    ConcurrencyLimit,
    EngineLimit,
    LatencyTargets,
)

CHAT = LatencyTargets(between_tokens=0.045, first_token=1.5)
DRAFT = LatencyTargets(between_tokens=0.120, first_token=10.0)
STEP_BASE = 0.020
STEP_PER_STREAM = 0.001


def run(limit, targets, start: float, seconds: float, slowness: float = 1.0) -> float:
    """Feed an engine whose step grows with its streams; all slots of the limit are used."""
    now = start
    while now < start + seconds:
        used = limit.value
        limit.observe_used(used)
        for _ in range(12):
            limit.observe_between_tokens(slowness * (STEP_BASE + STEP_PER_STREAM * used))
        now += 0.25
        limit.adapt(targets, used, now)
    return now


def step(limit) -> float:
    return STEP_BASE + STEP_PER_STREAM * limit.value


def test_limit_settles_where_the_target_holds() -> None:
    limit = ConcurrencyLimit(initial=4, maximum=256)
    run(limit, CHAT, 0.0, 60.0)
    assert 0.8 * CHAT.between_tokens < step(limit) < CHAT.between_tokens


def test_limit_does_not_grow_unused() -> None:
    limit = ConcurrencyLimit(initial=8, maximum=256)
    for window in range(20):
        limit.observe_used(3)
        for _ in range(20):
            limit.observe_between_tokens(0.023)
        limit.adapt(CHAT, 3, window * 0.6)
    assert limit.value == 8


def test_one_slow_sample_does_not_shrink_the_limit() -> None:
    limit = ConcurrencyLimit(initial=8, maximum=8)
    for window in range(4):
        for _ in range(19):
            limit.observe_between_tokens(0.025)
        limit.observe_between_tokens(30.0)
        limit.adapt(CHAT, 8, window * 0.6)
    assert limit.value == 8


def test_late_first_tokens_shrink_the_limit_of_an_engine_that_queues_inside() -> None:
    """The engine has fewer slots than the limit and queues the rest itself: tokens come at their
    usual pace, but new streams stay silent for seconds.
    """
    limit = ConcurrencyLimit(initial=16, maximum=16)
    for window in range(3):
        limit.observe_used(16)
        for _ in range(12):
            limit.observe_between_tokens(0.025)
            limit.observe_first_token(2.0)
        limit.adapt(CHAT, 16, window * 0.6)
    assert limit.value < 16


def test_engine_at_a_tenth_keeps_some_batch_when_shrinking_does_not_help() -> None:
    """The engine falls to a tenth of its speed, where even one stream misses the target. The limit
    gives way once or a few times and then stays, rather than throw the rest of the throughput away;
    after the engine is well again it grows back.
    """
    limit = ConcurrencyLimit(initial=16, maximum=64)
    now = run(limit, CHAT, 0.0, 30.0)
    healthy = limit.value
    now = run(limit, CHAT, now, 20.0, slowness=10.0)
    assert 1 < limit.value < healthy
    run(limit, CHAT, now, 90.0)
    assert limit.value >= healthy - 2


def test_aim_follows_the_answers_that_miss() -> None:
    limit = ConcurrencyLimit(initial=16, maximum=64)
    settled = run(limit, CHAT, 0.0, 60.0)
    by_default = limit.value
    for number in range(100):
        limit.observe_answer(met_target=False, now=settled + number)
    run(limit, CHAT, settled + 100.0, 60.0)
    assert limit.value < by_default
    assert step(limit) > 0.9 * MINIMUM_SETPOINT_SHARE * CHAT.between_tokens
    for _ in range(5_000):
        limit.observe_answer(met_target=True, now=settled + 300.0)
    run(limit, CHAT, settled + 300.0, 90.0)
    assert by_default < limit.value
    assert step(limit) < 1.06 * MAXIMUM_SETPOINT_SHARE * CHAT.between_tokens


def test_first_chat_after_a_quiet_time_finds_the_limit_of_chats() -> None:
    """An engine wrote drafts in large batches for a while. The first buyer's answer would crawl in
    such a batch; the limit that chats had learned is in force with it at once, and stays a while.
    """
    limit = EngineLimit(initial=16, maximum=256)
    now = run(limit, CHAT, 0.0, 30.0)
    for_chat = limit.value
    now = run(limit, DRAFT, now + 20.0, 60.0)
    assert limit.value > 2 * for_chat
    limit.adapt(CHAT, limit.value, now)
    assert limit.value == for_chat
    limit.adapt(DRAFT, for_chat, now + 5.0)
    assert limit.value == for_chat
    limit.adapt(DRAFT, for_chat, now + 15.0)
    assert limit.value > 2 * for_chat
