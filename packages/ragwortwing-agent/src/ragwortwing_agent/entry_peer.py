"""Sends the messages and response chunks for one connected entry."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import logbook
import trio

from ragwortwing_wire.connection import ConnectionClosed
from ragwortwing_wire.messages import Chunks

if TYPE_CHECKING:
    from ragwortwing_wire.connection import Connection
    from ragwortwing_wire.messages import Chunk, Message

    from .agent_request import AgentRequest

log = logbook.Logger("entry_peer")

CHUNKS_FRAME_TARGET_BYTES = 1_048_576
"""Payload size at which a frame of chunks is sent and the next one begun."""


class EntryPeer:
    """Batches what the requests of an entry have ready, so that one frame carries many chunks."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self._messages: deque[Message] = deque()
        self._ready_by_id: dict[str, AgentRequest] = {}
        self._work_available = trio.Event()
        self._idle = trio.Event()

    @property
    def name(self) -> str:
        """Id of the entry: its name and incarnation."""
        return getattr(self.connection.peer, "entry_id", "")

    def post(self, message: Message) -> None:
        """Queue a message for sending."""
        self._messages.append(message)
        self._work_available.set()

    def notify(self, request: AgentRequest) -> None:
        """Mark a request as having data to send."""
        self._ready_by_id[request.request_id] = request
        self._work_available.set()

    async def wait_idle(self) -> None:
        """Wait until everything queued is flushed to the transport or the connection closes."""
        while self.connection.closed is None and (
            self._work_available.is_set() or self._ready_by_id
        ):
            await self._idle.wait()
        if self.connection.closed is None:
            await self.connection.flush()

    async def pump(self) -> None:
        """Send queued messages and chunks until the connection closes."""
        try:
            while True:
                await self._work_available.wait()
                # One step of an engine makes the readers of all its streams runnable in the same
                # pass of the event loop. Letting that pass finish batches their data into one frame
                # without a delay.
                await trio.lowlevel.checkpoint()
                self._work_available = trio.Event()
                await self._send_ready()
                if not self._work_available.is_set():
                    self._idle.set()
                    self._idle = trio.Event()
        except ConnectionClosed as error:
            log.info("Connection to entry closed", entry=self.name, reason=error.reason)
            self._idle.set()

    async def _send_ready(self) -> None:
        while self._messages:
            await self.connection.send(self._messages.popleft())
        ready = list(self._ready_by_id.values())
        self._ready_by_id.clear()
        await self._send_heads(ready)
        await self._send_chunks(ready)
        for request in ready:
            end = request.take_end() if request.peer is self else None
            if end is not None:
                await self.connection.send(end)

    async def _send_heads(self, ready: list[AgentRequest]) -> None:
        for request in ready:
            head = request.take_head() if request.peer is self else None
            if head is not None:
                await self.connection.send(head)

    async def _send_chunks(self, ready: list[AgentRequest]) -> None:
        chunks: list[Chunk] = []
        size = 0
        for request in ready:
            # A request that was meanwhile attached to another connection is sent there. Taking its
            # chunks here would lose them.
            for chunk in request.take_chunks() if request.peer is self else ():
                chunks.append(chunk)
                size += len(chunk.data)
                if size >= CHUNKS_FRAME_TARGET_BYTES:
                    await self.connection.send(Chunks(tuple(chunks)))
                    chunks, size = [], 0
        if chunks:
            await self.connection.send(Chunks(tuple(chunks)))
