"""What the decisions about one backend server share."""

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
"""Silence of all streams after which the backend server counts as stalled."""

PROBE_SECONDS = 5.0
"""Silence after which one request at a time is sent all the same, to see whether it is answered."""

STALL_STREAMS = 2
"""Streams that must be silent together; one alone may be silent for a reason of its own."""


class EngineState:
    """Queue, slots, limit and what was learned of one backend server."""

    def __init__(self, configuration: Configuration, initial_limit: int, maximum: int) -> None:
        self.configuration = configuration
        self.queue = FairQueue()
        self.slots = RunningRequests()
        self.limit = EngineLimit(initial_limit, maximum)
        self.estimates = WorkEstimates()
        self.pace = EnginePace()
        self.waits = WaitModel(self.queue, self.slots, self.estimates, self.pace)

    def admits(self, reservation: Reservation) -> bool:
        """Return whether a reservation's class is known and served by the preset in force.

        A preset does not end an answer that has begun, perhaps on an engine that was lost.
        """
        name = reservation.request_class
        if name not in self.configuration.classes_by_name:
            return False
        return reservation.resumed_tokens > 0 or self.configuration.admits(name)

    def class_in_force(self, name: str, known: RequestClass | None) -> RequestClass:
        """Return a class under the preset in force; one that is configured no more as it was."""
        if known is not None and name not in self.configuration.classes_by_name:
            return known
        return self.configuration.class_in_force(name)

    def queued_request(
        self, reservation: Reservation, now: Instant, known: RequestClass | None = None
    ) -> QueuedRequest:
        """Return a reservation as it is queued under the preset in force.

        Args:
            reservation: What asks for a slot.
            now: The present instant.
            known: The class that a request which has begun was run under.
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
            begun=reservation.resumed_tokens > 0,
        )

    def wait_in_tier(self, tier: int, ahead: float, now: Instant) -> float:
        """Return the predicted wait of a request of a tier with so many ahead of it."""
        return self.waits.wait(self.waits.tier_load(tier, now), ahead, self.limit.value)

    def slack(self, request: QueuedRequest, now: Instant) -> float:
        """Return the seconds in which a request must get its slot to meet its target."""
        start = self.pace.first_token(request.request_class.name)
        target = request.request_class.first_token_target.total_seconds()
        return request.arrived_at + target - start - now

    def silence(self, now: Instant) -> float:
        """Return how long all streams have been silent; 0 where that says nothing."""
        running = self.slots.running_by_id.values()
        last = [each.last_token_at for each in running if each.tokens]
        if len(last) < STALL_STREAMS:
            return 0.0
        return now - max(last)

    def is_stalled(self, now: Instant) -> bool:
        """Return whether the backend server gives no stream anything."""
        return self.silence(now) > STALL_SECONDS

    def may_grant(self, now: Instant) -> bool:
        """Return whether a slot is free and the backend server answers.

        The streams may all be silent since their callers read nothing, on an engine that is well.
        No token would ever end such a stall, so after a while one request at a time is let through.
        """
        if len(self.slots) >= self.limit.value:
            return False
        silence = self.silence(now)
        if silence <= STALL_SECONDS:
            return True
        return silence > PROBE_SECONDS and not self.slots.awaits_first_token()


def _arrived_at(reservation: Reservation, request_class: RequestClass, now: Instant) -> Instant:
    """Return when the caller's request came, which the deadline set from its class tells.

    Without it, a request that was given up elsewhere and asks here would be taken for a new one: it
    would be queued for its whole limit once more, get a slot, and still miss its target.
    """
    return min(now, reservation.deadline - request_class.deadline.total_seconds())
