"""Which software versions of a service may have begun a stream that is resumed now."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from .routing_table import Repetition

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

    from .backend_list import BackendList, BackendServer
    from .routing_table import Route, RoutingTable

HISTORY_KEPT = 3600.0
"""Seconds for which a version that is no longer listed is remembered."""


class VersionHistory:
    """The versions of each service, and since when this entry knows all of them.

    Example:
        >>> from .backend_list import BackendList, BackendServer
        >>> backends = BackendList()
        >>> server = BackendServer("i-1", "engines", "127.0.0.1:1", "suva", 6, version="v1")
        >>> _ = backends.put(server)
        >>> history = VersionHistory(backends)
        >>> history.list_read(now=0.0, has_all_records=False)
        >>> history.versions("engines", since=5.0)
        frozenset({'v1'})
        >>> history.covers("engines", since=-5.0), history.covers("engines", since=5.0)
        (False, True)
    """

    def __init__(self, backends: BackendList) -> None:
        self._backends = backends
        self._left_at_by_service: dict[str, dict[str, Instant]] = {}
        self._listed_at_by_service: dict[str, dict[str, Instant]] = {}
        self._rerouted_at_by_service: dict[str, Instant] = {}
        self._known_since: Instant = inf

    def list_read(self, now: Instant, *, has_all_records: bool) -> None:
        """Record that the list was read as a whole, without the changes before that.

        Args:
            now: The current instant.
            has_all_records: Whether nothing that was ever written to the list is missing.
        """
        self._known_since = -inf if has_all_records else now

    def listed(self, backend: BackendServer, now: Instant) -> None:
        """Record that a server is listed; the first one of a version tells since when it is."""
        listed_at = self._listed_at_by_service.setdefault(backend.service, {})
        listed_at.setdefault(backend.version, now)

    def listed_at(self, service: str, since: Instant) -> dict[str, Instant]:
        """Return when this entry first read of each version that was listed since an instant."""
        listed_at = self._listed_at_by_service.get(service, {})
        return {each: listed_at[each] for each in self.versions(service, since) & set(listed_at)}

    def left(self, backend: BackendServer, now: Instant) -> None:
        """Record that a server is no longer listed, or no longer with this service and version."""
        left_at = self._left_at_by_service.setdefault(backend.service, {})
        left_at[backend.version] = now
        for version in [key for key, at in left_at.items() if now - at > HISTORY_KEPT]:
            del left_at[version]
            self._listed_at_by_service.get(backend.service, {}).pop(version, None)

    def routes_changed(self, before: RoutingTable, after: RoutingTable, now: Instant) -> None:
        """Record the services that have taken over streams of other services."""
        for route in before.routes:
            self._mark_gained(route, after.index.longest_match(route.host, route.prefix), now)
        for route in after.routes:
            self._mark_gained(before.index.longest_match(route.host, route.prefix), route, now)

    def _mark_gained(self, former: Route | None, route: Route | None, now: Instant) -> None:
        if former is None or route is None or former.shares == route.shares:
            return
        if Repetition.RESUMABLE not in (former.repetition, route.repetition):
            return
        before = {each.service for each in former.shares}
        for share in route.shares:
            if before - {share.service}:
                self.rerouted(share.service, now)

    def rerouted(self, service: str, now: Instant) -> None:
        """Record that streams which another service began may be resumed at a service."""
        self._rerouted_at_by_service[service] = now

    def versions(self, service: str, since: Instant) -> frozenset[str]:
        """Return the versions of a service that were listed at any time since an instant."""
        left_at = self._left_at_by_service.get(service, {})
        former = {version for version, at in left_at.items() if at >= since}
        listed = self._backends.by_id.values()
        return frozenset(former | {each.version for each in listed if each.service == service})

    def covers(self, service: str, since: Instant) -> bool:
        """Return whether no other version or service can have begun a stream since an instant."""
        rerouted_at = self._rerouted_at_by_service.get(service, -inf)
        return self._known_since <= since and rerouted_at < since
