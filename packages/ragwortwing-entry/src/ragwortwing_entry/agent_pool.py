"""The agents an entry is connected to, and what the router knows of them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

import trio
from ragwortwing_wire.messages import (
    ConfigurationRecords,
    ConfigurationRequest,
    EntryHello,
    Heartbeat,
)

from .agent_link import AgentLink, LinkSettings

if TYPE_CHECKING:
    from ragwortwing_platform.settings import ConnectionSettings
    from ragwortwing_platform.settings_reader import Address
    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_policy.routing import AgentView, Router


class ConfigurationSource(Protocol):
    """What the entry needs of the configuration in force."""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first was seen."""
        ...

    def records_from(self, offset: int) -> ConfigurationRecords:
        """Return the records from an offset on, for a peer that is behind."""
        ...

    def take_records(self, records: ConfigurationRecords) -> None:
        """Fold records that a peer sent."""
        ...

    def request_if_behind(self, peer_revision: int) -> ConfigurationRequest | None:
        """Return what to ask of a peer that is ahead."""
        ...


class AgentPool:
    """Keeps one link to each agent that the entry should know."""

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
        """Told to the agents with each heartbeat."""
        self._hello = EntryHello(entry_id, zone, revision=-1)
        self._connections = connections
        self._router = router
        self._source = source
        self._clock = clock
        self._links_by_address: dict[Address, AgentLink] = {}
        self._scopes_by_address: dict[Address, trio.CancelScope] = {}
        self._links_by_agent_id: dict[str, AgentLink] = {}

    @property
    def agents_by_id(self) -> Mapping[str, AgentView]:
        """The connected agents."""
        links = self._links_by_agent_id.items()
        return {agent_id: link.view for agent_id, link in links if link.view is not None}

    def link_of(self, agent_id: str) -> AgentLink | None:
        """Return the link to a connected agent."""
        return self._links_by_agent_id.get(agent_id)

    def set_agents(self, leaving_by_address: Mapping[Address, bool], nursery: trio.Nursery) -> None:
        """Keep links to exactly these agents.

        Args:
            leaving_by_address: Each agent's address and whether the list says that it leaves.
            nursery: Where links live.
        """
        for address in self._links_by_address.keys() - leaving_by_address.keys():
            self._drop(address)
        for address, leaving in leaving_by_address.items():
            link = self._links_by_address.get(address)
            if link is None:
                link = self._add(address, nursery)
            link.leaving = leaving

    def hello(self) -> EntryHello:
        """Return the first message of a connection."""
        return EntryHello(self._hello.entry_id, self._hello.zone, self._revision)

    def heartbeat(self, sequence: int) -> Heartbeat:
        """Return a heartbeat to an agent."""
        return Heartbeat(sequence, self._revision, leaving=self.draining)

    def link_changed(self, link: AgentLink, view: AgentView) -> None:
        """Take in an agent's newest state."""
        self._links_by_agent_id[view.agent_id] = link
        self._router.update(view, self._clock.monotonic())

    def link_lost(self, agent_id: str) -> None:
        """Choose an agent no more until it is connected again."""
        self._links_by_agent_id.pop(agent_id, None)
        self._router.remove(agent_id, self._clock.monotonic())

    def records_from(self, offset: int) -> ConfigurationRecords:
        """Return the configuration records from an offset on."""
        return self._source.records_from(offset)

    def take_records(self, records: ConfigurationRecords) -> None:
        """Fold configuration records of an agent."""
        self._source.take_records(records)

    def request_if_behind(self, peer_revision: int) -> ConfigurationRequest | None:
        """Return what to ask of an agent that is ahead."""
        return self._source.request_if_behind(peer_revision)

    @property
    def _revision(self) -> int:
        configuration = self._source.configuration
        return -1 if configuration is None else configuration.revision

    def _add(self, address: Address, nursery: trio.Nursery) -> AgentLink:
        settings = LinkSettings(self._hello, self._connections)
        link = AgentLink(address, self, settings, self._clock)
        scope = trio.CancelScope()
        self._links_by_address[address] = link
        self._scopes_by_address[address] = scope
        nursery.start_soon(_run_link, link, scope)
        return link

    def _drop(self, address: Address) -> None:
        del self._links_by_address[address]
        self._scopes_by_address.pop(address).cancel()


async def _run_link(link: AgentLink, scope: trio.CancelScope) -> None:
    with scope:
        await link.run()
