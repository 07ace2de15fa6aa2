"""Exponential backoff with full jitter, for the time between attempts."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

DEFAULT_INITIAL_WAIT = timedelta(milliseconds=50)
DEFAULT_MAX_WAIT = timedelta(seconds=2)


class Backoff:
    """Computes the waits in a series of failed attempts.

    The upper bound of the wait doubles with each attempt, up to a limit. The jitter covers the
    whole wait, so that processes that lose a service at the same moment do not all retry at once.
    """

    def __init__(
        self,
        random: Random,
        initial: timedelta = DEFAULT_INITIAL_WAIT,
        limit: timedelta = DEFAULT_MAX_WAIT,
    ) -> None:
        self._random = random
        self._initial = initial
        self._limit = limit
        self._next = initial

    def reset(self) -> None:
        """Restart from the initial wait after a success."""
        self._next = self._initial

    def next_wait(self) -> timedelta:
        """Return the time to wait before the next attempt; at least a tenth of the initial wait."""
        upper_bound = self._next
        self._next = min(self._limit, upper_bound * 2)
        return max(upper_bound * self._random.random(), self._initial / 10)
