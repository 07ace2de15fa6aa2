"""The agent's scheduler: which reservation gets a slot of the backend server, and when."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from .outcomes import NotRunReason
from .reservations import Grant, LoadReport, Refuse, Reservation, SchedulerDecision

if TYPE_CHECKING:
    from .clock import Instant
    from .configuration import Configuration

GRANT_LIFETIME = timedelta(seconds=1)
"""How long a slot is held for a body that does not come."""


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """What an agent knows of its backend server at start."""

    initial_limit: int = 16
    """Concurrency limit before anything was learned."""
    maximum_limit: int = 256


class Scheduler:
    """Queue, slots and limit of one backend server; it does no input or output.

    Every method takes the present instant and returns the decisions that follow from the event.
    """

    def __init__(self, settings: SchedulerSettings, configuration: Configuration) -> None:
        self._settings = settings
        self._configuration = configuration
        self._queue: deque[Reservation] = deque()
        self._granted_by_id: dict[str, Instant] = {}
        self._running_by_id: dict[str, Reservation] = {}
        self._draining = False

    def configure(self, configuration: Configuration, now: Instant) -> list[SchedulerDecision]:
        """Take a newer configuration into force."""
        self._configuration = configuration
        return self._grant_free_slots(now)

    def offer(self, reservation: Reservation, now: Instant) -> list[SchedulerDecision]:
        """Queue a reservation, or refuse it at once."""
        if self._draining:
            return [Refuse(reservation.request_id, NotRunReason.DRAINING)]
        self._queue.append(reservation)
        return self._grant_free_slots(now)

    def withdraw(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Forget a reservation that is queued or granted; a running one is left to `finished`."""
        self._queue = deque(each for each in self._queue if each.request_id != request_id)
        self._granted_by_id.pop(request_id, None)
        return self._grant_free_slots(now)

    def started(self, reservation: Reservation, now: Instant) -> bool:
        """Turn a grant into a running request; False where the grant had expired."""
        if self._granted_by_id.pop(reservation.request_id, None) is None:
            return False
        self._running_by_id[reservation.request_id] = reservation
        return True

    def progressed(self, request_id: str, tokens: int, now: Instant) -> None:
        """Record tokens that the engine gave to a running request."""

    def preempted(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Record that the engine has let go of a preempted request, which is queued again."""
        reservation = self._running_by_id.pop(request_id)
        self._queue.appendleft(reservation)
        return self._grant_free_slots(now)

    def finished(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Free the slot of a request that ended in any way."""
        self._running_by_id.pop(request_id, None)
        return self._grant_free_slots(now)

    def tick(self, now: Instant) -> list[SchedulerDecision]:
        """Expire grants, refuse what can no longer meet its deadline, adapt the limit."""
        expired = [each for each, until in self._granted_by_id.items() if until <= now]
        for request_id in expired:
            del self._granted_by_id[request_id]
        return self._grant_free_slots(now)

    def drain(self, now: Instant) -> list[SchedulerDecision]:
        """Hand back everything queued and take nothing new; what runs goes on."""
        self._draining = True
        refused = [Refuse(each.request_id, NotRunReason.DRAINING) for each in self._queue]
        self._queue.clear()
        return list(refused)

    def load(self, now: Instant) -> LoadReport:
        """Return the agent's own counts."""
        return LoadReport(
            running=len(self._running_by_id),
            queued=len(self._queue),
            limit=self._settings.initial_limit,
            predicted_wait=timedelta(0),
            draining=self._draining,
        )

    def _grant_free_slots(self, now: Instant) -> list[SchedulerDecision]:
        decisions: list[SchedulerDecision] = []
        expires_at = now + GRANT_LIFETIME.total_seconds()
        while self._queue and self._used_slots < self._settings.initial_limit:
            reservation = self._queue.popleft()
            self._granted_by_id[reservation.request_id] = expires_at
            decisions.append(Grant(reservation.request_id, expires_at))
        return decisions

    @property
    def _used_slots(self) -> int:
        return len(self._running_by_id) + len(self._granted_by_id)
