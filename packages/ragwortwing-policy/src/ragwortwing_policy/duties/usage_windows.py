"""Which windows of usage are fixed in the log, and which still have to be sent."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from .usage_counts import WINDOWS_KEPT

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .usage_counts import UsageLedger


class UsageStateError(Exception):
    """A state in the log that cannot be read."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class UsageState(msgspec.Struct, frozen=True):
    """The windows that are decided; what is fixed once is never counted anew."""

    fixed_through: int
    """Every window up to this one is fixed, or was given up."""
    unsent: dict[int, dict[str, int]] = {}
    """Fixed counts by window and account, as far as they are not known to be delivered."""

    def without(self, window: int) -> UsageState:
        """Return the state after a window's counts were delivered."""
        unsent = {each: counts for each, counts in self.unsent.items() if each != window}
        return UsageState(self.fixed_through, unsent)


def encode_state(state: UsageState) -> bytes:
    """Return a state as it stands in the log."""
    return msgspec.json.encode(state)


def decode_state(data: bytes) -> UsageState | None:
    """Read a state; None where the duty has not begun.

    Raises:
        UsageStateError: It cannot be read.
    """
    if not data:
        return None
    try:
        return msgspec.json.decode(data, type=UsageState)
    except msgspec.MsgspecError as error:
        raise UsageStateError(str(error)) from error


@dataclass(frozen=True, slots=True)
class UsageTerms:
    """What the operator asks of usage reports."""

    window: timedelta
    due_after: timedelta
    """Time from a window's end until its report is due."""

    def is_late(self, window: int, unix_time: float) -> bool:
        """Return whether a window's report is past due."""
        end = (window + 1) * self.window.total_seconds()
        return unix_time > end + self.due_after.total_seconds()


PATIENCE_PART = 0.35
"""Part of the time until a report is due for which an entry's missing counts are waited for."""


class UsageWindows:
    """Decides which windows to fix and which to send next."""

    def __init__(self, terms: UsageTerms, ledger: UsageLedger) -> None:
        self._terms = terms
        self._ledger = ledger

    def next_state(
        self, state: UsageState | None, unix_time: float, senders: frozenset[str]
    ) -> UsageState | None:
        """Return the state with the windows that can be fixed now; None where there is none.

        Args:
            state: What is fixed so far.
            unix_time: The true time.
            senders: The entries whose counts belong to a window.
        """
        first = self._ledger.first_window
        if first is None:
            return None
        if state is not None:
            first = max(first, state.fixed_through + 1)
        last_ended = int(unix_time // self._terms.window.total_seconds()) - 1
        first = max(first, last_ended - WINDOWS_KEPT + 1)
        fixed: dict[int, dict[str, int]] = {}
        for window in range(first, last_ended + 1):
            if not self._is_complete(window, unix_time, senders):
                break
            fixed[window] = self._ledger.counts(window)
        if not fixed:
            return None
        unsent = {**(state.unsent if state is not None else {}), **fixed}
        kept = sorted(unsent)[-WINDOWS_KEPT:]
        return UsageState(max(fixed), {window: unsent[window] for window in kept})

    def next_to_send(self, unsent: Mapping[int, dict[str, int]], unix_time: float) -> int | None:
        """Return the window to send next: the oldest that is not late, else the oldest."""
        return min(
            unsent,
            key=lambda window: (self._terms.is_late(window, unix_time), window),
            default=None,
        )

    def _is_complete(self, window: int, unix_time: float, senders: frozenset[str]) -> bool:
        if not self._ledger.missing(window, senders):
            return True
        end = (window + 1) * self._terms.window.total_seconds()
        patience = PATIENCE_PART * self._terms.due_after.total_seconds()
        return unix_time > end + patience
