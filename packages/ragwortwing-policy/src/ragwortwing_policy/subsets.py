"""Which agents an entry connects to where there are too many to connect to all.

Every entry computes the whole assignment from the same two lists, so no entry asks another. The
agents are split into strata by zone and by what they serve. In each stratum the pairs of entry and
agent are taken in the order of a hash, while the agent still has fewer entries than its even share
and the entry fewer agents than its quota. As the order of two pairs never changes, an entry or an
agent that comes or goes moves few of the others' connections.
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
"""Agents an entry connects to where there are as many."""

REMEMBERED_STRATA = 512
"""Strata whose assignment is remembered; seven zones with 27 models have 189."""

COVERAGE = 3
"""Entries that should be connected to each agent."""


@dataclass(frozen=True, slots=True)
class SubsetAgent:
    """What the assignment needs to know of an agent."""

    agent_id: str
    zone: str
    targets: frozenset[str] = frozenset()
    """Models or services served; left empty by all entries where it is not published."""


def subset_size(entries: int, agents: int) -> int:
    """Return how many agents each entry should connect to.

    Example:
        >>> subset_size(entries=3, agents=9), subset_size(entries=48, agents=790)
        (9, 50)
    """
    return min(agents, max(MINIMUM_SIZE, ceil(COVERAGE * agents / max(1, entries))))


def subset(
    entry_id: str, entries: Sequence[str], agents: Sequence[SubsetAgent], size: int
) -> tuple[str, ...]:
    """Return the agents that an entry connects to, sorted.

    Args:
        entry_id: The entry that asks.
        entries: Live entries; the one that asks is counted even where the list lags behind.
        agents: Live agents.
        size: Agents wanted; exceeded only where a stratum would otherwise have none.
    """
    everyone = tuple(sorted({*entries, entry_id}))
    if size >= len(agents):
        return tuple(sorted(each.agent_id for each in agents))
    chosen: list[str] = []
    for agent_ids, quota in _quotas(agents, size):
        chosen.extend(_assigned_to(entry_id, everyone, tuple(agent_ids), quota))
    return tuple(sorted(chosen))


def _quotas(agents: Iterable[SubsetAgent], size: int) -> list[tuple[list[str], int]]:
    """Split the size over the strata in proportion, one at the least, by largest remainder."""
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


@lru_cache(maxsize=REMEMBERED_STRATA)
def _assigned_to(
    entry_id: str, entries: tuple[str, ...], agents: tuple[str, ...], quota: int
) -> tuple[str, ...]:
    """Return a stratum's agents of one entry.

    An agent that comes or goes changes one stratum of hundreds; remembering the others keeps the
    event loop, which relays tokens meanwhile, from standing still for all of them.
    """
    return tuple(_assign(entries, agents, quota)[entry_id])


def _assign(entries: Sequence[str], agents: Sequence[str], quota: int) -> Mapping[str, list[str]]:
    """Assign a stratum's agents to every entry."""
    assignment = _Assignment(entries, agents, min(quota, len(agents)))
    even_share = len(entries) * assignment.quota // len(agents)
    # First each agent its even share, then the rest; a last pass without a bound fills an entry
    # whose only agents below their share are those it already has.
    for bound in (even_share, even_share + 1, len(entries)):
        assignment.fill(bound)
    return assignment.ids_by_entry


class _Assignment:
    """Entries and agents of one stratum being matched."""

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
        """Take the pairs in order while the agent has fewer than `bound` entries."""
        left = []
        for pair in self._pairs:
            _, entry, agent = pair
            chosen = self.ids_by_entry[entry]
            if len(chosen) >= self.quota:
                continue
            if self._entries_by_agent[agent] >= bound:
                left.append(pair)
                continue
            chosen.append(agent)
            self._entries_by_agent[agent] += 1
        self._pairs = left
