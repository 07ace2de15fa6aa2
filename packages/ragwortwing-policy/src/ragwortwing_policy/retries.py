"""Retry rules and the retry budget of an entry."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from math import exp

from .clock import Instant
from .outcomes import Failed, FailedReason, NotRun, Outcome, Unknown, UnknownReason
from .routing import BackendKind

MAXIMUM_RUNS = 3
"""Maximum number of runs of one request. Without it, a request that crashes engines could crash all
of them."""

RESUME_WINDOW = timedelta(seconds=20)
"""Minimum time for an interrupted answer to find another engine, even after its deadline."""


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits of an entry's retry budget."""

    share: float = 0.1
    """Retries allowed per recent success."""
    floor: float = 3.0
    """Retries allowed within the window without any successes, so that an idle entry can retry."""
    window: timedelta = timedelta(seconds=10)
    """Time constant of the exponential decay of successes and retries."""


class RetryBudget:
    """Limits an entry's retries to a share of its recent successes.

    Example:
        >>> budget = RetryBudget(RetrySettings(share=0.5, floor=0.0))
        >>> budget.try_spend(now=0.0)
        False
        >>> for _ in range(4):
        ...     budget.succeeded(now=0.0)
        >>> [budget.try_spend(now=0.0) for _ in range(3)]
        [True, True, False]
    """

    def __init__(self, settings: RetrySettings | None = None) -> None:
        self._settings = settings or RetrySettings()
        self._successes = 0.0
        self._retries = 0.0
        self._updated_at: Instant = 0.0

    def succeeded(self, now: Instant) -> None:
        """Count a request that completed."""
        self._decay(now)
        self._successes += 1

    def available(self, now: Instant) -> float:
        """Return the number of retries that are currently allowed."""
        self._decay(now)
        settings = self._settings
        return settings.floor + settings.share * self._successes - self._retries

    def try_spend(self, now: Instant) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self.available(now) < 1:
            return False
        self._retries += 1
        return True

    def _decay(self, now: Instant) -> None:
        elapsed = max(0.0, now - self._updated_at)
        factor = exp(-elapsed / self._settings.window.total_seconds())
        self._successes *= factor
        self._retries *= factor
        self._updated_at = max(now, self._updated_at)


@dataclass(frozen=True, slots=True)
class Interruption:
    """A run that ended without a complete answer."""

    kind: BackendKind
    idempotent: bool
    runs: int
    """Number of runs so far, including this one."""
    deadline: Instant
    bytes_delivered: bool
    """Whether part of the answer was already delivered to the caller."""


@dataclass(frozen=True, slots=True)
class RunAgain:
    """Ask other agents, and send the body again."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Ask other agents, and send the body with the text already delivered to the caller."""

    until: Instant
    """When to stop looking for an agent."""


@dataclass(frozen=True, slots=True)
class StopRetrying:
    """Conclude with the given outcome."""

    outcome: Outcome


def decide_after_loss(
    interruption: Interruption, budget: RetryBudget, now: Instant
) -> RunAgain | Resume | StopRetrying:
    """Decide how to continue after an agent or backend server was lost with a submitted request.

    A call that is not idempotent is never repeated. A model's answer that has begun is resumed. A
    resume repeats no output, so it is limited by the run count and not charged to the budget.
    """
    if not interruption.idempotent:
        return StopRetrying(Unknown(UnknownReason.BACKEND_LOST))
    if interruption.bytes_delivered:
        return _decide_resume(interruption, now)
    give_up = StopRetrying(Unknown(UnknownReason.BACKEND_LOST))
    if interruption.runs >= MAXIMUM_RUNS or now >= interruption.deadline:
        return give_up
    return RunAgain() if budget.try_spend(now) else give_up


def decide_after_outcome(
    outcome: Outcome, interruption: Interruption, budget: RetryBudget, now: Instant
) -> RunAgain | Resume | StopRetrying:
    """Decide how to continue after an agent reported the final outcome of a submitted request.

    Agents never retry, so that a request is not retried at two levels. With `NotRun` the agent
    guarantees that the request did not start, so other agents may be asked.
    """
    if isinstance(outcome, NotRun):
        return RunAgain() if now < interruption.deadline else StopRetrying(outcome)
    if isinstance(outcome, Unknown) or _is_lost_mid_stream(outcome):
        decision = decide_after_loss(interruption, budget, now)
        return StopRetrying(outcome) if isinstance(decision, StopRetrying) else decision
    return StopRetrying(outcome)


def _is_lost_mid_stream(outcome: Outcome) -> bool:
    return isinstance(outcome, Failed) and outcome.reason is FailedReason.BACKEND_LOST


def _decide_resume(interruption: Interruption, now: Instant) -> Resume | StopRetrying:
    resumable = interruption.kind is BackendKind.ENGINE and interruption.runs < MAXIMUM_RUNS
    if not resumable:
        return StopRetrying(Failed(FailedReason.BACKEND_LOST))
    return Resume(max(interruption.deadline, now + RESUME_WINDOW.total_seconds()))
