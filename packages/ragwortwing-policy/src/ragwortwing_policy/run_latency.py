"""Measures the latency of one run at the entry and reports it to the router for ejection."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .clock import Instant
    from .routing import Router

TOKENS_PER_SAMPLE = 16
"""Number of tokens over which one between-token sample is averaged."""


class RunLatency:
    """Samples the time to first token and the mean between-token times of one run."""

    def __init__(self, router: Router, submitted_at: Instant) -> None:
        self._router = router
        self._submitted_at = submitted_at
        self._sample_started_at: Instant | None = None
        self._tokens = 0

    def progressed(self, agent_id: str, tokens: int, now: Instant) -> None:
        """Record a chunk of the answer, and report a sample to the router if one is complete."""
        if self._sample_started_at is None:
            self._sample_started_at = now
            first_token = timedelta(seconds=now - self._submitted_at)
            self._router.observe(agent_id, first_token, None, now)
            return
        self._tokens += tokens
        if self._tokens >= TOKENS_PER_SAMPLE:
            between = timedelta(seconds=(now - self._sample_started_at) / self._tokens)
            self._sample_started_at, self._tokens = now, 0
            self._router.observe(agent_id, None, between, now)
