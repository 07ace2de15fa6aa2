"""Acquires the lease of one duty if this entry ranks first, and performs the duty under it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_entry.direct.decision_log import decided, warned
from ragwortwing_policy.duties.lease import DutyLease, Holder, LeaseState

from .permit import Permit
from .ports import AppendOutcome, DutyLogError

if TYPE_CHECKING:
    from ragwortwing_entry.direct.entry_state import EntryState
    from ragwortwing_policy.duties.lease import Proposal

    from .duty import Duty
    from .ports import DutyLog

CHECK_INTERVAL = 0.1
"""Seconds between steps."""

LEASE_MARGIN = timedelta(milliseconds=500)
"""Time by which a lease exceeds the span in which two entries must not act alternately."""

MIN_REMAINING_TO_ACT = 0.5
"""Minimum remaining seconds of the lease for an act; with less, the lease is renewed first."""

FAILURE_BACKOFF = 0.4
"""Extra seconds to wait after a failed step."""

MAX_CONSECUTIVE_FAILURES = 4
"""Consecutive failed acts after which this entry releases the duty to another entry."""


class DutyRunner:
    """Runs one duty on one entry."""

    def __init__(self, duty: Duty, state: EntryState, log: DutyLog, exclusive: timedelta) -> None:
        """Create a runner that does not hold the duty yet.

        Args:
            duty: The duty.
            state: The state of the entry.
            log: The log of duty records.
            exclusive: The span in which two entries must not act alternately.
        """
        self._duty = duty
        self._state = state
        self._log = log
        self._lease_duration = exclusive + LEASE_MARGIN
        now = state.clock.boot_time()
        holder = Holder(state.identity.name, state.started)
        self.lease = DutyLease(holder, self._lease_duration, now)
        self._ready_at = now + self._lease_duration.total_seconds()
        self._consecutive_failures = 0
        self._leaving = False
        self._released = trio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether this entry could hold the duty now."""
        return not self._leaving and self._now() >= self._ready_at

    @property
    def fencing_token(self) -> int:
        """The fencing token under which this entry may act now; 0 if it may not."""
        return self.lease.fencing_token if self.lease.holds(self._now()) else 0

    async def run(self) -> None:
        """Acquire the lease and perform the duty until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL)
            if not await self._step():
                await trio.sleep(FAILURE_BACKOFF)

    async def leave(self) -> None:
        """Release the duty permanently, so that a successor need not wait for lease expiry."""
        self._leaving = True
        await self._released.wait()

    def _now(self) -> float:
        return self._state.clock.boot_time()

    async def _step(self) -> bool:
        """Perform the next step; return whether it succeeded."""
        if not self._should_hold():
            await self._release()
            if self._leaving:
                self._released.set()
            return True
        if self.lease.state is LeaseState.UNKNOWN:
            return await self._read()
        record = self.lease.record
        state = record.state if record is not None else b""
        planned = self._duty.next_state(state) if self.lease.may_append(self._now()) else None
        if planned is not None:
            return await self._append(planned)
        if not self._duty.has_work(state):
            return True
        if self.lease.remaining(self._now()) < MIN_REMAINING_TO_ACT:
            if not self.lease.may_append(self._now()):
                return True
            return await self._append(self._duty.carried_state(state))
        return await self._act(state)

    def _should_hold(self) -> bool:
        now = self._state.clock.monotonic()
        ranked = self._state.candidates.ranked(self._duty.name, now)
        return self.is_ready and ranked[:1] == (self._state.identity.name,)

    async def _release(self) -> None:
        if self.lease.state is not LeaseState.HELD:
            if self.lease.state is not LeaseState.UNKNOWN:
                self.lease.lose_track()
            return
        record = self.lease.record
        state = self._duty.carried_state(record.state if record is not None else b"")
        await self._append(state, release=True)

    async def _read(self) -> bool:
        try:
            found = await self._log.read(self._duty.name)
        except DutyLogError as error:
            decided("duty_log_not_read", duty=self._duty.name, cause=error.cause)
            return False
        self.lease.read(found, self._now())
        self._state.candidates.update_record_offset(self._duty.name, self.lease.offset)
        decided(
            "duty_log_read",
            duty=self._duty.name,
            end=found.end,
            offset=found.offset,
            holder=found.record.holder if found.record is not None else None,
            fencing_token=self.lease.fencing_token,
            state=self.lease.state,
        )
        return True

    async def _append(self, state: bytes, *, release: bool = False) -> bool:
        was_holder = self.lease.state is LeaseState.HELD
        proposal = self.lease.propose(state, self._now(), release=release)
        outcome = AppendOutcome.UNANSWERED
        try:
            outcome = await self._log.append(self._duty.name, proposal)
        finally:
            self._apply_outcome(proposal, outcome)
        if outcome is not AppendOutcome.ACCEPTED:
            warned(
                "duty_record_not_appended",
                duty=self._duty.name,
                offset=proposal.offset,
                outcome=outcome,
            )
        elif release or not was_holder:
            decided(
                "duty_released" if release else "duty_gained",
                duty=self._duty.name,
                fencing_token=proposal.record.fencing_token,
                offset=proposal.offset,
            )
        return outcome is AppendOutcome.ACCEPTED

    def _apply_outcome(self, proposal: Proposal, outcome: AppendOutcome) -> None:
        if outcome is AppendOutcome.ACCEPTED:
            self.lease.accepted(proposal)
            self._state.candidates.update_record_offset(self._duty.name, self.lease.offset)
        elif outcome is AppendOutcome.REJECTED:
            self.lease.rejected()
        else:
            self.lease.unanswered(proposal)

    async def _act(self, state: bytes) -> bool:
        name, token = self._state.identity.name, self.lease.fencing_token
        permit = Permit(name, token, lambda: self.lease.remaining(self._now()))
        if await self._duty.execute(state, permit):
            self._consecutive_failures = 0
            return True
        self._consecutive_failures += 1
        if self._consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            # Another entry may be able to reach the platform when this one cannot.
            self._consecutive_failures = 0
            self._ready_at = self._now() + self._lease_duration.total_seconds()
            warned("duty_passed_on", duty=self._duty.name)
        return False
