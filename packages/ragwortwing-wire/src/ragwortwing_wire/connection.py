"""Long-lived connection between an entry and an agent, which multiplexes their requests."""

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
"""Most bytes to read from the stream at once."""

PAUSE_INTERVALS = 2
"""Heartbeat intervals after which a late wake-up means that this process was paused."""

Hello = EntryHello | AgentHello


class CloseReason(StrEnum):
    """Reason why a connection closed."""

    SILENT = "silent"
    """No bytes arrived, or a write made no progress, within the silence timeout."""
    RESET = "reset"
    """The transport reported an error."""
    ENDED = "ended"
    """The peer closed the stream."""
    VERSION = "version"
    """The peer uses another protocol version."""
    MALFORMED = "malformed"
    """The peer sent a frame that is not a valid message, or a first message that is no hello."""
    LOCAL = "local"
    """This side closed the connection."""


class ConnectionClosed(Exception):  # noqa: N818
    """The connection is closed and cannot be used any more."""

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Heartbeat interval, silence timeout and send queue limit of a connection."""

    heartbeat_interval: timedelta = timedelta(milliseconds=500)
    silence_timeout: timedelta = timedelta(seconds=2)
    outgoing_limit: int = 1024 * 1024
    """Unwritten bytes from which on `send` waits."""


DEFAULT_SETTINGS = ConnectionSettings()


def default_heartbeat(sequence: int) -> Heartbeat:
    """Return a heartbeat without load and with no configuration revision."""
    return Heartbeat(sequence, revision=-1)


class Connection:
    """Sends and receives messages over a trio stream; created by `open_connection`.

    `async for message in connection` yields the peer's messages, including heartbeats. It ends when
    the connection closes; `closed` then holds the reason. Only one task may iterate.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        clock: Clock,
        settings: ConnectionSettings,
        heartbeat: Callable[[int], Heartbeat],
    ) -> None:
        self.peer: Hello | None = None
        """The peer's hello; set before `open_connection` yields the connection."""
        self.closed: CloseReason | None = None
        """Reason why the connection closed; None while it is open."""
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
        self._frames_queued = trio.Event()
        self._progress = trio.Event()

    async def send(self, message: Message) -> None:
        """Queue a message; wait first while the send queue is full.

        While the queue has room, this does not yield to the scheduler, so the messages that one
        task sends in a row go out in a single write.

        Raises:
            ConnectionClosed: The connection is closed; earlier messages may not have arrived.
            FrameTooLargeError: The encoded message exceeds `MAX_FRAME_BYTES`.
        """
        frame = with_length(encode(message))
        # Backpressure: without it, the queue grows without bound when the peer stops reading.
        while self.closed is None and self._outgoing_bytes >= self._settings.outgoing_limit:
            await self._progress.wait()
        self._check_open()
        self._enqueue(frame)

    async def flush(self) -> None:
        """Wait until all queued messages have been passed to the transport.

        Raises:
            ConnectionClosed: The connection closed before that.
        """
        while self.closed is None and (self._outgoing or self._writing_since is not None):
            await self._progress.wait()
        self._check_open()

    def send_heartbeat(self) -> None:
        """Queue a heartbeat ahead of other messages, to report a new load or a planned stop."""
        if self.closed is not None:
            return
        frame = with_length(encode(self._heartbeat(self._heartbeats_sent)))
        self._heartbeats_sent += 1
        self._enqueue(frame, first=True)

    async def close(self, reason: CloseReason = CloseReason.LOCAL) -> None:
        """Close the connection and discard queued messages."""
        if self.closed is None:
            self.closed = reason
        self._outgoing.clear()
        self._outgoing_bytes = 0
        self._frames_queued.set()
        self._notify_progress()
        await trio.aclose_forcefully(self._stream)

    def __aiter__(self) -> Connection:
        return self

    async def __anext__(self) -> Message:
        message = await self._receive()
        if message is None:
            raise StopAsyncIteration
        return message

    async def exchange_hellos(self, hello: Hello) -> None:
        """Send this side's hello and wait for the peer's; neither side waits before sending."""
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
        """Write queued frames, all in a single write, until the connection closes."""
        while self.closed is None:
            await self._frames_queued.wait()
            self._frames_queued = trio.Event()
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
            self._notify_progress()

    async def watch(self) -> None:
        """Send heartbeats, and close the connection if the peer is silent for too long."""
        interval = self._settings.heartbeat_interval.total_seconds()
        woken_at = self._clock.monotonic()
        while self.closed is None:
            await trio.sleep(interval)
            now = self._clock.monotonic()
            # After a pause of this process both timers look expired, although bytes of the peer
            # may wait in the socket. A late wake-up reveals the pause; the timers then restart.
            if now - woken_at > interval * PAUSE_INTERVALS:
                self._restart_silence_timers(now)
            woken_at = now
            if self._is_silent(now):
                await self.close(CloseReason.SILENT)
                return
            if self._writing_since is None:
                self.send_heartbeat()

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
        # If a middlebox drops the connection's state, reads and writes wait forever without an
        # error. Heartbeats arrive at a known interval, so a long wait reveals it. Time in which
        # this side was not reading does not count against the peer.
        timeout = self._settings.silence_timeout.total_seconds()
        waits = (self._reading_since, self._writing_since)
        return any(since is not None and now - since >= timeout for since in waits)

    def _restart_silence_timers(self, now: float) -> None:
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
        self._frames_queued.set()

    def _notify_progress(self) -> None:
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
    heartbeat: Callable[[int], Heartbeat] = default_heartbeat,
) -> AsyncIterator[Connection]:
    """Exchange hellos over a stream and keep the connection open within the `async with` body.

    Args:
        stream: A connected stream; it is closed on exit.
        clock: The process's clock.
        hello: This side's hello.
        settings: Intervals and limits of the connection.
        heartbeat: Creates a heartbeat from its sequence number.

    Raises:
        ConnectionClosed: The exchange of hellos failed.
    """
    connection = Connection(stream, clock, settings, heartbeat)
    failure: Exception | None = None
    try:
        await connection.exchange_hellos(hello)
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
