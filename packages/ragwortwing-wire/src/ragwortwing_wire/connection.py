"""One long-lived connection between entry and agent, shared by all requests between the two."""

from __future__ import annotations

from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

import trio

from .codec import MalformedFrame, decode, encode
from .framing import FrameBuffer, with_length
from .messages import PROTOCOL_VERSION, AgentHello, EntryHello, Heartbeat

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from ragwortwing_policy.clock import Clock

    from .messages import Message

READ_SIZE = 65_536

PAUSE_FACTOR = 2
"""A heartbeat later than this many intervals shows that this process itself stood still."""

Hello = EntryHello | AgentHello


class CloseReason(StrEnum):
    """Why a connection is no longer usable."""

    SILENT = "silent"
    """Nothing came, or nothing could be written, for the silence timeout."""
    RESET = "reset"
    """The transport broke."""
    ENDED = "ended"
    """The peer closed in good order."""
    VERSION = "version"
    """The peer speaks another version of the protocol."""
    MALFORMED = "malformed"
    """The peer sent bytes that are no message."""
    LOCAL = "local"
    """This side closed it."""


class ConnectionClosed(Exception):  # noqa: N818
    """The connection cannot be used any more."""

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Intervals and bounds of a connection."""

    heartbeat_interval: timedelta = timedelta(milliseconds=500)
    silence_timeout: timedelta = timedelta(seconds=2)
    outgoing_limit: int = 1024 * 1024
    """Bytes that may wait to be written; `send` waits above it."""


DEFAULT_SETTINGS = ConnectionSettings()


def plain_heartbeat(sequence: int) -> Heartbeat:
    """Return a heartbeat that tells nothing but life."""
    return Heartbeat(sequence, revision=-1)


class Connection:
    """Messages over a trio stream; made by `open_connection`.

    `async for message in connection` gives the peer's messages, heartbeats included, and ends when
    the connection closes for any reason; `closed` then tells why. Only one task may iterate.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        clock: Clock,
        settings: ConnectionSettings,
        heartbeat: Callable[[int], Heartbeat],
    ) -> None:
        self.peer: Hello | None = None
        """The peer's first message; set before the connection is handed out."""
        self.closed: CloseReason | None = None
        """Why the connection closed; None while it is open."""
        self._stream = stream
        self._clock = clock
        self._settings = settings
        self._heartbeat = heartbeat
        self._heartbeats_sent = 0
        self._incoming = FrameBuffer()
        self._outgoing: deque[bytes] = deque()
        self._outgoing_bytes = 0
        self._writing_since: float | None = None
        self._reading_since: float | None = None
        self._work = trio.Event()
        self._progress = trio.Event()

    async def send(self, message: Message) -> None:
        """Queue a message, waiting while too many bytes are queued.

        It does not yield where there is room, so that what one task sends goes out in one write.

        Raises:
            ConnectionClosed: The connection is closed; whether earlier messages arrived is unknown.
            FrameTooLargeError: The message does not fit a frame.
        """
        frame = with_length(encode(message))
        # A peer that stops reading would let the queue grow without bound; here its senders wait.
        while self.closed is None and self._outgoing_bytes >= self._settings.outgoing_limit:
            await self._progress.wait()
        self._check_open()
        self._enqueue(frame)

    async def flush(self) -> None:
        """Wait until everything queued was given to the transport.

        Raises:
            ConnectionClosed: The connection closed first.
        """
        while self.closed is None and (self._outgoing or self._writing_since is not None):
            await self._progress.wait()
        self._check_open()

    def beat(self) -> None:
        """Send a heartbeat at once, to tell the peer of a changed load or of leaving."""
        if self.closed is not None:
            return
        frame = with_length(encode(self._heartbeat(self._heartbeats_sent)))
        self._heartbeats_sent += 1
        self._enqueue(frame, first=True)

    async def close(self, reason: CloseReason = CloseReason.LOCAL) -> None:
        """Close the connection without waiting for what is queued."""
        if self.closed is None:
            self.closed = reason
        self._outgoing.clear()
        self._outgoing_bytes = 0
        self._work.set()
        self._announce_progress()
        await trio.aclose_forcefully(self._stream)

    def __aiter__(self) -> Connection:
        return self

    async def __anext__(self) -> Message:
        message = await self._receive()
        if message is None:
            raise StopAsyncIteration
        return message

    async def shake_hands(self, hello: Hello) -> None:
        """Exchange hellos, each side sending its own without waiting for the other's."""
        timeout = self._settings.silence_timeout.total_seconds()
        with trio.move_on_after(timeout):
            try:
                await self._stream.send_all(with_length(encode(hello)))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self._fail(CloseReason.RESET)
            first = await self._receive()
            if first is None:
                raise ConnectionClosed(self.closed or CloseReason.RESET)
            if not isinstance(first, Hello):
                await self._fail(CloseReason.MALFORMED)
            elif first.version != PROTOCOL_VERSION:
                await self._fail(CloseReason.VERSION)
            else:
                self.peer = first
                return
        await self._fail(CloseReason.SILENT)

    async def write_frames(self) -> None:
        """Write what is queued, all of it in one write, until the connection closes."""
        while self.closed is None:
            await self._work.wait()
            self._work = trio.Event()
            data = b"".join(self._outgoing)
            self._outgoing.clear()
            if not data:
                continue
            self._writing_since = self._clock.monotonic()
            try:
                await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self.close(CloseReason.RESET)
                return
            self._writing_since = None
            self._outgoing_bytes -= len(data)
            self._announce_progress()

    async def watch(self) -> None:
        """Send heartbeats, and close the connection when it has gone silent."""
        interval = self._settings.heartbeat_interval.total_seconds()
        woken_at = self._clock.monotonic()
        while self.closed is None:
            await trio.sleep(interval)
            now = self._clock.monotonic()
            # A process that was paused finds both timers long past although the peer's bytes wait
            # in the socket; a late wake-up shows it, and the timers start anew.
            if now - woken_at > interval * PAUSE_FACTOR:
                self._restart_timers(now)
            woken_at = now
            if self._is_silent(now):
                await self.close(CloseReason.SILENT)
                return
            if self._writing_since is None:
                self.beat()

    async def _receive(self) -> Message | None:
        while self.closed is None:
            frame = self._incoming.next_frame()
            if frame is None:
                await self._read_more()
                continue
            message = frame if isinstance(frame, MalformedFrame) else decode(frame)
            if not isinstance(message, MalformedFrame):
                return message
            await self.close(CloseReason.MALFORMED)
        return None

    async def _read_more(self) -> None:
        self._reading_since = self._clock.monotonic()
        try:
            data = await self._stream.receive_some(READ_SIZE)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await self.close(CloseReason.RESET)
            return
        finally:
            self._reading_since = None
        if not data:
            await self.close(CloseReason.ENDED)
            return
        self._incoming.feed(data)

    def _is_silent(self, now: float) -> bool:
        # A connection that something between the two ends has lost track of never breaks: reads
        # and writes just wait. Heartbeats come at a known interval, so a long wait shows it. Time
        # in which this side was not reading does not count against the peer.
        timeout = self._settings.silence_timeout.total_seconds()
        waits = (self._reading_since, self._writing_since)
        return any(since is not None and now - since >= timeout for since in waits)

    def _restart_timers(self, now: float) -> None:
        if self._reading_since is not None:
            self._reading_since = now
        if self._writing_since is not None:
            self._writing_since = now

    def _enqueue(self, frame: bytes, first: bool = False) -> None:
        if first:
            self._outgoing.appendleft(frame)
        else:
            self._outgoing.append(frame)
        self._outgoing_bytes += len(frame)
        self._work.set()

    def _announce_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    def _check_open(self) -> None:
        if self.closed is not None:
            raise ConnectionClosed(self.closed)

    async def _fail(self, reason: CloseReason) -> None:
        await self.close(reason)
        raise ConnectionClosed(reason)


@asynccontextmanager
async def open_connection(
    stream: trio.abc.Stream,
    clock: Clock,
    hello: Hello,
    settings: ConnectionSettings = DEFAULT_SETTINGS,
    heartbeat: Callable[[int], Heartbeat] = plain_heartbeat,
) -> AsyncIterator[Connection]:
    """Exchange hellos over a stream, and keep the connection open for the body of the `with`.

    Args:
        stream: A connected stream; it is closed on leaving.
        clock: The process's clock.
        hello: This side's first message.
        settings: Intervals and bounds.
        heartbeat: Makes each heartbeat from its sequence number.

    Raises:
        ConnectionClosed: The exchange of hellos failed.
    """
    connection = Connection(stream, clock, settings, heartbeat)
    failure: Exception | None = None
    try:
        await connection.shake_hands(hello)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.write_frames)
            nursery.start_soon(connection.watch)
            try:
                yield connection
            except Exception as error:  # noqa: BLE001 - raised below, outside the nursery's group
                failure = error
            nursery.cancel_scope.cancel()
    finally:
        await connection.close()
    if failure is not None:
        raise failure
