"""Decides which connections a process keeps while clients open more than it can hold.

Load: a crowd that opens connections and sends nothing, or whose pipelined requests never end. A
connection without a request in progress can be closed at any time: nothing of it has run, and its
caller can open another one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable

KeyT = TypeVar("KeyT", bound="Hashable")

FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform reserves for files."""

RESERVED_SOCKETS = 128
"""Most sockets that are kept for listeners, peers and calls that belong to no caller's request."""

RESERVED_FRACTION = 0.25
"""Fraction of a small number of sockets that is kept instead."""

SOCKETS_PER_CALLER = 2
"""Sockets that a caller's request occupies: the caller's, and that to a backend server."""

CONNECTIONS_FRACTION = 0.3
"""Fraction of the process's memory that all connections of callers may occupy."""

CONNECTION_BYTES = 128 * 1024
"""Memory of a connection whose request is served: its tasks, its parser, the request itself, and
receive buffers of the kernel, also those of connections that wait to be accepted."""

STATUS_FRACTION = 1 / 16
"""Fraction of the sockets that each status server may occupy."""

MAX_STATUS_CONNECTIONS = 64

MIN_CONNECTIONS = 8
"""Least connections that any server keeps, however small the process."""


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Most connections that the servers of a process keep open at a time."""

    callers: int
    status: int
    """Of each status server: readiness and metrics."""

    @classmethod
    def of_process(cls, memory_bytes: int, descriptors: int) -> ConnectionBounds:
        """Return the bounds for a process that may use some memory and descriptors.

        Example:
            >>> ConnectionBounds.of_process(300 << 20, 4200)
            ConnectionBounds(callers=720, status=64)
            >>> ConnectionBounds.of_process(96 << 20, 400)
            ConnectionBounds(callers=75, status=12)
        """
        sockets = max(0, descriptors - FILE_DESCRIPTORS)
        reserved = min(RESERVED_SOCKETS, int(sockets * RESERVED_FRACTION))
        by_sockets = (sockets - reserved) // SOCKETS_PER_CALLER
        by_memory = int(memory_bytes * CONNECTIONS_FRACTION) // CONNECTION_BYTES
        status = min(MAX_STATUS_CONNECTIONS, int(sockets * STATUS_FRACTION))
        return cls(
            callers=max(MIN_CONNECTIONS, min(by_sockets, by_memory)),
            status=max(MIN_CONNECTIONS, status),
        )


class Activity(IntEnum):
    """What a connection is doing, in the order in which connections are closed for new ones."""

    PIPELINING = 0
    """A request is answered, and bytes of a further one were received before."""
    OPENED = 1
    """No request has been received completely, and nothing is there to be read."""
    IDLE = 2
    """All requests are answered, and nothing of a further one was received."""
    BODY = 3
    """The body of a request is being received."""
    BUSY = 4
    """A request is being served, or the connection is new and was not read yet. It is not closed
    for another one."""


class ConnectionTable(Generic[KeyT]):
    """The open connections of a server, and which of them is closed for a new one.

    Within an activity, the connection that began it first is closed first.

    Example:
        >>> table = ConnectionTable[str](2)
        >>> table.open("a"), table.open("b")
        (None, None)
        >>> table.is_full, table.victim
        (True, None)
        >>> table.set_activity("b", Activity.OPENED)
        >>> table.open("c")
        'b'
    """

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.highest = 0
        """Most connections that were open at a time."""
        self._activity_by_key: dict[KeyT, Activity] = {}
        self._keys_by_activity: dict[Activity, dict[KeyT, None]] = {each: {} for each in Activity}

    def __len__(self) -> int:
        return len(self._activity_by_key)

    def __contains__(self, key: object) -> bool:
        return key in self._activity_by_key

    def activity(self, key: KeyT) -> Activity:
        """Return what an open connection is doing."""
        return self._activity_by_key[key]

    @property
    def is_full(self) -> bool:
        """Whether a new connection needs the place of another one."""
        return len(self) >= self.bound

    @property
    def victim(self) -> KeyT | None:
        """The connection that is closed next; None while all have a request in progress."""
        for activity in Activity:
            if activity is not Activity.BUSY and self._keys_by_activity[activity]:
                return next(iter(self._keys_by_activity[activity]))
        return None

    def open(self, key: KeyT) -> KeyT | None:
        """Add a connection; return the one that has to be closed for it, which is removed.

        The caller checks before that the table is not full, or that there is a victim.
        """
        closed = self.victim if self.is_full else None
        if closed is not None:
            self.close(closed)
        self._activity_by_key[key] = Activity.BUSY
        self._keys_by_activity[Activity.BUSY][key] = None
        self.highest = max(self.highest, len(self))
        return closed

    def set_activity(self, key: KeyT, activity: Activity) -> None:
        """Record what a connection does from now on; ignored after it was closed."""
        before = self._activity_by_key.get(key)
        if before is None or before is activity:
            return
        del self._keys_by_activity[before][key]
        self._activity_by_key[key] = activity
        self._keys_by_activity[activity][key] = None

    def close(self, key: KeyT) -> None:
        """Remove a connection; does nothing if it was removed before."""
        activity = self._activity_by_key.pop(key, None)
        if activity is not None:
            del self._keys_by_activity[activity][key]
