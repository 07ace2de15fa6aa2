"""Temporary exclusion of backend servers whose recent calls failed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .backend_list import BackendServer

FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the failure rate: about the last six calls count."""

EXCLUSION_FAILURE_RATE = 0.4
"""Failure rate from which a backend server is excluded. Two failures in a row reach it. Healthy
plain services fail up to one lookup in seven."""

INITIAL_EXCLUSION_SECONDS = 1.0
"""Duration of the first exclusion in seconds. It doubles with each further failure."""

MAXIMUM_EXCLUSION_SECONDS = 8.0
"""Maximum duration of an exclusion in seconds: a server that has recovered is used again within
it."""

MAXIMUM_EXCLUDED_SHARE = 0.5
"""Largest fraction of a service that may be excluded at a time. Beyond it the service as a whole
is failing, and exclusion would only move the load to the remaining servers."""


ENDED_SECONDS = 4.0
"""Seconds for which a server whose process has ended is not used. Its registration lapses within
that time, or the server is back; with another registration it is used again at once."""

UNREACHABLE_SECONDS = 1.0
"""The same if the process cannot be told from the next one, or may still be starting."""


@dataclass(slots=True)
class _Record:
    failure_rate: float = 0.0
    exclusion_seconds: float = INITIAL_EXCLUSION_SECONDS
    excluded_until: Instant = 0.0
    ended_until: Instant = 0.0


class FailureTracker:
    """Failure rates of backend servers, measured from calls to them.

    Example:
        >>> failure_tracker = FailureTracker()
        >>> failure_tracker.failed("i-1", now=0.0)
        False
        >>> failure_tracker.failed("i-1", now=0.1)
        True
        >>> failure_tracker.is_excluded("i-1", now=0.5), failure_tracker.is_excluded("i-1", now=2.0)
        (True, False)
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Record] = {}

    def succeeded(self, backend_id: str) -> None:
        """Record a call that the backend server answered."""
        record = self._by_id.get(backend_id)
        if record is None:
            return
        record.failure_rate *= 1 - FAILURE_WEIGHT
        record.exclusion_seconds = max(INITIAL_EXCLUSION_SECONDS, record.exclusion_seconds / 2)

    def failed(self, backend_id: str, now: Instant, *, at_once: bool = False) -> bool:
        """Record a failed call and return whether the backend server is excluded from now on.

        Args:
            backend_id: The backend server.
            now: The current instant.
            at_once: Whether this call alone shows that it should be excluded.
        """
        record = self._by_id.setdefault(backend_id, _Record())
        weight = 1.0 if at_once else FAILURE_WEIGHT
        record.failure_rate += weight * (1 - record.failure_rate)
        if record.failure_rate < EXCLUSION_FAILURE_RATE or now < record.excluded_until:
            return False
        record.excluded_until = now + record.exclusion_seconds
        record.exclusion_seconds = min(MAXIMUM_EXCLUSION_SECONDS, 2 * record.exclusion_seconds)
        return True

    def ended(self, backend: BackendServer, now: Instant) -> None:
        """Record that the registered process of a backend server has ended."""
        known = backend.started_at is not None
        self._leave_out(backend.id, now + (ENDED_SECONDS if known else UNREACHABLE_SECONDS))

    def refused(self, backend_id: str, now: Instant) -> None:
        """Record that nothing listens at a backend server's address."""
        self._leave_out(backend_id, now + UNREACHABLE_SECONDS)

    def _leave_out(self, backend_id: str, until: Instant) -> None:
        record = self._by_id.setdefault(backend_id, _Record())
        record.ended_until = max(record.ended_until, until)

    def is_excluded(self, backend_id: str, now: Instant) -> bool:
        """Return whether a backend server is currently excluded."""
        record = self._by_id.get(backend_id)
        return record is not None and now < record.excluded_until

    def without_excluded(
        self, backends: Sequence[BackendServer], now: Instant
    ) -> Sequence[BackendServer]:
        """Return the servers that are not excluded, or all if too many are excluded.

        Servers whose process has ended are left out in either case, unless no other is left.
        """
        backends = [each for each in backends if not self._has_ended(each.id, now)] or backends
        available_backends = [each for each in backends if not self.is_excluded(each.id, now)]
        if len(available_backends) < (1 - MAXIMUM_EXCLUDED_SHARE) * len(backends):
            return backends
        return available_backends

    def _has_ended(self, backend_id: str, now: Instant) -> bool:
        record = self._by_id.get(backend_id)
        return record is not None and now < record.ended_until

    def forget(self, backend_id: str) -> None:
        """Remove a backend server that is gone or has restarted."""
        self._by_id.pop(backend_id, None)
