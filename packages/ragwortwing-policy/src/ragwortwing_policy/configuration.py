"""The published configuration: request classes, client accounts, models, services and presets.

All durations are `timedelta`. The names of mappings include their key, as in `classes_by_name`. The
process settings of a single VM (addresses, zone, log level) are in `ragwortwing_runtime.settings`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

HIGHEST_TIER = 0
"""Tier 0 is the most urgent; a larger number is less urgent."""

LOWEST_TIER = 15
"""The least urgent tier that may be configured."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request with its own latency targets and priority."""

    name: str
    tier: int
    """Strict priority between tiers; 0 is the most urgent."""
    first_token_target: timedelta = timedelta(seconds=1.5)
    """Latency target for the first token or, for a plain service, for the answer."""
    between_token_target: timedelta = timedelta(milliseconds=45)
    """Latency target for the mean time between the tokens of an answer."""
    deadline: timedelta = timedelta(seconds=60)
    """Time after which the caller stops waiting for the first token or the answer."""
    queue_limit: timedelta = timedelta(seconds=1.5)
    """Predicted wait above which a request is refused on arrival."""
    aging_bound: timedelta = timedelta(seconds=120)
    """Wait after which a queued request may take a free slot before more urgent requests, if those
    still meet their targets."""
    weight: float = 1.0
    """Relative share within the tier."""


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account and its site-wide limits."""

    name: str
    key_digests: tuple[str, ...] = ()
    """SHA-256 digests, in hexadecimal, of the account's API keys."""
    classes: tuple[str, ...] = ()
    """Request classes that the account may use; the first is its default."""
    weight: float = 1.0
    """Relative share within a request class."""
    requests_per_second: float | None = None
    """Sustained request rate, or None for no limit."""
    burst: int = 20
    """Maximum burst of requests above the sustained rate."""
    concurrency: int | None = None
    """Maximum number of requests in flight, or None for no limit."""


@dataclass(frozen=True, slots=True)
class Model:
    """A model that callers may request."""

    name: str
    version: str = "1"
    context_tokens: int = 32_768
    """Maximum tokens of prompt and answer together."""


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """One route of a plain service."""

    method: str
    path: str
    """Path below the service's prefix; a trailing `*` matches any suffix."""
    idempotent: bool
    """Whether the system may repeat the call. A route that is not idempotent is an order."""
    request_class: str


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service, such as an order desk, that is reached below a path prefix."""

    name: str
    prefix: str
    routes: tuple[ServiceRoute, ...] = ()
    fenced: bool = False
    """Whether its backend servers refuse orders with an outdated fencing number."""


@dataclass(frozen=True, slots=True)
class ClassOverride:
    """Values that a preset overrides for a request class; None keeps the class's own value."""

    admitted: bool = True
    """Whether the class is served while the preset is in force."""
    tier: int | None = None
    first_token_target: timedelta | None = None
    queue_limit: timedelta | None = None
    weight: float | None = None


@dataclass(frozen=True, slots=True)
class Preset:
    """A named set of overrides, for example for ordinary days, peaks or maintenance."""

    name: str
    overrides_by_class: Mapping[str, ClassOverride] = field(default_factory=dict)
    account_limit_factor: float = 1.0
    """Factor applied to every account's rate and concurrency limits."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted configuration with the preset in force."""

    revision: int
    """Log offset of the record that brought it into force, or -1 before the first one."""
    preset: str
    """Name of the preset in force."""
    classes_by_name: Mapping[str, RequestClass] = field(default_factory=dict)
    accounts_by_name: Mapping[str, ClientAccount] = field(default_factory=dict)
    models_by_name: Mapping[str, Model] = field(default_factory=dict)
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    presets_by_name: Mapping[str, Preset] = field(default_factory=dict)

    def class_in_force(self, name: str) -> RequestClass:
        """Return a request class with the overrides of the preset in force.

        Args:
            name: The name of a configured request class.

        Returns:
            The class with the preset's overrides applied.
        """
        base = self.classes_by_name[name]
        override = self.presets_by_name[self.preset].overrides_by_class.get(name)
        if override is None:
            return base
        return replace(
            base,
            tier=base.tier if override.tier is None else override.tier,
            first_token_target=override.first_token_target or base.first_token_target,
            queue_limit=override.queue_limit or base.queue_limit,
            weight=base.weight if override.weight is None else override.weight,
        )

    def admits(self, name: str) -> bool:
        """Return whether the preset in force admits a request class."""
        override = self.presets_by_name[self.preset].overrides_by_class.get(name)
        return override is None or override.admitted
