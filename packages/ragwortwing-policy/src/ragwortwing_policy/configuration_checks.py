"""Semantic validation of a configuration; each check is a registered function."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta

from .configuration import HIGHEST_TIER, LOWEST_TIER, Configuration

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
_MODEL_PREFIX = "/v1"
"""Path prefix reserved for model calls."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A validation error in a document and its location."""

    path: str
    """Path of the key, with its parts joined by dots."""
    message: str
    refers_to: tuple[str, ...] = ()
    """Table and name of the entry that the invalid key refers to, if any."""

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


@dataclass(frozen=True, slots=True)
class CheckContext:
    """A configuration to check and what is already known about it."""

    configuration: Configuration
    verified_accounts: frozenset[str] = frozenset()
    """Accounts that passed the checks in a previous configuration and are not checked again."""


Check = Callable[[CheckContext], Iterator[Fault]]

_checks: list[Check] = []


def _register(function: Check) -> Check:
    _checks.append(function)
    return function


def tables_of(configuration: Configuration) -> dict[str, Mapping[str, object]]:
    """Return the entries of each top-level table, keyed by the table's name."""
    return {
        "classes": configuration.classes_by_name,
        "accounts": configuration.accounts_by_name,
        "models": configuration.models_by_name,
        "services": configuration.services_by_name,
        "presets": configuration.presets_by_name,
    }


def check(configuration: Configuration, before: Configuration | None = None) -> tuple[Fault, ...]:
    """Return all faults of a configuration.

    Args:
        configuration: The configuration to check.
        before: A valid configuration. Accounts that are the same objects in both are not checked
            again, since checking thousands of accounts would block the event loop for longer than
            the time between two tokens.
    """
    context = CheckContext(configuration, _verified_accounts(configuration, before))
    return tuple(fault for function in _checks for fault in function(context))


def _verified_accounts(
    configuration: Configuration, before: Configuration | None
) -> frozenset[str]:
    if before is None or not before.classes_by_name.keys() <= configuration.classes_by_name.keys():
        return frozenset()
    accounts = configuration.accounts_by_name.items()
    previous_accounts = before.accounts_by_name
    return frozenset(name for name, each in accounts if previous_accounts.get(name) is each)


@_register
def _check_names(context: CheckContext) -> Iterator[Fault]:
    configuration = context.configuration
    for table, entries in tables_of(configuration).items():
        for name in entries:
            if not _NAME.fullmatch(name):
                yield Fault(
                    f"{table}.{name}",
                    "must consist of lower-case letters, digits, '.', '_' and '-'",
                )


@_register
def _check_classes(context: CheckContext) -> Iterator[Fault]:
    configuration = context.configuration
    if not configuration.classes_by_name:
        yield Fault("classes", "at least one request class is needed")
    for name, each in configuration.classes_by_name.items():
        path = f"classes.{name}"
        yield from _check_tier(each.tier, path)
        yield from _check_positive(each.weight, f"{path}.weight")
        for key in ("first_token_target", "between_token_target", "deadline", "aging_bound"):
            yield from _check_duration(getattr(each, key), f"{path}.{key}")
        yield from _check_duration(each.queue_limit, f"{path}.queue_limit")
        if each.deadline < each.first_token_target:
            yield Fault(f"{path}.deadline", "is shorter than first_token_target")


@_register
def _check_accounts(context: CheckContext) -> Iterator[Fault]:
    configuration = context.configuration
    digests = Counter(d for a in configuration.accounts_by_name.values() for d in a.key_digests)
    shared = any(count > 1 for count in digests.values())
    for name, each in configuration.accounts_by_name.items():
        if name in context.verified_accounts and not shared:
            continue
        path = f"accounts.{name}"
        if not each.classes:
            yield Fault(f"{path}.classes", "at least one request class is needed")
        for index, class_name in enumerate(each.classes):
            yield from _check_class(configuration, class_name, f"{path}.classes[{index}]")
        for index, digest in enumerate(each.key_digests):
            if not _DIGEST.fullmatch(digest):
                yield Fault(f"{path}.key_digests[{index}]", "is not a hexadecimal SHA-256 digest")
            elif digests[digest] > 1:
                yield Fault(f"{path}.key_digests[{index}]", "is used more than once")
        yield from _check_positive(each.weight, f"{path}.weight")
        if each.requests_per_second is not None:
            yield from _check_positive(each.requests_per_second, f"{path}.requests_per_second")
        yield from _check_positive(each.burst, f"{path}.burst")
        if each.concurrency is not None:
            yield from _check_positive(each.concurrency, f"{path}.concurrency")


@_register
def _check_models(context: CheckContext) -> Iterator[Fault]:
    configuration = context.configuration
    for name, each in configuration.models_by_name.items():
        yield from _check_positive(each.context_tokens, f"models.{name}.context_tokens")
        if not each.version:
            yield Fault(f"models.{name}.version", "is empty")
        if name in configuration.services_by_name:
            yield Fault(f"services.{name}", "has the same name as a model")


@_register
def _check_services(context: CheckContext) -> Iterator[Fault]:
    configuration = context.configuration
    prefixes = Counter(each.prefix for each in configuration.services_by_name.values())
    for name, each in configuration.services_by_name.items():
        path = f"services.{name}"
        if not each.prefix.startswith("/") or each.prefix.endswith("/"):
            yield Fault(f"{path}.prefix", "must start with '/' and not end with it")
        if f"{each.prefix}/".startswith(f"{_MODEL_PREFIX}/"):
            yield Fault(f"{path}.prefix", f"{_MODEL_PREFIX} is reserved for model calls")
        if prefixes[each.prefix] > 1:
            yield Fault(f"{path}.prefix", "is also the prefix of another service")
        calls = Counter((route.method, route.path) for route in each.routes)
        for index, route in enumerate(each.routes):
            route_path = f"{path}.routes[{index}]"
            if route.method not in _METHODS:
                yield Fault(f"{route_path}.method", f"must be one of {', '.join(sorted(_METHODS))}")
            if not route.path.startswith("/"):
                yield Fault(f"{route_path}.path", "must start with '/'")
            if calls[(route.method, route.path)] > 1:
                yield Fault(f"{route_path}", "duplicate method and path")
            yield from _check_class(
                configuration, route.request_class, f"{route_path}.request_class"
            )


@_register
def _check_presets(context: CheckContext) -> Iterator[Fault]:
    configuration = context.configuration
    if not configuration.presets_by_name:
        yield Fault("presets", "at least one preset is needed")
    for name, each in configuration.presets_by_name.items():
        path = f"presets.{name}"
        yield from _check_positive(each.account_limit_factor, f"{path}.account_limit_factor")
        for class_name, class_override in each.overrides_by_class.items():
            class_path = f"{path}.classes.{class_name}"
            yield from _check_class(configuration, class_name, class_path)
            if class_override.tier is not None:
                yield from _check_tier(class_override.tier, class_path)
            if class_override.weight is not None:
                yield from _check_positive(class_override.weight, f"{class_path}.weight")
            if class_override.first_token_target is not None:
                target_path = f"{class_path}.first_token_target"
                yield from _check_duration(class_override.first_token_target, target_path)
            if class_override.queue_limit is not None:
                yield from _check_duration(class_override.queue_limit, f"{class_path}.queue_limit")


def _check_class(configuration: Configuration, name: str, path: str) -> Iterator[Fault]:
    if name not in configuration.classes_by_name:
        yield Fault(path, f"no request class is named {name!r}", ("classes", name))


def _check_tier(tier: int, path: str) -> Iterator[Fault]:
    if not HIGHEST_TIER <= tier <= LOWEST_TIER:
        yield Fault(f"{path}.tier", f"must be from {HIGHEST_TIER} to {LOWEST_TIER}")


def _check_positive(value: float, path: str) -> Iterator[Fault]:
    if not 0 < value < float("inf"):
        yield Fault(path, "must be more than 0 and finite")


def _check_duration(value: timedelta, path: str) -> Iterator[Fault]:
    if value <= timedelta(0):
        yield Fault(path, "must be more than 0")
