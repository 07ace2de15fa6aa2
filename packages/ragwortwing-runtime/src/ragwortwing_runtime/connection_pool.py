"""Pool of persistent client connections to many servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from .http_client import ClientConnection, ConnectionLoss, ConnectionLostError

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock

CONNECT_TIMEOUT = 0.25
"""Seconds to open a connection: a hundred times the latency to the farthest availability zone, and
short enough that another server can still answer within the latency target."""

IDLE_MARGIN = 0.25
"""Seconds before the announced idle limit from which a connection is no longer reused: a request
must not be sent while the server closes the connection."""

DEFAULT_IDLE_LIMIT = 1.0
"""Seconds for which an idle connection is reused if the server announced no limit."""

MAX_REQUESTS = 256
"""Requests after which a connection is closed; it remembers the ids of all of them."""

MAX_IDLE = 32
"""Most idle connections to one server; they count against its limit for all clients."""


class ConnectionPool:
    """Idle connections by the id of the server that they lead to."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle_by_server: dict[str, list[ClientConnection]] = {}

    async def acquire(self, server_id: str, address: str, request_id: str) -> ClientConnection:
        """Return an idle connection to a server that has not carried a request, or open one.

        A server may send an answer twice, and the id in an answer is all that tells whose it is.
        The second copy of a refusal would be taken for the answer to the same request if that
        request were sent again on the same connection.

        Args:
            server_id: The server.
            address: Its IP address and port.
            request_id: Id of the request that is sent next.

        Raises:
            ConnectionLostError: The connection could not be opened.
        """
        connection = self._take_idle(server_id, address, request_id)
        if connection is None:
            connection = await self._open(address)
        connection.request_ids.add(request_id)
        return connection

    def _take_idle(self, server_id: str, address: str, request_id: str) -> ClientConnection | None:
        """Remove the latest idle connection that a request may use, and return it."""
        idle = self._idle_by_server.get(server_id, [])
        now = self._clock.monotonic()
        passed_over: list[ClientConnection] = []
        found: ClientConnection | None = None
        while idle and found is None:
            connection = idle.pop()
            # A server that restarts under the same id may have another address.
            if connection.address != address or not connection.is_usable(now, IDLE_MARGIN):
                connection.close()
            elif request_id in connection.request_ids:
                passed_over.append(connection)
            else:
                found = connection
        idle.extend(reversed(passed_over))
        return found

    def release(self, server_id: str, connection: ClientConnection) -> None:
        """Keep a connection whose answer is complete for the next request, or close it."""
        idle = self._idle_by_server.get(server_id, ())
        is_full = len(idle) >= MAX_IDLE or len(connection.request_ids) >= MAX_REQUESTS
        if is_full or not connection.prepare_next_request(self._clock.monotonic()):
            connection.close()
            return
        self._keep(server_id, connection)

    async def is_listening(self, server_id: str, address: str) -> bool | None:
        """Open a connection to find out, and keep it; None if there was no reply."""
        try:
            connection = await self._open(address)
        except ConnectionLostError as error:
            return False if error.loss is ConnectionLoss.REFUSED else None
        self._keep(server_id, connection)
        return True

    def forget(self, server_id: str) -> None:
        """Close the idle connections to a removed server."""
        for connection in self._idle_by_server.pop(server_id, ()):
            connection.close()

    async def _open(self, address: str) -> ClientConnection:
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT):
                return await ClientConnection.open(host, int(port))
        except trio.TooSlowError as error:
            raise ConnectionLostError("timeout", ConnectionLoss.FAILED) from error

    def _keep(self, server_id: str, connection: ClientConnection) -> None:
        connection.idle_since = self._clock.monotonic()
        if connection.idle_limit is None:
            connection.idle_limit = DEFAULT_IDLE_LIMIT
        self._idle_by_server.setdefault(server_id, []).append(connection)
