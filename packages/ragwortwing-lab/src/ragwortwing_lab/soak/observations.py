"""What callers saw of a soak."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..standins.platform_site import EntryProcess, Got


class Kind(StrEnum):
    """Kinds of requests: each has a route of its own."""

    ORDER = "order"
    """Runs once at most."""
    LOOKUP = "lookup"
    CHAT = "chat"
    """A stream that nobody may resume."""
    DRAFT = "draft"
    """A stream that may be resumed."""

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Kind.CHAT, Kind.DRAFT)


@dataclass(frozen=True, slots=True)
class Span:
    """A stretch of the soak."""

    began: float
    ended: float


def incarnation(entry: EntryProcess) -> str:
    """Return a name that no other process has."""
    return f"{entry.name}/{entry.handle.pid}"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request as its caller saw it."""

    request_id: str
    kind: Kind
    entry: str
    """Name and incarnation of the entry."""
    sent_at: float
    ended_at: float
    got: Got | None
    """None where the caller left before an answer."""
