"""Limits on the rate of requests that backend servers name in their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Mapping

HOLD = 2.0
"""Least seconds for which a limit holds after an answer has named it: not every answer need do so,
and answers overtake each other."""


@dataclass(slots=True)
class _Limit:
    rate: float
    named_at: Instant


class RateLimits:
    """The limits that are in force, by backend server.

    Example:
        >>> limits = RateLimits()
        >>> limits.observe("i-1", 3.5, sent_at=0.0, now=0.1)
        >>> dict(limits.rate_by_id)
        {'i-1': 3.5}
        >>> limits.observe("i-1", None, sent_at=0.2, now=0.3)
        >>> limits.observe("i-1", None, sent_at=2.0, now=2.2)
        >>> dict(limits.rate_by_id)
        {}
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Limit] = {}

    @property
    def rate_by_id(self) -> Mapping[str, float]:
        """Requests a second that limited backend servers take from all entries together."""
        return {backend_id: each.rate for backend_id, each in self._by_id.items()}

    def observe(self, backend_id: str, rate: float | None, sent_at: Instant, now: Instant) -> None:
        """Take in what an answer says.

        Args:
            backend_id: The backend server.
            rate: The limit that the answer names; None where it names none.
            sent_at: When the request was sent.
            now: The present instant.
        """
        if rate is not None:
            self._by_id[backend_id] = _Limit(rate, now)
            return
        known = self._by_id.get(backend_id)
        if known is not None and sent_at > known.named_at and now - known.named_at >= HOLD:
            del self._by_id[backend_id]

    def forget(self, backend_id: str) -> None:
        """Forget a backend server that is gone or has restarted."""
        self._by_id.pop(backend_id, None)
