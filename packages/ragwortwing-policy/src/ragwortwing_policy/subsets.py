"""Selects the subset of agents that an entry connects to in a large fleet.

Every entry computes the same assignment from the lists of entries and agents, without coordination.
Agents are split into strata by zone and by the models or services they serve. Within a stratum, the
pairs of entry and agent are taken in hash order as long as the agent is below its even share of
entries and the entry is below its quota of agents. The relative order of two pairs never changes,
so adding or removing an entry or agent moves few other connections.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from functools import lru_cache
from math import ceil
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MINIMUM_SIZE = 16
"""Minimum number of agents an entry connects to, if there are as many."""

CACHED_STRATA = 512
"""Size of the assignment cache in strata; seven zones with 27 models have 189 strata."""

ENTRIES_PER_AGENT = 3
"""Target number of entries connected to each agent."""


@dataclass(frozen=True, slots=True)
class SubsetAgent:
    """Properties of an agent that determine the assignment."""

    agent_id: str
    zone: str
    targets: frozenset[str] = frozenset()
    """Models or services that the agent serves; empty on all entries if this is not published."""


def subset_size(entries: int, agents: int) -> int:
    """Return how many agents each entry should connect to.

    Example:
        >>> subset_size(entries=3, agents=9), subset_size(entries=48, agents=790)
        (9, 50)
    """
    return min(agents, max(MINIMUM_SIZE, ceil(ENTRIES_PER_AGENT * agents / max(1, entries))))


def subset(
    entry_id: str, entries: Sequence[str], agents: Sequence[SubsetAgent], size: int
) -> tuple[str, ...]:
    """Return the sorted ids of the agents that an entry connects to.

    Args:
        entry_id: The entry whose subset is computed.
        entries: Live entries; `entry_id` is added if the list does not contain it yet.
        agents: Live agents.
        size: Number of agents wanted; exceeded only if a stratum would otherwise get none.
    """
    all_entries = tuple(sorted({*entries, entry_id}))
    if size >= len(agents):
        return tuple(sorted(each.agent_id for each in agents))
    chosen: list[str] = []
    for agent_ids, quota in _quotas(agents, size):
        chosen.extend(_assigned_to(entry_id, all_entries, tuple(agent_ids), quota))
    return tuple(sorted(chosen))


def _quotas(agents: Iterable[SubsetAgent], size: int) -> list[tuple[list[str], int]]:
    """Split the size over the strata by the largest remainder method, with at least one each."""
    ids_by_stratum: defaultdict[tuple[str, tuple[str, ...]], list[str]] = defaultdict(list)
    for agent in agents:
        ids_by_stratum[agent.zone, tuple(sorted(agent.targets))].append(agent.agent_id)
    total = sum(len(each) for each in ids_by_stratum.values())
    shares = {key: size * len(ids) / total for key, ids in ids_by_stratum.items()}
    quotas = {key: max(1, int(share)) for key, share in shares.items()}
    by_remainder = sorted(shares, key=lambda key: (int(shares[key]) - shares[key], key))
    for key in by_remainder[: max(0, size - sum(quotas.values()))]:
        quotas[key] += 1
    return [(ids_by_stratum[key], quotas[key]) for key in sorted(quotas)]


@lru_cache(maxsize=CACHED_STRATA)
def _assigned_to(
    entry_id: str, entries: tuple[str, ...], agents: tuple[str, ...], quota: int
) -> tuple[str, ...]:
    """Return the agents of a stratum that are assigned to one entry.

    Adding or removing an agent changes one stratum out of hundreds. The results of the others are
    cached, since recomputing all of them would block the event loop, which also relays tokens.
    """
    return tuple(_assign(entries, agents, quota)[entry_id])


def _assign(entries: Sequence[str], agents: Sequence[str], quota: int) -> Mapping[str, list[str]]:
    """Assign a stratum's agents to every entry."""
    assignment = _Assignment(entries, agents, min(quota, len(agents)))
    even_share = len(entries) * assignment.quota // len(agents)
    # The first pass gives each agent its even share and the second one distributes the rest. An
    # entry may already have all agents below the bound, so the last pass is unbounded.
    for bound in (even_share, even_share + 1, len(entries)):
        assignment.fill(bound)
    return assignment.ids_by_entry


class _Assignment:
    """Assignment of the agents of one stratum to entries, while it is computed."""

    def __init__(self, entries: Sequence[str], agents: Sequence[str], quota: int) -> None:
        self.quota = quota
        self.ids_by_entry: dict[str, list[str]] = {each: [] for each in entries}
        self._entries_by_agent = dict.fromkeys(agents, 0)
        self._pairs = sorted(
            (xxh64_intdigest(f"{entry}\0{agent}".encode()), entry, agent)
            for entry in entries
            for agent in agents
        )

    def fill(self, bound: int) -> None:
        """Assign pairs in hash order as long as their agent has fewer than `bound` entries."""
        remaining = []
        for pair in self._pairs:
            _, entry, agent = pair
            chosen = self.ids_by_entry[entry]
            if len(chosen) >= self.quota:
                continue
            if self._entries_by_agent[agent] >= bound:
                remaining.append(pair)
                continue
            chosen.append(agent)
            self._entries_by_agent[agent] += 1
        self._pairs = remaining
