"""Limits the open connections of a server; those without a request yield to new ones."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.connection_table import Activity, ConnectionTable

if TYPE_CHECKING:
    from collections.abc import Iterator


class ConnectionSlots:
    """The places for the connections of one server.

    A connection gets a place before its task starts. It can lose the place only while it waits for
    its client, so no request that has been passed on is ever cut off.
    """

    def __init__(self, bound: int) -> None:
        self.table: ConnectionTable[object] = ConnectionTable(bound)
        self.refused = 0
        """Connections that were refused, as all others had a request in progress."""
        self.closed_by_activity: Counter[Activity] = Counter()
        """Connections that were closed for a new one, by what they did."""
        self._scope_by_connection: dict[object, trio.CancelScope] = {}

    @property
    def turned_away(self) -> int:
        """Connections that were refused, or closed for a new one."""
        return self.refused + self.closed_by_activity.total()

    def admit(self, connection: object) -> bool:
        """Return whether a new connection gets a place; another one may be closed for it."""
        if self.table.is_full:
            victim = self.table.victim
            if victim is None:
                self.refused += 1
                return False
            self.closed_by_activity[self.table.activity(victim)] += 1
            scope = self._scope_by_connection.get(victim)
            if scope is not None:
                scope.cancel()
        self.table.open(connection)
        return True

    def release(self, connection: object) -> None:
        """Free the place of a connection that has ended."""
        self.table.close(connection)

    @contextmanager
    def holding(self, connection: object) -> Iterator[None]:
        """Keep the place of a connection whose server reports what it does by `set_activity`.

        The block is cancelled when the connection is closed for a new one.
        """
        with trio.CancelScope() as scope:
            self._scope_by_connection[connection] = scope
            self.table.set_activity(connection, Activity.OPENED)
            try:
                yield
            finally:
                del self._scope_by_connection[connection]
                self.release(connection)

    def set_activity(self, connection: object, activity: Activity) -> None:
        """Record what a connection does from now on."""
        self.table.set_activity(connection, activity)

    @contextmanager
    def waiting(self, connection: object, activity: Activity) -> Iterator[trio.CancelScope]:
        """Let a connection be closed for a new one while it waits for its client.

        Args:
            connection: The connection.
            activity: What it waits for.

        Yields:
            A scope. If it has been cancelled, the place is lost and the connection has to end.
        """
        with trio.CancelScope() as scope:
            self.table.set_activity(connection, activity)
            self._scope_by_connection[connection] = scope
            try:
                yield scope
            finally:
                del self._scope_by_connection[connection]
                self.table.set_activity(connection, Activity.BUSY)
