"""Shares of client accounts by start-time fair queueing, to compare with the decayed usage window.

Only the replays of `experiments/account_shares.py` use it; docs/design/account-shares.md has the
result.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_policy.direct.account_shares import PoolShares
from ragwortwing_policy.direct.usage_window import Standing, UsageWindow
from ragwortwing_policy.fair_share import FairShare

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ragwortwing_policy.clock import Instant

QUANTUM_SECONDS = 0.1
"""Engine seconds by which an account may be ahead of the virtual time before it is beyond its
share; about two long prompts."""


class StartTimeUsage(UsageWindow):
    """Usage of accounts as the start tags of start-time fair queueing."""

    def __init__(self) -> None:
        super().__init__()
        self._share = FairShare()
        self._active: set[str] = set()
        self._weights: dict[str, float] = {}

    def weigh(self, account: str, weight: float) -> None:
        """Set the weight of an account."""
        self._weights[account] = weight

    def demanded(self, account: str, seconds: float, at: Instant) -> None:
        """Do nothing: start-time fair queueing does not look at demand."""

    def used(self, account: str, seconds: float, at: Instant) -> None:
        """Charge an account, or credit it with a negative charge."""
        if seconds < 0.0:
            self._share.credit(account, -seconds)
            return
        self._share.activate(account, self._weights.get(account, 1.0))
        self._share.charge(account, seconds)
        if account not in self._active:
            self._share.deactivate(account)

    def ranks(self, waiting: Iterable[tuple[str, str, float]], now: Instant) -> Mapping[str, float]:
        """Return how far the waiting requests are ahead of the virtual time, beyond the quantum."""
        asked = list(waiting)
        names = {account for _, account, _ in asked}
        for name in sorted(names - self._active):
            self._share.activate(name, self._weights.get(name, 1.0))
        for name in sorted(self._active - names):
            self._share.deactivate(name)
        self._active = names
        taken: dict[str, float] = {}
        ranks: dict[str, float] = {}
        for ticket, account, seconds in asked:
            lead = taken.get(account, self._share.lead(account))
            taken[account] = lead + seconds / self._weights.get(account, 1.0)
            if lead > QUANTUM_SECONDS:
                ranks[ticket] = lead
        return ranks

    def is_beyond(self, account: str, now: Instant) -> bool:
        """Return whether an account is ahead of the virtual time by more than the quantum."""
        return self._share.lead(account) > QUANTUM_SECONDS

    def standing(self, account: str, now: Instant) -> Standing:
        """Return the lead of an account; shares are not known."""
        return Standing(account, self._share.lead(account), 0.0)


class StartTimeShares(PoolShares):
    """Shares of a pool by start-time fair queueing."""

    def _new_window(self) -> UsageWindow:
        return StartTimeUsage()
