"""The backend servers that requests may be sent to.

The platform's list tells which ones exist. Whether one is leaving is also stated by its answers,
which arrive before the list changes, or while the list cannot be read.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_policy.clock import Instant

LEAVING_NOTICE_LIFETIME = 5.0
"""Seconds for which a statement to this entry is included in its statuses."""


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
    version: str = ""
    """Version of its software. A process that was found at the address of a record that is not its
    own has a version to itself, because its software is not known."""
    recorded_version: str | None = None
    """Version in the record if the process is not the one that wrote it."""

    def replaced_by(self, started_at: int) -> BackendServer:
        """Return the server with a later process, of which only the start is known.

        Example:
            >>> server = BackendServer("i-1", "desk", "127.0.0.1:1", "suva", 6, version="v1")
            >>> replaced = server.replaced_by(7)
            >>> replaced.has_version("v1"), replaced.has_version(None), replaced.recorded_version
            (False, True, 'v1')
        """
        recorded = self.version if self.recorded_version is None else self.recorded_version
        version = f"{self.id}@{started_at}"
        return replace(self, started_at=started_at, version=version, recorded_version=recorded)

    def has_version(self, version: str | None) -> bool:
        """Return whether it has a software version; None stands for any."""
        return version is None or self.version == version

    def may_be_same_process(self, other: BackendServer) -> bool:
        """Return whether two registrations under one id may be by the same process."""
        if self.version != other.version:
            return False
        if self.started_at is None or other.started_at is None:
            return self.address == other.address
        return self.started_at == other.started_at


class BackendList:
    """Backend servers by id, and the available ones by service.

    Example:
        >>> backends = BackendList()
        >>> server = backends.put(BackendServer("i-1", "desk", "127.0.0.1:1", "suva", 6))
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
        self._announced_leaving: set[str] = set()
        """Servers that have stated that they are leaving. This outlasts new registrations and
        removals: the list may be older than the statement, and entries lapse and return."""
        self._told_at_by_id: dict[str, Instant] = {}
        """When this entry, as opposed to a peer, was first told that a server is leaving."""

    @property
    def by_id(self) -> Mapping[str, BackendServer]:
        """All listed backend servers."""
        return self._by_id

    def ready(self, service: str, version: str | None = None) -> tuple[BackendServer, ...]:
        """Return the servers of a service that accept new requests, ordered by id.

        Args:
            service: The service.
            version: The only software version to return; None for all.
        """
        if version is not None:
            return tuple(each for each in self.ready(service) if each.has_version(version))
        found = self._ready_by_service.get(service)
        if found is None:
            members = (each for each in self._by_id.values() if each.service == service)
            ready = (each for each in members if not each.leaving)
            found = tuple(sorted(ready, key=lambda each: each.id))
            self._ready_by_service[service] = found
        return found

    def is_latest_process(self, backend: BackendServer) -> bool:
        """Return whether the latest registration under a server's id may be by its process.

        An answer can arrive after its server has restarted under the same id; what it states does
        not hold for the new process. False if the id was never registered.
        """
        last = self._last_by_id.get(backend.id)
        return last is not None and last.may_be_same_process(backend)

    def is_restart(self, backend: BackendServer) -> bool:
        """Return whether a registration is by a later process than the one known under its id."""
        return backend.id in self._last_by_id and not self.is_latest_process(backend)

    def put(self, backend: BackendServer) -> BackendServer:
        """Add a server or replace its registration; return it with what it has stated itself."""
        if self.is_restart(backend):
            self._announced_leaving.discard(backend.id)
            self._told_at_by_id.pop(backend.id, None)
        if backend.id in self._announced_leaving:
            backend = replace(backend, leaving=True)
        self._missing_until_by_id.pop(backend.id, None)
        self._last_by_id[backend.id] = self._by_id[backend.id] = backend
        self._ready_by_service.clear()
        return backend

    def record_leaving(self, backend: BackendServer, now: Instant) -> bool:
        """Record that a server has stated to this entry that it is leaving.

        Args:
            backend: The server as it was registered when it was sent the request.
            now: The current instant.

        Returns:
            Whether this was unknown.
        """
        if not self.is_latest_process(backend):
            return False
        self._told_at_by_id.setdefault(backend.id, now)
        return self._mark_leaving(backend.id)

    def record_leaving_from_peer(self, backend_id: str, started_at: int | None) -> bool:
        """Record that a server has stated to another entry that it is leaving.

        Args:
            backend_id: The server.
            started_at: Start of its process in Unix ms as the other entry knows it.

        Returns:
            Whether this was unknown.
        """
        last = self._last_by_id.get(backend_id)
        if last is None or not self.is_latest_process(replace(last, started_at=started_at)):
            return False
        return self._mark_leaving(backend_id)

    def last_known(self, backend_id: str) -> BackendServer | None:
        """Return the latest registration of a server, also after its removal."""
        return self._last_by_id.get(backend_id)

    def leaving_notices(self, now: Instant) -> Mapping[str, int | None]:
        """Return the start of each server that has recently stated to this entry that it leaves."""
        return {
            key: self._last_by_id[key].started_at
            for key, told_at in self._told_at_by_id.items()
            if now - told_at < LEAVING_NOTICE_LIFETIME
        }

    def _mark_leaving(self, backend_id: str) -> bool:
        if backend_id in self._announced_leaving:
            return False
        self._announced_leaving.add(backend_id)
        listed = self._by_id.get(backend_id)
        if listed is not None:
            self._by_id[backend_id] = replace(listed, leaving=True)
            self._ready_by_service.clear()
        return True

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

    @property
    def has_missing(self) -> bool:
        """Whether a server is kept although it is missing from the list."""
        return bool(self._missing_until_by_id)

    def drop_missing(self, now: Instant) -> tuple[str, ...]:
        """Remove servers that are still missing at their deadline and return their ids."""
        dropped = tuple(key for key, until in self._missing_until_by_id.items() if until <= now)
        for backend_id in dropped:
            self.remove(backend_id)
        return dropped
