"""Holds one duty where this entry should, and performs it while the lease lasts."""

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
"""Seconds between two looks at what is to be done."""

LEASE_MARGIN = timedelta(milliseconds=500)
"""Time by which a lease is longer than the span in which two entries must not act by turns."""

TIME_TO_ACT = 0.5
"""Seconds of the lease that an act needs; with less the lease is renewed first."""

FAILURE_WAIT = 0.4
"""Seconds after a call that failed before the next."""

MOST_FAILURES = 4
"""Acts that fail in a row after which another entry should try."""


class DutyRunner:
    """One entry's part in one duty."""

    def __init__(self, duty: Duty, state: EntryState, log: DutyLog, exclusive: timedelta) -> None:
        """Create the part of an entry that holds nothing yet.

        Args:
            duty: The duty.
            state: What the entry knows.
            log: The log of duties.
            exclusive: The span in which two entries must not act by turns.
        """
        self._duty = duty
        self._state = state
        self._log = log
        self._span = exclusive + LEASE_MARGIN
        now = state.clock.boot_time()
        holder = Holder(state.identity.name, state.started)
        self.lease = DutyLease(holder, self._span, now)
        self._ready_at = now + self._span.total_seconds()
        self._failures = 0
        self._leaving = False
        self._released = trio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether this entry could hold the duty now."""
        return not self._leaving and self._now() >= self._ready_at

    @property
    def fencing_token(self) -> int:
        """The token under which this entry may act now; 0 where it may not."""
        return self.lease.fencing_token if self.lease.holds(self._now()) else 0

    async def run(self) -> None:
        """Hold and perform the duty until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL)
            if not await self._step():
                await trio.sleep(FAILURE_WAIT)

    async def leave(self) -> None:
        """Give the duty up for good, so that another entry need not wait for the lease's end."""
        self._leaving = True
        await self._released.wait()

    def _now(self) -> float:
        return self._state.clock.boot_time()

    async def _step(self) -> bool:
        """Do the next thing; return whether it succeeded."""
        if not self._should_hold():
            await self._give_up()
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
        if self.lease.remaining(self._now()) < TIME_TO_ACT:
            if not self.lease.may_append(self._now()):
                return True
            return await self._append(self._duty.carried_state(state))
        return await self._act(state)

    def _should_hold(self) -> bool:
        now = self._state.clock.monotonic()
        ranked = self._state.candidates.ranked(self._duty.name, now)
        return self.is_ready and ranked[:1] == (self._state.identity.name,)

    async def _give_up(self) -> None:
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
        self._state.candidates.knows_record(self._duty.name, self.lease.offset)
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
            self._take_outcome(proposal, outcome)
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

    def _take_outcome(self, proposal: Proposal, outcome: AppendOutcome) -> None:
        if outcome is AppendOutcome.ACCEPTED:
            self.lease.accepted(proposal)
            self._state.candidates.knows_record(self._duty.name, self.lease.offset)
        elif outcome is AppendOutcome.REJECTED:
            self.lease.rejected()
        else:
            self.lease.unanswered(proposal)

    async def _act(self, state: bytes) -> bool:
        name, token = self._state.identity.name, self.lease.fencing_token
        permit = Permit(name, token, lambda: self.lease.remaining(self._now()))
        if await self._duty.act(state, permit):
            self._failures = 0
            return True
        self._failures += 1
        if self._failures >= MOST_FAILURES:
            # Another entry may reach the platform where this one does not.
            self._failures = 0
            self._ready_at = self._now() + self._span.total_seconds()
            warned("duty_passed_on", duty=self._duty.name)
        return False
