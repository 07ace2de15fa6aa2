"""What an adapter gives the duties: a log with conditional appends, and the calls that are due."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_policy.duties.lease import LogState, Proposal

    from .permit import Permit


class AppendOutcome(StrEnum):
    """What became of a conditional append."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    """The record does not stand in the log and never will."""
    UNANSWERED = "unanswered"
    """It may stand in the log, or come to stand there."""


class DutyLogError(Exception):
    """The log could not be read."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class DutyLog(Protocol):
    """The log of duties."""

    async def read(self, duty: str) -> LogState:
        """Return the newest record of a duty.

        Raises:
            DutyLogError: The log did not answer as it should.
        """
        ...

    async def append(self, duty: str, proposal: Proposal) -> AppendOutcome:
        """Append a record if the log still ends where it is to stand; one attempt."""
        ...


class DutyCallError(Exception):
    """A call that a duty asks for brought no success; it may have taken effect."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class UsageCalls(Protocol):
    """The calls of the duty to report usage."""

    async def report_usage(self, window: int, counts: Mapping[str, int], permit: Permit) -> None:
        """Deliver a window's counts; nothing is written once the permit is over.

        Raises:
            DutyCallError: They were not accepted for certain.
        """
        ...
