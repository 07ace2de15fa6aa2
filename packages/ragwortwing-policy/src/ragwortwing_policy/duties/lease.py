"""The lease under which an entry performs a duty, derived from the log and a local clock.

Each record is appended on the condition that the log still ends where it was last read, so only
one of several competing entries succeeds. The log contains no time. The holder measures its
lease from before it proposed the record, and every other entry from after it has read the
record. The holder's lease therefore always ends first.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ragwortwing_policy.chart import load_chart
from ragwortwing_policy.clock import Instant

from .duty_record import DutyRecord

if TYPE_CHECKING:
    from datetime import timedelta


OFFSETS_KEPT = 8
"""Number of recent records for which the time of a peer's first mention is kept."""


class LeaseState(StrEnum):
    """States of the chart `duty_lease`."""

    UNKNOWN = "unknown"
    FOLLOWING = "following"
    APPENDING = "appending"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Holder:
    """A process that may hold a duty."""

    name: str
    life: int
    """Start of the process in Unix milliseconds."""


@dataclass(frozen=True, slots=True)
class LogState:
    """The log of a duty as last read."""

    end: int
    """Offset of the next record."""
    record: DutyRecord | None = None
    """The newest record; None if there is none or it cannot be decoded."""
    offset: int = -1
    """Offset of the newest record."""


@dataclass(frozen=True, slots=True)
class Proposal:
    """A record and the offset at which it is to be appended."""

    offset: int
    record: DutyRecord
    proposed_at: Instant


class DutyLease:
    """One entry's view of the lease of one duty.

    All instants are of a clock that continues while the machine is suspended.

    Example:
        >>> from datetime import timedelta
        >>> lease = DutyLease(Holder("entry-1", 1), timedelta(seconds=3), started_at=0.0)
        >>> lease.read(LogState(end=0), now=0.0)
        >>> lease.may_append(now=1.0), lease.may_append(now=3.0)
        (False, True)
        >>> proposal = lease.propose(b"", now=3.0)
        >>> lease.accepted(proposal)
        >>> lease.fencing_token, lease.remaining(now=4.0)
        (1, 2.0)
    """

    def __init__(self, holder: Holder, span: timedelta, started_at: Instant) -> None:
        """Create the lease of an entry that does not hold the duty.

        Args:
            holder: The entry's process.
            span: Duration for which a record allows its writer to act.
            started_at: When the process started.
        """
        self._holder = holder
        self._span = span.total_seconds()
        # A previous process of this entry may have acted until just before this one started. This
        # process waits for that lease to end, so that its actions do not interleave with those of
        # a successor.
        self._not_before = started_at + self._span
        self.state = LeaseState.UNKNOWN
        self._log = LogState(end=0)
        self._read_at: Instant | None = None
        self._valid_until: Instant = started_at
        self._unanswered: list[Proposal] = []
        self._heard_at_by_offset: dict[int, Instant] = {}

    @property
    def record(self) -> DutyRecord | None:
        """The newest known record of the log."""
        return self._log.record

    @property
    def fencing_token(self) -> int:
        """The fencing token of the newest record."""
        record = self._log.record
        return record.fencing_token if record is not None else 0

    def holds(self, now: Instant) -> bool:
        """Return whether this entry may act now."""
        return self.remaining(now) > 0.0

    def remaining(self, now: Instant) -> float:
        """Return for how many seconds this entry may still act."""
        if self.state is not LeaseState.HELD:
            return 0.0
        return max(0.0, self._valid_until - now)

    @property
    def offset(self) -> int:
        """Offset of the newest known record; -1 if none is known."""
        return self._log.offset

    def record_peer_offset(self, offset: int, now: Instant) -> None:
        """Record that a peer knows a record: its lease began before now, whenever it is read."""
        self._heard_at_by_offset.setdefault(offset, now)
        while len(self._heard_at_by_offset) > OFFSETS_KEPT:
            del self._heard_at_by_offset[min(self._heard_at_by_offset)]

    def read(self, log: LogState, now: Instant) -> None:
        """Process the state of the log."""
        if log.end < self._log.end:
            return
        if self._read_at is None or log.offset != self._log.offset:
            self._read_at = self._heard_at_by_offset.get(log.offset, now)
        self._log = log
        if log.record is None or not log.record.is_held_by(self._holder.name, self._holder.life):
            self._advance("read_other")
        else:
            self._resolve_own_append(log)
        self._unanswered = [each for each in self._unanswered if each.offset >= log.end]

    def _resolve_own_append(self, log: LogState) -> None:
        """Resolve an unanswered append: its lease runs from when it was proposed."""
        for proposal in self._unanswered:
            if (proposal.offset, proposal.record) == (log.offset, log.record):
                self._valid_until = proposal.proposed_at + self._span
        self._advance("read_own")

    def may_append(self, now: Instant) -> bool:
        """Return whether this entry may append a record now.

        The holder may append at any time, any other entry once the holder's lease has certainly
        ended.
        """
        if now < self._not_before:
            return False
        if self.state is LeaseState.HELD:
            return True
        if self.state is not LeaseState.FOLLOWING:
            return False
        record = self._log.record
        if record is not None and record.released:
            return True
        if not self._log.end:
            return True
        return self._read_at is not None and now >= self._read_at + self._span

    def propose(self, state: bytes, now: Instant, *, release: bool = False) -> Proposal:
        """Return the record to append next.

        Args:
            state: State of the duty to save.
            now: The current instant, taken before anything is sent.
            release: Whether the record releases the duty.
        """
        holds = self.state is LeaseState.HELD
        offset = self._log.end
        token = self.fencing_token if holds else offset + 1
        name, life = self._holder.name, self._holder.life
        proposal = Proposal(offset, DutyRecord(name, life, token, state, release), now)
        self._advance("append")
        return proposal

    def accepted(self, proposal: Proposal) -> None:
        """Record that a proposed record was appended."""
        self._log = LogState(proposal.offset + 1, proposal.record, proposal.offset)
        self._read_at = proposal.proposed_at
        self._unanswered.clear()
        if proposal.record.released:
            self._not_before = proposal.proposed_at + self._span
            self._advance("release")
            return
        self._valid_until = proposal.proposed_at + self._span
        self._advance("accept")

    def rejected(self) -> None:
        """Record that a proposed record was not appended and never will be."""
        self._advance("lose_track")

    def unanswered(self, proposal: Proposal) -> None:
        """Record that a proposed record may have been or may still be appended."""
        self._unanswered.append(proposal)
        if proposal.record.released:
            self._valid_until = proposal.proposed_at
            self._not_before = proposal.proposed_at + self._span
        self._advance("lose_track")

    def lose_track(self) -> None:
        """Discard the known state of the log, so that it has to be read again."""
        self._advance("lose_track")

    def _advance(self, trigger: str) -> None:
        self.state = LeaseState(load_chart("duty_lease").next(self.state, trigger))
