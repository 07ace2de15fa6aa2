"""Ejection by latency against peers and by silence, and the return by probes."""

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


def observe(watched: OutlierDetector, factors: dict[str, float], now: float) -> None:
    """Give every agent enough between-token times, each its factor of the usual."""
    for _ in range(SETTINGS.minimum_samples + 1):
        for agent_id in POOL:
            watched.observe(agent_id, None, USUAL * factors.get(agent_id, 1.0), POOL, now)


def ejected(watched: OutlierDetector, now: float) -> list[str]:
    return [each for each in POOL if watched.is_ejected(each, POOL, now)]


def test_an_engine_at_a_tenth_is_ejected_and_unequal_ones_are_not() -> None:
    """Answers from one engine crawl while its own report says that it is well.

    Its between-token time against the peers' median shows it; engines of 0.4 to 1.6 of the usual
    speed stay.
    """
    watched = detector()
    observe(watched, {"a0": 10.0, "a1": 2.5, "a2": 0.6}, 1.0)
    assert ejected(watched, 1.0) == ["a0"]


def test_a_slow_first_token_ejects_only_with_an_excess() -> None:
    watched = detector()
    for _ in range(SETTINGS.minimum_samples + 1):
        for agent_id in POOL:
            seconds = {"a0": 2.0, "a1": 0.5}.get(agent_id, 0.05)
            watched.observe(agent_id, timedelta(seconds=seconds), None, POOL, 1.0)
    assert ejected(watched, 1.0) == ["a0"]


def test_no_more_than_a_share_of_the_pool_is_ejected() -> None:
    watched = detector()
    observe(watched, dict.fromkeys(POOL[:3], 20.0), 1.0)
    assert len(ejected(watched, 1.0)) <= 2
    frozen = detector()
    for agent_id in POOL:
        frozen.submitted(agent_id, 0.0)
    assert len(ejected(frozen, 60.0)) == 2


def test_silence_counts_only_while_something_runs() -> None:
    watched = detector()
    watched.submitted("a0", 0.0)
    watched.submitted("a1", 0.0)
    watched.released("a1", 1.0)
    watched.progressed("a0", 2.0)
    silence = SETTINGS.silence.total_seconds()
    assert ejected(watched, silence) == []
    assert ejected(watched, 2.0 + silence) == ["a0"]


def test_probes_bring_an_agent_back_or_keep_it_out_for_longer() -> None:
    watched = detector()
    observe(watched, {"a0": 10.0}, 0.0)
    first = SETTINGS.first_ejection.total_seconds()
    assert watched.state("a0", POOL, first) == "half_open"
    assert watched.wants_probe("a0", urgent=False, now=first)
    assert not watched.wants_probe("a0", urgent=True, now=first)
    spared = first + SETTINGS.urgent_probe_after.total_seconds()
    assert watched.wants_probe("a0", urgent=True, now=spared)
    watched.probe_sent("a0", first)
    assert not watched.wants_probe("a0", urgent=False, now=first)
    watched.observe("a0", None, USUAL * 10, POOL, first)
    assert watched.state("a0", POOL, first * 2) == "open"
    assert watched.state("a0", POOL, first * 3) == "half_open"
    for _ in range(SETTINGS.probes):
        watched.observe("a0", None, USUAL, POOL, first * 3)
    assert watched.state("a0", POOL, first * 3) == "closed"
