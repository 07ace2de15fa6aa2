"""Trials of what is blocked: single requests that show whether a block is still needed."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Self

    from ragwortwing_policy.clock import Instant

TRIAL_INTERVALS = (2.0, 60.0, 300.0)
"""Seconds before each trial of a block. After the last one only an operator, or what ends the kind
of block otherwise, unblocks it. The first is left out if the evidence is not ambiguous."""

TRIAL_SECONDS = 5.0
"""Seconds within which a trial ends a server or is answered. Otherwise it was declined, or its
caller left, and the next one may follow."""


class TrialBlock:
    """A block that is opened for one trial at a time."""

    opens_at: Instant
    """When the next trial may be sent; inf if none may."""
    trial: int
    """Index of that trial's interval."""

    def opens_in(self, now: Instant) -> float | None:
        """Return the seconds until the next trial, to the millisecond; None if none is left."""
        return None if self.opens_at == inf else round(self.opens_at - now, 3)

    def begin_trial(self, now: Instant) -> None:
        """Keep back other requests while one is tried; it may end without a result."""
        self.opens_at = now + TRIAL_SECONDS

    def fail_trial(self, now: Instant) -> None:
        """Record that a server may have ended under the request that was tried."""
        self.trial += 1
        left = TRIAL_INTERVALS[self.trial :]
        self.opens_at = now + left[0] if left else inf

    def repeat_trial(self, now: Instant) -> None:
        """Allow another trial at once: something else explains how the last one failed."""
        self.trial = min(self.trial + 1, len(TRIAL_INTERVALS) - 1)
        self.opens_at = now

    def merge_trial(self, other: Self) -> None:
        """Apply the trials of the same block at another entry."""
        if other.trial > self.trial:
            self.trial, self.opens_at = other.trial, other.opens_at
        elif other.trial == self.trial:
            self.opens_at = max(self.opens_at, other.opens_at)
