"""Waiting times between attempts: they double up to a limit and are drawn at random below it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

DEFAULT_INITIAL = timedelta(milliseconds=50)
DEFAULT_LIMIT = timedelta(seconds=2)


class Backoff:
    """The waits of one series of failed attempts.

    The jitter is drawn over the whole wait, so that processes which lost a service at one moment
    don't come back to it at one moment.
    """

    def __init__(
        self,
        random: Random,
        initial: timedelta = DEFAULT_INITIAL,
        limit: timedelta = DEFAULT_LIMIT,
    ) -> None:
        self._random = random
        self._initial = initial
        self._limit = limit
        self._next = initial

    def reset(self) -> None:
        """Start anew after a success."""
        self._next = self._initial

    def next_wait(self) -> timedelta:
        """Return how long to wait before the next attempt."""
        most = self._next
        self._next = min(self._limit, most * 2)
        return max(most * self._random.random(), self._initial / 10)
