"""Runs the admission queue of one pool: dispatches waiting requests and reports decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.admission_queue import (
    AdmissionQueue,
    Granted,
    Rejected,
    WaitingRequest,
)
from ragwortwing_policy.direct.return_times import ReturnTimes

from .decision_log import decided, warned

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Sequence

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.direct.backend_list import BackendServer
    from ragwortwing_policy.direct.routing_table import EngineTraits

    from .entry_state import EntryState

    OnDecision = Callable[[Granted | Rejected], None]

DISPATCH_INTERVAL = 0.02
"""Maximum seconds between passes over the queue: backlogs shrink without any notification."""

MIN_DISPATCH_INTERVAL = 0.008
"""Minimum seconds between passes: each evaluates every engine for every waiting request."""


class QueueDispatcher:
    """Places the requests of one pool on its engines."""

    def __init__(self, service: str, state: EntryState) -> None:
        self._service = service
        self._state = state
        self._queue = AdmissionQueue(service, state.placement, state.limits)
        self._callbacks_by_ticket: dict[str, OnDecision] = {}
        self._load_changed = trio.Event()
        self._memory_share: float | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def waiting_by_urgency(self) -> Counter[int]:
        """Return the number of waiting requests by urgency."""
        return self._queue.waiting_by_urgency()

    @property
    def return_times(self) -> ReturnTimes | None:
        """Retry times that this entry has assigned; None without client accounts."""
        return self._queue.return_times

    def _configure(self) -> None:
        """Apply the configuration in force; only while nothing waits.

        A request is recognized when it enters the queue, so a table that was created later would
        not know the requests that wait.
        """
        if len(self._queue):
            return
        assigns = self._state.has_accounts
        if assigns != (self._queue.return_times is not None):
            self._queue.return_times = ReturnTimes() if assigns else None
        self._queue.zone_costs = assigns

    def enter(self, request: WaitingRequest, on_decision: OnDecision) -> None:
        """Queue a request.

        Args:
            request: The request.
            on_decision: Called once, possibly before this method returns. The load of a granted
                engine includes the request from then on.
        """
        self._configure()
        self._callbacks_by_ticket[request.ticket] = on_decision
        self._queue.enter(request, self._state.clock.monotonic())
        self._log_invalid_weights()
        if self._queue.is_first(request.ticket):
            self._dispatch(only=request.ticket)
        self.notify()

    def leave(self, ticket: str) -> None:
        """Remove a request from the queue if it is there."""
        self._queue.leave(ticket)
        self._callbacks_by_ticket.pop(ticket, None)

    def notify(self) -> None:
        """Trigger a pass over the queue after the load of an engine has changed."""
        if len(self._queue):
            self._load_changed.set()

    def _log_invalid_weights(self) -> None:
        shares = self._state.placement.shares.by_pool.get(self._service)
        for account, weight in shares.take_invalid_weights().items() if shares else ():
            warned(
                "account_weight_ignored", pool=self._service, account=account, weight=str(weight)
            )

    async def run(self) -> None:
        """Dispatch repeatedly while requests wait, until cancelled."""
        while True:
            await self._load_changed.wait()
            self._load_changed = trio.Event()
            await trio.sleep(MIN_DISPATCH_INTERVAL)
            self._dispatch()
            while len(self._queue):
                with trio.move_on_after(DISPATCH_INTERVAL):
                    await self._load_changed.wait()
                self._load_changed = trio.Event()
                await trio.sleep(MIN_DISPATCH_INTERVAL)
                self._dispatch()

    def _dispatch(self, only: str | None = None) -> None:
        now = self._state.clock.monotonic()
        ready = self._state.backends.ready(self._service)
        traits = self._state.engine_traits(self._service)
        self._set_memory_share(ready, traits, now)
        found_by_limits: dict[tuple[frozenset[str], str | None], Sequence[BackendServer]] = {}

        def usable_engines(
            unusable: frozenset[str], version: str | None
        ) -> Sequence[BackendServer]:
            found = found_by_limits.get((unusable, version))
            if found is None:
                usable = [
                    each for each in ready if each.id not in unusable and each.has_version(version)
                ]
                found = self._state.failure_tracker.without_excluded(usable, now)
                found_by_limits[unusable, version] = found
            return found

        def engines_for(request: WaitingRequest) -> Sequence[BackendServer]:
            without_excluded = usable_engines(request.unusable(now), request.version)
            if not request.avoid:
                return without_excluded
            untried = [each for each in without_excluded if each.id not in request.avoid]
            return untried or without_excluded

        share = self._state.rate_share(self._service)
        for decision in self._queue.dispatch(traits, engines_for, now, only, share):
            self._callbacks_by_ticket.pop(decision.request.ticket)(decision)

    def refresh_memory_share(self) -> float | None:
        """Return the fraction of the free memory that this entry may commit, and log its changes.

        Called also while nothing is placed here: how long this entry has been the scheduler counts.
        """
        share = self._state.memory_share(self._service)
        if share is not None and share != self._memory_share:
            decided(
                "memory_share_changed",
                pool=self._service,
                share=round(share, 4),
                before=self._memory_share,
            )
            self._memory_share = share
        return share

    def _set_memory_share(
        self, engines: Sequence[BackendServer], traits: EngineTraits | None, now: Instant
    ) -> None:
        share = self.refresh_memory_share()
        if share is None or traits is None:
            return
        for each in engines:
            load = self._state.placement.load(each, traits)
            load.memory_share = share
            load.retained.expire(now)
