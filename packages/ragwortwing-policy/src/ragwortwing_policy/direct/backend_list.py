"""The backend servers that requests may be sent to, from the platform's latest list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_policy.clock import Instant


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as registered in the list."""

    id: str
    service: str
    address: str
    """IP address and port."""
    zone: str
    slots: int
    leaving: bool = False
    started_at: int | None = None
    """Start of its process in Unix ms; None if unknown."""


class BackendList:
    """Backend servers by id, and the available ones by service.

    Example:
        >>> backends = BackendList()
        >>> backends.put(BackendServer("i-1", "desk", "127.0.0.1:1", "suva", 6))
        >>> [each.id for each in backends.ready("desk")]
        ['i-1']
        >>> backends.remove("i-1")
        >>> backends.ready("desk")
        ()
    """

    def __init__(self) -> None:
        self._by_id: dict[str, BackendServer] = {}
        self._ready_by_service: dict[str, tuple[BackendServer, ...]] = {}
        self._missing_until_by_id: dict[str, Instant] = {}
        self._last_by_id: dict[str, BackendServer] = {}
        """The latest registration of each server, also after its removal."""

    @property
    def by_id(self) -> Mapping[str, BackendServer]:
        """All listed backend servers."""
        return self._by_id

    def ready(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that accept new requests, ordered by id."""
        found = self._ready_by_service.get(service)
        if found is None:
            members = (each for each in self._by_id.values() if each.service == service)
            ready = (each for each in members if not each.leaving)
            found = tuple(sorted(ready, key=lambda each: each.id))
            self._ready_by_service[service] = found
        return found

    def is_restart(self, backend: BackendServer) -> bool:
        """Return whether a registration is by a later process than the one known under its id."""
        last = self._last_by_id.get(backend.id)
        if last is None or last.started_at is None or backend.started_at is None:
            return False
        return last.started_at != backend.started_at

    def put(self, backend: BackendServer) -> None:
        """Add a backend server or replace its registration."""
        self._missing_until_by_id.pop(backend.id, None)
        self._last_by_id[backend.id] = self._by_id[backend.id] = backend
        self._ready_by_service.clear()

    def remove(self, backend_id: str) -> None:
        """Remove a backend server."""
        self._missing_until_by_id.pop(backend_id, None)
        self._by_id.pop(backend_id, None)
        self._ready_by_service.clear()

    def mark_missing(self, backend_id: str, until: Instant) -> None:
        """Record that a server is missing from the list after an outage of the store.

        Its registration may have expired during the outage while the server is alive. Removing
        it at once could leave a service without servers, so it stays until the given instant
        unless it is registered again.
        """
        if backend_id in self._by_id:
            self._missing_until_by_id.setdefault(backend_id, until)

    def drop_missing(self, now: Instant) -> tuple[str, ...]:
        """Remove servers that are still missing at their deadline and return their ids."""
        dropped = tuple(key for key, until in self._missing_until_by_id.items() if until <= now)
        for backend_id in dropped:
            self.remove(backend_id)
        return dropped
