"""The decision where a stream that a caller resumes may go on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ragwortwing_policy.outcomes import NotRunReason

from .stream_origins import STREAM_LIFETIME, OriginRecord, StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet
    from datetime import timedelta

ATTEMPTS_PER_STREAM = 4
"""Attempts at a route's timeout that a stream may have lasted when its caller resumes it: the
first one and three retries. A stream that began earlier could have begun at a version that left
while no entry ran."""


class OriginSource(StrEnum):
    """How the origin of a stream is known."""

    RECORD = "record"
    """An entry has recorded the stream's first event."""
    SOLE_VERSION = "sole_version"
    """No other version was listed while the stream can have begun."""


@dataclass(frozen=True, slots=True)
class MayGoOn:
    """The stream may go on at its origin."""

    origin: StreamOrigin
    source: OriginSource


@dataclass(frozen=True, slots=True)
class MayNotGoOn:
    """The stream must not go on anywhere."""

    reason: NotRunReason


@dataclass(frozen=True, slots=True)
class OriginEvidence:
    """What one or several entries know about the origin of a stream."""

    record: OriginRecord | None = None
    versions: frozenset[str] = frozenset()
    """Versions that are known to have been listed while the stream can have begun."""
    covers: bool = False
    """Whether an entry knows all versions that were listed until it last read the list."""
    is_current: bool = False
    """Whether such an entry has read the list after the caller resumed the stream. Without that, a
    version that joined since its last reading may have begun the stream."""

    @property
    def is_recorded(self) -> bool:
        """Whether the first event of the stream was recorded."""
        return self.record is not None and self.record.is_confirmed

    @property
    def has_one_version(self) -> bool:
        """Whether only one version is known, so that a current reading may show it is the only."""
        return self.covers and len(self.versions) == 1

    @property
    def sole_version(self) -> str | None:
        """The only version that can have begun the stream; None if there may be several."""
        if not (self.is_current and self.has_one_version):
            return None
        (version,) = self.versions
        return version

    def merged(self, other: OriginEvidence) -> OriginEvidence:
        """Combine what two entries know."""
        records = [each for each in (self.record, other.record) if each is not None]
        return OriginEvidence(
            records[0].merged(records[-1]) if records else None,
            self.versions | other.versions,
            self.covers or other.covers,
            (self.covers and self.is_current) or (other.covers and other.is_current),
        )


def decide_resumption(evidence: OriginEvidence, services: AbstractSet[str]) -> MayGoOn | MayNotGoOn:
    """Decide where a stream may go on.

    Args:
        evidence: What is known about its origin.
        services: The services of its route in the configuration in force.

    Example:
        >>> record = OriginRecord(StreamOrigin("engines", "v1"), "entry-1", (1, 0), True)
        >>> decide_resumption(OriginEvidence(record), {"engines"}).origin.version
        'v1'
        >>> decide_resumption(OriginEvidence(record), {"others"}).reason.value
        'no_same_version'
        >>> sole = OriginEvidence(None, frozenset({"v1"}), covers=True, is_current=True)
        >>> decide_resumption(sole, {"engines"}).source
        <OriginSource.SOLE_VERSION: 'sole_version'>
        >>> decide_resumption(OriginEvidence(), {"engines"}).reason.value
        'stream_unknown'
    """
    record = evidence.record
    # A grant or a send alone may have been followed by another, which began the stream.
    if record is not None and evidence.is_recorded:
        if record.origin is None:
            return MayNotGoOn(NotRunReason.STREAM_UNKNOWN)
        if record.origin.service not in services:
            return MayNotGoOn(NotRunReason.NO_SAME_VERSION)
        return MayGoOn(record.origin, OriginSource.RECORD)
    version = evidence.sole_version
    if version is None or len(services) != 1:
        return MayNotGoOn(NotRunReason.STREAM_UNKNOWN)
    (service,) = services
    return MayGoOn(StreamOrigin(service, version), OriginSource.SOLE_VERSION)


def stream_lifetime(timeout: timedelta) -> float:
    """Return how many seconds ago a stream on a route may have begun that is resumed now."""
    return max(STREAM_LIFETIME, ATTEMPTS_PER_STREAM * timeout.total_seconds())
