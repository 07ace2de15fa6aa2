"""Pending prefill of an engine by urgency."""

from __future__ import annotations

from .routing_table import LEAST_URGENT_TIER


class UnreadPrompts:
    """Prompts sent to an engine that have had no first event, in seconds of prefill.

    Example:
        >>> unread = UnreadPrompts()
        >>> unread.add(0, 0.25)
        >>> unread.add(2, 0.5)
        >>> unread.seconds(0), unread.seconds(2), unread.prompts
        (0.25, 0.75, 2)
        >>> unread.remove(0, 0.25)
        >>> [unread.seconds(rank) for rank in range(4)], unread.prompts
        ([0.0, 0.0, 0.5, 0.5], 1)
    """

    __slots__ = ("_seconds", "prompts")

    def __init__(self) -> None:
        self.prompts = 0
        self._seconds = [0.0] * (LEAST_URGENT_TIER + 1)

    def add(self, urgency: int, seconds: float) -> None:
        """Add a prompt."""
        self._change(1, urgency, seconds)

    def remove(self, urgency: int, seconds: float) -> None:
        """Remove a prompt that has been read or was cancelled."""
        self._change(-1, urgency, -seconds)

    def _change(self, prompts: int, urgency: int, seconds: float) -> None:
        self.prompts += prompts
        rank = min(LEAST_URGENT_TIER, max(0, urgency))
        self._seconds[rank] = max(0.0, self._seconds[rank] + seconds)
        if not self.prompts:
            # Rounding errors of the sums would make an idle engine look busy.
            self._seconds = [0.0] * (LEAST_URGENT_TIER + 1)

    def seconds(self, urgency: int = LEAST_URGENT_TIER) -> float:
        """Return the seconds of pending prefill of prompts that are at least as urgent."""
        return sum(self._seconds[: urgency + 1])
