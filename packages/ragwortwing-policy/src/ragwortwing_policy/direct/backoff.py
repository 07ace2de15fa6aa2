"""Backoff from backend servers whose answers ask this entry to send nothing for some time.

A backoff concerns the entry that was asked; the server may accept the requests of other entries.
After it, the number of concurrent requests grows from one with each request that the server
accepts: requests that waited for its end would otherwise overload the server again.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence
    from random import Random

    from .backend_list import BackendServer

MAXIMUM_BACKOFF_SECONDS = 3600.0
"""Longest backoff in seconds; it also bounds what a server that sends an absurd value can lose."""

JITTER_FRACTION = 0.1
"""Largest fraction by which a backoff is prolonged at random, so that entries which were asked at
the same time do not return at the same time."""

RETRY_JITTER_FRACTION = 1.0
"""The same for the time after which callers should retry."""

RECOVERY_SECONDS = 5.0
"""Seconds after a backoff for which the number of concurrent requests is limited."""

RECOVERY_POLL = 0.02
"""Seconds until a request that the limit holds back is considered again."""


@dataclass(slots=True)
class _Backoff:
    until: Instant
    limit: int = 1
    """Concurrent requests that may be sent after the backoff."""


class Backoffs:
    """The backoffs of one entry, by backend server.

    Example:
        >>> from random import Random
        >>> backoffs = Backoffs(Random(1))
        >>> backoffs.begin("i-1", 3.0, now=0.0) >= 3.0
        True
        >>> backoffs.blocked_until("i-1", in_flight=0, now=2.9) >= 3.0
        True
        >>> backoffs.blocked_until("i-1", in_flight=0, now=3.5) <= 3.5
        True
        >>> backoffs.blocked_until("i-1", in_flight=1, now=3.5) > 3.5
        True
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._by_id: dict[str, _Backoff] = {}

    def begin(self, backend_id: str, seconds: float, now: Instant) -> Instant:
        """Begin a backoff, or prolong one, and return its end.

        Args:
            backend_id: The backend server.
            seconds: Seconds for which the server asks for no requests.
            now: The current instant.
        """
        self._drop_expired(now)
        until = now + self._prolonged(min(seconds, MAXIMUM_BACKOFF_SECONDS), JITTER_FRACTION)
        known = self._by_id.get(backend_id)
        if known is not None:
            until = max(until, known.until)
        self._by_id[backend_id] = _Backoff(until)
        return until

    def accepted(self, backend: BackendServer, now: Instant) -> None:
        """Record that a backend server has accepted a request."""
        known = self._by_id.get(backend.id)
        if known is not None and now >= known.until:
            known.limit = min(max(1, backend.slots), known.limit + 1)

    def blocked_until(self, backend_id: str, in_flight: int, now: Instant) -> Instant:
        """Return until when a plain server is sent nothing; -inf if it is available.

        Args:
            backend_id: The backend server.
            in_flight: Requests of this entry that the server is processing.
            now: The current instant.
        """
        known = self._by_id.get(backend_id)
        if known is None or now >= known.until + RECOVERY_SECONDS:
            return -inf
        if now < known.until:
            return known.until
        return now + RECOVERY_POLL if in_flight >= known.limit else -inf

    def until_by_id(self, backends: Iterable[BackendServer], now: Instant) -> Mapping[str, Instant]:
        """Return the ends of the backoffs from given servers that have not ended."""
        if not self._by_id:
            return {}
        found = {each.id: self._by_id[each.id].until for each in backends if each.id in self._by_id}
        return {key: until for key, until in found.items() if until > now}

    def retry_after(self, backends: Sequence[BackendServer], now: Instant) -> float | None:
        """Return the seconds after which callers should retry if all servers are in backoff.

        Returns:
            The seconds until the first backoff ends, prolonged at random; None if a server is
            not in backoff or there is none.
        """
        until_by_id = self.until_by_id(backends, now)
        if not backends or len(until_by_id) < len(backends):
            return None
        return self._prolonged(min(until_by_id.values()) - now, RETRY_JITTER_FRACTION)

    def forget(self, backend_id: str) -> None:
        """End the backoff from a server that has restarted."""
        self._by_id.pop(backend_id, None)

    def _prolonged(self, seconds: float, fraction: float) -> float:
        return seconds * (1 + fraction * self._random.random())

    def _drop_expired(self, now: Instant) -> None:
        for key, each in list(self._by_id.items()):
            if now >= each.until + RECOVERY_SECONDS:
                del self._by_id[key]
