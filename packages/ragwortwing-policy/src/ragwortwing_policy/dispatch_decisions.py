"""What a request at an entry may decide, and which of several refusals its caller is told."""

from __future__ import annotations

from dataclasses import dataclass

from .outcomes import NotRun, NotRunReason, Outcome
from .routing import NO_BACKEND_RETRY_AFTER

FINAL_REASONS = frozenset(
    {
        NotRunReason.RATE_LIMITED,
        NotRunReason.CONCURRENCY_LIMITED,
        NotRunReason.SHED_BY_PRESET,
        NotRunReason.KEY_OUT_OF_WINDOW,
        NotRunReason.KEY_REUSED,
        NotRunReason.IN_PROGRESS,
        NotRunReason.WITHDRAWN,
    }
)
"""Reasons that lie in the request or its account, so that another agent would say the same."""

REASONS_BY_RANK = (
    NotRunReason.OVERLOADED,
    NotRunReason.LOG_UNAVAILABLE,
    NotRunReason.DEADLINE,
    NotRunReason.DRAINING,
    NotRunReason.UNCONFIGURED,
    NotRunReason.NO_BACKEND,
)
"""Which of several agents' reasons the caller is told: the one that says most comes first."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Send a reservation to an agent."""

    agent_id: str


@dataclass(frozen=True, slots=True)
class SendBody:
    """Send the body to the agent that granted the slot."""

    agent_id: str
    resumed: bool = False
    """Whether the text that the caller already has goes with it."""


@dataclass(frozen=True, slots=True)
class WithdrawFrom:
    """Tell an agent that the reservation, or the run, is no longer wanted."""

    agent_id: str


@dataclass(frozen=True, slots=True)
class Conclude:
    """Give the caller the request's one outcome."""

    outcome: Outcome


DispatchDecision = Ask | SendBody | WithdrawFrom | Conclude


def best_refusal(refusals: list[NotRun]) -> NotRun:
    """Return one refusal for several: the reason that says most, the earliest time to come back.

    Example:
        >>> from datetime import timedelta
        >>> draining = NotRun(NotRunReason.DRAINING, timedelta(seconds=1))
        >>> overloaded = NotRun(NotRunReason.OVERLOADED, timedelta(seconds=3))
        >>> best_refusal([draining, overloaded]).reason
        <NotRunReason.OVERLOADED: 'overloaded'>
        >>> best_refusal([draining, overloaded]).retry_after
        datetime.timedelta(seconds=1)
    """
    reasons = {each.reason for each in refusals}
    reason = next((each for each in REASONS_BY_RANK if each in reasons), NotRunReason.NO_BACKEND)
    times = [each.retry_after for each in refusals if each.retry_after is not None]
    return NotRun(reason, min(times, default=NO_BACKEND_RETRY_AFTER))
