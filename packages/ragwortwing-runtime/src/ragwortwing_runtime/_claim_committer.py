"""Appends the claims and outcomes of one agent, an interval's worth in each record."""

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
SETTLEMENT_LIMIT = 20_000
"""Most outcomes that wait for the log; a key whose outcome is dropped stays unknown."""
APPEND_PAUSE = timedelta(milliseconds=500)
"""How long new claims are refused without an attempt after the log refused an append."""
LOG_RETRY_AFTER = timedelta(seconds=2)
"""When to come back while the log is down."""


@dataclass(frozen=True, slots=True)
class OrderBookSettings:
    """Limits of an order book."""

    window: timedelta = DEFAULT_WINDOW
    clock_skew: timedelta = DEFAULT_CLOCK_SKEW
    key_limit: int = DEFAULT_KEY_LIMIT
    send_window: timedelta = timedelta(seconds=5)
    """Longest time from the request to the write to the backend server."""
    repeat_wait: timedelta = timedelta(seconds=3)
    """Longest time that a repeat of a key waits for the first submission's outcome. Its holder may
    be gone for good; a longer wait would hold back an answer that cannot get better."""
    append_interval: timedelta = timedelta(milliseconds=10)
    """Least time between two appends; with N agents, they share the log's rate by it."""
    batch_limit: int = 256
    """Most claims and outcomes in one record."""
    poll_wait: timedelta = timedelta(seconds=10)
    """How long the log may hold a read while nothing is appended."""
    stream: str = ORDERS_STREAM


@dataclass(slots=True)
class ClaimWaiter:
    """A submission that waits for its claim to be read back."""

    claim: Claim
    resolved: trio.Event = field(default_factory=trio.Event)
    result: ClaimVerdict | NotRun | None = None

    def resolve(self, result: ClaimVerdict | NotRun) -> None:
        """Give the result; a later one changes nothing."""
        if self.result is None:
            self.result = result
            self.resolved.set()


class ClaimCommitter:
    """The queue of one agent's claims and outcomes, and the task that appends them."""

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
            read_to_end: Reads the stream as far as it goes and resolves the waiters of own claims.
        """
        self._log = log
        self._clock = clock
        self._random = random
        self._agent_id = agent_id
        self._settings = settings
        self._read_to_end = read_to_end
        self._queue: deque[ClaimWaiter] = deque()
        self._settlements_by_claim: OrderedDict[str, Settlement] = OrderedDict()
        self._work = trio.Event()
        self._next_append_at = -math.inf

    @property
    def available(self) -> bool:
        """Return whether the log took the last append, or may be tried again."""
        return self._clock.monotonic() >= self._next_append_at

    def queue_claim(self, waiter: ClaimWaiter) -> None:
        """Append a claim with the next record."""
        self._queue.append(waiter)
        self._work.set()

    def queue_settlement(self, settlement: Settlement) -> None:
        """Append an outcome with a next record, until it stands in the log."""
        self._settlements_by_claim.setdefault(settlement.claim_id, settlement)
        if len(self._settlements_by_claim) > SETTLEMENT_LIMIT:
            self._settlements_by_claim.popitem(last=False)
        self._work.set()

    def settlement_read(self, settlement: Settlement) -> None:
        """Append an outcome no more, as it was read back."""
        self._settlements_by_claim.pop(settlement.claim_id, None)

    async def run(self) -> None:
        """Append what is queued, one record at a time, until cancelled."""
        backoff = Backoff(self._random)
        while True:
            await self._work.wait()
            self._work = trio.Event()
            while self._queue or self._settlements_by_claim:
                started = self._clock.monotonic()
                if await self._append_batch():
                    backoff.reset()
                    interval = self._settings.append_interval.total_seconds()
                    pause = started + interval - self._clock.monotonic()
                    await trio.sleep(max(0.0, pause))
                else:
                    await trio.sleep(backoff.next_wait().total_seconds())

    async def _append_batch(self) -> bool:
        """Append one record of what is queued; return whether the log took it."""
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
                    self.settlement_read(settlement)
                return True
            case AppendUnknown():
                # A read that begins now shows the record, unless it never came or comes late. What
                # is not there is appended again: the same claim twice is one claim.
                await self._read_to_end()
                self._requeue(waiters)
            case LogUnavailable(cause=LogCause.RATE):
                self._requeue(waiters)
            case LogUnavailable():
                # Claims are refused at once until then; the first one after it tries the log.
                self._next_append_at = self._clock.monotonic() + APPEND_PAUSE.total_seconds()
                self._refuse([*waiters, *self._queue])
                self._queue.clear()
        return False

    def _next_settlements(self) -> tuple[Settlement, ...]:
        """Return outcomes for the next record; each one frees or answers the repeats of a key."""
        return tuple(islice(self._settlements_by_claim.values(), self._settings.batch_limit))

    def _next_waiters(self, room: int) -> list[ClaimWaiter]:
        waiters: list[ClaimWaiter] = []
        while self._queue and len(waiters) < room:
            waiter = self._queue.popleft()
            if waiter.result is None:
                waiters.append(waiter)
        return waiters

    def _requeue(self, waiters: list[ClaimWaiter]) -> None:
        """Queue again what was not read back, under the same claim ids."""
        unresolved = [each for each in waiters if each.result is None]
        self._queue.extendleft(reversed(unresolved))

    def _refuse(self, waiters: list[ClaimWaiter]) -> None:
        for waiter in waiters:
            waiter.resolve(NotRun(NotRunReason.LOG_UNAVAILABLE, LOG_RETRY_AFTER))
