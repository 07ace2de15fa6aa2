"""The agent's side of one connection to an entry."""

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

FRAME_BYTES = 1_048_576
"""Bytes of pieces that go in one frame."""


class EntryPeer:
    """Sends an entry what its requests have ready, all of one pass of the loop in one frame."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self._messages: deque[Message] = deque()
        self._ready_by_id: dict[str, AgentRequest] = {}
        self._work = trio.Event()
        self._idle = trio.Event()

    @property
    def name(self) -> str:
        """Name and incarnation of the entry."""
        return getattr(self.connection.peer, "entry_id", "")

    def post(self, message: Message) -> None:
        """Send a message as soon as possible."""
        self._messages.append(message)
        self._work.set()

    def notify(self, request: AgentRequest) -> None:
        """Look at what a request has ready."""
        self._ready_by_id[request.request_id] = request
        self._work.set()

    async def wait_idle(self) -> None:
        """Wait until everything posted has been given to the transport."""
        while self.connection.closed is None and (self._work.is_set() or self._ready_by_id):
            await self._idle.wait()
        if self.connection.closed is None:
            await self.connection.flush()

    async def pump(self) -> None:
        """Send until the connection closes."""
        try:
            while True:
                await self._work.wait()
                # An engine's step makes the readers of all its streams runnable in one pass of the
                # loop; letting that pass end puts what they read into one frame, with no delay.
                await trio.lowlevel.checkpoint()
                self._work = trio.Event()
                await self._send_ready()
                if not self._work.is_set():
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
            # A request that was attached to another connection meanwhile is sent there, and taking
            # its pieces here would lose them.
            for chunk in request.take_chunks() if request.peer is self else ():
                chunks.append(chunk)
                size += len(chunk.data)
                if size >= FRAME_BYTES:
                    await self.connection.send(Chunks(tuple(chunks)))
                    chunks, size = [], 0
        if chunks:
            await self.connection.send(Chunks(tuple(chunks)))
