"""Which agents an entry should know, and which of them take new work.

The platform's list lags: it says which addresses to dial and takes new work away. The connection
decides the rest: an agent serves only while it is connected, and its id (name and incarnation)
comes from its first message, so a replaced agent at the same address is never taken for the old
one.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .chart import load_chart

if TYPE_CHECKING:
    from collections.abc import Iterable

GONE_LIMIT = 1000
"""Most ids of agents that are gone which are remembered."""


class MemberState(StrEnum):
    """States of the chart `membership`."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ListedAgent:
    """An agent as the platform's list names it."""

    name: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class StateChange:
    """An agent's new state."""

    agent_id: str
    address: str
    state: MemberState


@dataclass(slots=True)
class _Member:
    """An agent that was connected."""

    agent_id: str
    address: str
    state: MemberState
    leaves_by_own_word: bool = False


class Membership:
    """The agents that one entry knows; it does no input or output."""

    def __init__(self) -> None:
        self._chart = load_chart("membership")
        self._listed_by_address: dict[str, ListedAgent] = {}
        self._members_by_address: dict[str, _Member] = {}
        self._gone_ids: OrderedDict[str, None] = OrderedDict()

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses to keep a connection to.

        An agent that left the list keeps its connection until that ends: the list can be wrong,
        and an answer that still comes is not cut for it.
        """
        known = (
            member.address
            for member in self._members_by_address.values()
            if member.state in (MemberState.SERVING, MemberState.DRAINING)
        )
        return frozenset((*self._listed_by_address, *known))

    def state_of(self, agent_id: str) -> MemberState:
        """Return the state of an agent; one that is not known is joining."""
        if agent_id in self._gone_ids:
            return MemberState.GONE
        for member in self._members_by_address.values():
            if member.agent_id == agent_id:
                return member.state
        return MemberState(self._chart.initial)

    def takes_new_work(self, agent_id: str) -> bool:
        """Return whether an agent may be asked for a slot."""
        return self.state_of(agent_id) is MemberState.SERVING

    def set_list(self, listed: Iterable[ListedAgent]) -> tuple[StateChange, ...]:
        """Take in a newer list."""
        self._listed_by_address = {each.address: each for each in listed}
        return self._review(tuple(self._members_by_address.values()))

    def connected(self, address: str, agent_id: str) -> tuple[StateChange, ...]:
        """Take in which agent answered at an address."""
        changes: list[StateChange] = []
        present = self._members_by_address.get(address)
        if present is not None and present.agent_id != agent_id:
            # The VM was replaced and its successor got the same address. What ran at the old one
            # is lost; shown as the same agent, its streams would be attached to a stranger.
            changes.append(self._bury(present, final=True))
        if agent_id in self._gone_ids:
            return tuple(changes)
        member = self._members_by_address.get(address)
        if member is None:
            member = _Member(agent_id, address, MemberState(self._chart.initial))
            self._members_by_address[address] = member
        changes.extend(self._fire(member, "connect"))
        return tuple(changes) + self._review((member,))

    def disconnected(self, address: str) -> tuple[StateChange, ...]:
        """Take in that the connection to an address was lost."""
        member = self._members_by_address.get(address)
        if member is None:
            return ()
        return self._fire(member, "disconnect")

    def said_leaving(self, agent_id: str) -> tuple[StateChange, ...]:
        """Take in an agent's own word that it leaves; it is not taken back."""
        for member in self._members_by_address.values():
            if member.agent_id == agent_id:
                member.leaves_by_own_word = True
                return self._review((member,))
        return ()

    def _review(self, members: tuple[_Member, ...]) -> tuple[StateChange, ...]:
        """Fire what the words on leaving ask for."""
        changes: list[StateChange] = []
        for member in members:
            listed = self._listed_by_address.get(member.address)
            leaves = member.leaves_by_own_word or listed is None or listed.leaving
            if leaves and member.state is MemberState.SERVING:
                changes.extend(self._fire(member, "leave"))
            elif not leaves and member.state is MemberState.DRAINING:
                changes.extend(self._fire(member, "relist"))
            elif listed is None and member.state is MemberState.JOINING:
                changes.extend(self._fire(member, "remove"))
        return tuple(changes)

    def _fire(self, member: _Member, trigger: str) -> tuple[StateChange, ...]:
        if not self._chart.allows(member.state, trigger):
            return ()
        member.state = MemberState(self._chart.next(member.state, trigger))
        if member.state is MemberState.GONE:
            return (self._bury(member, final=member.leaves_by_own_word),)
        return (StateChange(member.agent_id, member.address, member.state),)

    def _bury(self, member: _Member, final: bool) -> StateChange:
        """Forget an agent.

        One that was only taken off the list may come back with its id, since an entry's share of
        the agents changes; one that said that it leaves, or was replaced, does not.
        """
        del self._members_by_address[member.address]
        if final:
            self._gone_ids[member.agent_id] = None
        if len(self._gone_ids) > GONE_LIMIT:
            self._gone_ids.popitem(last=False)
        return StateChange(member.agent_id, member.address, MemberState.GONE)
