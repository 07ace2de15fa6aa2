"""Where streams began: the service and the software version of each attempt's first event."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import inf
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

if TYPE_CHECKING:
    from .run_report import RunReport

STREAM_LIFETIME = 20.0
"""Seconds after a stream was last known to run within which its caller may resume it."""

MAX_ID_LENGTH = 128
"""Maximum characters of a request id that is recorded; a longer one counts as unknown."""

MAX_RECORDS = 30_000
"""Maximum records of a generation; more make the oldest expire early. A record takes 0.4 KB."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version that began a stream."""

    service: str
    version: str


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """What is known about the origin of one attempt's stream."""

    origin: StreamOrigin | None
    """None if attempts with the same id began streams at different origins."""
    sender: str
    """The entry that served the attempt."""
    send: tuple[int, int]
    """Number of the send, which increases within a process of the entry, and of its grant."""
    is_confirmed: bool = False
    """Whether the first event has arrived; until then a later send may replace this one."""
    recorded_at: Instant = field(default=0.0, compare=False)

    def merged(self, later: OriginRecord) -> OriginRecord:
        """Combine two records of attempts with the same id.

        Example:
            >>> old, new = StreamOrigin("engines", "v1"), StreamOrigin("engines", "v2")
            >>> sent = OriginRecord(old, "entry-1", (1, 0))
            >>> sent.merged(OriginRecord(new, "entry-1", (2, 0))).origin.version
            'v2'
            >>> begun = replace(sent, is_confirmed=True)
            >>> begun.merged(OriginRecord(new, "entry-1", (2, 0))).origin.version
            'v1'
            >>> begun.merged(OriginRecord(new, "entry-2", (1, 0), True)).origin is None
            True
        """
        if self.is_confirmed != later.is_confirmed:
            return self if self.is_confirmed else later
        if self.origin == later.origin:
            return self if self.send > later.send else later
        if not self.is_confirmed and self.sender == later.sender:
            return self if self.send > later.send else later
        # A stream that has begun keeps its origin, so these are two streams with the same id.
        return replace(later, origin=None)


class StreamOrigins:
    """The origins of recent streams by the request id of their attempts.

    Records expire in two generations: each is kept for at least `lifetime` after its last update
    and for at most twice as long.

    Example:
        >>> origins = StreamOrigins()
        >>> record = OriginRecord(StreamOrigin("engines", "v1"), "entry-1", (1, 0), True)
        >>> origins.record("r-1", record, now=0.0)
        >>> origins.find("r-1", now=STREAM_LIFETIME).origin.version
        'v1'
        >>> origins.find("r-1", now=2 * STREAM_LIFETIME) is None
        True
    """

    def __init__(self, lifetime: float = STREAM_LIFETIME, max_records: int = MAX_RECORDS) -> None:
        self._lifetime = lifetime
        self._max_records = max_records
        self._recent: dict[str, OriginRecord] = {}
        self._former: dict[str, OriginRecord] = {}
        self._rotated_at: Instant = -inf
        self._origins: dict[tuple[str, str], StreamOrigin] = {}
        """One object for each origin, which all records share."""

    def __len__(self) -> int:
        return len(self._recent) + len(self._former)

    def origin(self, service: str, version: str) -> StreamOrigin:
        """Return the origin for a service and a version."""
        found = self._origins.get((service, version))
        if found is None:
            found = self._origins[service, version] = StreamOrigin(service, version)
        return found

    def record(self, request_id: str, record: OriginRecord, now: Instant) -> None:
        """Add what is known about an attempt's stream; attempts with too long ids are ignored."""
        if not request_id or len(request_id) > MAX_ID_LENGTH:
            return
        self._rotate(now)
        known = self._recent.get(request_id)
        if known is None:
            known = self._former.pop(request_id, None)
        if known is not None:
            record = known.merged(record)
        self._recent[request_id] = record

    def record_send(
        self,
        ticket: str,
        sender: str,
        origin: StreamOrigin,
        now: Instant,
        *,
        is_confirmed: bool = False,
    ) -> None:
        """Add a send of an attempt to an engine.

        Args:
            ticket: The send's identifier: the request id, the number of the send and, if the entry
                did not use the first grant, the number of the grant.
            sender: The entry that serves the attempt.
            origin: The engine's service and version.
            now: The current instant.
            is_confirmed: Whether the first event has arrived.
        """
        self._rotate(now)
        known = self._recent.get(ticket[: max(0, ticket.rfind("/"))])
        if known is not None and known.is_confirmed and known.origin is origin:
            # Whole reports repeat each run every second.
            return
        parsed = parse_ticket(ticket)
        if parsed is None:
            return
        request_id, send = parsed
        self.record(request_id, OriginRecord(origin, sender, send, is_confirmed, now), now)

    def take_report(self, report: RunReport, now: Instant) -> None:
        """Add the runs of another entry's report."""
        for run in report.runs:
            if run.version is not None:
                self.record_send(
                    run.ticket,
                    report.sender,
                    self.origin(report.pool, run.version),
                    now,
                    is_confirmed=run.is_read,
                )

    def find(self, request_id: str, now: Instant) -> OriginRecord | None:
        """Return what is known about an attempt's stream."""
        self._rotate(now)
        return self._recent.get(request_id) or self._former.get(request_id)

    def _rotate(self, now: Instant) -> None:
        age = now - self._rotated_at
        if age < self._lifetime and len(self._recent) < self._max_records:
            return
        self._former = self._recent if age < 2 * self._lifetime else {}
        self._recent = {}
        self._rotated_at = now


def parse_ticket(ticket: str) -> tuple[str, tuple[int, int]] | None:
    """Return the request id, the number of the send and that of the grant in a ticket.

    Example:
        >>> parse_ticket("a/b/7.2")
        ('a/b', (7, 2))
        >>> parse_ticket("a/b") is None
        True
    """
    request_id, _, rest = ticket.rpartition("/")
    send, _, grant = rest.partition(".")
    if not send.isdecimal() or not (grant or "0").isdecimal():
        return None
    return request_id, (int(send), int(grant or 0))
