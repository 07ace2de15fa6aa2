"""The duty that reports how many requests of each client account began in each window."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_entry.direct.decision_log import decided, warned
from ragwortwing_policy.duties.usage_windows import (
    UsageState,
    UsageStateError,
    UsageWindows,
    decode_state,
    encode_state,
)

from .duty import register_duty
from .ports import DutyCallError

if TYPE_CHECKING:
    from ragwortwing_entry.direct.entry_state import EntryState
    from ragwortwing_policy.duties.usage_windows import UsageReportPolicy

    from .permit import Permit
    from .ports import UsageCalls
    from .usage_collection import UsageCollection


@register_duty("usage")
class UsageDuty:
    """Records the final counts of each window in the log, then delivers them.

    Because the counts are fixed before delivery, a successor delivers the same ones.
    """

    name = "usage"

    def __init__(
        self,
        state: EntryState,
        collection: UsageCollection,
        terms: UsageReportPolicy,
        calls: UsageCalls,
    ) -> None:
        self._entry_state = state
        self._collection = collection
        self._windows = UsageWindows(terms, collection.ledger)
        self._calls = calls
        self._decoded: tuple[bytes, UsageState | None] = (b"", None)
        """The state that was decoded last, as encoded and decoded."""
        self._delivered: set[int] = set()

    def next_state(self, state: bytes) -> bytes | None:
        """Return the state with the windows whose counts can be fixed now."""
        found = self._windows.next_state(
            self._undelivered(state),
            self._entry_state.fleet_time.unix_time(),
            self._collection.senders(),
        )
        if found is None:
            return None
        decided("usage_fixed", through=found.fixed_through, unsent=sorted(found.unsent))
        return encode_state(found)

    def carried_state(self, state: bytes) -> bytes:
        """Return the state without the windows that were delivered."""
        undelivered = self._undelivered(state)
        return encode_state(undelivered) if undelivered is not None else b""

    def has_work(self, state: bytes) -> bool:
        """Return whether a fixed window has not been delivered."""
        undelivered = self._undelivered(state)
        return undelivered is not None and bool(undelivered.unsent)

    async def execute(self, state: bytes, permit: Permit) -> bool:
        """Deliver the counts of one window."""
        undelivered = self._undelivered(state)
        if undelivered is None:
            return True
        unix_time = self._entry_state.fleet_time.unix_time()
        window = self._windows.next_to_send(undelivered.unsent, unix_time)
        if window is None:
            return True
        counts = undelivered.unsent[window]
        try:
            await self._calls.report_usage(window, counts, permit)
        except DutyCallError as error:
            warned("usage_not_delivered", window=window, cause=error.cause)
            return False
        self._delivered.add(window)
        decided(
            "usage_delivered",
            window=window,
            requests=sum(counts.values()),
            accounts=len(counts),
            fencing_token=permit.fencing_token,
        )
        return True

    def _undelivered(self, data: bytes) -> UsageState | None:
        """Return a decoded state without the windows that this entry has delivered."""
        state = self._decode(data)
        if state is None:
            return None
        self._delivered &= state.unsent.keys()
        for window in self._delivered:
            state = state.without(window)
        return state

    def _decode(self, data: bytes) -> UsageState | None:
        if self._decoded[0] == data:
            return self._decoded[1]
        try:
            state = decode_state(data)
            if state is not None:
                self._windows.check(state, self._entry_state.fleet_time.unix_time())
        except UsageStateError as error:
            warned("usage_state_unreadable", cause=error.cause)
            state = None
        self._decoded = (data, state)
        return state
