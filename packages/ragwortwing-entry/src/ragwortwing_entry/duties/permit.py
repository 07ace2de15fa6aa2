"""The right to act for a duty, checked just before each write."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Permit:
    """The right of one entry to act for a duty, for as long as its lease lasts."""

    holder: str
    fencing_token: int
    remaining: Callable[[], float]
    """Seconds for which it still holds, at the moment of the question."""
