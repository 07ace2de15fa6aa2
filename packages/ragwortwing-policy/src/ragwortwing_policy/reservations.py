"""What an entry asks of an agent, and what the agent's scheduler decides.

A reservation is light: it carries no body. The agent grants it when a slot is free for it, and only
then does the entry send the body. Until that moment the request has truly not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from .clock import Instant
from .outcomes import NotRunReason


@dataclass(frozen=True, slots=True)
class Reservation:
    """A request that asks for a slot."""

    request_id: str
    request_class: str
    account: str
    model: str
    """Model, or the name of the service for a plain call."""
    deadline: Instant
    """When the caller no longer waits, on this process's own monotonic clock."""
    prompt_tokens: int = 0
    expected_tokens: int = 0
    """Expected answer length; 0 where nothing is known."""
    prefix_hash: int = 0
    """Hash of the prompt's prefix, for cache affinity; 0 for none."""
    resumed_tokens: int = 0
    """Tokens already delivered to the caller by an earlier run; a resumed request is mid-answer."""
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Grant:
    """The slot is held for the request until it expires."""

    request_id: str
    expires_at: Instant


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request will not run here; it has not run."""

    request_id: str
    reason: NotRunReason
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Preempt:
    """A running request must give its slot to a more urgent one; it is resumed at its offset."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Requeued:
    """A preempted request is queued again; the agent keeps its tokens and body."""

    request_id: str


SchedulerDecision = Grant | Refuse | Preempt | Requeued


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An agent's own counts, sent with heartbeats and replies; they beat the engine's report."""

    running: int
    queued: int
    limit: int
    """Concurrency limit learned for the engine."""
    predicted_wait: timedelta
    """Predicted wait of a new request of the most urgent tier."""
    draining: bool = False
