"""State of one backend server that is shared by admission, aging, preemption and scheduling."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .concurrency_limit import EngineLimit
from .engine_pace import EnginePace
from .fair_queue import FairQueue, QueuedRequest
from .running_requests import RunningRequests
from .wait_model import WaitModel
from .work_estimate import WorkEstimates

if TYPE_CHECKING:
    from .clock import Instant
    from .configuration import Configuration, RequestClass
    from .reservations import Reservation

STALL_SECONDS = 1.0
"""Time without a token on any stream after which the backend server counts as stalled."""

STALL_PROBE_SECONDS = 5.0
"""Time without a token after which one request at a time is sent to a stalled server as a probe."""

STALL_MINIMUM_STREAMS = 2
"""Minimum number of streams needed to detect a stall. A single stream may be silent for a reason
of its own."""


class EngineState:
    """Queue, slots, concurrency limit and estimates of one backend server."""

    def __init__(self, configuration: Configuration, initial_limit: int, maximum: int) -> None:
        self.configuration = configuration
        self.queue = FairQueue()
        self.slots = RunningRequests()
        self.limit = EngineLimit(initial_limit, maximum)
        self.estimates = WorkEstimates()
        self.pace = EnginePace()
        self.waits = WaitModel(self.queue, self.slots, self.estimates, self.pace)

    def admits(self, reservation: Reservation) -> bool:
        """Return whether a reservation's class is configured and admitted by the preset in force.

        A preset does not end an answer that has begun, possibly on another engine that was lost.
        """
        name = reservation.request_class
        if name not in self.configuration.classes_by_name:
            return False
        return reservation.resumed_tokens > 0 or self.configuration.admits(name)

    def class_in_force(self, name: str, known: RequestClass | None) -> RequestClass:
        """Return a class under the preset in force, or `known` if it is no longer configured."""
        if known is not None and name not in self.configuration.classes_by_name:
            return known
        return self.configuration.class_in_force(name)

    def queued_request(
        self, reservation: Reservation, now: Instant, known: RequestClass | None = None
    ) -> QueuedRequest:
        """Create the queue entry of a reservation under the preset in force.

        Args:
            reservation: The reservation to queue.
            now: The current time.
            known: The class of the previous run, for a request that has already begun.
        """
        account = self.configuration.accounts_by_name.get(reservation.account)
        request_class = self.class_in_force(reservation.request_class, known)
        return QueuedRequest(
            reservation=reservation,
            request_class=request_class,
            account_weight=1.0 if account is None else account.weight,
            arrived_at=_arrived_at(reservation, request_class, now),
            work=self.estimates.expected_remaining(
                reservation.request_class,
                reservation.account,
                reservation.resumed_tokens,
                reservation.expected_tokens,
            ),
            has_started=reservation.resumed_tokens > 0,
        )

    def wait_in_tier(self, tier: int, ahead: float, now: Instant) -> float:
        """Return the predicted wait in seconds of a request with `ahead` requests ahead of it."""
        return self.waits.wait(self.waits.tier_load(tier, now), ahead, self.limit.value)

    def slack(self, request: QueuedRequest, now: Instant) -> float:
        """Return the time in seconds within which a request needs a slot to meet its target."""
        start = self.pace.first_token(request.request_class.name)
        target = request.request_class.first_token_target.total_seconds()
        return request.arrived_at + target - start - now

    def silence(self, now: Instant) -> float:
        """Return the seconds since the last token of any stream, or 0 with too few streams."""
        running = self.slots.running_by_id.values()
        last_token_times = [each.last_token_at for each in running if each.tokens]
        if len(last_token_times) < STALL_MINIMUM_STREAMS:
            return 0.0
        return now - max(last_token_times)

    def is_stalled(self, now: Instant) -> bool:
        """Return whether the backend server has stopped sending tokens on all streams."""
        return self.silence(now) > STALL_SECONDS

    def may_grant(self, now: Instant) -> bool:
        """Return whether a slot is free and the backend server is not stalled.

        On a healthy engine all streams may be silent because their callers have stopped reading. No
        token would end such a stall, so after a while one request at a time is allowed as a probe.
        """
        if len(self.slots) >= self.limit.value:
            return False
        silence = self.silence(now)
        if silence <= STALL_SECONDS:
            return True
        return silence > STALL_PROBE_SECONDS and not self.slots.awaits_first_token()


def _arrived_at(reservation: Reservation, request_class: RequestClass, now: Instant) -> Instant:
    """Return when the caller's request arrived, derived from its deadline.

    A request that was refused by another agent has already waited. Treated as new, it would be
    queued for its whole limit again, get a slot and still miss its target.
    """
    return min(now, reservation.deadline - request_class.deadline.total_seconds())
