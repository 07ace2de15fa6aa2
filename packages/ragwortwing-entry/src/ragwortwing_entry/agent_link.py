"""The connection of an entry to one agent.

The link reconnects after a failure and reattaches the answers that were streaming.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING

import logbook
import trio

from ragwortwing_policy.reservations import LoadReport
from ragwortwing_policy.routing import AgentView
from ragwortwing_runtime.message_handlers import MessageHandlers, on
from ragwortwing_runtime.settings import ConnectionSettings
from ragwortwing_wire.connection import Connection, ConnectionClosed, open_connection
from ragwortwing_wire.connection import ConnectionSettings as WireSettings
from ragwortwing_wire.messages import (
    AgentHello,
    Chunks,
    ConfigurationRecords,
    ConfigurationRequest,
    Detached,
    End,
    EntryHello,
    Granted,
    Heartbeat,
    Refused,
    ResponseHead,
    Withdraw,
)

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_runtime.settings_reader import Address
    from ragwortwing_wire.messages import Message

    from .agent_pool import AgentPool
    from .request_run import RequestRun

log = logbook.Logger("agent_link")

CONNECT_TIMEOUT = timedelta(seconds=1)
"""Timeout of a connection attempt; both ends are in the same region."""


class DialFailure(Enum):
    """Why a connection attempt to an agent failed."""

    REFUSED = auto()
    """The VM responds, but no process listens on the port."""
    UNREACHABLE = auto()
    """The VM does not respond within the timeout, or the attempt fails in another way."""


INITIAL_LOAD = LoadReport(0, 0, 1, timedelta(0))
"""Load assumed for an agent until its first heartbeat reports one."""


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Identity of the connecting entry and its connection settings."""

    hello: EntryHello
    connections: ConnectionSettings


class AgentLink(MessageHandlers):
    """Maintains the connection to the agent at one address and dispatches its messages to runs."""

    def __init__(
        self, address: Address, pool: AgentPool, settings: LinkSettings, clock: Clock
    ) -> None:
        self.address = address
        self.listed = True
        """Whether the membership list contains the agent."""
        self.first_dial_finished = False
        """Whether the first connection attempt has finished, successfully or not."""
        self.view: AgentView | None = None
        """State of the agent for the router; None while it is not connected."""
        self._pool = pool
        self._settings = settings
        self._clock = clock
        self._connection: Connection | None = None
        self._runs_by_id: dict[str, RequestRun] = {}
        self._agent_id = ""
        self._lost_at: Instant | None = None

    @property
    def is_open(self) -> bool:
        """Whether there is an open connection."""
        return self._connection is not None and self._connection.closed is None

    def add_run(self, run: RequestRun) -> None:
        """Forward the agent's messages about a run to that run."""
        self._runs_by_id[run.request.request_id] = run

    def remove_run(self, request_id: str) -> None:
        """Stop forwarding messages to a run."""
        self._runs_by_id.pop(request_id, None)

    async def send(self, message: Message) -> None:
        """Send a message.

        Raises:
            ConnectionClosed: There is no open connection.
        """
        if self._connection is None:
            raise ConnectionClosed(None)  # type: ignore[arg-type]
        await self._connection.send(message)

    async def run(self) -> None:
        """Keep a connection open until the agent is no longer listed and its connection is lost."""
        while self.listed:
            stream = await self._dial()
            if not isinstance(stream, trio.SocketStream):
                self.first_dial_finished = True
                # A refused connection means that the agent's process has ended and its state is
                # lost. Waiting for it would only delay requests that can no longer be reattached.
                self._abandon_runs(forced=stream is DialFailure.REFUSED)
                await trio.sleep(self._settings.connections.redial_interval.total_seconds())
                continue
            try:
                await self._serve_connection(stream)
            except ConnectionClosed as error:
                log.warning("Agent connection failed", address=self.address, reason=error.reason)
                self._abandon_runs()
                await trio.sleep(self._settings.connections.redial_interval.total_seconds())
        self._abandon_runs(forced=True)

    async def _dial(self) -> trio.SocketStream | DialFailure:
        # A refused or unanswered attempt means that the process or its VM is gone, and not only the
        # connection. If just the old connection was lost, a new one succeeds.
        with trio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            try:
                return await trio.open_tcp_stream(self.address.host, self.address.port)
            except OSError as error:
                return _classify_dial_error(error)
        return DialFailure.UNREACHABLE

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connections = self._settings.connections
        wire_settings = WireSettings(
            heartbeat_interval=connections.heartbeat_interval,
            silence_timeout=connections.heartbeat_timeout,
        )
        hello = self._pool.hello()
        async with open_connection(
            stream, self._clock, hello, wire_settings, self._pool.heartbeat
        ) as connection:
            assert isinstance(connection.peer, AgentHello)
            self._connection = connection
            try:
                await self._connected(connection.peer)
                async for message in connection:
                    pending = self.handle(message)
                    if pending is not None:
                        await pending
            finally:
                self._disconnected(connection)

    async def _connected(self, hello: AgentHello) -> None:
        if hello.agent_id != self._agent_id:
            self._abandon_runs(forced=True)
        self._agent_id = hello.agent_id
        self._pool.agent_connected(self.address, hello.agent_id)
        self._lost_at = None
        self.view = AgentView(
            agent_id=hello.agent_id,
            zone=hello.zone,
            kind=hello.kind,
            targets=frozenset(hello.targets),
            leaving=not self._pool.takes_new_work(hello.agent_id),
            load=INITIAL_LOAD,
        )
        self.first_dial_finished = True
        self._pool.link_changed(self, self.view)
        log.info("Agent connected", address=self.address, agent=hello.agent_id)
        for run in list(self._runs_by_id.values()):
            attach = run.attach_message(hello.agent_id)
            if attach is not None:
                await self.send(attach)
        await self._request_missing_records(hello.revision)

    def _disconnected(self, connection: Connection) -> None:
        log.info("Agent disconnected", address=self.address, reason=connection.closed)
        self._connection = None
        if self.view is None:
            return
        self._lost_at = self._clock.monotonic()
        self._pool.link_lost(self.view)
        self.view = None
        self._pool.agent_disconnected(self.address)
        for run in list(self._runs_by_id.values()):
            if run.attach_message(self._agent_id) is None:
                self._abandon(run)

    def _abandon_runs(self, forced: bool = False) -> None:
        """Report the agent as lost to its runs, unless they may still reattach.

        A request that is not idempotent, such as an order, waits as long as the agent keeps its
        answer, because losing the agent makes its outcome unknown. An idempotent request continues
        on another agent at once.

        Args:
            forced: Whether to abandon all runs, including those that could still reattach.
        """
        limit = self._settings.connections.reattach_limit.total_seconds()
        waited = self._clock.monotonic() - (self._lost_at or 0.0)
        for run in list(self._runs_by_id.values()):
            if forced or run.request.idempotent or waited >= limit:
                self._abandon(run)

    def _abandon(self, run: RequestRun) -> None:
        self._runs_by_id.pop(run.request.request_id, None)
        run.agent_lost(self._agent_id)

    @on(Chunks)
    def on_chunks(self, message: Chunks) -> None:
        """Forward each chunk to its run."""
        for chunk in message.chunks:
            run = self._runs_by_id.get(chunk.request_id)
            if run is not None:
                run.chunk_received(self._agent_id, chunk)

    @on(Granted)
    async def on_granted(self, message: Granted) -> None:
        """Forward a grant to its run, or withdraw it if the run no longer needs it."""
        run = self._runs_by_id.get(message.request_id)
        if run is None:
            await self.send(Withdraw(message.request_id))
            return
        run.granted(self._agent_id, message)

    @on(Refused)
    def on_refused(self, message: Refused) -> None:
        """Forward a refusal to its run."""
        run = self._runs_by_id.get(message.request_id)
        if run is not None:
            run.refused(self._agent_id, message)

    @on(ResponseHead)
    def on_response_head(self, message: ResponseHead) -> None:
        """Forward the head of a response to its run."""
        run = self._runs_by_id.get(message.request_id)
        if run is not None:
            run.head_received(self._agent_id, message)

    @on(End)
    def on_end(self, message: End) -> None:
        """Forward the outcome to its run."""
        run = self._runs_by_id.get(message.request_id)
        if run is not None:
            run.ended(self._agent_id, message)

    @on(Detached)
    def on_detached(self, message: Detached) -> None:
        """Report the agent as lost to a run that the agent does not know."""
        run = self._runs_by_id.get(message.request_id)
        if run is not None:
            self._abandon(run)

    @on(Heartbeat)
    async def on_heartbeat(self, message: Heartbeat) -> None:
        """Update the agent's load and whether it is leaving."""
        if self.view is None:
            return
        if message.leaving:
            self._pool.agent_reported_leaving(self.view.agent_id)
        self.view = AgentView(
            agent_id=self.view.agent_id,
            zone=self.view.zone,
            kind=self.view.kind,
            targets=self.view.targets,
            leaving=not self._pool.takes_new_work(self.view.agent_id),
            load=message.load or self.view.load,
        )
        self._pool.link_changed(self, self.view)
        await self._request_missing_records(message.revision)

    @on(ConfigurationRequest)
    async def on_configuration_request(self, message: ConfigurationRequest) -> None:
        """Send an agent the configuration records that it is missing."""
        await self.send(self._pool.records_from(message.offset))

    @on(ConfigurationRecords)
    def on_configuration_records(self, message: ConfigurationRecords) -> None:
        """Apply configuration records that this entry requested."""
        self._pool.apply_records(message)

    async def _request_missing_records(self, peer_revision: int) -> None:
        request = self._pool.request_if_behind(peer_revision)
        if request is not None:
            await self.send(request)


def _classify_dial_error(error: OSError) -> DialFailure:
    """Classify a failed connection attempt.

    Trio tries every resolved address and puts their errors into an exception group.
    """
    attempts = error.__cause__
    errors = attempts.exceptions if isinstance(attempts, BaseExceptionGroup) else (error,)
    if all(isinstance(each, ConnectionRefusedError) for each in errors):
        return DialFailure.REFUSED
    return DialFailure.UNREACHABLE
