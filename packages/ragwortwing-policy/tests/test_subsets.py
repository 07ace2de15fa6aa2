"""Balance, reach and movement of the deterministic subsets."""

from __future__ import annotations

from collections import Counter

import pytest

from ragwortwing_policy.subsets import SubsetAgent, subset, subset_size

ZONES = ("suva", "nadi", "lautoka")


def fleet(agents: int, models: int) -> list[SubsetAgent]:
    return [
        SubsetAgent(f"a{each}", ZONES[each % 3], frozenset({f"m{each // 3 % models}"}))
        for each in range(agents)
    ]


def entries(count: int) -> list[str]:
    return [f"e{each}" for each in range(count)]


def assignment(ids: list[str], agents: list[SubsetAgent]) -> dict[str, set[str]]:
    size = subset_size(len(ids), len(agents))
    return {each: set(subset(each, ids, agents, size)) for each in ids}


def moved(before: dict[str, set[str]], after: dict[str, set[str]]) -> float:
    """Return the share of the connections of entries in both that had to be dialled anew."""
    kept = before.keys() & after.keys()
    return sum(len(after[e] - before[e]) for e in kept) / sum(len(before[e]) for e in kept)


@pytest.mark.parametrize(("count", "agents", "models"), [(12, 300, 1), (20, 120, 4)])
def test_agents_are_covered_evenly_and_each_pool_reached_in_each_zone(
    count: int, agents: int, models: int
) -> None:
    known = fleet(agents, models)
    chosen = assignment(entries(count), known)
    covered = Counter(agent for ids in chosen.values() for agent in ids)
    counts = [covered[each.agent_id] for each in known]
    assert min(counts) >= 1
    assert max(counts) <= 2 * sum(counts) / len(counts)
    for ids in chosen.values():
        strata = {(each.zone, each.targets) for each in known if each.agent_id in ids}
        assert len(strata) == len(ZONES) * models
        assert len(ids) == subset_size(count, agents)


def test_few_connections_move_when_an_entry_or_an_agent_comes_or_goes() -> None:
    known = fleet(300, 1)
    ids = entries(12)
    before = assignment(ids, known)
    fresh = SubsetAgent("new", "nadi", frozenset({"m0"}))
    assert moved(before, assignment(ids[:-1], known)) < 0.15
    assert moved(before, assignment([*ids, "new"], known)) < 0.15
    assert moved(before, assignment(ids, known[1:])) < 0.05
    assert moved(before, assignment(ids, [*known, fresh])) < 0.05


def test_every_process_computes_the_same_whatever_the_order_of_its_lists() -> None:
    known = fleet(60, 2)
    ids = entries(9)
    assert subset("e3", ids, known, 20) == subset("e3", ids[::-1], known[::-1], 20)


def test_a_small_fleet_is_connected_to_whole_and_an_unlisted_entry_counts_itself() -> None:
    assert len(subset("e0", [], fleet(9, 1), 16)) == 9
    assert len(subset("new", entries(5), fleet(60, 1), 16)) == 16
