"""Reads, validates and writes configuration documents.

The operator's TOML file and the JSON records in the log use the same schema. The checks decide
whether a publication takes effect, so they are part of the fold over the log. A check may only be
made stricter together with a new `format` number. Otherwise processes of two releases would accept
and reject the same record.
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
"""Version number of the document schema."""

Document = Mapping[str, Any]
"""An unvalidated configuration as parsed from TOML or JSON."""

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
"""Type of the entries in each top-level table."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A document that failed validation, with all faults found."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class PreviousDocument:
    """A valid document and its configuration; the next read reuses its unchanged entries."""

    document: Document
    configuration: Configuration


@dataclass(slots=True)
class _ReadState:
    """Intermediate result of reading a document."""

    before: PreviousDocument | None = None
    tables: dict[str, dict[str, Any]] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)


def read_document(
    document: Document, revision: int, preset: str | None, before: PreviousDocument | None = None
) -> Configuration | Refused:
    """Validate a document and convert it to a configuration.

    Args:
        document: The document as parsed from TOML or JSON.
        revision: The revision of the resulting configuration.
        preset: The preset in force, or None to check only the document itself.
        before: The previous document, whose unchanged entries are reused. Reading thousands of
            accounts again would block the event loop for longer than the time between two tokens.
    """
    state = _ReadState(before)
    _read_top_level(document, state)
    for table, entry_type in _TABLES.items():
        state.tables[table] = _read_table(document.get(table, {}), table, entry_type, state)
    configuration = Configuration(
        revision=revision,
        preset=preset or "",
        classes_by_name=state.tables["classes"],
        accounts_by_name=state.tables["accounts"],
        models_by_name=state.tables["models"],
        services_by_name=state.tables["services"],
        presets_by_name=state.tables["presets"],
    )
    # An unreadable entry is missing in the configuration. References to it are not reported again.
    unreadable = {tuple(fault.path.split(".")[:2]) for fault in state.faults}
    unreadable_tables = {table for table, *_ in unreadable}
    semantic = [
        fault
        for fault in check(configuration)
        if fault.refers_to not in unreadable and fault.path not in unreadable_tables
    ]
    faults = [*state.faults, *semantic]
    if preset is not None and not faults and preset not in configuration.presets_by_name:
        faults.append(missing_preset(preset))
    return Refused(tuple(faults)) if faults else configuration


def missing_preset(preset: str) -> Fault:
    """Return the fault for a preset in force that the document does not define."""
    return Fault(f"presets.{preset}", "the preset in force is not in the document")


def write_document(configuration: Configuration) -> dict[str, Any]:
    """Convert a configuration to a document."""
    document: dict[str, Any] = {"format": FORMAT}
    for table, entries_by_name in tables_of(configuration).items():
        document[table] = {
            name: _without_name(_converter.unstructure(entry))
            for name, entry in entries_by_name.items()
        }
    return document


def _without_name(entry: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in entry.items() if key != "name" and value is not None}


def _read_top_level(document: Document, state: _ReadState) -> None:
    if document.get("format") != FORMAT:
        state.faults.append(Fault("format", f"must be {FORMAT}"))
    for key in document:
        if key != "format" and key not in _TABLES:
            state.faults.append(Fault(key, "unknown key"))


def _read_table(raw: object, table: str, entry_type: type[T], state: _ReadState) -> dict[str, T]:
    if not isinstance(raw, Mapping):
        state.faults.append(Fault(table, "must be a table"))
        return {}
    entries: dict[str, T] = {}
    previous = _previous_entries(state.before, table)
    for name, fields in raw.items():
        if name in previous.entries and _encodes_equally(previous.raw[name], fields):
            entries[name] = previous.entries[name]
            continue
        path = f"{table}.{name}"
        if not isinstance(fields, Mapping):
            state.faults.append(Fault(path, "must be a table"))
        elif "name" in fields:
            state.faults.append(Fault(f"{path}.name", "unknown key"))
        else:
            try:
                entries[name] = _converter.structure({**fields, "name": name}, entry_type)
            except cattrs.BaseValidationError as error:
                state.faults.extend(_faults_of(error, path))
    return entries


@dataclass(frozen=True, slots=True)
class _PreviousTable:
    raw: Mapping[str, Any]
    entries: Mapping[str, Any]


def _encodes_equally(first: object, second: object) -> bool:
    """Return whether two raw entries have the same JSON encoding.

    In Python 1, 1.0 and True are equal, but the validation of a new entry tells them apart. Reusing
    such an entry would accept a record that a process without the previous document rejects.
    """
    return first == second and msgspec.json.encode(first) == msgspec.json.encode(second)


def _previous_entries(before: PreviousDocument | None, table: str) -> _PreviousTable:
    if before is None:
        return _PreviousTable({}, {})
    entries: Mapping[str, Any] = getattr(before.configuration, f"{table}_by_name")
    return _PreviousTable(before.document.get(table, {}), entries)


def _faults_of(error: cattrs.BaseValidationError, path: str) -> list[Fault]:
    """Return a fault for each validation error of the converter."""
    faults: list[Fault] = []
    for line in cattrs.transform_error(error, path, _error_message):
        message, _, location = line.rpartition(" @ ")
        location = location.replace("['", ".").replace("']", "")
        location = location.replace(".overrides_by_class", ".classes")
        if message.startswith(_UNKNOWN_KEYS):
            keys = message.removeprefix(_UNKNOWN_KEYS).split(_KEY_SEPARATOR)
            faults.extend(Fault(f"{location}.{key}", "unknown key") for key in keys)
        else:
            faults.append(Fault(location, message))
    return faults


def _error_message(error: BaseException, _: type | None) -> str:
    """Return the operator-facing message for a converter error."""
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return _UNKNOWN_KEYS + _KEY_SEPARATOR.join(sorted(error.extra_fields))
    if isinstance(error, KeyError):
        return "missing"
    return str(error)


def _strict_hook(expected: type, *accepted: type) -> Any:
    """Return a structure hook that accepts only the given types instead of coercing values."""

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
    converter.register_structure_hook(bool, _strict_hook(bool))
    converter.register_structure_hook(int, _strict_hook(int))
    converter.register_structure_hook(float, _strict_hook(float, int))
    converter.register_structure_hook(str, _strict_hook(str))
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
