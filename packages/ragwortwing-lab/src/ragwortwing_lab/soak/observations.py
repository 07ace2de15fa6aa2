"""Records of what callers observed and of the faults and configurations during a soak test."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..standins.platform_site import CallerResponse, EntryProcess
from ..standins.published_backend import PublishedBackend


class Kind(StrEnum):
    """Kinds of requests; each has its own route."""

    ORDER = "order"
    """Must run at most once."""
    LOOKUP = "lookup"
    CHAT = "chat"
    """A stream that must not be resumed."""
    DRAFT = "draft"
    """A stream that may be resumed."""

    @property
    def streams(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (Kind.CHAT, Kind.DRAFT)


class Role(StrEnum):
    """Why a request is sent, and how its caller behaves."""

    USUAL = "usual"
    BURST = "burst"
    """Part of a burst of the second client account."""
    SLOW = "slow"
    """Its large answer is read slowly, or not before its deadline."""
    LOST = "lost"
    """Its caller loses the connection within a stream and resumes the stream."""


@dataclass(frozen=True, slots=True)
class Span:
    """A time span within the soak test, in seconds of the trio clock."""

    start: float
    end: float


def entry_name(number: int) -> str:
    """Return the name of an entry by its number in the fleet."""
    return f"entry-{number}"


def incarnation_name(entry: EntryProcess) -> str:
    """Return the entry's name and process id, which identify one process across restarts."""
    return f"{entry.name}/{entry.handle.pid}"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request as observed by its caller."""

    request_id: str
    kind: Kind
    entry: str
    """Incarnation name of the entry process."""
    sent_at: float
    ended_at: float
    response: CallerResponse | None
    """None if the caller aborted the request or gave up waiting."""
    role: Role = Role.USUAL
    earlier: int = 0
    """Requests that its connection had served before."""
    resumes: str | None = None
    """The attempt whose stream it resumes."""
    first_event: int = 0
    """Number of the event that its stream starts with."""

    @property
    def event_count(self) -> int:
        """Number of complete events in the response."""
        return 0 if self.response is None else self.response.body.count(b"\n\n")


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault that may delay updates from the store or make an entry unavailable."""

    span: Span
    entry: int | None
    """Index of the affected entry; None if all are affected."""
    hits_entry: bool
    """Whether the fault hits the entry process itself rather than the store or the link to it."""


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """A published configuration version and its time of publication."""

    version: int
    at: float
    unix_time: float


@dataclass(frozen=True, slots=True)
class RateLimitedSpan:
    """A time span in which a backend server announced a rate limit."""

    backend: PublishedBackend
    rate: float
    span: Span
