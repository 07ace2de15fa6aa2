"""Decisions of `Dispatch`, and the choice of the refusal that a caller gets."""

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
"""Reasons caused by the request or its account, so that every other agent would refuse it too."""

REASONS_BY_RANK = (
    NotRunReason.OVERLOADED,
    NotRunReason.LOG_UNAVAILABLE,
    NotRunReason.DEADLINE,
    NotRunReason.DRAINING,
    NotRunReason.UNCONFIGURED,
    NotRunReason.NO_BACKEND,
)
"""Order of preference, most informative first, when several agents refuse for different reasons."""


@dataclass(frozen=True, slots=True)
class RequestReservation:
    """Send a reservation request to an agent."""

    agent_id: str


@dataclass(frozen=True, slots=True)
class SendBody:
    """Send the body to the agent that granted the slot."""

    agent_id: str
    resumed: bool = False
    """Whether the text already delivered to the caller is sent with the body."""


@dataclass(frozen=True, slots=True)
class CancelAtAgent:
    """Cancel the reservation or the run at an agent."""

    agent_id: str


@dataclass(frozen=True, slots=True)
class Conclude:
    """End the request with its final outcome."""

    outcome: Outcome


DispatchDecision = RequestReservation | SendBody | CancelAtAgent | Conclude


def best_refusal(refusals: list[NotRun]) -> NotRun:
    """Combine several refusals: the most informative reason and the shortest retry delay.

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
