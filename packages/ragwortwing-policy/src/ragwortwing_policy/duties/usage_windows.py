"""State of usage windows: which are final in the log, and which still have to be delivered."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from ragwortwing_policy.decoding import Count, InvalidDataError, checked_decoder

from .usage_counts import WINDOWS_KEPT

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .usage_counts import UsageLedger


class UsageStateError(Exception):
    """A state in the log that cannot be decoded, or that has windows of the future."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class UsageState(msgspec.Struct, frozen=True):
    """The windows whose counts are final; a fixed window is never counted again."""

    fixed_through: Count
    """Every window up to this one is fixed or was abandoned."""
    unsent: dict[Count, dict[str, Count]] = {}
    """Fixed counts by window and account that are not known to be delivered."""

    def without(self, window: int) -> UsageState:
        """Return the state after the delivery of a window's counts."""
        unsent = {each: counts for each, counts in self.unsent.items() if each != window}
        return UsageState(self.fixed_through, unsent)


_decode_state = checked_decoder(msgspec.json.Decoder(UsageState).decode)


def encode_state(state: UsageState) -> bytes:
    """Encode a state for the log."""
    return msgspec.json.encode(state)


def decode_state(data: bytes) -> UsageState | None:
    """Decode a state; None if the duty has not begun.

    Raises:
        UsageStateError: It cannot be decoded.
    """
    if not data:
        return None
    try:
        return _decode_state(data)
    except InvalidDataError as error:
        raise UsageStateError(error.cause) from error


@dataclass(frozen=True, slots=True)
class UsageReportPolicy:
    """The operator's requirements for usage reports."""

    window: timedelta
    due_after: timedelta
    """Time from a window's end until its report is due."""

    def is_late(self, window: int, unix_time: float) -> bool:
        """Return whether a window's report is overdue."""
        end = (window + 1) * self.window.total_seconds()
        return unix_time > end + self.due_after.total_seconds()


MISSING_COUNTS_WAIT_FRACTION = 0.35
"""Fraction of the time until a report is due during which missing counts of an entry are
awaited."""


class UsageWindows:
    """Decides which windows to fix and which to send next."""

    def __init__(self, terms: UsageReportPolicy, ledger: UsageLedger) -> None:
        self._terms = terms
        self._ledger = ledger

    def check(self, state: UsageState, unix_time: float) -> None:
        """Check that the windows of a state can have ended, also by another entry's clock.

        No window would be reported until the time of the last one, and windows of the future would
        take the place of others.

        Raises:
            UsageStateError: A window has not ended.
        """
        newest = max(state.fixed_through, *state.unsent, 0)
        if newest > self._last_ended(unix_time) + WINDOWS_KEPT:
            raise UsageStateError(f"window {newest} has not ended")

    def _last_ended(self, unix_time: float) -> int:
        return int(unix_time // self._terms.window.total_seconds()) - 1

    def next_state(
        self, state: UsageState | None, unix_time: float, senders: frozenset[str]
    ) -> UsageState | None:
        """Return the state with all windows that can be fixed now, or None if there are none.

        Args:
            state: The windows fixed so far.
            unix_time: The true time.
            senders: The entries whose counts are expected.
        """
        first = self._ledger.first_window
        if first is None:
            return None
        if state is not None:
            first = max(first, state.fixed_through + 1)
        last_ended = self._last_ended(unix_time)
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
        """Return the window to send next: the oldest that is not late, otherwise the oldest."""
        return min(
            unsent,
            key=lambda window: (self._terms.is_late(window, unix_time), window),
            default=None,
        )

    def _is_complete(self, window: int, unix_time: float, senders: frozenset[str]) -> bool:
        if not self._ledger.missing(window, senders):
            return True
        end = (window + 1) * self._terms.window.total_seconds()
        wait = MISSING_COUNTS_WAIT_FRACTION * self._terms.due_after.total_seconds()
        return unix_time > end + wait
