"""The written form of a published configuration, and every check that it must pass.

The same form stands in the operator's TOML file and, as JSON, in the log. The checks decide whether
a publication takes effect, so they are part of the fold: a check may only be made stricter together
with a new `format` number, or processes of two releases would judge one record differently.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from operator import eq
from typing import Any, TypeVar

import cattrs
import msgspec
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from .configuration import (
    ClassOverride,
    ClientAccount,
    Configuration,
    Model,
    Preset,
    RequestClass,
    Service,
    ServiceRoute,
)
from .configuration_checks import Fault, check, tables_of
from .durations import DurationError, format_duration, parse_duration

FORMAT = 1
"""Number of the form described here."""

Document = Mapping[str, Any]
"""A configuration as it is read from TOML or JSON, unchecked."""

T = TypeVar("T")

_UNKNOWN_KEYS = "unknown keys: "
_KEY_SEPARATOR = "\n"

_TABLES: Mapping[str, type] = {
    "classes": RequestClass,
    "accounts": ClientAccount,
    "models": Model,
    "services": Service,
    "presets": Preset,
}
"""Each top-level table and what its entries are."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A document that may not take effect, with every fault found."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class ReadBefore:
    """A sound document and what it was read as; the next one takes over what stands unchanged."""

    document: Document
    configuration: Configuration


@dataclass(slots=True)
class _Reading:
    """What was read of a document so far."""

    before: ReadBefore | None = None
    tables: dict[str, dict[str, Any]] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)


def read_document(
    document: Document, revision: int, preset: str | None, before: ReadBefore | None = None
) -> Configuration | Refused:
    """Check a document and return it as a configuration.

    Args:
        document: The document as read from TOML or JSON.
        revision: The revision that the configuration gets.
        preset: The preset in force; None where only the document itself is checked.
        before: What was read last, so that a change costs the time of what it changes. A process
            that folds thousands of accounts anew stops its event loop for longer than the time
            between two tokens.
    """
    reading = _Reading(before)
    _read_top_level(document, reading)
    for table, entry_type in _TABLES.items():
        reading.tables[table] = _read_table(document.get(table, {}), table, entry_type, reading)
    configuration = Configuration(
        revision=revision,
        preset=preset or "",
        classes_by_name=reading.tables["classes"],
        accounts_by_name=reading.tables["accounts"],
        models_by_name=reading.tables["models"],
        services_by_name=reading.tables["services"],
        presets_by_name=reading.tables["presets"],
    )
    # An entry that could not be read is missing here; what refers to it is no fault of its own.
    unread = {tuple(fault.path.split(".")[:2]) for fault in reading.faults}
    tables_unread = {table for table, *_ in unread}
    semantic = [
        fault
        for fault in check(configuration)
        if fault.refers_to not in unread and fault.path not in tables_unread
    ]
    faults = [*reading.faults, *semantic]
    if preset is not None and not faults and preset not in configuration.presets_by_name:
        faults.append(missing_preset(preset))
    return Refused(tuple(faults)) if faults else configuration


def missing_preset(preset: str) -> Fault:
    """Return the fault of a preset in force that the document does not have."""
    return Fault(f"presets.{preset}", "the preset in force is not in the document")


def write_document(configuration: Configuration) -> dict[str, Any]:
    """Return the document of a configuration."""
    document: dict[str, Any] = {"format": FORMAT}
    for table, entries_by_name in tables_of(configuration).items():
        document[table] = {
            name: _without_name(_converter.unstructure(entry))
            for name, entry in entries_by_name.items()
        }
    return document


def _without_name(entry: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in entry.items() if key != "name" and value is not None}


def _read_top_level(document: Document, reading: _Reading) -> None:
    if document.get("format") != FORMAT:
        reading.faults.append(Fault("format", f"must be {FORMAT}"))
    for key in document:
        if key != "format" and key not in _TABLES:
            reading.faults.append(Fault(key, "unknown key"))


def _read_table(raw: object, table: str, entry_type: type[T], reading: _Reading) -> dict[str, T]:
    if not isinstance(raw, Mapping):
        reading.faults.append(Fault(table, "must be a table"))
        return {}
    entries: dict[str, T] = {}
    known = _entries_before(reading.before, table)
    for name, fields in raw.items():
        if name in known.entries and _same(known.raw[name], fields):
            entries[name] = known.entries[name]
            continue
        path = f"{table}.{name}"
        if not isinstance(fields, Mapping):
            reading.faults.append(Fault(path, "must be a table"))
        elif "name" in fields:
            reading.faults.append(Fault(f"{path}.name", "unknown key"))
        else:
            try:
                entries[name] = _converter.structure({**fields, "name": name}, entry_type)
            except cattrs.BaseValidationError as error:
                reading.faults.extend(_faults_of(error, path))
    return entries


@dataclass(frozen=True, slots=True)
class _TableBefore:
    raw: Mapping[str, Any]
    entries: Mapping[str, Any]


def _same(one: object, other: object) -> bool:
    """Return whether two raw entries are written alike.

    Python holds 1, 1.0 and True for equal, and a reader without the entry read before does not: the
    two would judge one record differently. The encoded forms differ.
    """
    return one == other and msgspec.json.encode(one) == msgspec.json.encode(other)


def _entries_before(before: ReadBefore | None, table: str) -> _TableBefore:
    if before is None:
        return _TableBefore({}, {})
    entries: Mapping[str, Any] = getattr(before.configuration, f"{table}_by_name")
    return _TableBefore(before.document.get(table, {}), entries)


def _faults_of(error: cattrs.BaseValidationError, path: str) -> list[Fault]:
    """Return a fault for each error that the converter collected."""
    faults: list[Fault] = []
    for line in cattrs.transform_error(error, path, _describe):
        message, _, where = line.rpartition(" @ ")
        where = where.replace("['", ".").replace("']", "")
        where = where.replace(".overrides_by_class", ".classes")
        if message.startswith(_UNKNOWN_KEYS):
            keys = message.removeprefix(_UNKNOWN_KEYS).split(_KEY_SEPARATOR)
            faults.extend(Fault(f"{where}.{key}", "unknown key") for key in keys)
        else:
            faults.append(Fault(where, message))
    return faults


def _describe(error: BaseException, _: type | None) -> str:
    """Return what an error of the converter says to an operator."""
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return _UNKNOWN_KEYS + _KEY_SEPARATOR.join(sorted(error.extra_fields))
    if isinstance(error, KeyError):
        return "missing"
    return str(error)


def _strict(expected: type, *accepted: type) -> Any:
    """Return a hook that takes only the given types, where the converter would convert."""

    def structure(value: object, _: type) -> Any:
        if isinstance(value, bool) and expected is not bool:
            raise TypeError(f"must be {expected.__name__}, not a boolean")
        if not isinstance(value, (expected, *accepted)):
            raise TypeError(f"must be {expected.__name__}, not {type(value).__name__}")
        return expected(value)

    return structure


def _structure_duration(value: object, _: type) -> timedelta:
    if not isinstance(value, str):
        raise DurationError("must be a duration such as '250ms', '1.5s' or '2m'")
    return parse_duration(value)


def _structure_tuple(element: type) -> Any:
    def structure(value: object, _: type) -> tuple[Any, ...]:
        if not isinstance(value, (list, tuple)):
            raise TypeError("must be a list")
        return tuple(_converter.structure(list(value), list[element]))  # type: ignore[valid-type]

    return structure


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(bool, _strict(bool))
    converter.register_structure_hook(int, _strict(int))
    converter.register_structure_hook(float, _strict(float, int))
    converter.register_structure_hook(str, _strict(str))
    converter.register_structure_hook(timedelta, _structure_duration)
    converter.register_unstructure_hook(timedelta, format_duration)
    for element in (str, ServiceRoute):
        converter.register_structure_hook_func(
            partial(eq, tuple[element, ...]), _structure_tuple(element)  # type: ignore[valid-type]
        )
    renamed = override(rename="classes")
    converter.register_structure_hook(
        Preset,
        make_dict_structure_fn(
            Preset, converter, overrides_by_class=renamed, _cattrs_forbid_extra_keys=True
        ),
    )
    converter.register_unstructure_hook(
        ClassOverride,
        make_dict_unstructure_fn(ClassOverride, converter, _cattrs_omit_if_default=True),
    )
    converter.register_unstructure_hook(
        Preset, make_dict_unstructure_fn(Preset, converter, overrides_by_class=renamed)
    )
    return converter


_converter = _build_converter()
