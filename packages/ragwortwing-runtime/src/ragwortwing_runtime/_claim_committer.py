"""Appends one agent's claims and outcomes to the log.

Everything queued within one interval is written as a single record (group commit), because the log
limits the rate of appends.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import islice
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.order_claims import (
    DEFAULT_CLOCK_SKEW,
    DEFAULT_KEY_LIMIT,
    DEFAULT_WINDOW,
    Claim,
    ClaimBatch,
    ClaimVerdict,
    Settlement,
    encode_batch,
)
from ragwortwing_policy.outcomes import NotRun, NotRunReason

from .backoff import Backoff
from .record_log import Appended, AppendUnknown, LogCause, LogUnavailable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from ragwortwing_policy.clock import Clock

    from .record_log import Log

ORDERS_STREAM = "orders"
MAX_QUEUED_SETTLEMENTS = 20_000
"""Maximum number of outcomes queued for the log. Beyond it the oldest is dropped, and the outcome
of its key stays unknown."""
APPEND_RETRY_DELAY = timedelta(milliseconds=500)
"""How long new claims are refused without a further attempt after the log refused an append."""
LOG_RETRY_AFTER = timedelta(seconds=2)
"""Retry delay given to callers while the log is unavailable."""


@dataclass(frozen=True, slots=True)
class OrderBookSettings:
    """Limits of an order book."""

    window: timedelta = DEFAULT_WINDOW
    clock_skew: timedelta = DEFAULT_CLOCK_SKEW
    key_limit: int = DEFAULT_KEY_LIMIT
    send_window: timedelta = timedelta(seconds=5)
    """Longest time from the request to the write to the backend server."""
    repeat_wait: timedelta = timedelta(seconds=3)
    """Longest time that a repeat of a key waits for the outcome of the first submission. The agent
    that holds the first claim may have crashed; waiting longer would only delay the answer."""
    append_interval: timedelta = timedelta(milliseconds=10)
    """Minimum time between two appends. It divides the log's append rate among the agents."""
    batch_limit: int = 256
    """Maximum number of claims and outcomes in one record."""
    poll_wait: timedelta = timedelta(seconds=10)
    """How long a long-polling read may wait for new records."""
    stream: str = ORDERS_STREAM


@dataclass(slots=True)
class ClaimWaiter:
    """A submission that waits until its claim is read back from the log."""

    claim: Claim
    resolved: trio.Event = field(default_factory=trio.Event)
    result: ClaimVerdict | NotRun | None = None

    def resolve(self, result: ClaimVerdict | NotRun) -> None:
        """Set the result and wake the submission. Later calls have no effect."""
        if self.result is None:
            self.result = result
            self.resolved.set()


class ClaimCommitter:
    """Queues one agent's claims and outcomes, and appends them to the log in batches."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        random: Random,
        agent_id: str,
        settings: OrderBookSettings,
        read_to_end: Callable[[], Awaitable[None]],
    ) -> None:
        """Create a committer.

        Args:
            log: The platform's log.
            clock: The process's clock.
            random: Source of jitter.
            agent_id: Name and incarnation of the agent.
            settings: Limits.
            read_to_end: Reads to the end of the stream and resolves the waiters of this agent's
                claims.
        """
        self._log = log
        self._clock = clock
        self._random = random
        self._agent_id = agent_id
        self._settings = settings
        self._read_to_end = read_to_end
        self._queue: deque[ClaimWaiter] = deque()
        self._settlements_by_claim_id: OrderedDict[str, Settlement] = OrderedDict()
        self._work_available = trio.Event()
        self._next_append_at = -math.inf

    @property
    def available(self) -> bool:
        """Return whether claims may be appended: False for a while after a refused append."""
        return self._clock.monotonic() >= self._next_append_at

    def queue_claim(self, waiter: ClaimWaiter) -> None:
        """Queue a claim for the next record."""
        self._queue.append(waiter)
        self._work_available.set()

    def queue_settlement(self, settlement: Settlement) -> None:
        """Queue an outcome; it is appended again until the log confirms it or it is read back."""
        self._settlements_by_claim_id.setdefault(settlement.claim_id, settlement)
        if len(self._settlements_by_claim_id) > MAX_QUEUED_SETTLEMENTS:
            self._settlements_by_claim_id.popitem(last=False)
        self._work_available.set()

    def confirm_settlement(self, settlement: Settlement) -> None:
        """Stop appending an outcome that is known to be in the log."""
        self._settlements_by_claim_id.pop(settlement.claim_id, None)

    async def run(self) -> None:
        """Append queued claims and outcomes, one record at a time, until cancelled."""
        backoff = Backoff(self._random)
        while True:
            await self._work_available.wait()
            self._work_available = trio.Event()
            while self._queue or self._settlements_by_claim_id:
                started = self._clock.monotonic()
                if await self._append_batch():
                    backoff.reset()
                    interval = self._settings.append_interval.total_seconds()
                    pause = started + interval - self._clock.monotonic()
                    await trio.sleep(max(0.0, pause))
                else:
                    await trio.sleep(backoff.next_wait().total_seconds())

    async def _append_batch(self) -> bool:
        """Append one record of queued entries; return whether the log accepted it."""
        settlements = self._next_settlements()
        waiters = self._next_waiters(self._settings.batch_limit - len(settlements))
        if not waiters and not settlements:
            return True
        batch = ClaimBatch(
            self._agent_id,
            self._clock.utc_now().timestamp(),
            tuple(each.claim for each in waiters),
            settlements,
        )
        result = await self._log.append(self._settings.stream, encode_batch(batch))
        match result:
            case Appended():
                for settlement in settlements:
                    self.confirm_settlement(settlement)
                return True
            case AppendUnknown():
                # A read that starts now returns the record, unless the append was lost or takes
                # effect later. Claims that are not read back are appended again; a duplicate of a
                # claim counts as the same claim.
                await self._read_to_end()
                self._requeue(waiters)
            case LogUnavailable(cause=LogCause.RATE):
                self._requeue(waiters)
            case LogUnavailable():
                # Claims are refused immediately until then. The first claim after it tries the log.
                self._next_append_at = self._clock.monotonic() + APPEND_RETRY_DELAY.total_seconds()
                self._refuse([*waiters, *self._queue])
                self._queue.clear()
        return False

    def _next_settlements(self) -> tuple[Settlement, ...]:
        """Return the outcomes for the next record.

        They go before claims, because repeats of their keys wait for them.
        """
        return tuple(islice(self._settlements_by_claim_id.values(), self._settings.batch_limit))

    def _next_waiters(self, limit: int) -> list[ClaimWaiter]:
        """Remove and return up to `limit` submissions that still wait."""
        waiters: list[ClaimWaiter] = []
        while self._queue and len(waiters) < limit:
            waiter = self._queue.popleft()
            if waiter.result is None:
                waiters.append(waiter)
        return waiters

    def _requeue(self, waiters: list[ClaimWaiter]) -> None:
        """Put claims that were not read back at the front of the queue, with the same claim ids."""
        unresolved = [each for each in waiters if each.result is None]
        self._queue.extendleft(reversed(unresolved))

    def _refuse(self, waiters: list[ClaimWaiter]) -> None:
        for waiter in waiters:
            waiter.resolve(NotRun(NotRunReason.LOG_UNAVAILABLE, LOG_RETRY_AFTER))
