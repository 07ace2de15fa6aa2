"""The routes, services and client accounts of one accepted configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

LEAST_URGENT_TIER = 9
"""Number of the lowest-priority tier; 0 is the most urgent."""


class Repetition(StrEnum):
    """How often a request on a route may be executed."""

    IDEMPOTENT = "idempotent"
    """May be executed any number of times."""
    AT_MOST_ONCE = "at_most_once"
    """May be executed once at most."""
    RESUMABLE = "resumable"
    """A stream that another backend server may continue after the last delivered event."""

    @property
    def may_repeat(self) -> bool:
        """Whether a request with an unknown outcome may be sent again."""
        return self is not Repetition.AT_MOST_ONCE


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Matches requests by host and path prefix and defines their service level."""

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repetition: Repetition
    streaming: bool
    timeout: timedelta
    """Maximum time until the whole answer."""
    latency_target: timedelta
    """Target time to the answer, or to the first event of a stream; only answers within it get
    full credit."""
    tier: int
    maximum_sends: int
    """Maximum number of sends of one request."""
    public: bool = False
    """Whether requests need no API key."""
    pause_target: timedelta | None = None
    """Maximum pause between two events of a stream that counts as on time; None if not
    configured."""


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Configured properties of the model engines of a service."""

    slots: int
    """Requests that one engine runs concurrently."""
    memory_tokens: int
    """Capacity of an engine's KV cache in tokens."""
    tokens_per_event: int
    """Tokens in one event of a stream."""
    bytes_per_token: int = 0
    """Bytes of KV cache per token; 0 if engines cannot fetch from each other."""
    link_bytes_per_second: float = 0.0
    """Rate at which an engine fetches KV cache from another."""

    def fetch_seconds(self, tokens: int) -> float | None:
        """Return the seconds to fetch tokens of KV cache, or None if the engine cannot fetch."""
        if not self.bytes_per_token or not self.link_bytes_per_second:
            return None
        return tokens * self.bytes_per_token / self.link_bytes_per_second


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes send requests to."""

    name: str
    engine: EngineTraits | None = None
    """Properties of its model engines; None for a plain service."""


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; its tier, if set, overrides the tier of the route."""

    name: str
    tier: int | None = None
    weight: float = 1.0
    """Weight of its share of the engines while requests wait."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's request."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


EQUAL_TARGET_RATIO = 1.25
"""Largest ratio of two pause targets that are treated as equal."""


@dataclass(frozen=True, slots=True)
class PauseTargets:
    """The shortest and the longest pause target of the streams that share a service's engines.

    Example:
        >>> targets = PauseTargets(timedelta(milliseconds=120), timedelta(milliseconds=500))
        >>> targets.bears_reading(timedelta(milliseconds=120))
        False
        >>> targets.bears_reading(timedelta(milliseconds=200))
        True
    """

    shortest: timedelta
    longest: timedelta

    def bears_reading(self, target: timedelta | None) -> bool | None:
        """Return whether a stream tolerates more prefill than the most sensitive streams do.

        Returns None if the pause targets do not distinguish streams.
        """
        if target is None or self.longest <= self.shortest * EQUAL_TARGET_RATIO:
            return None
        return target > self.shortest * EQUAL_TARGET_RATIO


class RouteIndex:
    """Finds routes by host and path without comparing all routes of the host."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        """The routes of each host by path prefix; of equal prefixes the first."""
        for route in routes:
            self._routes_by_host.setdefault(route.host, {}).setdefault(route.prefix, route)
        self._lengths_by_host = {
            host: sorted({len(prefix) for prefix in routes_by_prefix}, reverse=True)
            for host, routes_by_prefix in self._routes_by_host.items()
        }

    def longest_match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path, or None."""
        routes_by_prefix = self._routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        for length in self._lengths_by_host[host]:
            found = routes_by_prefix.get(path[:length])
            if found is not None:
                return found
        return None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration, indexed for lookups."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    accounts_by_key: Mapping[str, ClientAccount]
    limits: CallerLimits = CallerLimits()
    keys_required: bool = True
    """False if the configuration has no client accounts."""
    index: RouteIndex = field(init=False, repr=False, compare=False)
    """The routes, for lookups by host and path."""
    _urgency_by_tiers: Mapping[tuple[int, int], int] = field(init=False, repr=False)
    _pauses_by_service: Mapping[str, PauseTargets] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "index", RouteIndex(self.routes))
        object.__setattr__(self, "_urgency_by_tiers", self._ranked_tiers())
        object.__setattr__(self, "_pauses_by_service", self._pause_targets())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None.

        Example:
            >>> from datetime import timedelta
            >>> def route(name, prefix):
            ...     return Route(name, "a.example", prefix, (), Repetition.IDEMPOTENT, False,
            ...                  timedelta(seconds=1), timedelta(seconds=1), 0, 1)
            >>> table = RoutingTable(1, (route("short", "/a/"), route("long", "/a/b/")), {}, {})
            >>> table.match("a.example", "/a/b/c").name
            'long'
            >>> table.match("a.example", "/b/") is None
            True
        """
        return self.index.longest_match(host, path)

    def tier_of(self, route: Route, account: ClientAccount | None) -> int:
        """Return the tier of a request: the account's tier if set, otherwise the route's."""
        if account is not None and account.tier is not None:
            return account.tier
        return route.tier

    @property
    def least_urgent_tier(self) -> int:
        """The least urgent tier of any request."""
        return max((tier for tier, _ in self._urgency_by_tiers), default=0)

    def urgency_of(self, route: Route, account: ClientAccount | None) -> int:
        """Return the rank of a request among those on the engines; 0 is the most urgent.

        Requests are ordered by their tier, and within a tier by the tier of their route. With
        the account's tier alone, its drafts would be as urgent as its chats, and a full engine
        preempts whichever request arrived last.

        Example:
            >>> from datetime import timedelta
            >>> def route(name, tier):
            ...     return Route(name, "a.example", "/", (), Repetition.RESUMABLE, True,
            ...                  timedelta(seconds=1), timedelta(seconds=1), tier, 1)
            >>> chats, drafts = route("chats", 0), route("drafts", 1)
            >>> account = ClientAccount("litia", tier=1)
            >>> table = RoutingTable(1, (chats, drafts), {}, {"key": account})
            >>> table.urgency_of(chats, account) < table.urgency_of(drafts, account)
            True
        """
        tiers = (self.tier_of(route, account), route.tier)
        return min(LEAST_URGENT_TIER, self._urgency_by_tiers[tiers])

    def pause_targets(self, service: str) -> PauseTargets | None:
        """Return the pause targets of the streams that share a service's engines, if configured."""
        return self._pauses_by_service.get(service)

    def _pause_targets(self) -> dict[str, PauseTargets]:
        declared: dict[str, list[timedelta]] = {}
        for route in self.routes:
            if route.pause_target is not None:
                for share in route.shares:
                    declared.setdefault(share.service, []).append(route.pause_target)
        return {name: PauseTargets(min(each), max(each)) for name, each in declared.items()}

    def _ranked_tiers(self) -> dict[tuple[int, int], int]:
        accounts = {*self.accounts_by_key.values(), None}
        tiers = {
            (self.tier_of(route, account), route.tier)
            for route in self.routes
            for account in accounts
        }
        return {pair: rank for rank, pair in enumerate(sorted(tiers))}
