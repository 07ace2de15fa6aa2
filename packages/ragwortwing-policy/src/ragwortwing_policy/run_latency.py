"""The latency of one run, as its entry sees it, told to the router for ejection."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Instant
    from .routing import Router

TOKENS_OBSERVED = 16
"""Tokens of one answer that make one between-token time for the router."""


class RunLatency:
    """Takes the time to first token, and the between-token time of each few tokens, of one run."""

    def __init__(self, router: Router, submitted_at: Instant) -> None:
        self._router = router
        self._submitted_at = submitted_at
        self._marked_at: Instant | None = None
        self._tokens = 0

    def progressed(self, agent_id: str, tokens: int, now: Instant) -> None:
        """Count a piece of the answer and tell the router what it shows."""
        if self._marked_at is None:
            self._marked_at = now
            first_token = timedelta(seconds=now - self._submitted_at)
            self._router.observe(agent_id, first_token, None, now)
            return
        self._tokens += tokens
        if self._tokens >= TOKENS_OBSERVED:
            between = timedelta(seconds=(now - self._marked_at) / self._tokens)
            self._marked_at, self._tokens = now, 0
            self._router.observe(agent_id, None, between, now)
