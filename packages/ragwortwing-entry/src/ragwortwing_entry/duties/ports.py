"""Ports of the duties: a log with conditional appends, and the calls that duties make."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_policy.duties.lease import LogState, Proposal

    from .permit import Permit


class AppendOutcome(StrEnum):
    """The result of a conditional append."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    """The record is not in the log and never will be."""
    UNANSWERED = "unanswered"
    """The record may be in the log, or may still be appended later."""


class DutyLogError(Exception):
    """The log could not be read."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class DutyLog(Protocol):
    """The log of duty records."""

    async def read(self, duty: str) -> LogState:
        """Return the newest record of a duty.

        Raises:
            DutyLogError: The log did not answer, or its answer was invalid.
        """
        ...

    async def append(self, duty: str, proposal: Proposal) -> AppendOutcome:
        """Append a record if the log still ends at the proposed offset; makes one attempt."""
        ...


class DutyCallError(Exception):
    """A call of a duty did not succeed; it may have taken effect nonetheless."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class UsageCalls(Protocol):
    """The calls of the usage duty."""

    async def report_usage(self, window: int, counts: Mapping[str, int], permit: Permit) -> None:
        """Deliver a window's counts; nothing is written once the permit has expired.

        Raises:
            DutyCallError: It is not certain that the counts were accepted.
        """
        ...
