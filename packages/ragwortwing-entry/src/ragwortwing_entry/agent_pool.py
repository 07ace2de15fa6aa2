"""Manages the connections of an entry to its agents and keeps the router up to date."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

import trio

from ragwortwing_policy.membership import ListedAgent, Membership, StateChange
from ragwortwing_policy.membership import MemberState as MembershipState
from ragwortwing_policy.subsets import SubsetAgent, subset, subset_size
from ragwortwing_runtime.members import MemberRole, MemberState
from ragwortwing_runtime.settings_reader import parse_address
from ragwortwing_wire.messages import (
    ConfigurationRecords,
    ConfigurationRequest,
    EntryHello,
    Heartbeat,
)

from .agent_link import AgentLink, LinkSettings

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_policy.configuration_log import ConfigurationLogState
    from ragwortwing_policy.routing import AgentView, Router
    from ragwortwing_runtime.members import Members, MemberSource
    from ragwortwing_runtime.settings import ConnectionSettings
    from ragwortwing_runtime.settings_reader import Address
    from ragwortwing_wire.messages import ConfigurationRecord


class ConfigurationSource(Protocol):
    """The part of the configuration feed that the entry uses."""

    @property
    def current(self) -> Configuration | None:
        """The active configuration; None until the first one has arrived."""
        ...

    @property
    def state(self) -> ConfigurationLogState:
        """State folded from the configuration records so far."""
        ...

    def records_from(self, offset: int) -> tuple[ConfigurationRecord, ...]:
        """Return the records from an offset on, to bring a peer up to date."""
        ...

    def apply_peer_records(self, records: Iterable[ConfigurationRecord]) -> bool:
        """Apply records that a peer sent."""
        ...

    async def run(self, *, task_status: trio.TaskStatus[None] = ...) -> None:
        """Follow the configuration stream; reports started after the first read."""
        ...


class AgentPool:
    """Keeps one link to each agent of the entry's subset."""

    def __init__(
        self,
        entry_id: str,
        zone: str,
        connections: ConnectionSettings,
        router: Router,
        source: ConfigurationSource,
        clock: Clock,
    ) -> None:
        self.draining = False
        """Whether the entry is shutting down; each heartbeat reports it to the agents."""
        self._name = entry_id.partition("/")[0]
        self._hello = EntryHello(entry_id, zone, revision=-1)
        self._connections = connections
        self._router = router
        self._source = source
        self._clock = clock
        self._initial_dials_finished = False
        self._links_by_address: dict[Address, AgentLink] = {}
        self._links_by_agent_id: dict[str, AgentLink] = {}
        self._membership = Membership()

    @property
    def agents_by_id(self) -> Mapping[str, AgentView]:
        """State of each connected agent."""
        links = self._links_by_agent_id.items()
        return {agent_id: link.view for agent_id, link in links if link.view is not None}

    def get_link(self, agent_id: str) -> AgentLink | None:
        """Return the link to an agent, or None if it is not connected."""
        return self._links_by_agent_id.get(agent_id)

    def set_agents(self, leaving_by_address: Mapping[Address, bool], nursery: trio.Nursery) -> None:
        """Open and retire links so that they match the listed agents.

        Args:
            leaving_by_address: Each agent's address and whether it is listed as leaving.
            nursery: Nursery that runs the links.
        """
        for address in self._links_by_address.keys() - leaving_by_address.keys():
            # The list lags and can be wrong, so a link stays up until its connection is lost.
            # Otherwise a stale list would cut off answers in progress.
            self._links_by_address[address].listed = False
        for address in leaving_by_address:
            link = self._links_by_address.get(address)
            if link is None:
                link = self._add(address, nursery)
            link.listed = True
        self._apply_state_changes(
            self._membership.set_list(
                ListedAgent(str(address), str(address), leaving)
                for address, leaving in leaving_by_address.items()
            )
        )

    def hello(self) -> EntryHello:
        """Return the first message to send on a connection."""
        return EntryHello(self._hello.entry_id, self._hello.zone, self._revision)

    def heartbeat(self, sequence: int) -> Heartbeat:
        """Return the heartbeat to send to an agent."""
        return Heartbeat(sequence, self._revision, leaving=self.draining)

    def link_changed(self, link: AgentLink, view: AgentView) -> None:
        """Update the state of a connected agent."""
        self._links_by_agent_id[view.agent_id] = link
        self._router.update(view, self._clock.monotonic())

    def link_lost(self, view: AgentView) -> None:
        """Stop routing to an agent until it is connected again."""
        self._links_by_agent_id.pop(view.agent_id, None)
        self._router.update(replace(view, connected=False), self._clock.monotonic())

    def agent_connected(self, address: Address, agent_id: str) -> None:
        """Record which agent answered at an address."""
        self._apply_state_changes(self._membership.connected(str(address), agent_id))

    def agent_disconnected(self, address: Address) -> None:
        """Record that the connection to an address was lost."""
        self._apply_state_changes(self._membership.disconnected(str(address)))

    def agent_reported_leaving(self, agent_id: str) -> None:
        """Record that an agent itself reports that it is leaving."""
        self._apply_state_changes(self._membership.leaving_announced(agent_id))

    def takes_new_work(self, agent_id: str) -> bool:
        """Return whether an agent accepts new requests."""
        return self._membership.takes_new_work(agent_id)

    def _apply_state_changes(self, changes: Iterable[StateChange]) -> None:
        """Update the router at once instead of with the agent's next heartbeat."""
        for change in changes:
            link = self._links_by_agent_id.get(change.agent_id)
            if link is not None and link.view is not None:
                takes_work = change.state is MembershipState.SERVING
                link.view = replace(link.view, leaving=not takes_work)
                self._router.update(link.view, self._clock.monotonic())
            elif change.state is MembershipState.GONE:
                self._router.remove(change.agent_id, self._clock.monotonic())

    def records_from(self, offset: int) -> ConfigurationRecords:
        """Return the configuration records from an offset on."""
        return ConfigurationRecords(self._source.records_from(offset))

    def apply_records(self, message: ConfigurationRecords) -> None:
        """Apply configuration records that an agent sent."""
        self._source.apply_peer_records(message.records)

    def request_if_behind(self, peer_revision: int) -> ConfigurationRequest | None:
        """Return a request for missing records, or None if the agent has no newer revision."""
        if peer_revision <= self._revision:
            return None
        return ConfigurationRequest(self._source.state.position)

    @property
    def initial_dials_finished(self) -> bool:
        """Whether the first connection attempt to every initial agent has finished.

        Once true, it stays true when agents are added later.
        """
        if not self._initial_dials_finished:
            links = self._links_by_address.values()
            self._initial_dials_finished = all(link.first_dial_finished for link in links)
        return self._initial_dials_finished

    async def follow_members(
        self,
        source: MemberSource,
        nursery: trio.Nursery,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep links to the agents of this entry's subset as the membership list changes."""
        members = source.current
        self.set_agents(self._select_subset(members), nursery)
        task_status.started()
        while True:
            members = await source.changed()
            self.set_agents(self._select_subset(members), nursery)

    def _select_subset(self, members: Members) -> dict[Address, bool]:
        agents = {each.name: each for each in members.with_role(MemberRole.AGENT)}
        entries = [each.name for each in members.with_role(MemberRole.ENTRY)]
        known = [SubsetAgent(each.name, each.zone) for each in agents.values()]
        size = subset_size(len(entries), len(known))
        chosen = subset(self._name, entries, known, size)
        leaving_by_address: dict[Address, bool] = {}
        for name in chosen:
            address = parse_address(agents[name].address)
            if address is not None:
                leaving_by_address[address] = agents[name].state is MemberState.LEAVING
        return leaving_by_address

    @property
    def _revision(self) -> int:
        configuration = self._source.current
        return -1 if configuration is None else configuration.revision

    def _add(self, address: Address, nursery: trio.Nursery) -> AgentLink:
        settings = LinkSettings(self._hello, self._connections)
        link = AgentLink(address, self, settings, self._clock)
        self._links_by_address[address] = link
        nursery.start_soon(self._run_link, link)
        return link

    async def _run_link(self, link: AgentLink) -> None:
        await link.run()
        if self._links_by_address.get(link.address) is link:
            del self._links_by_address[link.address]
