"""Decides which new connections an entry serves while more arrive than it can serve.

The load: most new connections of an availability zone go to one entry. A caller whose connection is
closed before its request is read retries at another entry at once. A caller whose request is read
waits in the queues of the event loop until its time ends.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant

INTERVAL = 0.2
"""Seconds over which the delay is measured, and between two changes of the rate."""

TARGET_DELAY = 0.1
"""Seconds by which the event loop may delay a request, over all the turns that it takes."""

MIN_SAMPLES = 5
"""Minimum connections in an interval that show a standing queue."""

OVERRUN_INTERVALS = 2
"""Intervals in a row with a standing queue after which connections are closed at all."""

FIRST_REDUCTION = 0.5
REDUCTION = 0.7
"""Factors of the accepted rate, at first and for each further interval with a standing queue."""

INCREASE = 1.05
"""Factor of the accepted rate for each interval without one."""

ARRIVAL_DECAY = 0.9
"""Factor of the rate of arrivals that is assumed after each interval with fewer. A process that is
short of processor time has intervals in which it accepts hardly anything."""

MIN_RATE = MIN_SAMPLES / INTERVAL
"""Minimum connections per second that are accepted, whatever the queue: some callers have no other
entry, and fewer would not show whether the queue still stands."""


class AcceptGate:
    """Limits the rate of accepted connections while the event loop has a standing queue.

    The shortest delay of an interval tells a standing queue from a short stall, which delays some
    requests and others not at all.

    Example:
        >>> gate = AcceptGate()
        >>> gate.accepts(now=0.0)
        True
        >>> for step in range(300):
        ...     accepted = gate.accepts(now=step / 100)
        ...     gate.delayed(0.2, now=step / 100)
        >>> gate.is_closing, round(gate.rate)
        (True, 25)
    """

    def __init__(self) -> None:
        self.rate = inf
        """Connections per second that are accepted; inf without a limit."""
        self.closed = 0
        """Connections that were not accepted."""
        self._interval_began_at: Instant = -inf
        self._arrivals = 0
        self._arriving = 0.0
        """Connections per second that arrive, or arrived lately."""
        self._samples = 0
        self._shortest_delay = inf
        self._overrun_intervals = 0
        self._tokens = 0.0
        self._tokens_at: Instant = -inf

    @property
    def is_closing(self) -> bool:
        """Whether the rate is limited."""
        return self.rate < inf

    def accepts(self, now: Instant) -> bool:
        """Return whether to serve a new connection; if not, it is closed unread."""
        self._advance(now)
        self._arrivals += 1
        if not self.is_closing:
            return True
        burst = max(1.0, self.rate * INTERVAL)
        self._tokens = min(burst, self._tokens + self.rate * max(0.0, now - self._tokens_at))
        self._tokens_at = now
        if self._tokens < 1.0:
            self.closed += 1
            return False
        self._tokens -= 1.0
        return True

    def delayed(self, seconds: float, now: Instant) -> None:
        """Record by how much the event loop delays a request of a connection just accepted."""
        self._advance(now)
        self._samples += 1
        self._shortest_delay = min(self._shortest_delay, seconds)

    def _advance(self, now: Instant) -> None:
        elapsed = now - self._interval_began_at
        if elapsed < INTERVAL:
            return
        overrun = self._samples >= MIN_SAMPLES and self._shortest_delay > TARGET_DELAY
        self._overrun_intervals = self._overrun_intervals + 1 if overrun else 0
        decayed = self._arriving * ARRIVAL_DECAY ** (elapsed / INTERVAL)
        self._arriving = max(self._arrivals / elapsed, decayed)
        if self._overrun_intervals >= (1 if self.is_closing else OVERRUN_INTERVALS):
            self._reduce(now)
        elif self.is_closing and not overrun:
            if self._samples and self._shortest_delay <= TARGET_DELAY:
                self.rate *= INCREASE
            if self.rate > 2 * self._arriving:
                self.rate = inf
        self._interval_began_at = now
        self._arrivals, self._samples, self._shortest_delay = 0, 0, inf

    def _reduce(self, now: Instant) -> None:
        if not self.is_closing:
            self._tokens, self._tokens_at = 0.0, now
            self.rate = max(MIN_RATE, FIRST_REDUCTION * self._arriving)
            return
        self.rate = max(MIN_RATE, REDUCTION * self.rate)
