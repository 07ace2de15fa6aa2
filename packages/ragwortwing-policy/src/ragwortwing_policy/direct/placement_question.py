"""What is asked of placement, and what it answers."""

from __future__ import annotations

from dataclasses import dataclass

from .backend_list import BackendServer
from .engine_load import PromptReading
from .prompt_parts import Prompt

READING_PART = 0.5
"""Part of the shortest pause target that may be read in one go beside the streams that have it: the
rest of the pause is the tokens of their event, and what another entry sends meanwhile."""

READING_ALLOWANCE = 0.1
"""Seconds of reading in one go where no pause target is declared."""

LARGE_PROMPT_PART = 0.5
"""Part of the budget that one prompt is counted with at most."""


@dataclass(frozen=True, slots=True)
class PlacementQuestion:
    """A request that wants an engine."""

    service: str
    prompt: Prompt
    latency_target: float
    """Seconds from now in which the first event is on time; may be negative."""
    urgency: int = 0
    """Rank among the requests that engines run; 0 is the most urgent."""
    shortest_pause: float | None = None
    """Shortest pause target in seconds of the streams on the service's engines, where declared."""
    may_wait: bool = False
    """Whether it is early enough to wait for an engine that reads nothing else."""
    zone: str = ""
    """Availability zone of the entry that it came to; among equal engines one there goes first."""
    pause_target: float | None = None
    """Longest pause in seconds between its own events for which it is on time, where declared."""

    @property
    def reading_allowance(self) -> float:
        """Seconds of reading in one go that the most sensitive streams stand."""
        if self.shortest_pause is None:
            return READING_ALLOWANCE
        return READING_PART * self.shortest_pause


@dataclass(frozen=True, slots=True)
class Placed:
    """The engine to send to."""

    backend: BackendServer
    reading: PromptReading
    first_event_after: float
    """Predicted seconds to the first event."""


@dataclass(frozen=True, slots=True)
class LeastPlanned:
    """The least prefill that is planned on any engine: a bound that costs little to ask."""

    beside_sensitive: float
    """Seconds within the shortest pause target, on engines for short prompts."""
    beside_tolerant: float
    """Seconds within the request's own pause target, on engines for long prompts."""
    tokens_per_second: float
    """Reading rate of the fastest engine."""
    budget: float | None
    """Seconds of prefill within the request's own pause target; None where it is not bounded."""

    def may_take(self, question: PlacementQuestion, unread: int) -> bool:
        """Return whether some engine might take a long prompt within what its streams stand.

        Args:
            question: The request.
            unread: Fewest prompt tokens that any engine has to read.
        """
        seconds = unread / self.tokens_per_second
        if self.beside_sensitive + seconds <= question.reading_allowance:
            return True
        if self.budget is None or self.beside_tolerant <= 0.0:
            return True
        return self.beside_tolerant + counted_seconds(seconds, self.budget) <= self.budget


@dataclass(frozen=True, slots=True)
class NoRoom:
    """No engine takes the request in time now."""

    first_event_after: float | None
    """Predicted seconds to the first event on the best engine; None where there is none at all."""


def counted_seconds(seconds: float, budget: float) -> float:
    """Return what a prompt takes of a budget.

    One that takes longer than the budget alone would only ever find an idle engine.
    """
    return min(seconds, LARGE_PROMPT_PART * budget)
