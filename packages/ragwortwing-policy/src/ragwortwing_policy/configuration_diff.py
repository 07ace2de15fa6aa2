"""Computes the differences between two configuration documents, key by key."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Difference:
    """A key whose value differs; None stands for a missing key."""

    path: str
    old: Any
    new: Any


def diff_documents(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple[Difference, ...]:
    """Return the differences between two documents, sorted by path.

    Example:
        >>> diff_documents({"a": {"x": 1, "y": 2}}, {"a": {"x": 3}})
        (Difference(path='a.x', old=1, new=3), Difference(path='a.y', old=2, new=None))
    """
    return tuple(_differences("", old, new))


def _differences(path: str, old: Any, new: Any) -> Iterator[Difference]:
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for key in sorted(old.keys() | new.keys()):
            child = f"{path}.{key}" if path else key
            yield from _differences(child, old.get(key), new.get(key))
    elif old != new:
        yield Difference(path, old, new)
