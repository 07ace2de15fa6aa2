"""Reads a TOML settings file into frozen data classes.

All faults of a file are collected, so that the operator can correct them at once.
"""

from __future__ import annotations

import ipaddress
import tomllib
from dataclasses import MISSING, dataclass, fields, is_dataclass
from datetime import timedelta
from enum import StrEnum
from types import GenericAlias, UnionType
from typing import TYPE_CHECKING, Annotated, Any, TypeVar, get_args, get_origin, get_type_hints
from urllib.parse import urlsplit

import cattrs
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError, IterableValidationError

from ragwortwing_policy.durations import DurationError, format_duration, parse_duration

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

DURATION_FORMAT = 'a duration such as "250ms", "1.5s", "2m" or "1h"'
"""Description of a valid duration in messages to the operator."""

FAULTY_SETTINGS_EXIT_CODE = 2
"""Exit code of a process whose settings are invalid."""

SettingsT = TypeVar("SettingsT")

MISSING_VALUE = "(missing)"
"""Shown as the value of a required key that is missing."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as written in settings.

        Example:
            >>> str(Address("::1", 80))
            '[::1]:80'
        """
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclass(frozen=True, slots=True)
class HttpUrl:
    """Base URL of an HTTP service, with an IP address as its host."""

    address: Address

    def __str__(self) -> str:
        """Return the URL without a path."""
        return f"http://{self.address}"


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One invalid, missing or unknown key of a settings file."""

    key: str
    """Dotted path of the key."""
    value: object
    allowed: str
    """Description of the allowed values."""

    def __str__(self) -> str:
        """Return the fault as one line for the operator."""
        return f"{self.key}: {self.value!r} is not allowed; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class FaultySettings:
    """Result for a file that cannot be used, with all its faults."""

    faults: tuple[SettingsFault, ...]


class NotAllowedError(ValueError):
    """A value violates the type or rule of its key."""

    def __init__(self, value: object, allowed: str) -> None:
        super().__init__(f"{value!r}: {allowed}")
        self.value = value
        self.allowed = allowed


@dataclass(frozen=True, slots=True)
class Between:
    """Rule: a number, or the length of a list, lies within inclusive bounds."""

    low: float
    high: float

    allowed = property(lambda self: f"from {self.low:,} to {self.high:,}")

    def holds(self, value: Any) -> bool:
        """Return whether a value satisfies the rule."""
        return bool(self.low <= (len(value) if isinstance(value, tuple) else value) <= self.high)


@dataclass(frozen=True, slots=True)
class LongerThan:
    """Rule: a duration is greater than a lower bound."""

    low: timedelta

    allowed = property(lambda self: f"above {format_duration(self.low) if self.low else 'zero'}")

    def holds(self, value: Any) -> bool:
        """Return whether a value satisfies the rule."""
        return bool(value > self.low)


@dataclass(frozen=True, slots=True)
class Name:
    """Rule: a name consists of printable characters without spaces."""

    allowed = property(lambda self: "printable characters without spaces, at least one")

    def holds(self, value: Any) -> bool:
        """Return whether a value satisfies the rule."""
        return value.isprintable() and bool(value) and " " not in value


Rule = Between | LongerThan | Name


def read_settings(path: Path, settings_type: type[SettingsT]) -> SettingsT | FaultySettings:
    """Read and check a settings file.

    Args:
        path: The TOML file.
        settings_type: The frozen data class to create.

    Returns:
        The settings, or all faults of the file.
    """
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return FaultySettings((SettingsFault(str(path), error.strerror, "a readable file"),))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return FaultySettings((SettingsFault(str(path), str(error), "TOML in UTF-8"),))
    return structure_settings(table, settings_type)


def structure_settings(
    table: dict[str, Any], settings_type: type[SettingsT]
) -> SettingsT | FaultySettings:
    """Check a parsed table and create the settings from it.

    Args:
        table: The parsed TOML.
        settings_type: The frozen data class to create.

    Returns:
        The settings, or all faults of the table.
    """
    try:
        return _CONVERTER.structure(table, settings_type)
    except (ClassValidationError, NotAllowedError) as error:
        return FaultySettings(tuple(_faults(error, "")))


def _faults(error: BaseException, key: str) -> Iterator[SettingsFault]:
    if isinstance(error, ClassValidationError):
        yield from _class_faults(error, key)
    elif isinstance(error, IterableValidationError):
        for item, note in error.group_exceptions()[0]:
            yield from _faults(item, f"{key}[{note.index}]")
    elif isinstance(error, NotAllowedError):
        yield SettingsFault(key or "(file)", error.value, error.allowed)
    else:
        raise error


def _class_faults(error: ClassValidationError, key: str) -> Iterator[SettingsFault]:
    prefix = f"{key}." if key else ""
    field_errors, table_errors = error.group_exceptions()
    for item, note in field_errors:
        child = f"{prefix}{note.name}"
        if isinstance(item, KeyError):
            yield SettingsFault(child, MISSING_VALUE, _describe(note.type))
        else:
            yield from _faults(item, child)
    for item in table_errors:
        if not isinstance(item, ForbiddenExtraKeysError):
            yield from _faults(item, key)
            continue
        known = ", ".join(each.name for each in fields(item.cl))
        for name in sorted(item.extra_fields):
            yield SettingsFault(f"{prefix}{name}", "(unknown key)", f"one of {known}")


def _describe(kind: Any) -> str:
    if get_origin(kind) is Annotated:
        base, *rules = get_args(kind)
        return f"{_describe(base)}, {', '.join(rule.allowed for rule in rules)}"
    if get_origin(kind) is UnionType:
        return _describe(get_args(kind)[0])
    if get_origin(kind) is tuple:
        return f"a list, each {_describe(get_args(kind)[0])}"
    if is_dataclass(kind) and kind not in (Address, HttpUrl):
        return "a table"
    if isinstance(kind, type) and issubclass(kind, StrEnum):
        return "one of " + ", ".join(f'"{each}"' for each in kind)
    return _DESCRIPTIONS_BY_TYPE.get(kind, str(kind))


_DESCRIPTIONS_BY_TYPE: dict[Any, str] = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    timedelta: DURATION_FORMAT,
    Address: 'an IP address with a port, such as "10.0.0.1:8080"',
    HttpUrl: 'a URL by IP address, such as "http://10.0.0.1:8080"',
}


def _structure_exact_type(value: Any, kind: type) -> Any:
    if type(value) is not kind:
        raise NotAllowedError(value, _describe(kind))
    return value


def _structure_float(value: Any, _: object) -> float:
    if type(value) not in (int, float):
        raise NotAllowedError(value, _describe(float))
    return float(value)


def _structure_duration(value: Any, _: object) -> timedelta:
    try:
        return parse_duration(value)
    except (DurationError, TypeError):
        raise NotAllowedError(value, DURATION_FORMAT) from None


def parse_address(text: object) -> Address | None:
    """Parse an address; return None if the text is not a valid one.

    Example:
        >>> parse_address("10.0.0.1:80")
        Address(host='10.0.0.1', port=80)
    """
    try:
        parts = urlsplit(f"//{text}")
        if parts.port is None or parts.netloc != text:
            return None
        return Address(str(ipaddress.ip_address(parts.hostname or "")), parts.port)
    except ValueError:
        return None


def _structure_address(value: Any, _: object) -> Address:
    address = parse_address(value)
    if address is None:
        raise NotAllowedError(value, _describe(Address))
    return address


def _structure_url(value: Any, _: object) -> HttpUrl:
    prefix = "http://"
    if not isinstance(value, str) or not value.startswith(prefix):
        raise NotAllowedError(value, _describe(HttpUrl))
    try:
        return HttpUrl(_structure_address(value.removeprefix(prefix).removesuffix("/"), Address))
    except NotAllowedError:
        raise NotAllowedError(value, _describe(HttpUrl)) from None


def _structure_enum(value: Any, kind: Any) -> Any:
    if not isinstance(value, str) or value not in set(kind):
        raise NotAllowedError(value, _describe(kind))
    return kind(value)


def _annotated_hook(kind: Any) -> Callable[[Any, Any], Any]:
    base, *rules = get_args(kind)

    def structure(value: Any, _: object) -> Any:
        structured = _CONVERTER.structure(value, base)
        if not all(rule.holds(structured) for rule in rules):
            raise NotAllowedError(value, _describe(kind))
        return structured

    return structure


def _tuple_hook(kind: Any) -> Callable[[Any, Any], Any]:
    list_kind = GenericAlias(list, get_args(kind)[:1])
    list_hook = _CONVERTER.get_structure_hook(list_kind)

    def structure(value: Any, _: object) -> Any:
        if not isinstance(value, list):
            raise NotAllowedError(value, _describe(kind))
        return tuple(list_hook(value, list_kind))

    return structure


def _table_hook(kind: Any) -> Callable[[Any, Any], Any]:
    # cattrs resolves annotations without `Annotated` metadata, which holds the rules. So the field
    # types are replaced by the full annotations first.
    hints = get_type_hints(kind, include_extras=True)
    for each in fields(kind):
        each.type = hints[each.name]
    structure_table = cattrs.gen.make_dict_structure_fn(
        kind, _CONVERTER, _cattrs_forbid_extra_keys=True, _cattrs_detailed_validation=True
    )

    def structure(value: Any, _: object) -> Any:
        if not isinstance(value, dict):
            raise NotAllowedError(value, "a table")
        settings = structure_table(value, kind)
        _check_rising_keys(settings)
        return settings

    return structure


def _check_rising_keys(settings: Any) -> None:
    """Reject a table in which the first of the class's `rising_keys` is above the second."""
    keys = getattr(settings, "rising_keys", None)
    if keys is None:
        return
    low, high = keys
    if getattr(settings, low) > getattr(settings, high):
        raise NotAllowedError(f"{low} above {high}", f"{low} up to {high}")


def _is_tuple(kind: Any) -> bool:
    return get_origin(kind) is tuple


def _is_annotated(kind: Any) -> bool:
    return get_origin(kind) is Annotated


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook_factory(is_dataclass, _table_hook)
    converter.register_structure_hook_factory(_is_tuple, _tuple_hook)
    converter.register_structure_hook_factory(_is_annotated, _annotated_hook)
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _structure_exact_type)
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(timedelta, _structure_duration)
    converter.register_structure_hook(Address, _structure_address)
    converter.register_structure_hook(HttpUrl, _structure_url)
    return converter


_CONVERTER = _make_converter()


@dataclass(frozen=True, slots=True)
class SettingsKey:
    """Description of one key of a settings class, for the reference documentation."""

    key: str
    allowed: str
    default: object


def settings_keys(settings_type: Any, prefix: str = "") -> Iterator[SettingsKey]:
    """Yield every key of a settings class, in the order of its fields.

    Args:
        settings_type: A settings data class.
        prefix: Dotted path of the table that the class describes, with a trailing dot.
    """
    hints = get_type_hints(settings_type, include_extras=True)
    for each in fields(settings_type):
        kind = hints[each.name]
        if is_dataclass(kind) and kind not in (Address, HttpUrl):
            yield from settings_keys(kind, f"{prefix}{each.name}.")
            continue
        default = MISSING_VALUE if each.default is MISSING else each.default
        yield SettingsKey(f"{prefix}{each.name}", _describe(kind), default)
