"""Tracks the agents of an entry and which of them accept new work.

The platform's list, which may lag, provides the addresses to connect to and can exclude agents from
new work. The rest depends on the connection. An agent serves only while it is connected. Its id
(name and incarnation) comes from its first message, so a replacement at the same address is never
mistaken for the old agent.
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
"""Maximum number of remembered ids of agents that are gone."""


class MemberState(StrEnum):
    """States of the `membership` chart."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ListedAgent:
    """An agent in the platform's list."""

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
    """An agent that has connected at least once."""

    agent_id: str
    address: str
    state: MemberState
    announced_leaving: bool = False


class Membership:
    """The agents known to one entry, without I/O."""

    def __init__(self) -> None:
        self._chart = load_chart("membership")
        self._listed_by_address: dict[str, ListedAgent] = {}
        self._members_by_address: dict[str, _Member] = {}
        self._gone_ids: OrderedDict[str, None] = OrderedDict()

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses to stay connected to.

        An agent that is removed from the list keeps its open connection. The list can be wrong, and
        running answers must not be cut off because of it.
        """
        known = (
            member.address
            for member in self._members_by_address.values()
            if member.state in (MemberState.SERVING, MemberState.DRAINING)
        )
        return frozenset((*self._listed_by_address, *known))

    def state_of(self, agent_id: str) -> MemberState:
        """Return the state of an agent; an unknown agent is joining."""
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
        """Apply a newer list of agents."""
        self._listed_by_address = {each.address: each for each in listed}
        return self._reconcile(tuple(self._members_by_address.values()))

    def connected(self, address: str, agent_id: str) -> tuple[StateChange, ...]:
        """Handle a new connection with the agent's id from its first message."""
        changes: list[StateChange] = []
        present = self._members_by_address.get(address)
        if present is not None and present.agent_id != agent_id:
            # The VM was replaced and the new one has the same address. The streams of the old agent
            # are lost and must not be attached to the new agent.
            changes.append(self._remove(present, final=True))
        if agent_id in self._gone_ids:
            return tuple(changes)
        member = self._members_by_address.get(address)
        if member is None:
            member = _Member(agent_id, address, MemberState(self._chart.initial))
            self._members_by_address[address] = member
        changes.extend(self._fire(member, "connect"))
        return tuple(changes) + self._reconcile((member,))

    def disconnected(self, address: str) -> tuple[StateChange, ...]:
        """Handle the loss of the connection to an address."""
        member = self._members_by_address.get(address)
        if member is None:
            return ()
        return self._fire(member, "disconnect")

    def leaving_announced(self, agent_id: str) -> tuple[StateChange, ...]:
        """Handle an agent's announcement that it is leaving, which is final."""
        for member in self._members_by_address.values():
            if member.agent_id == agent_id:
                member.announced_leaving = True
                return self._reconcile((member,))
        return ()

    def _reconcile(self, members: tuple[_Member, ...]) -> tuple[StateChange, ...]:
        """Apply the transitions that follow from the list and the leaving announcements."""
        changes: list[StateChange] = []
        for member in members:
            listed = self._listed_by_address.get(member.address)
            leaves = member.announced_leaving or listed is None or listed.leaving
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
            return (self._remove(member, final=member.announced_leaving),)
        return (StateChange(member.agent_id, member.address, member.state),)

    def _remove(self, member: _Member, final: bool) -> StateChange:
        """Remove an agent.

        An agent that was only removed from the list may return with the same id, since an entry's
        subset of agents changes. With `final`, the agent announced that it is leaving or was
        replaced, and its id stays gone.
        """
        del self._members_by_address[member.address]
        if final:
            self._gone_ids[member.agent_id] = None
        if len(self._gone_ids) > GONE_LIMIT:
            self._gone_ids.popitem(last=False)
        return StateChange(member.agent_id, member.address, MemberState.GONE)
