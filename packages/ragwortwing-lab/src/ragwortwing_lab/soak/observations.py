"""What callers saw of a soak."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..standins.platform_site import EntryProcess, Got
from ..standins.published_backend import PublishedBackend


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


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault by which the store's news may come late, or an entry is not there."""

    span: Span
    entry: int | None
    """Number of the entry; None for all of them."""
    strikes_entry: bool
    """Whether the entry itself was struck, rather than its way to the store."""


@dataclass(frozen=True, slots=True)
class Published:
    """A configuration, and when it was published."""

    version: int
    at: float
    unix_time: float


@dataclass(frozen=True, slots=True)
class LimitedSpan:
    """A stretch in which a backend server named a limit."""

    backend: PublishedBackend
    rate: float
    span: Span
