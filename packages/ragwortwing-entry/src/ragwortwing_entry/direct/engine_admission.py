"""Obtains engines for this entry's requests, from the pool's scheduler or by a local decision.

The entry decides locally if it is the scheduler itself or if the scheduler does not answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from math import inf
from typing import TYPE_CHECKING, Any

import trio

from ragwortwing_policy.direct.admission_queue import Granted, Rejected, WaitingRequest
from ragwortwing_policy.direct.run_cost import RunCost
from ragwortwing_policy.direct.run_report import ReportedRun
from ragwortwing_policy.outcomes import NotRunReason

from .decision_log import decided, standing_fields
from .peer_messages import (
    Decision,
    DecisionMessage,
    WithdrawMessage,
    grant_of,
    place_message,
    rejection_of,
)
from .ports import Refused

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ragwortwing_policy.direct.backend_list import BackendServer

    from .crash_watch import CrashWatch
    from .entry_state import EntryState
    from .queue_dispatcher import QueueDispatcher
    from .run_reporting import RunReporting

RESEND_INTERVAL = 0.05
"""Seconds without an answer after which a request is sent to its scheduler again."""

MAX_UNANSWERED = 3
"""Unanswered sends of a request after which its scheduler is suspected to have failed."""

QUEUED_RESEND_INTERVAL = 0.25
"""Seconds between repeated sends of a request that the scheduler has queued."""


@dataclass(eq=False, slots=True)
class _Pending:
    """A request that waits for its scheduler's decision."""

    request: WaitingRequest
    answer: DecisionMessage | None = None
    answered: trio.Event = field(default_factory=trio.Event)


@dataclass(frozen=True, slots=True)
class _NoAnswer:
    """The scheduler did not answer, or another entry has become the scheduler."""


class EngineAdmission:
    """Admits the requests of one entry to the engines of one pool."""

    def __init__(
        self,
        pool: str,
        state: EntryState,
        dispatcher: QueueDispatcher,
        reporting: RunReporting,
        crashes: CrashWatch,
    ) -> None:
        self._pool = pool
        self._crashes = crashes
        self._state = state
        self._dispatcher = dispatcher
        self._reporting = reporting
        self._pending_by_ticket: dict[str, _Pending] = {}

    async def admit(self, request: WaitingRequest) -> Granted | Refused:
        """Wait for an engine. The load of a granted engine includes the request from then on."""
        ticket = request.ticket
        refused_grants: list[str] = []
        while True:
            blocked = self._refuse_blocked(request)
            if blocked is not None:
                return blocked
            request = self._with_unusable(request, refused_grants)
            scheduler = self._state.scheduler(self._pool)
            if scheduler is None:
                local = await self._decide_locally(request)
                if isinstance(local, Rejected) or self._usable_backend(local.backend.id, request):
                    return self._conclude(local, None)
                self._release_grants(request, [local])
                refused_grants.append(local.backend.id)
            else:
                found = await self._request_decision(scheduler, request)
                if isinstance(found, _NoAnswer):
                    continue
                decision = self._resolve_decision(found, request)
                if decision is not None:
                    return self._conclude(decision, scheduler)
                refused_grants.append(found.backend_id)
            # This entry knows more, or less, of the granted backend server than the scheduler.
            request = replace(
                request,
                ticket=f"{ticket}.{len(refused_grants)}",
                avoid=request.avoid | {refused_grants[-1]},
            )

    def _with_unusable(
        self, request: WaitingRequest, refused_grants: Sequence[str]
    ) -> WaitingRequest:
        """Return a request that names the backend servers which this entry must not use."""
        ready = self._state.backends.ready(self._pool, request.version)
        backoffs = self._state.backoffs.until_by_id(ready, self._state.clock.monotonic())
        blocked = self._crashes.blocked_until_by_id(ready, request.prompt)
        refused = dict.fromkeys(refused_grants, inf)
        return replace(request, unusable_until={**blocked, **refused, **backoffs})

    def _refuse_blocked(self, request: WaitingRequest) -> Refused | None:
        """Refuse a request whose prompt no engine may get."""
        ready = self._state.backends.ready(self._pool, request.version)
        until_by_id = self._crashes.blocked_until_by_id(ready, request.prompt)
        if not ready or len(until_by_id) < len(ready):
            return None
        retry_after = min(until_by_id.values()) - self._state.clock.monotonic()
        decided(
            "request_refused",
            request.request_id,
            reason=NotRunReason.PROMPT_BLOCKED,
            retry_after=None if retry_after == inf else round(retry_after, 3),
            account=request.account,
        )
        return Refused(
            NotRunReason.PROMPT_BLOCKED,
            None if retry_after == inf else timedelta(seconds=retry_after),
        )

    def take(self, message: DecisionMessage) -> None:
        """Handle a scheduler's decision; a grant that no request waits for is withdrawn."""
        self._state.choice.answered(message.sender)
        pending = self._pending_by_ticket.get(message.ticket)
        if pending is not None:
            pending.answer = message
            pending.answered.set()
        elif message.decision is Decision.GRANTED and not self._reporting.reporter(
            self._pool
        ).knows(message.ticket):
            self._withdraw(message.sender, message.ticket)

    async def _decide_locally(self, request: WaitingRequest) -> Granted | Rejected:
        decisions: list[Granted | Rejected] = []
        decided_event = trio.Event()

        def on_decision(decision: Granted | Rejected) -> None:
            decisions.append(decision)
            decided_event.set()

        self._dispatcher.enter(request, on_decision)
        try:
            await decided_event.wait()
        except trio.Cancelled:
            self._dispatcher.leave(request.ticket)
            self._release_grants(request, decisions)
            raise
        return decisions[0]

    def _release_grants(self, request: WaitingRequest, decisions: list[Granted | Rejected]) -> None:
        for decision in decisions:
            if isinstance(decision, Granted):
                now = self._state.clock.monotonic()
                self._state.placement.end(decision.backend.id, request.ticket, now)

    async def _request_decision(
        self, scheduler: str, request: WaitingRequest
    ) -> DecisionMessage | _NoAnswer:
        self._reporting.send_runs_if_needed(self._pool, scheduler)
        pending = self._pending_by_ticket[request.ticket] = _Pending(request)
        try:
            return await self._send_until_answered(scheduler, pending)
        except trio.Cancelled:
            self._withdraw(scheduler, request.ticket)
            raise
        finally:
            del self._pending_by_ticket[request.ticket]

    async def _send_until_answered(
        self, scheduler: str, pending: _Pending
    ) -> DecisionMessage | _NoAnswer:
        unanswered = 0
        while True:
            self._send(scheduler, pending.request)
            wait = RESEND_INTERVAL
            pending.answered = trio.Event()
            while True:
                with trio.move_on_after(wait) as scope:
                    await pending.answered.wait()
                if scope.cancelled_caught:
                    break
                pending.answered = trio.Event()
                answer = pending.answer
                if answer is not None and answer.decision is not Decision.QUEUED:
                    return answer
                unanswered, wait = -1, QUEUED_RESEND_INTERVAL
            unanswered += 1
            if self._state.scheduler(self._pool) != scheduler:
                self._withdraw(scheduler, pending.request.ticket)
                return _NoAnswer()
            if unanswered >= MAX_UNANSWERED:
                self._state.choice.suspect(scheduler, self._state.clock.monotonic())
                decided("scheduler_suspected", pool=self._pool, scheduler=scheduler)
                self._withdraw(scheduler, pending.request.ticket)
                return _NoAnswer()

    def _send(self, scheduler: str, request: WaitingRequest) -> None:
        now = self._state.clock.monotonic()
        name, started = self._state.identity.name, self._state.started
        self._state.peers.send(place_message(request, name, started, self._pool, now), scheduler)

    def _withdraw(self, scheduler: str, ticket: str) -> None:
        message = WithdrawMessage(self._state.identity.name, self._pool, ticket)
        self._state.peers.send(message, scheduler)

    def _resolve_decision(
        self, message: DecisionMessage, request: WaitingRequest
    ) -> Granted | Rejected | None:
        """Return a decision with the backend servers as this entry lists them.

        Returns:
            The decision; None for a grant of a backend server that this entry must not use. Such a
            grant is withdrawn.
        """
        if message.decision is Decision.REJECTED:
            return rejection_of(message, request)
        backend = self._usable_backend(message.backend_id, request)
        if backend is None:
            self._withdraw(message.sender, request.ticket)
            return None
        source = None
        if message.fetch_from is not None:
            source = self._usable_backend(message.fetch_from, request)
        return grant_of(message, request, backend, source)

    def _usable_backend(self, backend_id: str, request: WaitingRequest) -> BackendServer | None:
        found = self._state.backends.by_id.get(backend_id)
        if found is None or found.leaving or found.service != self._pool:
            return None
        if not found.has_version(request.version):
            return None
        if self._crashes.blocked_until(found, request.prompt) is not None:
            return None
        now = self._state.clock.monotonic()
        return None if self._state.backoffs.until_by_id((found,), now) else found

    def _conclude(self, decision: Granted | Rejected, scheduler: str | None) -> Granted | Refused:
        if isinstance(decision, Rejected):
            reason = _refusal_reason(decision)
            retry_after = self._retry_after(decision)
            decided(
                "request_refused",
                decision.request.request_id,
                reason=reason,
                scheduler=scheduler,
                zone=self._state.identity.zone,
                waiting=decision.waiting,
                retry_after=round(retry_after.total_seconds(), 3) if retry_after else None,
                account=decision.request.account,
                **standing_fields(decision.standing),
                **_retry_fields(decision),
            )
            return Refused(reason, retry_after)
        zone = self._state.identity.zone
        if zone and decision.backend.zone:
            same = decision.backend.zone == zone
            self._state.placements_by_zone["same" if same else "other"] += 1
        self._begin_run(decision, already_counted=scheduler is None)
        self._log_granted(decision, scheduler)
        return decision

    def _retry_after(self, rejected: Rejected) -> timedelta | None:
        """Return when the caller should retry: not before this entry may use an engine again."""
        version = rejected.request.version
        ready = self._state.backends.ready(self._pool, version)
        if version is not None and not ready:
            return None
        backoff = self._state.backoffs.retry_after(ready, self._state.clock.monotonic())
        if backoff is None:
            return rejected.retry_after
        return max(rejected.retry_after or timedelta(0), timedelta(seconds=backoff))

    def _begin_run(self, granted: Granted, *, already_counted: bool) -> None:
        """Start reporting a run and add it to the engine's load, unless a local decision did so."""
        now = self._state.clock.monotonic()
        request = granted.request
        traits = self._state.engine_traits(self._pool)
        if not already_counted and traits is not None:
            load = self._state.placement.load(granted.backend, traits)
            cost = RunCost.on(load, granted.reading, request.prompt)
            urgency = request.waiter.urgency
            self._state.placement.shares.began(
                self._pool, request.ticket, request.account, urgency, cost, now
            )
            load.begin(request.ticket, request.prompt, granted.reading, now, urgency)
        run = ReportedRun(
            request.ticket,
            granted.backend.id,
            request.prompt,
            granted.reading,
            request.waiter.urgency,
            account=request.account,
            version=granted.backend.version,
        )
        self._reporting.begin(self._pool, run)

    def _log_granted(self, granted: Granted, scheduler: str | None) -> None:
        waiter = granted.request.waiter
        decided(
            "request_placed",
            granted.request.request_id,
            backend=granted.backend.id,
            version=granted.backend.version,
            scheduler=scheduler,
            zone=self._state.identity.zone,
            backlog_ms=round(1000 * granted.backlog),
            unread_tokens=granted.reading.unread_tokens,
            fetch_from=granted.reading.fetch_from.id if granted.reading.fetch_from else None,
            running=granted.running,
            waited_ms=round(1000 * (self._state.clock.monotonic() - waiter.arrived_at)),
            first_event_in_ms=round(1000 * granted.first_event_after),
            account=granted.request.account,
            **standing_fields(granted.standing),
        )


def _refusal_reason(rejected: Rejected) -> NotRunReason:
    if not rejected.no_engine:
        return NotRunReason.OVERLOADED
    if rejected.request.version is not None:
        return NotRunReason.NO_SAME_VERSION
    return NotRunReason.NO_BACKEND


def _retry_fields(rejected: Rejected) -> dict[str, Any]:
    """Return the log fields of a retry time: the assigned one, and the load it follows from."""
    basis = rejected.basis
    if basis is None:
        return {}
    after = rejected.retry_after
    return {
        "retry_recognized": rejected.recognition.value,
        "assigned_ms": None if after is None else round(1000 * after.total_seconds()),
        "within_limit": basis.within_limit,
        "placed_rate": _rounded(basis.placed_rate),
        "free_rate": _rounded(basis.free_rate),
        "waiting_work": round(basis.waiting_work, 3),
        "retries_pending": basis.pending,
    }


def _rounded(rate: float | None) -> float | None:
    return None if rate is None else round(rate, 3)
