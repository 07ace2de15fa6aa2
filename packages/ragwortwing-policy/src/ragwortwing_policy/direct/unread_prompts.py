"""The reading that is still ahead of an engine, by urgency."""

from __future__ import annotations

from .routing_table import LEAST_URGENT_TIER


class UnreadPrompts:
    """Prompts that were sent to an engine and have had no first event, as seconds of reading.

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
        """Count a prompt."""
        self._change(1, urgency, seconds)

    def remove(self, urgency: int, seconds: float) -> None:
        """Take a prompt out that has been read, or will not be."""
        self._change(-1, urgency, -seconds)

    def _change(self, prompts: int, urgency: int, seconds: float) -> None:
        self.prompts += prompts
        rank = min(LEAST_URGENT_TIER, max(0, urgency))
        self._seconds[rank] = max(0.0, self._seconds[rank] + seconds)
        if not self.prompts:
            # Sums of fractions leave a rest behind, and an idle engine would look busy.
            self._seconds = [0.0] * (LEAST_URGENT_TIER + 1)

    def seconds(self, urgency: int = LEAST_URGENT_TIER) -> float:
        """Return the seconds of reading of prompts at least as urgent."""
        return sum(self._seconds[: urgency + 1])
