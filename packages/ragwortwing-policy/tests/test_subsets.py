"""Tests of the balance, coverage and stability of the computed subsets."""

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


def moved_share(before: dict[str, set[str]], after: dict[str, set[str]]) -> float:
    """Return the share of connections that changed, for entries in both assignments."""
    kept = before.keys() & after.keys()
    return sum(len(after[e] - before[e]) for e in kept) / sum(len(before[e]) for e in kept)


@pytest.mark.parametrize(("count", "agents", "models"), [(12, 300, 1), (20, 120, 4)])
def test_agents_are_covered_evenly_with_all_pools_in_all_zones(
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


def test_few_connections_move_when_entries_or_agents_change() -> None:
    known = fleet(300, 1)
    ids = entries(12)
    before = assignment(ids, known)
    fresh = SubsetAgent("new", "nadi", frozenset({"m0"}))
    assert moved_share(before, assignment(ids[:-1], known)) < 0.15
    assert moved_share(before, assignment([*ids, "new"], known)) < 0.15
    assert moved_share(before, assignment(ids, known[1:])) < 0.05
    assert moved_share(before, assignment(ids, [*known, fresh])) < 0.05


def test_subset_does_not_depend_on_list_order() -> None:
    known = fleet(60, 2)
    ids = entries(9)
    assert subset("e3", ids, known, 20) == subset("e3", ids[::-1], known[::-1], 20)


def test_small_fleet_is_fully_connected_and_unlisted_entry_is_counted() -> None:
    assert len(subset("e0", [], fleet(9, 1), 16)) == 9
    assert len(subset("new", entries(5), fleet(60, 1), 16)) == 16
