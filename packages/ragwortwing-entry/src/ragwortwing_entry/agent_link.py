"""The connection of an entry to one agent: dialled, watched, dialled anew, its streams taken up."""

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
"""Time for a new connection; both ends are in one region."""


class DialFailure(Enum):
    """Why there is no new connection to an agent."""

    REFUSED = auto()
    """The VM answers and no process listens there."""
    UNREACHABLE = auto()


NO_LOAD = LoadReport(0, 0, 1, timedelta(0))


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Who dials, and how long it waits."""

    hello: EntryHello
    connections: ConnectionSettings


class AgentLink(MessageHandlers):
    """One agent, by its address."""

    def __init__(
        self, address: Address, pool: AgentPool, settings: LinkSettings, clock: Clock
    ) -> None:
        self.address = address
        self.listed = True
        """Whether the membership list names the agent."""
        self.dialled = False
        """Whether the first dial has ended, in a connection or not."""
        self.view: AgentView | None = None
        """What is known of the agent while it is connected."""
        self._pool = pool
        self._settings = settings
        self._clock = clock
        self._connection: Connection | None = None
        self._runs_by_id: dict[str, RequestRun] = {}
        self._agent_id = ""
        self._lost_at: Instant | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used now."""
        return self._connection is not None and self._connection.closed is None

    def remember(self, run: RequestRun) -> None:
        """Give the run what the agent says of it."""
        self._runs_by_id[run.request.request_id] = run

    def forget(self, request_id: str) -> None:
        """Give a run nothing more."""
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
        """Keep a connection to the agent until it is listed no more and its connection is lost."""
        while self.listed:
            stream = await self._dial()
            if not isinstance(stream, trio.SocketStream):
                self.dialled = True
                # A refused dial shows that the agent's process has ended, and with it all that it
                # kept; waiting for it would hold back an answer that is given up already.
                self._lose_runs(forced=stream is DialFailure.REFUSED)
                await trio.sleep(self._settings.connections.redial_interval.total_seconds())
                continue
            try:
                await self._use(stream)
            except ConnectionClosed as error:
                log.warning("Agent connection failed", address=self.address, reason=error.reason)
                self._lose_runs()
                await trio.sleep(self._settings.connections.redial_interval.total_seconds())
        self._lose_runs(forced=True)

    async def _dial(self) -> trio.SocketStream | DialFailure:
        # A dial that is refused or gets no answer shows that the VM itself is gone, and not only
        # the connection; a lost track between the two ends lets a new connection through.
        with trio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            try:
                return await trio.open_tcp_stream(self.address.host, self.address.port)
            except OSError as error:
                return _failure_of(error)
        return DialFailure.UNREACHABLE

    async def _use(self, stream: trio.SocketStream) -> None:
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
            self._lose_runs(forced=True)
        self._agent_id = hello.agent_id
        self._pool.agent_connected(self.address, hello.agent_id)
        self._lost_at = None
        self.view = AgentView(
            agent_id=hello.agent_id,
            zone=hello.zone,
            kind=hello.kind,
            targets=frozenset(hello.targets),
            leaving=not self._pool.takes_new_work(hello.agent_id),
            load=NO_LOAD,
        )
        self.dialled = True
        self._pool.link_changed(self, self.view)
        log.info("Agent connected", address=self.address, agent=hello.agent_id)
        for run in list(self._runs_by_id.values()):
            attach = run.attach_message(hello.agent_id)
            if attach is not None:
                await self.send(attach)
        await self._catch_up(hello.revision)

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
                self._lose(run)

    def _lose_runs(self, forced: bool = False) -> None:
        """Give up what the agent ran, once it is clear that it cannot be taken up again.

        An order is waited for as long as the agent keeps its answer, because losing the agent
        makes its outcome unknown; an answer of a model goes on elsewhere at once.
        """
        limit = self._settings.connections.reattach_limit.total_seconds()
        waited = self._clock.monotonic() - (self._lost_at or 0.0)
        for run in list(self._runs_by_id.values()):
            if forced or run.request.idempotent or waited >= limit:
                self._lose(run)

    def _lose(self, run: RequestRun) -> None:
        self._runs_by_id.pop(run.request.request_id, None)
        run.agent_lost(self._agent_id)

    @on(Chunks)
    def on_chunks(self, message: Chunks) -> None:
        """Give each piece to its run."""
        for chunk in message.chunks:
            run = self._runs_by_id.get(chunk.request_id)
            if run is not None:
                run.chunk_came(self._agent_id, chunk)

    @on(Granted)
    async def on_granted(self, message: Granted) -> None:
        """Give a grant to its run, or hand it back."""
        run = self._runs_by_id.get(message.request_id)
        if run is None:
            await self.send(Withdraw(message.request_id))
            return
        run.granted(self._agent_id, message)

    @on(Refused)
    def on_refused(self, message: Refused) -> None:
        """Give a refusal to its run."""
        run = self._runs_by_id.get(message.request_id)
        if run is not None:
            run.refused(self._agent_id, message)

    @on(ResponseHead)
    def on_response_head(self, message: ResponseHead) -> None:
        """Give the head of an answer to its run."""
        run = self._runs_by_id.get(message.request_id)
        if run is not None:
            run.head_came(self._agent_id, message)

    @on(End)
    def on_end(self, message: End) -> None:
        """Give the outcome of a run to it."""
        run = self._runs_by_id.get(message.request_id)
        if run is not None:
            run.ended(self._agent_id, message)

    @on(Detached)
    def on_detached(self, message: Detached) -> None:
        """Tell a run that its agent knows nothing of it."""
        run = self._runs_by_id.get(message.request_id)
        if run is not None:
            self._lose(run)

    @on(Heartbeat)
    async def on_heartbeat(self, message: Heartbeat) -> None:
        """Take in the agent's load and whether it leaves."""
        if self.view is None:
            return
        if message.leaving:
            self._pool.said_leaving(self.view.agent_id)
        self.view = AgentView(
            agent_id=self.view.agent_id,
            zone=self.view.zone,
            kind=self.view.kind,
            targets=self.view.targets,
            leaving=not self._pool.takes_new_work(self.view.agent_id),
            load=message.load or self.view.load,
        )
        self._pool.link_changed(self, self.view)
        await self._catch_up(message.revision)

    @on(ConfigurationRequest)
    async def on_configuration_request(self, message: ConfigurationRequest) -> None:
        """Send an agent the records it lacks."""
        await self.send(self._pool.records_from(message.offset))

    @on(ConfigurationRecords)
    def on_configuration_records(self, message: ConfigurationRecords) -> None:
        """Fold records that this entry asked for."""
        self._pool.take_records(message)

    async def _catch_up(self, peer_revision: int) -> None:
        request = self._pool.request_if_behind(peer_revision)
        if request is not None:
            await self.send(request)


def _failure_of(error: OSError) -> DialFailure:
    """Return what a failed dial says of the agent; trio wraps the attempts' own errors."""
    attempts = error.__cause__
    errors = attempts.exceptions if isinstance(attempts, BaseExceptionGroup) else (error,)
    if all(isinstance(each, ConnectionRefusedError) for each in errors):
        return DialFailure.REFUSED
    return DialFailure.UNREACHABLE
