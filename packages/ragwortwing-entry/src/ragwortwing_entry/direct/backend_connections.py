"""Connections to backend servers, if necessary only to the process that is registered.

A server may start again under its id and address, with other software. Its record tells so later,
or not at all while the list cannot be read. A connection stays with the process that accepted it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_runtime.connection_pool import ConnectionPool
from ragwortwing_runtime.http_client import ConnectionLoss, ConnectionLostError

from .ports import BackendLostError, ProcessCheck, ProcessReplacedError, ProcessUnknownError

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock
    from ragwortwing_runtime.http_client import ClientConnection
    from ragwortwing_runtime.process_report import ProcessReport

    from .ports import SendOrder

MAX_ASKED_CONNECTIONS = 2
"""Connections to a server that are asked for its process: a kept one may have been closed."""


class BackendConnections:
    """Obtains the connections for the sends of one entry."""

    def __init__(self, report: ProcessReport, clock: Clock) -> None:
        """Create a pool without connections.

        Args:
            report: The call that asks a process when it started.
            clock: The clock.
        """
        self.pool = ConnectionPool(clock)
        self._report = report
        self._clock = clock

    async def acquire(self, order: SendOrder, request_id: str) -> ClientConnection:
        """Return a connection for a send.

        Raises:
            BackendLostError: It could not be opened.
            ProcessReplacedError: It leads to another process than the registered one.
            ProcessUnknownError: It is not known where it leads to, and the send requires that.
        """
        for _ in range(MAX_ASKED_CONNECTIONS):
            connection = await self._open(order, request_id)
            if order.process_check is ProcessCheck.NONE:
                return connection
            may_use = is_found = False
            try:
                is_found = await self._leads_to_process(connection, order)
                may_use = is_found and not connection.is_over
            except ConnectionLostError as error:
                # A closed connection may be the end of the process, so the next one is asked again.
                is_silent = error.loss is ConnectionLoss.FAILED
                is_found = is_silent and order.process_check is ProcessCheck.IF_ANSWERED
            finally:
                if not may_use:
                    connection.abort()
            if is_found:
                return connection if may_use else await self._open(order, request_id)
        raise ProcessUnknownError

    async def _leads_to_process(self, connection: ClientConnection, order: SendOrder) -> bool:
        """Return True if a connection leads to the registered process, as far as it must."""
        started_at = await self._report.ask(connection, self._clock)
        registered = order.backend.started_at
        if started_at is None or registered is None:
            if order.process_check is ProcessCheck.REQUIRED:
                raise ProcessUnknownError
        elif started_at > registered:
            raise ProcessReplacedError(started_at)
        elif started_at < registered:
            # A connection that was kept since before the registered process started.
            return False
        return True

    async def _open(self, order: SendOrder, request_id: str) -> ClientConnection:
        backend = order.backend
        try:
            return await self.pool.acquire(backend.id, backend.address, request_id)
        except ConnectionLostError as error:
            raise BackendLostError(f"cannot connect: {error}", error.loss) from error
