"""Ensures, on the agent's side, that an order with an idempotency key is sent at most once.

An agent claims the key in the log. It sends the order only after it has read its claim back as the
winner, and only before the send deadline. Claims of one interval share a record (group commit). If
the reply to an append is lost, reading the log shows whether it took effect. An append that is
repeated carries the same claims, never new ones.
"""

from __future__ import annotations

import uuid
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.order_claims import (
    AlreadyClaimed,
    AlreadySettled,
    Claim,
    ClaimVerdict,
    KeyReused,
    OrderKey,
    OrderLedger,
    Won,
    settlement_of,
)
from ragwortwing_policy.outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason

from ._claim_committer import LOG_RETRY_AFTER, ClaimCommitter, ClaimWaiter, OrderBookSettings
from .backoff import Backoff
from .record_log import LogPage, LogUnavailable, OffsetExpired

if TYPE_CHECKING:
    from random import Random

    from ragwortwing_policy.clock import Clock

    from .record_log import Log, ReadResult

__all__ = ["KeyedOrder", "OrderBook", "OrderBookSettings", "WonClaim"]

READ_BACK_CHECK_INTERVAL = timedelta(milliseconds=500)
"""Interval of the check for claims that were not read back. A claim that still waits at the second
check is looked for on another connection."""
MAX_ABANDONED_CLAIMS = 10_000
"""Maximum number of abandoned claims that are remembered in case they reach the log late."""


@dataclass(frozen=True, slots=True)
class KeyedOrder:
    """An order with an idempotency key, as a caller submitted it."""

    account: str
    key: str
    body_digest: bytes
    order_time: float = 0.0
    """Time of the order as given by the caller, in seconds since the epoch; 0 if not given."""


@dataclass(frozen=True, slots=True)
class WonClaim:
    """The right to send one order once, until a deadline."""

    claim_id: str
    order_key: OrderKey
    send_deadline: Instant


ClaimResult = WonClaim | AlreadySettled | NotRun | Unknown


class OrderBook:
    """Claims idempotency keys for one agent. The task `run` must be running."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        random: Random,
        agent_id: str,
        settings: OrderBookSettings | None = None,
    ) -> None:
        """Create an order book.

        Args:
            log: The platform's log.
            clock: The process's clock.
            random: Source of jitter.
            agent_id: Name and incarnation of the agent.
            settings: Limits.
        """
        self._log = log
        self._clock = clock
        self._random = random
        self._agent_id = agent_id
        self._settings = settings or OrderBookSettings()
        self._ledger = OrderLedger(
            self._settings.window, self._settings.clock_skew, self._settings.key_limit
        )
        self._committer = ClaimCommitter(
            log, clock, random, agent_id, self._settings, self._read_to_end
        )
        self._waiters_by_claim_id: dict[str, ClaimWaiter] = {}
        self._abandoned_keys_by_claim_id: OrderedDict[str, OrderKey] = OrderedDict()
        self._unsent_claims_by_id: dict[str, WonClaim] = {}
        self._page_read = trio.Event()
        self._caught_up = False

    @property
    def available(self) -> bool:
        """Return whether the log is known to accept new claims."""
        return self._caught_up and self._committer.available

    @property
    def ledger(self) -> OrderLedger:
        """Return the ledger of keys, as read from the log so far."""
        return self._ledger

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream and append claims until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow_stream)
            nursery.start_soon(self._committer.run)
            nursery.start_soon(self._read_back_overdue_claims)
            task_status.started()

    async def claim(self, order: KeyedOrder, deadline: Instant) -> ClaimResult:
        """Claim an order's key.

        Args:
            order: The order.
            deadline: Time on the monotonic clock after which the caller no longer waits.

        Returns:
            `WonClaim` if this submission, and no other, may send the order. Otherwise the answer
            for the caller: the recorded outcome of the first submission, `NotRun`, or `Unknown` if
            an earlier submission may have been sent and its outcome is not recorded.
        """
        send_window = self._settings.send_window.total_seconds()
        send_deadline = min(deadline, self._clock.monotonic() + send_window)
        order_key = OrderKey(order.account, order.key)
        while True:
            claim = Claim(uuid.uuid4().hex, order_key, order.body_digest, order.order_time)
            known_verdict = self._ledger.verdict_on(claim)
            verdict = known_verdict or await self._append_and_wait(claim, send_deadline)
            match verdict:
                case Won():
                    won = WonClaim(claim.claim_id, order_key, send_deadline)
                    self._unsent_claims_by_id[claim.claim_id] = won
                    return won
                case NotRun() | AlreadySettled():
                    return verdict
                case KeyReused():
                    return NotRun(NotRunReason.KEY_REUSED)
                case AlreadyClaimed():
                    if not await self._wait_for_first_claim(
                        order_key, verdict.first_claim_id, deadline
                    ):
                        return Unknown(UnknownReason.NO_RECORDED_OUTCOME)

    def begin_send(self, won: WonClaim) -> NotRun | None:
        """Check that the order may still be sent. Call it once, directly before the write.

        Returns:
            None if the order may be sent; from then on its outcome is never `NotRun`. Otherwise
            the claim is released, and the order must not be sent now or later.
        """
        if self._unsent_claims_by_id.pop(won.claim_id, None) is None:
            return NotRun(NotRunReason.WITHDRAWN)
        # An agent that was paused (a stopped VM, a long garbage collection) may reach this line
        # late, when its caller has an answer already or has given up. The monotonic clock advances
        # during the pause, so the check detects it. A pause after this check cannot cause a second
        # send: no other agent may send this order, and the entry answers `Unknown` for an order
        # whose body it has handed over.
        if self._clock.monotonic() >= won.send_deadline:
            self._queue_release(won.claim_id, won.order_key, NotRunReason.DEADLINE)
            return NotRun(NotRunReason.DEADLINE, LOG_RETRY_AFTER)
        return None

    def release(self, won: WonClaim, reason: NotRunReason = NotRunReason.WITHDRAWN) -> bool:
        """Release a won claim before its order is sent, so that the key can be used again.

        Returns:
            Whether the claim was released; False once `begin_send` was called.
        """
        if self._unsent_claims_by_id.pop(won.claim_id, None) is None:
            return False
        self._queue_release(won.claim_id, won.order_key, reason)
        return True

    def record(
        self,
        won: WonClaim,
        outcome: Outcome,
        status: int = 0,
        answer: bytes = b"",
        content_type: str = "",
    ) -> None:
        """Record the outcome of a sent order; it is appended as soon as the log accepts it.

        Args:
            won: The claim under which the order was sent.
            outcome: The outcome; `NotRun` only if the order was certainly not written.
            status: Status code of the backend server's answer.
            answer: Body of the backend server's answer; stored only if it is short.
            content_type: Content type of the answer.
        """
        if isinstance(outcome, NotRun):
            self._queue_release(won.claim_id, won.order_key, outcome.reason)
            return
        self._committer.queue_settlement(
            settlement_of(won.claim_id, won.order_key, outcome, status, answer, content_type)
        )

    async def _append_and_wait(
        self, claim: Claim, send_deadline: Instant
    ) -> ClaimVerdict | NotRun | None:
        if not self.available:
            return NotRun(NotRunReason.LOG_UNAVAILABLE, LOG_RETRY_AFTER)
        refusal = self._ledger.admit(claim.order_time, self._clock.utc_now())
        if refusal is not None:
            return refusal
        waiter = ClaimWaiter(claim)
        self._waiters_by_claim_id[claim.claim_id] = waiter
        self._committer.queue_claim(waiter)
        try:
            with trio.move_on_after(max(0.0, send_deadline - self._clock.monotonic())):
                await waiter.resolved.wait()
        except trio.Cancelled:
            self._abandon(waiter)
            raise
        finally:
            del self._waiters_by_claim_id[claim.claim_id]
        if waiter.result is None or isinstance(waiter.result, NotRun):
            self._abandon(waiter)
        return waiter.result

    async def _wait_for_first_claim(
        self, order_key: OrderKey, first_claim_id: str, deadline: Instant
    ) -> bool:
        """Wait until the first claim of a key is settled or released; return False on a timeout."""
        wait = self._settings.repeat_wait.total_seconds()
        with trio.move_on_after(max(0.0, min(wait, deadline - self._clock.monotonic()))):
            while True:
                record = self._ledger.get(order_key)
                if record is None or record.claim_id != first_claim_id or record.recorded:
                    return True
                await self._page_read.wait()
        return False

    def _abandon(self, waiter: ClaimWaiter) -> None:
        """Ensure that the order of a submission that no longer waits is never sent.

        Its claim may be in the log or may still reach it. It is released when it is read.
        """
        claim = waiter.claim
        if isinstance(waiter.result, Won):
            self._queue_release(claim.claim_id, claim.order_key, NotRunReason.WITHDRAWN)
            return
        waiter.resolve(NotRun(NotRunReason.DEADLINE, LOG_RETRY_AFTER))
        self._remember_abandoned(claim.claim_id, claim.order_key)

    def _remember_abandoned(self, claim_id: str, order_key: OrderKey) -> None:
        self._abandoned_keys_by_claim_id[claim_id] = order_key
        if len(self._abandoned_keys_by_claim_id) > MAX_ABANDONED_CLAIMS:
            self._abandoned_keys_by_claim_id.popitem(last=False)

    def _queue_release(self, claim_id: str, order_key: OrderKey, reason: NotRunReason) -> None:
        # A claim that was appended twice may be read again after its release, and would win again.
        self._remember_abandoned(claim_id, order_key)
        self._committer.queue_settlement(settlement_of(claim_id, order_key, NotRun(reason)))

    async def _follow_stream(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the stream until cancelled, and resolve own claims as they are read back."""
        backoff = Backoff(self._random)
        await self._read_to_end()
        task_status.started()
        while True:
            # After an outage the first read must not be a long poll. Otherwise claims would be
            # refused until a record is appended.
            wait = self._settings.poll_wait if self._caught_up else timedelta(0)
            if isinstance(await self._read(wait), LogUnavailable):
                await trio.sleep(backoff.next_wait().total_seconds())
            else:
                backoff.reset()

    async def _read_back_overdue_claims(self) -> None:
        """Start an extra read when claims are not read back in time.

        The connection of the long-polling read can become silent without being closed. Then
        appended claims are not read back until that read times out. A new read uses another
        connection, because the silent one is in use.
        """
        previously_waiting: set[str] = set()
        while True:
            await trio.sleep(READ_BACK_CHECK_INTERVAL.total_seconds())
            if previously_waiting & self._waiters_by_claim_id.keys():
                await self._read_to_end()
            previously_waiting = set(self._waiters_by_claim_id)

    async def _read_to_end(self) -> None:
        """Read to the current end of the stream, or until the log is unavailable."""
        while True:
            result = await self._read(timedelta(0))
            if isinstance(result, LogUnavailable):
                return
            if isinstance(result, LogPage) and self._ledger.position >= result.next_offset:
                return

    async def _read(self, wait: timedelta) -> ReadResult:
        """Read one page and apply it. Reads may overlap: the ledger skips records seen before."""
        result = await self._log.read(self._settings.stream, self._ledger.position, wait=wait)
        match result:
            case LogUnavailable():
                self._caught_up = False
            case OffsetExpired(first_offset=first_offset):
                self._ledger.forget_before(first_offset)
            case LogPage(next_offset=next_offset):
                self._apply_page(result)
                if self._ledger.position >= next_offset:
                    self._caught_up = True
        page_read, self._page_read = self._page_read, trio.Event()
        page_read.set()
        return result

    def _apply_page(self, page: LogPage) -> None:
        for record in page.records:
            batch = self._ledger.apply(record.offset, record.payload)
            if batch is not None and batch.holder == self._agent_id:
                for settlement in batch.settlements:
                    self._committer.confirm_settlement(settlement)
                for claim in batch.claims:
                    self._resolve_own_claim(claim)
        self._ledger.forget_before(page.first_offset)

    def _resolve_own_claim(self, claim: Claim) -> None:
        verdict = self._ledger.verdict_on(claim)
        waiter = self._waiters_by_claim_id.get(claim.claim_id)
        if waiter is not None and verdict is not None:
            waiter.resolve(verdict)
        elif claim.claim_id in self._abandoned_keys_by_claim_id and isinstance(verdict, Won):
            # The record took effect after its submission was answered `NotRun`. Without the
            # release, the key would answer `Unknown` until the record expires from the log.
            self._queue_release(claim.claim_id, claim.order_key, NotRunReason.DEADLINE)
