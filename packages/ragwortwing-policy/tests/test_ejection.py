"""Tests of the ejection of slow and silent agents, and of their recovery by probes."""

from __future__ import annotations

from datetime import timedelta

from ragwortwing_policy.ejection import EjectionSettings, OutlierDetector

POOL = tuple(f"a{each}" for each in range(6))
SETTINGS = EjectionSettings()
USUAL = timedelta(milliseconds=30)


def detector() -> OutlierDetector:
    result = OutlierDetector(SETTINGS)
    for agent_id in POOL:
        result.add(agent_id)
    return result


def observe_all(tracker: OutlierDetector, factors: dict[str, float], now: float) -> None:
    """Record enough between-token times for every agent, scaled by its factor."""
    for _ in range(SETTINGS.minimum_samples + 1):
        for agent_id in POOL:
            tracker.observe(agent_id, None, USUAL * factors.get(agent_id, 1.0), POOL, now)


def ejected(tracker: OutlierDetector, now: float) -> list[str]:
    return [each for each in POOL if tracker.is_ejected(each, POOL, now)]


def test_engine_at_a_tenth_of_its_speed_is_ejected() -> None:
    """Guards against keeping an engine that runs at a tenth of its speed but reports no problem.

    Its between-token time is compared with the median of its peers. Engines at 0.4 to 1.6 of the
    usual speed must not be ejected.
    """
    tracker = detector()
    observe_all(tracker, {"a0": 10.0, "a1": 2.5, "a2": 0.6}, 1.0)
    assert ejected(tracker, 1.0) == ["a0"]


def test_slow_first_token_ejects_only_above_minimum_excess() -> None:
    tracker = detector()
    for _ in range(SETTINGS.minimum_samples + 1):
        for agent_id in POOL:
            seconds = {"a0": 2.0, "a1": 0.5}.get(agent_id, 0.05)
            tracker.observe(agent_id, timedelta(seconds=seconds), None, POOL, 1.0)
    assert ejected(tracker, 1.0) == ["a0"]


def test_ejected_share_of_pool_is_limited() -> None:
    """Guards against ejecting most of a pool and overloading the remaining agents."""
    tracker = detector()
    observe_all(tracker, dict.fromkeys(POOL[:3], 20.0), 1.0)
    assert len(ejected(tracker, 1.0)) <= 2
    frozen = detector()
    for agent_id in POOL:
        frozen.submitted(agent_id, 0.0)
    assert len(ejected(frozen, 60.0)) == 2


def test_silence_counts_only_while_requests_run() -> None:
    """Guards against ejecting an idle agent for being silent."""
    tracker = detector()
    tracker.submitted("a0", 0.0)
    tracker.submitted("a1", 0.0)
    tracker.released("a1", 1.0)
    tracker.progressed("a0", 2.0)
    silence = SETTINGS.silence.total_seconds()
    assert ejected(tracker, silence) == []
    assert ejected(tracker, 2.0 + silence) == ["a0"]


def test_probes_close_circuit_or_extend_ejection() -> None:
    tracker = detector()
    observe_all(tracker, {"a0": 10.0}, 0.0)
    first = SETTINGS.first_ejection.total_seconds()
    assert tracker.state("a0", POOL, first) == "half_open"
    assert tracker.wants_probe("a0", urgent=False, now=first)
    assert not tracker.wants_probe("a0", urgent=True, now=first)
    urgent_probe_at = first + SETTINGS.urgent_probe_after.total_seconds()
    assert tracker.wants_probe("a0", urgent=True, now=urgent_probe_at)
    tracker.probe_sent("a0", first)
    assert not tracker.wants_probe("a0", urgent=False, now=first)
    tracker.observe("a0", None, USUAL * 10, POOL, first)
    assert tracker.state("a0", POOL, first * 2) == "open"
    assert tracker.state("a0", POOL, first * 3) == "half_open"
    for _ in range(SETTINGS.probes):
        tracker.observe("a0", None, USUAL, POOL, first * 3)
    assert tracker.state("a0", POOL, first * 3) == "closed"
