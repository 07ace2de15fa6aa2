"""The agent application: accepts connections from entries and forwards their requests.

Entries are the processes that accept requests from callers. Every request to the backend server
passes through this agent, so that one scheduler limits the server's concurrency.
"""

from __future__ import annotations

import secrets
from datetime import timedelta
from typing import TYPE_CHECKING

import logbook
import trio

from ragwortwing_runtime.app import App, Phase
from ragwortwing_runtime.members import Member, MemberRole, MemberState
from ragwortwing_runtime.message_handlers import MessageHandlers, on
from ragwortwing_runtime.telemetry import Telemetry
from ragwortwing_wire.connection import (
    Connection,
    ConnectionClosed,
    ConnectionSettings,
    open_connection,
)
from ragwortwing_wire.messages import (
    AgentHello,
    ConfigurationRecords,
    ConfigurationRequest,
    EntryHello,
    Heartbeat,
)

from .entry_peer import EntryPeer
from .request_gate import RequestGate
from .status_server import StatusServer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.reservations import LoadReport
    from ragwortwing_runtime.configuration_feed import ConfigurationFeed
    from ragwortwing_runtime.members import MemberSource
    from ragwortwing_runtime.order_book import OrderBook
    from ragwortwing_runtime.settings import AgentSettings
    from ragwortwing_wire.messages import ConfigurationRecord

    from .backend_client import BackendClient
    from .engine_admin import EngineAdmin

log = logbook.Logger("agent")

TICK_SECONDS = 0.1
"""Interval at which the scheduler handles timeouts."""

SUSPENSION_THRESHOLD = timedelta(seconds=1)
"""Two ticks further apart than this mean that the process was suspended."""

LEAVE_TIMEOUT_SECONDS = 0.5
"""Seconds to deregister from the member list on exit; otherwise its record there expires."""

RECORDS_FRAME_TARGET_BYTES = 1_048_576
"""Payload size at which a frame of configuration records is sent and the next one begun."""


class AgentApp(App):
    """Owns the agent's connections, request gate, configuration and status server."""

    def __init__(
        self,
        settings: AgentSettings,
        backend: BackendClient,
        configuration_feed: ConfigurationFeed,
        members: MemberSource | None,
        orders: OrderBook | None,
        admin: EngineAdmin | None,
        agent_id: str,
        clock: Clock | None = None,
    ) -> None:
        """Create an agent.

        Args:
            settings: The process's settings.
            backend: Client of the backend server that this agent serves.
            configuration_feed: Provides the configuration in force.
            members: The member list of VMs, which this agent joins; None to run without it.
            orders: Claims the idempotency keys of orders; None for a model engine.
            admin: Sends a model engine its administrative orders; None for a plain service.
            agent_id: Name and incarnation, see `new_agent_id`.
            clock: The process's clock.
        """
        super().__init__(settings.name, settings.shutdown, clock)
        self.settings = settings
        self.agent_id = agent_id
        self.telemetry = Telemetry(
            "ragwortwing-agent", settings.name, settings.zone, settings.telemetry
        )
        self._configuration_feed = configuration_feed
        self._members = members
        self._orders = orders
        self._admin = admin
        self.gate = RequestGate(settings, backend, orders, self.telemetry, self.clock)
        self._status_server = StatusServer(self, settings.listen.http)
        self._peers: set[EntryPeer] = set()
        self._last_load: LoadReport | None = None
        self._drain_requested = False
        self._advertised = ""

    @property
    def is_ready(self) -> bool:
        """Whether the agent accepts new requests."""
        return self.phase is Phase.SERVING and self._configuration_feed.current is not None

    async def mount(self) -> Mapping[str, str]:
        """Start the background tasks and listen for entries and for HTTP.

        Returns:
            The addresses that the process listens on, by name.
        """
        self.nursery.start_soon(self.telemetry.send_spans)
        await self.nursery.start(self.gate.run)
        await self.nursery.start(self._configuration_feed.run)
        if self._orders is not None:
            await self.nursery.start(self._orders.run)
        if self._members is not None:
            await self.nursery.start(self._members.run)
        if self._admin is not None:
            self.nursery.start_soon(
                self._admin.run, self.agent_id, self.settings.zone, self.begin_drain
            )
        self.nursery.start_soon(self._follow_configuration)
        self.nursery.start_soon(self._tick)
        wire_address = await self._listen()
        self._advertised = str(self.settings.listen.advertised or wire_address)
        self._announce(MemberState.LIVE)
        http_address = await self.nursery.start(self._status_server.run)
        return {"wire": wire_address, "http": http_address}

    def begin_drain(self) -> None:
        """Start a graceful stop. Further calls have no effect."""
        if not self._drain_requested:
            self._drain_requested = True
            self.stop()

    async def drain(self) -> None:
        """Refuse queued requests, grant no more slots, and wait for running requests to end."""
        self._drain_requested = True
        # Entries whose connections no longer deliver data see the stop in the member list.
        self._announce(MemberState.LEAVING)
        self.gate.drain()
        for peer in self._peers:
            peer.connection.send_heartbeat()
        await self.gate.wait_finished()
        for peer in list(self._peers):
            await peer.wait_idle()

    def unfinished(self) -> tuple[str, ...]:
        """Return the ids of the requests in flight."""
        requests = self.gate.requests_by_id.values()
        return tuple(each.request_id for each in requests if each.is_unfinished)

    async def unmount(self) -> None:
        """Leave the member list, flush telemetry and stop the status server."""
        with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
            if self._members is not None:
                await self._members.leave()
        await self.telemetry.flush()
        await self._status_server.close()

    def status(self) -> dict[str, object]:
        """Return the current state as it is shown at `/status`."""
        load = self.gate.load()
        requests = self.gate.requests_by_id.values()
        return {
            "agent_id": self.agent_id,
            "phase": self.phase,
            "fencing_number": None if self._admin is None else self._admin.fencing_number,
            "zone": self.settings.zone,
            "backend": str(self.settings.backend.address),
            "targets": list(self.settings.backend.targets),
            "revision": self._configuration_feed.revision,
            "members_version": None if self._members is None else self._members.current.version,
            "entries": [peer.name for peer in self._peers],
            "running": load.running,
            "queued": load.queued,
            "limit": load.limit,
            "predicted_wait_ms": round(load.predicted_wait / timedelta(milliseconds=1), 3),
            "held_bytes": self.gate.held_bytes(),
            "requests": [
                {
                    "id": each.request_id,
                    "class": each.reserve.request_class,
                    "account": each.reserve.account,
                    "state": each.state,
                    "tokens": each.tokens,
                }
                for each in requests
            ],
        }

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self.telemetry.metrics_text()

    async def _listen(self) -> str:
        address = self.settings.listen.wire
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        host, port = listeners[0].socket.getsockname()[:2]
        self.nursery.start_soon(trio.serve_listeners, self._serve_entry, listeners)
        return f"{host}:{port}"

    async def _serve_entry(self, stream: trio.SocketStream) -> None:
        connections = self.settings.connections
        connection_settings = ConnectionSettings(
            connections.heartbeat_interval, connections.heartbeat_timeout
        )
        try:
            async with open_connection(
                stream, self.clock, self._hello(), connection_settings, self._heartbeat
            ) as connection:
                if isinstance(connection.peer, EntryHello):
                    await self._serve_peer(connection)
        except ConnectionClosed as error:
            log.warning("Connection refused", reason=error.reason)

    async def _serve_peer(self, connection: Connection) -> None:
        peer = EntryPeer(connection)
        session = EntrySession(self, peer)
        self._peers.add(peer)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peer.pump)
                session.send_initial_state()
                async for message in connection:
                    session.receive(message)
                nursery.cancel_scope.cancel()
        finally:
            log.info("Entry disconnected", entry=peer.name, reason=connection.closed)
            self._peers.discard(peer)
            self.gate.connection_lost(peer)

    def _hello(self) -> AgentHello:
        backend = self.settings.backend
        return AgentHello(
            agent_id=self.agent_id,
            zone=self.settings.zone,
            kind=backend.kind,
            targets=backend.targets,
            revision=self._configuration_feed.revision,
        )

    def _heartbeat(self, sequence: int) -> Heartbeat:
        leaving = self.phase is not Phase.SERVING
        return Heartbeat(sequence, self._configuration_feed.revision, self.gate.load(), leaving)

    async def _follow_configuration(self) -> None:
        configuration = await self._configuration_feed.ready()
        while True:
            self.gate.configure(configuration)
            log.info("Configuration in force", revision=configuration.revision)
            configuration = await self._configuration_feed.changed()

    def _announce(self, state: MemberState) -> None:
        if self._members is None:
            return
        member = Member(self.name, self._advertised, self.settings.zone, MemberRole.AGENT, state)
        self._members.announce(member)

    async def _tick(self) -> None:
        ticked_at = self.clock.monotonic()
        while True:
            await trio.sleep(TICK_SECONDS)
            now = self.clock.monotonic()
            if now - ticked_at > SUSPENSION_THRESHOLD.total_seconds():
                # Grants, claims and connections of this process may have expired while it was
                # suspended; each is checked against the clock before it is used.
                log.warning("The process stood still", seconds=round(now - ticked_at, 3))
            ticked_at = now
            self.gate.tick()
            self._send_changed_load()

    def _send_changed_load(self) -> None:
        load = self.gate.load()
        if load == self._last_load:
            return
        self._last_load = load
        for peer in self._peers:
            peer.connection.send_heartbeat()


class EntrySession(MessageHandlers):
    """Dispatches the messages of one entry.

    Messages about requests go to the request gate; messages about configuration are handled here.
    """

    def __init__(self, app: AgentApp, peer: EntryPeer) -> None:
        self._app = app
        self._peer = peer

    def send_initial_state(self) -> None:
        """Send the current load, and request configuration records that only the entry has."""
        peer_hello = self._peer.connection.peer
        assert peer_hello is not None
        self._peer.connection.send_heartbeat()
        self._catch_up(peer_hello.revision)

    def receive(self, message: object) -> None:
        """Handle one message."""
        if type(message) in self.handlers_by_type:
            self.handle(message)
        elif type(message) in self._app.gate.handlers_by_type:
            self._app.gate.handle(message, self._peer)
        else:
            log.warning("Unexpected message type", kind=type(message).__name__)

    @on(Heartbeat)
    def on_heartbeat(self, message: Heartbeat) -> None:
        """Request the missing records if the entry has a newer configuration."""
        self._catch_up(message.revision)

    @on(ConfigurationRequest)
    def on_configuration_request(self, message: ConfigurationRequest) -> None:
        """Send the requested records, split into frames."""
        batch: list[ConfigurationRecord] = []
        size = 0
        for record in self._app._configuration_feed.records_from(message.offset):
            batch.append(record)
            size += len(record.payload)
            if size >= RECORDS_FRAME_TARGET_BYTES:
                self._peer.post(ConfigurationRecords(tuple(batch)))
                batch, size = [], 0
        if batch:
            self._peer.post(ConfigurationRecords(tuple(batch)))

    @on(ConfigurationRecords)
    def on_configuration_records(self, message: ConfigurationRecords) -> None:
        """Apply records that this agent requested."""
        self._app._configuration_feed.apply_peer_records(message.records)

    def _catch_up(self, revision: int) -> None:
        configuration_feed = self._app._configuration_feed
        if revision > configuration_feed.revision:
            self._peer.post(ConfigurationRequest(configuration_feed.state.position))


def new_agent_id(name: str) -> str:
    """Return the name with a random suffix that tells a restarted process from its predecessor."""
    return f"{name}/{secrets.token_hex(4)}"
