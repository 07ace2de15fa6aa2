"""The published configuration: request classes, client accounts, models, services and presets.

Durations are `timedelta` everywhere; collections are named by their key. The process settings of a
single VM (addresses, zone, log level) are not here: see `ragwortwing_runtime.settings`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

HIGHEST_TIER = 0
"""Tier 0 is the most urgent; a larger number is less urgent."""

LOWEST_TIER = 15
"""The least urgent tier that may be named."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request with its own latency targets and priority."""

    name: str
    tier: int
    """Strict priority between tiers; 0 is the most urgent."""
    first_token_target: timedelta = timedelta(seconds=1.5)
    """Time to first token that counts as attained; for a plain service, time to the answer."""
    between_token_target: timedelta = timedelta(milliseconds=45)
    """Mean time between tokens of an answer that counts as attained."""
    deadline: timedelta = timedelta(seconds=60)
    """Time after which the caller no longer waits for the first token or the answer."""
    queue_limit: timedelta = timedelta(seconds=1.5)
    """Predicted wait above which a request is refused at once."""
    aging_bound: timedelta = timedelta(seconds=120)
    """Wait after which a queued request may take a free slot before more urgent ones that can
    still meet their targets."""
    weight: float = 1.0
    """Share within the tier."""


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account and its limits over the whole site."""

    name: str
    key_digests: tuple[str, ...] = ()
    """SHA-256 digests, in hexadecimal, of the account's API keys."""
    classes: tuple[str, ...] = ()
    """Request classes the account may name; the first is its default."""
    weight: float = 1.0
    """Share within a request class."""
    requests_per_second: float | None = None
    """Sustained request rate; None is unlimited."""
    burst: int = 20
    """Requests that may come at once above the rate."""
    concurrency: int | None = None
    """Requests in flight at one time; None is unlimited."""


@dataclass(frozen=True, slots=True)
class Model:
    """A model callers may name."""

    name: str
    version: str = "1"
    context_tokens: int = 32_768
    """Prompt and answer together."""


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """One kind of call to a plain service."""

    method: str
    path: str
    """Path below the service's prefix; a trailing `*` matches any rest."""
    idempotent: bool
    """Whether the call may be repeated by the system; a route that may not is an order."""
    request_class: str


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service (an order desk) reached below a path prefix."""

    name: str
    prefix: str
    routes: tuple[ServiceRoute, ...] = ()
    fenced: bool = False
    """Whether its backend servers refuse orders that carry an old fencing number."""


@dataclass(frozen=True, slots=True)
class ClassOverride:
    """What a preset changes for one request class; None leaves the class's own value."""

    admitted: bool = True
    """Whether the class is served at all while the preset is in force."""
    tier: int | None = None
    first_token_target: timedelta | None = None
    queue_limit: timedelta | None = None
    weight: float | None = None


@dataclass(frozen=True, slots=True)
class Preset:
    """A named set of changes for ordinary days, peaks or maintenance."""

    name: str
    overrides_by_class: Mapping[str, ClassOverride] = field(default_factory=dict)
    account_limit_factor: float = 1.0
    """Factor on every account's rate and concurrency."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration, with the preset in force."""

    revision: int
    """Log offset of the record that brought it into force; -1 before the first."""
    preset: str
    """Name of the one preset in force."""
    classes_by_name: Mapping[str, RequestClass] = field(default_factory=dict)
    accounts_by_name: Mapping[str, ClientAccount] = field(default_factory=dict)
    models_by_name: Mapping[str, Model] = field(default_factory=dict)
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    presets_by_name: Mapping[str, Preset] = field(default_factory=dict)

    def class_in_force(self, name: str) -> RequestClass:
        """Return a request class as the preset in force changes it.

        Args:
            name: The name of a configured request class.

        Returns:
            The class with the preset's values in place of its own.
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
