"""Limits of client accounts, split over the entries that the membership list shows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_policy.account_limits import AccountLimiter
from ragwortwing_runtime.members import MemberRole

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_policy.outcomes import NotRun
    from ragwortwing_runtime.members import Members, MemberSource


class AccountGate:
    """Brings the limiter up to date before each decision."""

    def __init__(self, members: MemberSource) -> None:
        self._source = members
        self._members: Members | None = None
        self._configuration: Configuration | None = None
        self._limiter: AccountLimiter | None = None

    def admit(self, account: str, configuration: Configuration, now: Instant) -> NotRun | None:
        """Count a request in, or return why it does not run.

        Args:
            account: Name of the client account.
            configuration: The configuration in force.
            now: The present instant.
        """
        return self._current(configuration, now).admit(account, now)

    def release(self, account: str, now: Instant) -> None:
        """Count a request out that was admitted."""
        if self._limiter is not None:
            self._limiter.release(account, now)

    def _current(self, configuration: Configuration, now: Instant) -> AccountLimiter:
        limiter = self._limiter
        if limiter is None:
            limiter = self._limiter = AccountLimiter(configuration)
        elif configuration is not self._configuration:
            limiter.configure(configuration, now)
        self._configuration = configuration
        if self._source.current is not self._members:
            self._members = self._source.current
            limiter.entries_changed(len(self._members.with_role(MemberRole.ENTRY)), now)
        return limiter
