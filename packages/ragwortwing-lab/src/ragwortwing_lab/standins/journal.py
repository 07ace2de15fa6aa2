"""What a backend server's stand-in ran, in a file that outlives a crash of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path


class Execution(msgspec.Struct, frozen=True):
    """One request that a backend server began to run."""

    request_id: str
    key: str = ""
    """Idempotency key, where the request came with one."""


class Journal:
    """Appends executions to a file; without a path it keeps nothing."""

    def __init__(self, path: Path | None = None) -> None:
        self._file = None if path is None else path.open("ab", buffering=0)

    def append(self, execution: Execution) -> None:
        """Write an execution; it is in the file when this returns, even if a crash follows."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(execution) + b"\n")


def read_journal(path: Path) -> list[Execution]:
    """Return the executions of a file, in order."""
    if not path.exists():
        return []
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(each, type=Execution) for each in lines]
