"""Tests of the adaptive concurrency limit with a simulated engine."""

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


def simulate(limit, targets, start: float, seconds: float, slowdown: float = 1.0) -> float:
    """Simulate a fully used engine whose step time grows with the number of streams."""
    now = start
    while now < start + seconds:
        used = limit.value
        limit.observe_used(used)
        for _ in range(12):
            limit.observe_between_tokens(slowdown * (STEP_BASE + STEP_PER_STREAM * used))
        now += 0.25
        limit.adapt(targets, used, now)
    return now


def step_time(limit) -> float:
    return STEP_BASE + STEP_PER_STREAM * limit.value


def test_limit_converges_to_latency_target() -> None:
    limit = ConcurrencyLimit(initial=4, maximum=256)
    simulate(limit, CHAT, 0.0, 60.0)
    assert 0.8 * CHAT.between_tokens < step_time(limit) < CHAT.between_tokens


def test_unused_limit_does_not_grow() -> None:
    limit = ConcurrencyLimit(initial=8, maximum=256)
    for window in range(20):
        limit.observe_used(3)
        for _ in range(20):
            limit.observe_between_tokens(0.023)
        limit.adapt(CHAT, 3, window * 0.6)
    assert limit.value == 8


def test_one_slow_sample_does_not_shrink_the_limit() -> None:
    """Guards against a single outlier reducing the concurrency of the engine."""
    limit = ConcurrencyLimit(initial=8, maximum=8)
    for window in range(4):
        for _ in range(19):
            limit.observe_between_tokens(0.025)
        limit.observe_between_tokens(30.0)
        limit.adapt(CHAT, 8, window * 0.6)
    assert limit.value == 8


def test_slow_first_tokens_shrink_limit_of_engine_with_internal_queue() -> None:
    """Guards against a limit above the engine's own number of slots.

    The engine then queues requests internally. Tokens arrive at the usual pace, but new streams
    wait seconds for their first token.
    """
    limit = ConcurrencyLimit(initial=16, maximum=16)
    for window in range(3):
        limit.observe_used(16)
        for _ in range(12):
            limit.observe_between_tokens(0.025)
            limit.observe_first_token(2.0)
        limit.adapt(CHAT, 16, window * 0.6)
    assert limit.value < 16


def test_limit_stops_shrinking_when_latency_does_not_improve() -> None:
    """Guards against losing throughput when shrinking the limit cannot meet the target.

    At a tenth of the engine's speed even one stream misses the target. The limit shrinks a few
    times at most, then stays, and grows back after the engine has recovered.
    """
    limit = ConcurrencyLimit(initial=16, maximum=64)
    now = simulate(limit, CHAT, 0.0, 30.0)
    healthy_limit = limit.value
    now = simulate(limit, CHAT, now, 20.0, slowdown=10.0)
    assert 1 < limit.value < healthy_limit
    simulate(limit, CHAT, now, 90.0)
    assert limit.value >= healthy_limit - 2


def test_setpoint_follows_missed_targets() -> None:
    limit = ConcurrencyLimit(initial=16, maximum=64)
    settled_at = simulate(limit, CHAT, 0.0, 60.0)
    default_limit = limit.value
    for number in range(100):
        limit.observe_answer(met_target=False, now=settled_at + number)
    simulate(limit, CHAT, settled_at + 100.0, 60.0)
    assert limit.value < default_limit
    assert step_time(limit) > 0.9 * MINIMUM_SETPOINT_SHARE * CHAT.between_tokens
    for _ in range(5_000):
        limit.observe_answer(met_target=True, now=settled_at + 300.0)
    simulate(limit, CHAT, settled_at + 300.0, 90.0)
    assert default_limit < limit.value
    assert step_time(limit) < 1.06 * MAXIMUM_SETPOINT_SHARE * CHAT.between_tokens


def test_chat_limit_applies_to_first_chat_after_drafts() -> None:
    """Guards against slow chat answers after a phase of large batches of drafts.

    The limit learned for chats must apply as soon as the first chat runs, and for a while after it.
    """
    limit = EngineLimit(initial=16, maximum=256)
    now = simulate(limit, CHAT, 0.0, 30.0)
    chat_limit = limit.value
    now = simulate(limit, DRAFT, now + 20.0, 60.0)
    assert limit.value > 2 * chat_limit
    limit.adapt(CHAT, limit.value, now)
    assert limit.value == chat_limit
    limit.adapt(DRAFT, chat_limit, now + 5.0)
    assert limit.value == chat_limit
    limit.adapt(DRAFT, chat_limit, now + 15.0)
    assert limit.value > 2 * chat_limit
