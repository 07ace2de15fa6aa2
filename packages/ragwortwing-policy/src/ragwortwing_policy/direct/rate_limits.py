"""Request rate limits that backend servers announce in their answers.

A limit applies to all entries together. The scheduler of the server's pool enforces it for the
fleet; entries tell each other which limits they have observed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .backend_list import BackendServer

MINIMUM_HOLD_SECONDS = 2.0
"""Minimum seconds for which a limit stays in force after an answer has announced it: not every
answer announces it, and answers may arrive out of order."""

USED_FRACTION = 0.9
"""Fraction of a limit that is used: requests do not arrive as evenly as they are sent."""

MINIMUM_RATE = 0.25
"""Requests per second that a server is sent under any limit: only its answers show that a limit
has ended."""

BURST_SPAN = 0.25
"""Burst size in seconds at the limited rate; at least one request."""

NOTICE_LIFETIME = 5.0
"""Seconds for which an observation is included in statuses."""

ANNOUNCED_FALL_RATIO = 0.8
"""Fraction of the last announced rate below which a new rate is announced at once."""

WAIT_TOLERANCE = 1e-6
"""Waits up to this many seconds count as zero."""


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """An observed limit, as entries tell each other."""

    rate: float | None
    """Requests per second from all entries together; None if there is no limit any more."""
    age: float
    """Seconds since the answer."""


@dataclass(slots=True)
class _Limit:
    rate: float | None
    observed_at: Instant
    tokens: float
    filled_at: Instant
    own: bool
    """Whether this entry has observed the limit, as opposed to a peer."""
    announced_rate: float | None = None
    """Last rate that was announced to peers at once; None if there was none."""


class RateLimits:
    """The limits in force by backend server, enforced as token buckets.

    Example:
        >>> limits = RateLimits()
        >>> limits.observe("i-1", 2.0, sent_at=0.0, now=0.0)
        >>> limits.wait_for("i-1", now=0.1)
        0.45...
        >>> limits.spend("i-1")
        >>> limits.wait_for("i-1", now=0.6) > 0.4
        True
        >>> limits.wait_for("i-2", now=0.6)
        0.0
        >>> limits.observe("i-1", None, sent_at=2.0, now=2.1)
        >>> limits.rate("i-1") is None
        True
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Limit] = {}
        self.urgent_changes = 0
        """Increases with each change that peers should be told at once."""

    @property
    def rate_by_id(self) -> Mapping[str, float]:
        """Requests per second that limited backend servers accept from all entries together."""
        return {key: each.rate for key, each in self._by_id.items() if each.rate is not None}

    def rate(self, backend_id: str) -> float | None:
        """Return the limit of a backend server, or None if it has none."""
        known = self._by_id.get(backend_id)
        return None if known is None else known.rate

    def observe(self, backend_id: str, rate: float | None, sent_at: Instant, now: Instant) -> None:
        """Process what an answer says about the limit.

        Args:
            backend_id: The backend server.
            rate: The limit announced by the answer; None if it announces none.
            sent_at: When the request was sent.
            now: The current instant.
        """
        known = self._by_id.get(backend_id)
        if rate is None:
            if known is None or known.rate is None:
                return
            if sent_at <= known.observed_at or now - known.observed_at < MINIMUM_HOLD_SECONDS:
                return
        known = self._record(backend_id, rate, now, own=True)
        announced = known.announced_rate
        if rate is None or announced is None or rate < ANNOUNCED_FALL_RATIO * announced:
            known.announced_rate = rate
            self.urgent_changes += 1

    def update_from_peer(self, backend_id: str, notice: LimitNotice, now: Instant) -> None:
        """Record a limit observed by a peer, unless this entry knows a later observation."""
        known = self._by_id.get(backend_id)
        observed_at = now - notice.age
        if known is not None and observed_at <= known.observed_at:
            return
        if known is not None or notice.rate is not None:
            self._record(backend_id, notice.rate, observed_at, own=False)

    def notices(self, now: Instant) -> Mapping[str, LimitNotice]:
        """Return the limits that this entry has observed recently."""
        return {
            key: LimitNotice(each.rate, now - each.observed_at)
            for key, each in self._by_id.items()
            if each.own and now - each.observed_at < NOTICE_LIFETIME
        }

    def admitting(
        self, servers: Sequence[BackendServer], now: Instant, share: float = 1.0
    ) -> Sequence[BackendServer]:
        """Return the backend servers that may be sent a request now.

        Args:
            servers: The backend servers.
            now: The current instant.
            share: Fraction of the limits that this entry may use.
        """
        if not self._by_id:
            return servers
        return [each for each in servers if self.wait_for(each.id, now, share) <= 0.0]

    def wait_for(self, backend_id: str, now: Instant, share: float = 1.0) -> float:
        """Return the seconds until a backend server may be sent a request."""
        known = self._by_id.get(backend_id)
        if known is None or known.rate is None:
            return 0.0
        pace = share * max(MINIMUM_RATE, USED_FRACTION * known.rate)
        _fill(known, pace, now)
        wait = (1.0 - known.tokens) / pace
        return wait if wait > WAIT_TOLERANCE else 0.0

    def spend(self, backend_id: str) -> None:
        """Record a request that is sent to a backend server."""
        known = self._by_id.get(backend_id)
        if known is not None and known.rate is not None:
            known.tokens -= 1.0

    def forget(self, backend_id: str) -> None:
        """Remove a backend server that is gone or has restarted."""
        self._by_id.pop(backend_id, None)

    def _record(
        self, backend_id: str, rate: float | None, observed_at: Instant, *, own: bool
    ) -> _Limit:
        known = self._by_id.get(backend_id)
        if known is None or known.rate is None:
            known = self._by_id[backend_id] = _Limit(rate, observed_at, 0.0, observed_at, own)
        else:
            known.rate, known.observed_at, known.own = rate, observed_at, own
        return known


def _fill(limit: _Limit, pace: float, now: Instant) -> None:
    most = max(1.0, BURST_SPAN * pace)
    limit.tokens = min(most, limit.tokens + pace * (now - limit.filled_at))
    limit.filled_at = now
