"""The agent's scheduler, which assigns the slots of its backend server to reservations."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from .admission import Admission
from .aging import Aging
from .engine_state import EngineState
from .outcomes import NotRunReason
from .preemption import Preemption
from .reservations import Grant, LoadReport, Refuse, Requeued
from .running_requests import RunningRequest, SlotReservation

if TYPE_CHECKING:
    from .clock import Instant
    from .configuration import Configuration
    from .fair_queue import QueuedRequest
    from .reservations import Reservation, SchedulerDecision

GRANT_LIFETIME = timedelta(seconds=1)
"""How long a granted slot is held for the request's body."""


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Concurrency limits of the backend server at start."""

    initial_limit: int = 16
    """Concurrency limit before any latency is measured."""
    maximum_limit: int = 256


class Scheduler:
    """Manages the queue, slots and concurrency limit of one backend server, without I/O.

    Event methods take the current time and return the resulting decisions. The scheduler is
    deterministic: the same events at the same times give the same decisions. `tick` must be called
    about ten times per second.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        configuration: Configuration,
        random: Random | None = None,
    ) -> None:
        self._state = EngineState(configuration, settings.initial_limit, settings.maximum_limit)
        self._queue = self._state.queue
        self._slots = self._state.slots
        self._admission = Admission(self._state, random or Random(0))
        self._preemption = Preemption(self._state)
        self._aging = Aging(self._state, self._preemption)
        self._draining = False

    def configure(self, configuration: Configuration, now: Instant) -> list[SchedulerDecision]:
        """Apply a newer configuration and rebuild the queue."""
        self._state.configuration = configuration
        decisions: list[SchedulerDecision] = []
        for request in list(self._queue):
            self._dequeue(request.request_id)
            if request.has_started or self._state.admits(request.reservation):
                self._enqueue(self._reclassified(request), now)
            else:
                decisions.append(_shed(request.reservation))
        self._reclassify_running()
        return decisions + self._dispatch(now)

    def offer(self, reservation: Reservation, now: Instant) -> list[SchedulerDecision]:
        """Queue a reservation or refuse it."""
        if reservation.request_id in self._queue or reservation.request_id in self._slots:
            return []
        if self._draining:
            return [Refuse(reservation.request_id, NotRunReason.DRAINING)]
        if not self._state.admits(reservation):
            return [_shed(reservation)]
        request = self._state.queued_request(reservation, now)
        refusal = self._admission.refusal(request, now)
        if refusal is not None:
            return [*self._preempt_for_refusal(refusal, request.tier, now), refusal]
        self._enqueue(request, now)
        return self._dispatch(now)

    def withdraw(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Remove a queued or granted reservation; running requests end with `finished` instead."""
        if self._dequeue(request_id) is not None:
            self._state.waits.observe_departure(granted=False)
        self._slots.held_by_id.pop(request_id, None)
        return self._dispatch(now)

    def started(self, reservation: Reservation, now: Instant) -> bool:
        """Turn a grant into a running request; return False if the grant has expired."""
        slot = self._slots.held_by_id.pop(reservation.request_id, None)
        if slot is None:
            return False
        self._slots.running_by_id[reservation.request_id] = RunningRequest(
            reservation=reservation,
            request_class=slot.request.request_class,
            started_at=now,
            last_token_at=now,
            protected=slot.request.protected,
        )
        self._adapt_limit(now)
        return True

    def progressed(self, request_id: str, tokens: int, now: Instant) -> None:
        """Record tokens that the engine generated for a running request."""
        running = self._slots.running_by_id.get(request_id)
        if running is None or tokens < 1:
            return
        elapsed = now - running.last_token_at
        if running.tokens:
            self._state.pace.observe_between_tokens(elapsed / tokens)
            self._state.limit.observe_between_tokens(elapsed / tokens)
        else:
            self._state.pace.observe_first_token(running.request_class.name, elapsed)
            self._state.limit.observe_first_token(elapsed)
            running.first_token_at = now
        running.tokens += tokens
        running.last_token_at = now

    def preempted(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Queue a preempted request again after the engine has stopped it."""
        running = self._slots.running_by_id.pop(request_id, None)
        if running is None:
            return []
        resumed = replace(running.reservation, resumed_tokens=running.age)
        request = self._state.queued_request(resumed, now, running.request_class)
        request.has_started = True
        request.protected = True
        self._enqueue(request, now)
        return [Requeued(request_id), *self._dispatch(now)]

    def finished(self, request_id: str, now: Instant) -> list[SchedulerDecision]:
        """Free the slot of a request that ended, whatever its outcome."""
        running = self._slots.running_by_id.pop(request_id, None)
        if running is not None:
            self._record_finished(running, now)
        self._slots.held_by_id.pop(request_id, None)
        self._dequeue(request_id)
        return self._dispatch(now)

    def tick(self, now: Instant) -> list[SchedulerDecision]:
        """Expire grants, refuse requests that cannot start in time, and adapt the limit."""
        for slot in self._slots.expire(now):
            self._requeue_expired(slot, now)
        self._state.waits.observe_occupancy(self._state.limit.value, now)
        self._adapt_limit(now)
        decisions = self._refuse_infeasible(now)
        decisions += self._dispatch(now)
        return decisions + list(self._preemption.preempt_above_limit(now))

    def drain(self, now: Instant) -> list[SchedulerDecision]:
        """Refuse queued and new requests; requests that have begun continue."""
        self._draining = True
        waiting = [each.request_id for each in self._queue if not each.has_started]
        for request_id in waiting:
            self._dequeue(request_id)
        return [Refuse(each, NotRunReason.DRAINING) for each in waiting]

    def load(self, now: Instant) -> LoadReport:
        """Return the agent's load report."""
        configuration = self._state.configuration
        classes = [configuration.class_in_force(each) for each in configuration.classes_by_name]
        tier = min((each.tier for each in classes), default=0)
        wait = self._state.wait_in_tier(tier, self._queue.count_through(tier), now)
        if self._state.is_stalled(now):
            wait = max(wait, self._state.silence(now))
        return LoadReport(
            running=len(self._slots),
            queued=len(self._queue),
            limit=self._state.limit.value,
            predicted_wait=timedelta(seconds=wait),
            draining=self._draining,
        )

    def _dispatch(self, now: Instant) -> list[SchedulerDecision]:
        decisions: list[SchedulerDecision] = []
        while self._state.may_grant(now):
            request = self._next_request(now)
            if request is None:
                break
            if self._admission.is_late(request, now) and not self._can_preempt_for(request, now):
                self._dequeue(request.request_id)
                self._aging.on_refused(request.tier, now)
                decisions.append(self._admission.late_refusal(request, now))
            else:
                decisions.append(self._grant(request, now))
        self._state.limit.observe_used(len(self._slots))
        decisions += self._preemption.due(now)
        return decisions

    def _next_request(self, now: Instant) -> QueuedRequest | None:
        first = self._queue.first()
        if first is None:
            return None
        aged = self._aging.next(first, now)
        if aged is None:
            return first
        aged.protected = True
        return aged

    def _can_preempt_for(self, request: QueuedRequest, now: Instant) -> bool:
        return bool(self._slots.victims(request.tier, now, exclude_protected=False))

    def _grant(self, request: QueuedRequest, now: Instant) -> Grant:
        self._queue.take(request)
        self._untrack(request)
        expires_at = now + GRANT_LIFETIME.total_seconds()
        self._slots.held_by_id[request.request_id] = SlotReservation(request, expires_at)
        self._state.waits.observe_departure(granted=True)
        return Grant(request.request_id, expires_at)

    def _enqueue(self, request: QueuedRequest, now: Instant) -> None:
        self._queue.add(request)
        self._preemption.on_queued(request, now)
        self._aging.on_queued(request)

    def _dequeue(self, request_id: str) -> QueuedRequest | None:
        request = self._queue.remove(request_id)
        if request is not None:
            self._untrack(request)
        return request

    def _untrack(self, request: QueuedRequest) -> None:
        self._preemption.on_left_queue(request)
        self._aging.on_left_queue(request)

    def _requeue_expired(self, slot: SlotReservation, now: Instant) -> None:
        if slot.request.has_started:
            self._enqueue(slot.request, now)

    def _refuse_infeasible(self, now: Instant) -> list[SchedulerDecision]:
        decisions: list[SchedulerDecision] = []
        for refusal in self._admission.refuse_infeasible(now):
            request = self._dequeue(refusal.request_id)
            if request is not None:
                decisions += self._preempt_for_refusal(refusal, request.tier, now)
            decisions.append(refusal)
        return decisions

    def _preempt_for_refusal(
        self, refusal: Refuse, tier: int, now: Instant
    ) -> list[SchedulerDecision]:
        if refusal.reason is not NotRunReason.OVERLOADED:
            return []
        self._aging.on_refused(tier, now)
        return list(self._preemption.preempt_for_refusal(tier, now))

    def _adapt_limit(self, now: Instant) -> None:
        self._state.limit.adapt(self._slots.strictest_targets(), len(self._slots), now)

    def _record_finished(self, running: RunningRequest, now: Instant) -> None:
        name = running.request_class.name
        mean = running.mean_between_tokens
        most_urgent = self._slots.most_urgent_tier()
        if mean is not None and (most_urgent is None or running.tier <= most_urgent):
            target = running.request_class.between_token_target.total_seconds()
            self._state.limit.observe_answer(mean, target, now)
        if running.tokens:
            self._state.estimates.observe(name, running.reservation.account, running.age)
            return
        elapsed = now - running.started_at
        self._state.pace.observe_first_token(name, elapsed)
        self._state.limit.observe_first_token(elapsed)

    def _reclassified(self, request: QueuedRequest) -> QueuedRequest:
        name = request.reservation.request_class
        in_force = self._state.class_in_force(name, request.request_class)
        return replace(request, request_class=in_force)

    def _reclassify_running(self) -> None:
        for running in self._slots.running_by_id.values():
            name = running.reservation.request_class
            running.request_class = self._state.class_in_force(name, running.request_class)


def _shed(reservation: Reservation) -> Refuse:
    return Refuse(reservation.request_id, NotRunReason.SHED_BY_PRESET)
