"""Reads the requests of a caller's connection within bounds, and notices that the caller left."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from ragwortwing_policy.connection_table import Activity
from ragwortwing_runtime.connection_slots import ConnectionSlots
from ragwortwing_runtime.fair_turns import FairTurns
from ragwortwing_runtime.http_client import FRAMING_BYTES_PER_BODY_BYTE, MAX_FRAMING_BYTES
from ragwortwing_runtime.tcp_sockets import has_hung_up, is_idle, receive_now, send_all

if TYPE_CHECKING:
    from collections.abc import Callable

    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_policy.direct.routing_table import CallerLimits

    from .relay_buffer import CallerMemory

RECEIVE_BYTES = 16_384
"""Maximum number of bytes read from a caller's connection at once."""

MAX_READ_AHEAD_BYTES = 16_384
"""Bytes of further requests beyond which a connection is not read while a request is served. They
stay in the kernel, whose receive buffer is bounded, until the request has been answered."""

HANG_UP_POLL_SECONDS = 0.2
"""Interval of the check whether a caller that is not read has disconnected."""

EVENTS_PER_TURN = 64
"""Parts of a body that are parsed in one turn of the event loop."""


class MalformedRequestError(Exception):
    """A request violates HTTP or exceeds a limit."""

    def __init__(self, cause: str, status: int = 400) -> None:
        super().__init__(cause)
        self.status = status


class ConnectionDisplacedError(Exception):
    """The connection has to end, as a new one needs its place."""


class CallerConnections:
    """What the connections of all callers share: their places, their memory and their turns."""

    def __init__(
        self, bound: int, memory: CallerMemory, clock: Clock, limits: Callable[[], CallerLimits]
    ) -> None:
        """Create the shared state.

        Args:
            bound: Most connections that are open at a time.
            memory: Counts the bytes received from callers.
            clock: The clock.
            limits: Returns the limits of the configuration in force.
        """
        self.slots = ConnectionSlots(bound)
        self.turns = FairTurns()
        self.memory = memory
        self.clock = clock
        self.limits = limits


class CallerStream:
    """The receiving side of a caller's connection.

    All bytes that are received count toward the total of the process until the request that they
    belong to has ended.
    """

    def __init__(self, sock: trio.socket.SocketType, shared: CallerConnections) -> None:
        self._sock = sock
        self._shared = shared
        self._account = shared.memory.account()
        self._has_served = False
        largest_head = 2 * shared.limits().header_bytes
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=largest_head)
        """The protocol state, with which answers are written."""

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that have been received of requests that are not served yet."""
        return len(self.h11.trailing_data[0])

    def close(self) -> None:
        """Release what the connection holds."""
        self._account.release()

    def request_ended(self) -> None:
        """Release the request that was served."""
        self._has_served = True
        self._account.resize(self.unparsed_bytes)

    async def discard_rest(self) -> int:
        """Read and discard what the caller still sends, to the end; return the number of bytes.

        A new connection may take the place of this one meanwhile.

        Raises:
            OSError: The connection is broken.
        """
        size = 0
        with self._shared.slots.waiting(self._sock, Activity.PIPELINING):
            while data := await self._sock.recv(RECEIVE_BYTES):
                size += len(data)
        return size

    async def read_head(self) -> h11.Request | None:
        """Return the head of the next request, or None if the connection closes or stays idle.

        Raises:
            ConnectionDisplacedError: A new connection needs the place of this one.
            MalformedRequestError: The head violates HTTP, or is not received in time.
            OSError: The connection is broken.
        """
        if not self._has_served:
            # A request that has arrived already is read before the connection may lose its place.
            data = receive_now(self._sock, RECEIVE_BYTES)
            if data is not None:
                self._take(data)
                first = self._next_event()
                if first is not h11.NEED_DATA:
                    return first if isinstance(first, h11.Request) else None
        activity = Activity.IDLE if self._has_served else Activity.OPENED
        pipelined = self._has_served and bool(self.unparsed_bytes)
        if pipelined:
            activity = Activity.PIPELINING
        with self._shared.slots.waiting(self._sock, activity) as scope:
            if pipelined:
                await self._shared.turns.wait()
            event = await self._wait_for_head()
        if scope.cancel_called:
            raise ConnectionDisplacedError
        return event if isinstance(event, h11.Request) else None

    async def _wait_for_head(self) -> h11.Event | None:
        idle_since = self._now()
        began_at = idle_since if self.unparsed_bytes else None
        is_late = False
        while (event := self._next_event()) is h11.NEED_DATA:
            # Read again in each round: a new configuration may extend the time.
            limits = self._shared.limits()
            if began_at is None:
                left = idle_since + limits.idle_timeout.total_seconds() - self._now()
            else:
                left = began_at + limits.header_timeout.total_seconds() - self._now()
            # After a suspension of the process, bytes that have arrived in time are still unread.
            if left <= 0.0 and (is_late or is_idle(self._sock) or not self._account.may_receive()):
                if began_at is None:
                    return None
                raise MalformedRequestError("request head not received in time", 408)
            is_late = left <= 0.0
            with trio.move_on_after(max(left, 0.0)) as timeout:
                await self._receive()
            if not timeout.cancelled_caught and began_at is None:
                began_at, is_late = self._now(), False
        return event  # type: ignore[return-value]

    async def read_body(self, deadline: Instant | None) -> bytes:
        """Return the body of the request.

        Args:
            deadline: Time by which it has to be received; None for the idle timeout.

        Raises:
            ConnectionDisplacedError: A new connection needs the place of this one.
            MalformedRequestError: The body violates HTTP or a limit, or is not received in time.
            OSError: The connection is broken.
        """
        body = _Body(self._shared.limits().body_bytes)
        if self._parse_body(body) is h11.EndOfMessage:
            return bytes(body.data)
        if deadline is None:
            deadline = self._now() + self._shared.limits().idle_timeout.total_seconds()
        with (
            self._shared.slots.waiting(self._sock, Activity.BODY) as scope,
            trio.move_on_after(deadline - self._now()) as timeout,
        ):
            await self._receive_body(body)
        if scope.cancel_called:
            raise ConnectionDisplacedError
        if timeout.cancelled_caught:
            raise MalformedRequestError("request body not received in time", 408)
        return bytes(body.data)

    async def _receive_body(self, body: _Body) -> None:
        if self.h11.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await send_all(self._sock, self.h11.send(continue_response) or b"")
        while True:
            parsed = self._parse_body(body)
            if parsed is h11.EndOfMessage:
                return
            if parsed is h11.NEED_DATA:
                body.check_framing()
                body.received_bytes += await self._receive()
            else:
                await self._shared.turns.wait()

    def _parse_body(self, body: _Body) -> type[h11.EndOfMessage | h11.NEED_DATA | h11.Data]:
        """Take a few parts of the body; return what the last one was."""
        for _ in range(EVENTS_PER_TURN):
            event = self._next_event()
            if event is h11.NEED_DATA:
                return h11.NEED_DATA
            if isinstance(event, h11.EndOfMessage):
                return h11.EndOfMessage
            if not isinstance(event, h11.Data):
                raise MalformedRequestError("request body ended early")
            body.add(event.data)
        return h11.Data

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self.h11.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedRequestError(str(error), error.error_status_hint) from error

    async def _receive(self) -> int:
        await self._account.wait_for_room()
        return self._take(await self._sock.recv(RECEIVE_BYTES))

    def _take(self, data: bytes) -> int:
        self._account.hold(len(data))
        self.h11.receive_data(data)
        return len(data)

    async def wait_for_disconnect(self) -> bool:
        """Read ahead while a request is served; return whether the caller has disconnected.

        Returns False if this process has closed the connection.
        """
        ahead = self.unparsed_bytes
        while True:
            if ahead and (ahead >= MAX_READ_AHEAD_BYTES or not self._shared.memory.has_room):
                # The caller's end is behind bytes that are not read, so only the kernel knows it.
                if self._sock.fileno() < 0:
                    return False
                if has_hung_up(self._sock):
                    return True
                await trio.sleep(HANG_UP_POLL_SECONDS)
                continue
            try:
                data = await self._sock.recv(RECEIVE_BYTES)
            except OSError:
                return True
            except trio.ClosedResourceError:
                return False
            if not data:
                return True
            ahead += self._take(data)

    def _now(self) -> Instant:
        return self._shared.clock.monotonic()


class _Body:
    """A body as far as it has been received."""

    def __init__(self, limit: int) -> None:
        self.data = bytearray()
        self.received_bytes = 0
        """Bytes received for it, its framing included, except for those that came with the head."""
        self._limit = limit

    def add(self, data: bytes) -> None:
        """Add a part.

        Raises:
            MalformedRequestError: The body exceeds its limit.
        """
        self.data += data
        if len(self.data) > self._limit:
            raise MalformedRequestError("request body exceeds the limit", 413)

    def check_framing(self) -> None:
        """Check what was received beside the data, once all of it has been parsed.

        Raises:
            MalformedRequestError: The framing exceeds what the chunks of a body need.
        """
        allowed = MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * len(self.data)
        if self.received_bytes - len(self.data) > allowed:
            raise MalformedRequestError("framing of the request body exceeds the limit", 413)
