"""Retry times of refused requests.

Load: a burst after which refused callers retry together, and callers that retry at once and often.
Without assignments, every refused caller returns after the same fraction of its time left. A burst
is then followed by a second burst of retries, which are refused again.

The table is soft state of one scheduler. A new scheduler starts with an empty one, and treats
callers that were told a time by another as new.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from heapq import heapify, heappop, heappush
from math import exp
from typing import TYPE_CHECKING

import xxhash

from ragwortwing_policy.clock import Instant

from .queue_order import MINIMUM_RETRY_DELAY, REFUSAL_LEAD_SECONDS, Waiter

if TYPE_CHECKING:
    from .prompt_parts import Prompt

LONGEST_FRACTION = 1 / 3
"""Largest fraction of the time left that a caller is asked to wait. Callers ignore longer times."""

EARLY_TOLERANCE = 0.02
"""Seconds before its time at which a retry still counts as on time: the time is transmitted in
whole milliseconds, and the clocks of two VMs do not run at exactly the same rate."""

DECAY_SECONDS = 3.0
"""Time constant of the measured rates: shorter than a burst, so that a free pool is noticed soon
after it."""

MINIMUM_BUSY_SECONDS = 0.25
"""Seconds with waiting requests from which the rate of placed work is known."""

MINIMUM_FREE_FRACTION = 0.2
"""Fraction of the rate of placed work that is assumed to be free for retries during a burst. More
work arrives than is placed then, and nobody knows when the burst ends."""

MAXIMUM_ASSIGNMENTS = 8_000
"""Maximum number of assignments in a table: about 4 MB."""

MAXIMUM_ACCOUNT_FRACTION = 0.25
"""Fraction of the table that one account may fill, so that it cannot keep out the others."""

RESERVED_ACCOUNT_FRACTION = 0.5
"""Fraction of the free capacity that one account may reserve while others have reserved some. An
account that sends many times its usual rate has most of the refused requests, and its retries would
otherwise push those of all others to the end of what their callers accept."""

MAXIMUM_RETENTION_SECONDS = 60.0
"""Seconds after which an assignment is dropped, if the caller's deadline is later."""

MAXIMUM_STEP_SECONDS = 2.0
"""A longer span between two events of a pool with waiting requests is a clock jump or a suspended
VM, and is not part of a measurement."""

DECODE_SECONDS_PER_TOKEN = 0.015
"""Assumed seconds between two tokens of a stream, as measured on engines with dozens of streams."""

EVENT_GAP_FRACTION = 0.5
"""Assumed gap between two events of a stream as a fraction of its pause target."""

_SPREAD_STEP = 0.6180339887498949
"""Golden ratio: multiples of it modulo 1 are spread evenly, however many there are."""


class Recognition(StrEnum):
    """Whether a request is a retry for which a time was assigned."""

    ON_TIME = "on_time"
    """A retry at its assigned time or later."""
    EARLY = "early"
    """A retry before its assigned time."""
    UNKNOWN = "unknown"
    """A first attempt, or a retry of a request without an assignment in this table."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller, as the table sees it."""

    key: int
    """Identifies the caller's request among its attempts; see `attempt_key`."""
    request_id: str
    account: str | None
    waiter: Waiter
    work: float
    """Predicted engine seconds."""


@dataclass(frozen=True, slots=True)
class RetryBasis:
    """The load from which a retry time was computed."""

    placed_rate: float | None
    """Engine seconds placed per second while requests wait; None if not known yet."""
    free_rate: float | None
    """Engine seconds per second that are assumed to be free for retries of this urgency."""
    waiting_work: float
    """Engine seconds of waiting requests that are at least as urgent."""
    pending: int
    """Assigned times at which no retry has arrived."""
    within_limit: bool
    """Whether free engine time was found within the time that the caller accepts."""


@dataclass(frozen=True, slots=True)
class RetryTime:
    """When a refused caller should retry."""

    after: timedelta | None
    """None if too little time is left."""
    basis: RetryBasis
    recognition: Recognition
    """How the refused attempt itself was recognized."""


@dataclass(frozen=True, slots=True)
class Recognized:
    """The result for an attempt that arrives."""

    recognition: Recognition
    first_target_at: Instant | None = None
    """Latency target of the caller's first attempt; None for an unknown attempt."""


@dataclass(eq=False, slots=True)
class _Assignment:
    key: int
    account: str | None
    at: Instant
    work: float
    urgency: int
    first_target_at: Instant
    deadline: Instant
    committed: bool
    """Whether free engine time is reserved for the retry."""
    request_id: str | None = None
    """The retry that uses the assignment; None until it arrives."""
    dropped: bool = False


@dataclass(slots=True)
class _Waiting:
    attempt: Attempt
    recognition: Recognition
    arrived_at: Instant
    assignment: _Assignment | None


class _Rate:
    """A rate whose past decays exponentially."""

    def __init__(self) -> None:
        self._amount = 0.0
        self.seconds = 0.0

    def advance(self, seconds: float) -> None:
        kept = exp(-seconds / DECAY_SECONDS)
        self._amount *= kept
        self.seconds = self.seconds * kept + DECAY_SECONDS * (1 - kept)

    def add(self, amount: float) -> None:
        self._amount += amount

    @property
    def per_second(self) -> float:
        return self._amount / self.seconds if self.seconds > 0.0 else 0.0


class ReturnTimes:
    """The retry times that one scheduler has assigned for one pool.

    Each assignment reserves its predicted engine time on a timeline of free capacity, one for each
    urgency. An assignment also delays the timelines of less urgent requests, but not those of more
    urgent ones.

    Example:
        >>> times = ReturnTimes()
        >>> waiter = Waiter(urgency=0, target_at=0.5, deadline=6.0, arrived_at=0.0)
        >>> first = Attempt(7, "r-1", "litia", waiter, work=0.1)
        >>> times.arrive("t-1", first, now=0.0).recognition
        <Recognition.UNKNOWN: 'unknown'>
        >>> after = times.refuse("t-1", now=0.6).after.total_seconds()
        >>> 0.9 <= after <= 1.8
        True
        >>> second = Attempt(7, "r-2", "litia", waiter, work=0.1)
        >>> times.arrive("t-2", second, now=0.6 + after).recognition
        <Recognition.ON_TIME: 'on_time'>
    """

    def __init__(self, maximum: int = MAXIMUM_ASSIGNMENTS) -> None:
        self._maximum = maximum
        self.outcomes: Counter[tuple[Recognition, str]] = Counter()
        """Attempts by recognition and outcome (`placed`, `refused` or `left`)."""
        self.unrecorded = 0
        """Times that were told without being recorded, because the table was full."""
        self._now: Instant = 0.0
        self._started = False
        self._waiting: dict[str, _Waiting] = {}
        self._waiting_work: defaultdict[int, float] = defaultdict(float)
        self._placed = _Rate()
        self._offered: defaultdict[int, _Rate] = defaultdict(_Rate)
        self._free_from: dict[int, Instant] = {}
        """By urgency, the time from which free capacity is not reserved."""
        self._free_from_by_account: dict[tuple[int, str | None], Instant] = {}
        """By urgency and account, the time from which the account may reserve more."""
        self._by_key: dict[int, list[_Assignment]] = {}
        self._count_by_account: Counter[str | None] = Counter()
        self._expiries: list[tuple[Instant, int, _Assignment]] = []
        self._sequence = 0
        self._size = 0
        self._pending = 0

    @property
    def size(self) -> int:
        """Number of assignments in the table."""
        return self._size

    def pending(self, now: Instant) -> int:
        """Return the number of assigned times at which no retry has arrived."""
        self._expire(now)
        return self._pending

    def arrive(self, ticket: str, attempt: Attempt, now: Instant) -> Recognized:
        """Record that an attempt enters the queue, and recognize a retry.

        The attempts of a caller cannot be told from one another by the protocol. A second request
        with the same account and prompt is therefore recognized as a retry of the first.
        """
        self._advance(now)
        self._expire(now)
        # A resumed answer goes first in any case.
        assignment = None if attempt.waiter.resumed else self._assignment_of(attempt)
        recognition = Recognition.UNKNOWN
        if assignment is not None:
            early = now < assignment.at - EARLY_TOLERANCE
            recognition = Recognition.EARLY if early else Recognition.ON_TIME
            if not early and assignment.request_id is None:
                assignment.request_id = attempt.request_id
                self._pending -= 1
        else:
            # Retries have been counted at their first attempt.
            self._offered[attempt.waiter.urgency].add(attempt.work)
        self._waiting[ticket] = _Waiting(attempt, recognition, now, assignment)
        self._waiting_work[attempt.waiter.urgency] += attempt.work
        target = assignment.first_target_at if assignment is not None else None
        return Recognized(recognition, target)

    def placed(self, ticket: str, now: Instant) -> None:
        """Record that an attempt gets an engine."""
        self._advance(now)
        waiting = self._remove(ticket, "placed")
        if waiting is None:
            return
        if self._waiting or now > waiting.arrived_at:
            # Work that is placed while nothing waits shows the demand, not the capacity.
            self._placed.add(waiting.attempt.work)
        if waiting.recognition is Recognition.EARLY and waiting.assignment is not None:
            self._release(waiting.assignment)

    def left(self, ticket: str, now: Instant | None = None) -> None:
        """Record that an attempt has left the queue without a decision."""
        if now is not None:
            self._advance(now)
        self._remove(ticket, "left")

    def refuse(self, ticket: str, now: Instant) -> RetryTime:
        """Assign a time at which the caller of a refused attempt should retry."""
        self._advance(now)
        self._expire(now)
        waiting = self._remove(ticket, "refused")
        assert waiting is not None, "the attempt has not arrived"
        attempt = waiting.attempt
        left = attempt.waiter.deadline - now
        minimum = MINIMUM_RETRY_DELAY.total_seconds()
        longest = LONGEST_FRACTION * left
        if left <= 2 * REFUSAL_LEAD_SECONDS or longest < minimum:
            return RetryTime(None, self._basis(attempt, within_limit=False), waiting.recognition)
        known = waiting.assignment
        if waiting.recognition is Recognition.EARLY and known is not None:
            # A caller that retries early keeps its time and reserves nothing more.
            after = min(longest, max(minimum, known.at - now))
            basis = self._basis(attempt, within_limit=known.committed)
            return RetryTime(timedelta(seconds=after), basis, waiting.recognition)
        at = self._free_at(attempt, now + minimum, now + longest)
        basis = self._basis(attempt, within_limit=at is not None)
        self._sequence += 1
        if at is None:
            # All free capacity within the limit is reserved. The second half of the limit is the
            # part in which the burst has most probably ended.
            spread = (self._sequence * _SPREAD_STEP) % 1.0
            at = now + max(minimum, longest * (1 + spread) / 2)
        self._record(attempt, known, at, committed=basis.within_limit)
        return RetryTime(timedelta(seconds=at - now), basis, waiting.recognition)

    def predicted_wait(self, urgency: int) -> float | None:
        """Return the seconds until the waiting work of some urgency is placed; None if unknown.

        More urgent work is included, but not what arrives later and goes first.
        """
        placed = self._placed_rate()
        return self._work_ahead(urgency) / placed if placed else None

    def recognition(self, ticket: str) -> Recognition:
        """Return how a waiting attempt was recognized."""
        waiting = self._waiting.get(ticket)
        return waiting.recognition if waiting is not None else Recognition.UNKNOWN

    def _free_at(self, attempt: Attempt, earliest: Instant, latest: Instant) -> Instant | None:
        """Reserve free capacity and return its time; None if there is none before the latest."""
        urgency = attempt.waiter.urgency
        placed, wait = self._placed_rate(), self.predicted_wait(urgency)
        if not placed or wait is None:
            return None
        start = max(earliest, self._now + wait)
        seconds = attempt.work / self._free_rate(urgency, placed)
        free_from = max(start, self._free_from.get(urgency, start))
        own = (urgency, attempt.account)
        own_from = max(start, self._free_from_by_account.get(own, start))
        # An account that waits alone may use all free capacity.
        is_shared = self._size > self._count_by_account[attempt.account]
        at = max(free_from, own_from) if is_shared else free_from
        if at > latest:
            return None
        self._free_from[urgency] = free_from + seconds
        self._free_from_by_account[own] = own_from + seconds / RESERVED_ACCOUNT_FRACTION
        self._drop_past_accounts()
        for other, since in self._free_from.items():
            if other > urgency:
                step = attempt.work / self._free_rate(other, placed)
                self._free_from[other] = max(since, start) + step
        return at

    def _drop_past_accounts(self) -> None:
        """Forget accounts that may reserve again at once, if there are many."""
        if len(self._free_from_by_account) > self._maximum:
            self._free_from_by_account = {
                key: since for key, since in self._free_from_by_account.items() if since > self._now
            }

    def _record(
        self, attempt: Attempt, previous: _Assignment | None, at: Instant, *, committed: bool
    ) -> None:
        if previous is not None:
            self._drop(previous)
        account = attempt.account
        allowed = MAXIMUM_ACCOUNT_FRACTION * self._maximum
        if self._size >= self._maximum or self._count_by_account[account] >= allowed:
            self.unrecorded += 1
            return
        waiter = attempt.waiter
        first_target_at = waiter.target_at if previous is None else previous.first_target_at
        expires_at = min(waiter.deadline, self._now + MAXIMUM_RETENTION_SECONDS)
        assignment = _Assignment(
            attempt.key,
            account,
            at,
            attempt.work,
            waiter.urgency,
            first_target_at,
            waiter.deadline,
            committed,
        )
        self._by_key.setdefault(attempt.key, []).append(assignment)
        self._count_by_account[account] += 1
        self._size += 1
        self._pending += 1
        heappush(self._expiries, (expires_at, self._sequence, assignment))
        if len(self._expiries) > 2 * self._maximum:
            self._expiries = [each for each in self._expiries if not each[2].dropped]
            heapify(self._expiries)

    def _assignment_of(self, attempt: Attempt) -> _Assignment | None:
        """Return the assignment that an attempt uses: its own one, or the best unused one.

        The deadline of a retry is that of its caller's first attempt, if the caller states one.
        An attempt asks for an engine again, with the same request id, if its entry could not use
        the engine that it was granted.
        """
        found = self._by_key.get(attempt.key, ())
        for each in found:
            if each.request_id == attempt.request_id:
                return each
        unused = [each for each in found if each.request_id is None]
        deadline = attempt.waiter.deadline
        return min(unused, key=lambda each: abs(each.deadline - deadline), default=None)

    def _release(self, assignment: _Assignment) -> None:
        """Drop an assignment that is no longer needed, with the capacity reserved for it."""
        self._drop(assignment)
        placed = self._placed_rate()
        if assignment.committed and placed:
            for urgency, since in self._free_from.items():
                if urgency >= assignment.urgency:
                    step = assignment.work / self._free_rate(urgency, placed)
                    self._free_from[urgency] = since - step

    def _drop(self, assignment: _Assignment) -> None:
        if assignment.dropped:
            return
        assignment.dropped = True
        found = self._by_key[assignment.key]
        found.remove(assignment)
        if not found:
            del self._by_key[assignment.key]
        self._count_by_account[assignment.account] -= 1
        if not self._count_by_account[assignment.account]:
            del self._count_by_account[assignment.account]
        self._size -= 1
        self._pending -= assignment.request_id is None

    def _expire(self, now: Instant) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            self._drop(heappop(self._expiries)[2])

    def _remove(self, ticket: str, outcome: str) -> _Waiting | None:
        waiting = self._waiting.pop(ticket, None)
        if waiting is not None:
            urgency = waiting.attempt.waiter.urgency
            self._waiting_work[urgency] = max(
                0.0, self._waiting_work[urgency] - waiting.attempt.work
            )
            self.outcomes[waiting.recognition, outcome] += 1
        return waiting

    def _advance(self, now: Instant) -> None:
        """Update the measured rates to an instant."""
        step = now - self._now if self._started else 0.0
        if -MAXIMUM_STEP_SECONDS <= step < 0.0:
            # Counting from the earlier instant would measure the span twice.
            return
        self._now, self._started = now, True
        if step < -MAXIMUM_STEP_SECONDS:
            # The clock was set back: every recorded time is in a far future.
            self._forget_times()
            return
        if step == 0.0 or (step > MAXIMUM_STEP_SECONDS and self._waiting):
            return
        for rate in self._offered.values():
            rate.advance(step)
        if self._waiting:
            self._placed.advance(step)

    def _forget_times(self) -> None:
        for _, _, assignment in self._expiries:
            self._drop(assignment)
        self._expiries.clear()
        self._free_from.clear()
        self._free_from_by_account.clear()

    def _placed_rate(self) -> float | None:
        if self._placed.seconds < MINIMUM_BUSY_SECONDS:
            return None
        return self._placed.per_second

    def _work_ahead(self, urgency: int) -> float:
        return sum(work for rank, work in self._waiting_work.items() if rank <= urgency)

    def _free_rate(self, urgency: int, placed: float) -> float:
        offered = sum(each.per_second for rank, each in self._offered.items() if rank <= urgency)
        return max(MINIMUM_FREE_FRACTION * placed, placed - offered)

    def _basis(self, attempt: Attempt, *, within_limit: bool) -> RetryBasis:
        placed, urgency = self._placed_rate(), attempt.waiter.urgency
        return RetryBasis(
            placed_rate=placed,
            free_rate=None if placed is None else self._free_rate(urgency, placed),
            waiting_work=self._work_ahead(urgency),
            pending=self._pending,
            within_limit=within_limit,
        )


def attempt_key(account: str | None, prompt: Prompt) -> int:
    """Return a key that is equal for all attempts of a caller's request.

    The last part of a prompt belongs to the request or to its session. The token counts tell most
    requests of a session from one another.

    Example:
        >>> from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
        >>> prompt = Prompt("m", (PromptPart("shared", 10), PromptPart("own", 5)), 15, 5)
        >>> attempt_key("litia", prompt) == attempt_key("litia", prompt)
        True
        >>> attempt_key("litia", prompt) == attempt_key("sala", prompt)
        False
    """
    names = (account or "", prompt.model, *(each.id for each in prompt.parts))
    counts = f"{prompt.prompt_tokens}/{prompt.output_tokens}"
    return xxhash.xxh3_64_intdigest("\0".join((*names, counts)).encode())


def decode_seconds(output_tokens: int, tokens_per_event: int, pause_target: float | None) -> float:
    """Return the predicted seconds from the first event of an answer to its end."""
    if pause_target is None:
        return output_tokens * DECODE_SECONDS_PER_TOKEN
    return EVENT_GAP_FRACTION * pause_target * output_tokens / max(1, tokens_per_event)
