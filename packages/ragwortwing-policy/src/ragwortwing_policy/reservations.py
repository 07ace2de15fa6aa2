"""Reservations that entries request from agents, and the decisions of the agent's scheduler.

A reservation is small because it does not contain the request's body. The entry sends the body only
after the agent has granted a slot. Until then the request has certainly not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from .clock import Instant
from .outcomes import NotRunReason


@dataclass(frozen=True, slots=True)
class Reservation:
    """A request for a slot."""

    request_id: str
    request_class: str
    account: str
    model: str
    """Name of the model or, for a call to a plain service, of the service."""
    deadline: Instant
    """When the caller stops waiting, on this process's monotonic clock."""
    prompt_tokens: int = 0
    expected_tokens: int = 0
    """Expected answer length in tokens, or 0 if unknown."""
    prefix_hash: int = 0
    """Hash of the prompt's prefix for cache affinity, or 0 for none."""
    resumed_tokens: int = 0
    """Tokens that an earlier run already delivered to the caller; 0 for a new request."""
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Grant:
    """A slot is held for the request until the grant expires."""

    request_id: str
    expires_at: Instant


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request has not run and will not run on this agent."""

    request_id: str
    reason: NotRunReason
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Preempt:
    """A running request must give up its slot; it will be resumed at its current offset."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Requeued:
    """A preempted request is queued again; the agent keeps its tokens and body."""

    request_id: str


SchedulerDecision = Grant | Refuse | Preempt | Requeued


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An agent's load, sent with heartbeats and replies; preferred to the engine's own report."""

    running: int
    queued: int
    limit: int
    """Learned concurrency limit of the engine."""
    predicted_wait: timedelta
    """Predicted wait of a new request of the most urgent tier."""
    draining: bool = False
