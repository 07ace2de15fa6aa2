"""The agent's side of orders at most once: claims keys on the log and says who may send.

An order with a key is sent only after its own claim was read back as the winner, and only before
its send deadline. Claims of one interval share a record (group commit). An append whose reply was
lost is settled by reading; where it is repeated, it carries the same claims, never new ones.
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

READ_BACK_LIMIT = timedelta(milliseconds=500)
"""Time after which a claim that was not read back yet is looked for on another connection."""
ABANDONED_LIMIT = 10_000
"""Most given-up claims remembered in case they come to stand in the log late."""


@dataclass(frozen=True, slots=True)
class KeyedOrder:
    """An order with an idempotency key, as a caller submitted it."""

    account: str
    key: str
    body_digest: bytes
    order_time: float = 0.0
    """When the caller says the order was made, in seconds since the epoch; 0 where it does not."""


@dataclass(frozen=True, slots=True)
class WonClaim:
    """The right to send one order once, until a deadline."""

    claim_id: str
    order_key: OrderKey
    send_deadline: Instant


ClaimResult = WonClaim | AlreadySettled | NotRun | Unknown


class OrderBook:
    """Claims idempotency keys for one agent; `run` must be running."""

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
        self._waiters_by_claim: dict[str, ClaimWaiter] = {}
        self._abandoned_by_claim: OrderedDict[str, OrderKey] = OrderedDict()
        self._open_by_claim: dict[str, WonClaim] = {}
        self._page_read = trio.Event()
        self._caught_up = False

    @property
    def available(self) -> bool:
        """Return whether a new order could be claimed, as far as is known."""
        return self._caught_up and self._committer.available

    @property
    def ledger(self) -> OrderLedger:
        """Return the keys as they are known here."""
        return self._ledger

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream and append claims until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow)
            nursery.start_soon(self._committer.run)
            nursery.start_soon(self._watch_read_back)
            task_status.started()

    async def claim(self, order: KeyedOrder, deadline: Instant) -> ClaimResult:
        """Claim an order's key.

        Args:
            order: The order.
            deadline: When the caller no longer waits, on the monotonic clock.

        Returns:
            `WonClaim` if this submission, and no other, is to send the order. Else what to answer:
            the recorded first outcome, `NotRun`, or `Unknown` where an earlier submission may have
            been sent and its outcome is not recorded.
        """
        send_window = self._settings.send_window.total_seconds()
        send_deadline = min(deadline, self._clock.monotonic() + send_window)
        order_key = OrderKey(order.account, order.key)
        while True:
            claim = Claim(uuid.uuid4().hex, order_key, order.body_digest, order.order_time)
            known = self._ledger.judge(claim)
            verdict = known or await self._append_and_wait(claim, send_deadline)
            match verdict:
                case Won():
                    won = WonClaim(claim.claim_id, order_key, send_deadline)
                    self._open_by_claim[claim.claim_id] = won
                    return won
                case NotRun() | AlreadySettled():
                    return verdict
                case KeyReused():
                    return NotRun(NotRunReason.KEY_REUSED)
                case AlreadyClaimed():
                    if not await self._wait_for_first(order_key, verdict.first_claim_id, deadline):
                        return Unknown(UnknownReason.NO_RECORDED_OUTCOME)

    def begin_send(self, won: WonClaim) -> NotRun | None:
        """Say whether the order may be written now; called directly before the write, once.

        Returns:
            None if it may. From then on its outcome is never `NotRun`. Else the claim is released
            and the order must not be written, now or later.
        """
        if self._open_by_claim.pop(won.claim_id, None) is None:
            return NotRun(NotRunReason.WITHDRAWN)
        # A holder that was paused (a stopped VM, a long collection) resumes here late: its caller
        # has been told or given up. The monotonic clock went on meanwhile, so the check sees it.
        # A pause after this check is harmless to the promise: no one else may send this order, and
        # the entry says `Unknown` of an order whose body it has handed over.
        if self._clock.monotonic() >= won.send_deadline:
            self._queue_release(won.claim_id, won.order_key, NotRunReason.DEADLINE)
            return NotRun(NotRunReason.DEADLINE, LOG_RETRY_AFTER)
        return None

    def release(self, won: WonClaim, reason: NotRunReason = NotRunReason.WITHDRAWN) -> bool:
        """Give a won claim up before its order was sent, so that the key can be used again.

        Returns:
            Whether it was given up; False after `begin_send`, when it is too late.
        """
        if self._open_by_claim.pop(won.claim_id, None) is None:
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
        """Record how a sent order ended; it is appended as soon as the log allows.

        Args:
            won: The claim under which the order was sent.
            outcome: How it ended; `NotRun` only where the write certainly did not happen.
            status: The backend server's status.
            answer: The backend server's answer; kept where it is short.
            content_type: The answer's content type.
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
        self._waiters_by_claim[claim.claim_id] = waiter
        self._committer.queue_claim(waiter)
        try:
            with trio.move_on_after(max(0.0, send_deadline - self._clock.monotonic())):
                await waiter.resolved.wait()
        except trio.Cancelled:
            self._give_up(waiter)
            raise
        finally:
            del self._waiters_by_claim[claim.claim_id]
        if waiter.result is None or isinstance(waiter.result, NotRun):
            self._give_up(waiter)
        return waiter.result

    async def _wait_for_first(
        self, order_key: OrderKey, first_claim_id: str, deadline: Instant
    ) -> bool:
        """Wait until an earlier claim of the key is settled or released; return whether it was."""
        wait = self._settings.repeat_wait.total_seconds()
        with trio.move_on_after(max(0.0, min(wait, deadline - self._clock.monotonic()))):
            while True:
                record = self._ledger.get(order_key)
                if record is None or record.claim_id != first_claim_id or record.recorded:
                    return True
                await self._page_read.wait()
        return False

    def _give_up(self, waiter: ClaimWaiter) -> None:
        """Make sure that a submission which no longer waits is never sent.

        Its claim may stand in the log or come to stand there; it is released when it is read.
        """
        claim = waiter.claim
        if isinstance(waiter.result, Won):
            self._queue_release(claim.claim_id, claim.order_key, NotRunReason.WITHDRAWN)
            return
        waiter.resolve(NotRun(NotRunReason.DEADLINE, LOG_RETRY_AFTER))
        self._note_abandoned(claim.claim_id, claim.order_key)

    def _note_abandoned(self, claim_id: str, order_key: OrderKey) -> None:
        self._abandoned_by_claim[claim_id] = order_key
        if len(self._abandoned_by_claim) > ABANDONED_LIMIT:
            self._abandoned_by_claim.popitem(last=False)

    def _queue_release(self, claim_id: str, order_key: OrderKey, reason: NotRunReason) -> None:
        # A claim that was appended twice may be read once more after its release, and win again.
        self._note_abandoned(claim_id, order_key)
        self._committer.queue_settlement(settlement_of(claim_id, order_key, NotRun(reason)))

    async def _follow(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Read the stream for ever and resolve own claims as they are read back."""
        backoff = Backoff(self._random)
        await self._read_to_end()
        task_status.started()
        while True:
            # After an outage the first read must not be held, or claims would be refused until
            # something is appended.
            wait = self._settings.poll_wait if self._caught_up else timedelta(0)
            if isinstance(await self._read(wait), LogUnavailable):
                await trio.sleep(backoff.next_wait().total_seconds())
            else:
                backoff.reset()

    async def _watch_read_back(self) -> None:
        """Read aside where claims are not read back in time.

        The held read can be on a connection that went silent for good: it shows as claims that are
        appended and never come back until that read times out. A read that begins now takes
        another connection, as the silent one is in use.
        """
        waiting: set[str] = set()
        while True:
            await trio.sleep(READ_BACK_LIMIT.total_seconds())
            if waiting & self._waiters_by_claim.keys():
                await self._read_to_end()
            waiting = set(self._waiters_by_claim)

    async def _read_to_end(self) -> None:
        """Read what the stream holds now, unless the log is down."""
        while True:
            result = await self._read(timedelta(0))
            if isinstance(result, LogUnavailable):
                return
            if isinstance(result, LogPage) and self._ledger.position >= result.next_offset:
                return

    async def _read(self, wait: timedelta) -> ReadResult:
        """Read one page and take it in; reads may overlap, as records seen before are passed."""
        result = await self._log.read(self._settings.stream, self._ledger.position, wait=wait)
        match result:
            case LogUnavailable():
                self._caught_up = False
            case OffsetExpired(first_offset=first_offset):
                self._ledger.forget_before(first_offset)
            case LogPage(next_offset=next_offset):
                self._take_page(result)
                if self._ledger.position >= next_offset:
                    self._caught_up = True
        read, self._page_read = self._page_read, trio.Event()
        read.set()
        return result

    def _take_page(self, page: LogPage) -> None:
        for record in page.records:
            batch = self._ledger.apply(record.offset, record.payload)
            if batch is not None and batch.holder == self._agent_id:
                for settlement in batch.settlements:
                    self._committer.settlement_read(settlement)
                for claim in batch.claims:
                    self._take_own_claim(claim)
        self._ledger.forget_before(page.first_offset)

    def _take_own_claim(self, claim: Claim) -> None:
        verdict = self._ledger.judge(claim)
        waiter = self._waiters_by_claim.get(claim.claim_id)
        if waiter is not None and verdict is not None:
            waiter.resolve(verdict)
        elif claim.claim_id in self._abandoned_by_claim and isinstance(verdict, Won):
            # The record took effect after its submission was answered `NotRun`: without the
            # release, the key would answer `Unknown` until it runs out of the log.
            self._queue_release(claim.claim_id, claim.order_key, NotRunReason.DEADLINE)
