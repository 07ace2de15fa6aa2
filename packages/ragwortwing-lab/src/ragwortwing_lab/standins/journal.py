"""A file in which a stand-in for a backend server records its executions.

The file survives a crash of the stand-in, so that a test can check what ran before the crash.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path


class Execution(msgspec.Struct, frozen=True):
    """One request that a backend server started to run."""

    request_id: str
    key: str = ""
    """Idempotency key of the request; empty if it had none."""


class Journal:
    """Appends executions to a file; without a path it records nothing."""

    def __init__(self, path: Path | None = None) -> None:
        self._file = None if path is None else path.open("ab", buffering=0)

    def append(self, execution: Execution) -> None:
        """Write an execution unbuffered, so that a crash right after the call does not lose it."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(execution) + b"\n")


def read_journal(path: Path) -> list[Execution]:
    """Return the executions in a file in order; none if the file does not exist."""
    if not path.exists():
        return []
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(each, type=Execution) for each in lines]
