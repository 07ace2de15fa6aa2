"""Input and results of placement."""

from __future__ import annotations

from dataclasses import dataclass

from .backend_list import BackendServer
from .engine_load import PrefillPlan
from .prompt_parts import Prompt

READING_FRACTION = 0.5
"""Fraction of the shortest pause target that may be spent on prefill in one go next to the
streams with that target. The rest of the pause is for the tokens of their event and for prompts
that another entry sends meanwhile."""

PREFILL_ALLOWANCE = 0.1
"""Seconds of prefill in one go if no pause target is configured."""

MAXIMUM_PROMPT_SHARE = 0.5
"""Maximum fraction of the budget that a single prompt is counted with."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs an engine."""

    service: str
    prompt: Prompt
    latency_target: float
    """Seconds from now within which the first event is on time; may be negative."""
    urgency: int = 0
    """Rank among the requests on the engines; 0 is the most urgent."""
    shortest_pause: float | None = None
    """Shortest pause target in seconds of the streams on the service's engines; None if not
    configured."""
    may_wait: bool = False
    """Whether the request is early enough to wait for an engine without pending prefill."""
    zone: str = ""
    """Availability zone of the entry that received the request; preferred among equal engines."""
    pause_target: float | None = None
    """Maximum pause in seconds between the request's own events; None if not configured."""
    zone_cost: float = 0.0
    """Seconds of first event that an engine must save to be used in another zone."""
    margin: float = 0.0
    """Seconds that `latency_target` keeps for prediction errors of any engine."""

    @property
    def prefill_allowance(self) -> float:
        """Seconds of prefill in one go that the most sensitive streams tolerate."""
        if self.shortest_pause is None:
            return PREFILL_ALLOWANCE
        return READING_FRACTION * self.shortest_pause


@dataclass(frozen=True, slots=True)
class Placed:
    """The chosen engine."""

    backend: BackendServer
    reading: PrefillPlan
    first_event_after: float
    """Predicted seconds to the first event."""


@dataclass(frozen=True, slots=True)
class MinPendingPrefill:
    """The least pending prefill of any engine, as an inexpensive bound for placement."""

    pending_on_short_engines: float
    """Seconds within the shortest pause target, on engines for short prompts."""
    pending_on_long_engines: float
    """Seconds within the request's own pause target, on engines for long prompts."""
    tokens_per_second: float
    """Prefill rate of the fastest engine."""
    budget: float | None
    """Seconds of prefill within the request's own pause target; None if not limited."""

    def may_fit(self, placement_request: PlacementRequest, unread: int) -> bool:
        """Return whether an engine might take a long prompt within the limits of its streams.

        Args:
            placement_request: The request.
            unread: Minimum number of prompt tokens that any engine has to read.
        """
        seconds = unread / self.tokens_per_second
        if self.pending_on_short_engines + seconds <= placement_request.prefill_allowance:
            return True
        if self.budget is None or self.pending_on_long_engines <= 0.0:
            return True
        return self.pending_on_long_engines + counted_seconds(seconds, self.budget) <= self.budget


@dataclass(frozen=True, slots=True)
class NotPlaced:
    """No engine can take the request in time now."""

    first_event_after: float | None
    """Predicted seconds to the first event on the best engine; None if no engine is available."""


def counted_seconds(seconds: float, budget: float) -> float:
    """Return the seconds of a budget that a prompt is counted with.

    The value is capped: a prompt that exceeds the budget by itself would otherwise only ever fit
    an idle engine.
    """
    return min(seconds, MAXIMUM_PROMPT_SHARE * budget)
