"""What may be run a second time, and how often: rules and the entry's retry budget."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from math import exp

from .clock import Instant
from .outcomes import Failed, FailedReason, NotRun, Outcome, Unknown, UnknownReason
from .routing import BackendKind

MAXIMUM_RUNS = 3
"""Times one request may be started on a backend server; a request that brings engines down would
otherwise visit them all."""

RESUME_WINDOW = timedelta(seconds=20)
"""Time an interrupted answer may look for another engine when its first deadline is past."""


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """How many retries an entry allows itself."""

    share: float = 0.1
    """Retries for each recent success."""
    floor: float = 3.0
    """Retries within the window that need no successes, so that a quiet entry may retry too."""
    window: timedelta = timedelta(seconds=10)
    """Time constant over which successes and retries are forgotten."""


class RetryBudget:
    """Retries an entry may still make: a share of its recent successes.

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
        """Return the retries that may be made at this moment."""
        self._decay(now)
        settings = self._settings
        return settings.floor + settings.share * self._successes - self._retries

    def try_spend(self, now: Instant) -> bool:
        """Take one retry from the budget; False where there is none."""
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
    """A run that ended without the whole answer."""

    kind: BackendKind
    idempotent: bool
    runs: int
    """Runs so far, this one among them."""
    deadline: Instant
    bytes_delivered: bool
    """Whether the caller already has some of the answer."""


@dataclass(frozen=True, slots=True)
class RunAgain:
    """Ask other agents, and send the body again."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Ask other agents, and send the body with the text that the caller already has."""

    until: Instant
    """When to give up looking."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Conclude with this outcome."""

    outcome: Outcome


def decide_after_loss(
    interruption: Interruption, budget: RetryBudget, now: Instant
) -> RunAgain | Resume | GiveUp:
    """Decide what follows when a request's agent or backend server was lost after the submit.

    A call that is not idempotent is never repeated. A model's answer that has begun is resumed; it
    repeats no output, so it is bounded by its own count of runs and not charged to the budget.
    """
    if not interruption.idempotent:
        return GiveUp(Unknown(UnknownReason.BACKEND_LOST))
    if interruption.bytes_delivered:
        return _decide_resume(interruption, now)
    lost = GiveUp(Unknown(UnknownReason.BACKEND_LOST))
    if interruption.runs >= MAXIMUM_RUNS or now >= interruption.deadline:
        return lost
    return RunAgain() if budget.try_spend(now) else lost


def decide_after_outcome(
    outcome: Outcome, interruption: Interruption, budget: RetryBudget, now: Instant
) -> RunAgain | Resume | GiveUp:
    """Decide what follows when an agent reported a final outcome of a submitted request.

    The agent itself repeats nothing, so that a request is not retried at two levels. `NotRun` is
    the agent's word that the request did not start: it may be asked for elsewhere.
    """
    if isinstance(outcome, NotRun):
        return RunAgain() if now < interruption.deadline else GiveUp(outcome)
    if isinstance(outcome, Unknown) or _lost_in_stream(outcome):
        decision = decide_after_loss(interruption, budget, now)
        return GiveUp(outcome) if isinstance(decision, GiveUp) else decision
    return GiveUp(outcome)


def _lost_in_stream(outcome: Outcome) -> bool:
    return isinstance(outcome, Failed) and outcome.reason is FailedReason.BACKEND_LOST


def _decide_resume(interruption: Interruption, now: Instant) -> Resume | GiveUp:
    resumable = interruption.kind is BackendKind.ENGINE and interruption.runs < MAXIMUM_RUNS
    if not resumable:
        return GiveUp(Failed(FailedReason.BACKEND_LOST))
    return Resume(max(interruption.deadline, now + RESUME_WINDOW.total_seconds()))
