"""Enforces the limits of client accounts, divided among the entries in the membership list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_policy.account_limits import AccountLimiter
from ragwortwing_runtime.members import MemberRole

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.configuration import Configuration
    from ragwortwing_policy.outcomes import NotRun
    from ragwortwing_runtime.members import Members, MemberSource


class AccountAdmission:
    """Admits requests within the limits of their client account.

    The limiter picks up a new configuration or a changed entry count before each decision.
    """

    def __init__(self, members: MemberSource) -> None:
        self._member_source = members
        self._members: Members | None = None
        self._configuration: Configuration | None = None
        self._limiter: AccountLimiter | None = None

    def admit(self, account: str, configuration: Configuration, now: Instant) -> NotRun | None:
        """Admit a request and count it as in flight, or return the reason for the rejection.

        Args:
            account: Name of the client account.
            configuration: The active configuration.
            now: The current time.
        """
        return self._current_limiter(configuration, now).admit(account, now)

    def release(self, account: str, now: Instant) -> None:
        """Stop counting an admitted request as in flight."""
        if self._limiter is not None:
            self._limiter.release(account, now)

    def _current_limiter(self, configuration: Configuration, now: Instant) -> AccountLimiter:
        limiter = self._limiter
        if limiter is None:
            limiter = self._limiter = AccountLimiter(configuration)
        elif configuration is not self._configuration:
            limiter.configure(configuration, now)
        self._configuration = configuration
        if self._member_source.current is not self._members:
            self._members = self._member_source.current
            limiter.entries_changed(len(self._members.with_role(MemberRole.ENTRY)), now)
        return limiter
