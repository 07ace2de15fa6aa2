"""Permission to act for a duty, checked immediately before each write."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission of one entry to act for a duty, valid while its lease lasts."""

    holder: str
    fencing_token: int
    remaining: Callable[[], float]
    """Returns the seconds for which the permit is still valid at the time of the call."""
