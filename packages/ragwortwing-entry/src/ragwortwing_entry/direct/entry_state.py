"""What an entry knows: configuration, backend servers, their load, and what it may repeat."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.direct.backend_list import BackendList
from ragwortwing_policy.direct.backend_trust import BackendTrust
from ragwortwing_policy.direct.feed_watch import FeedWatch
from ragwortwing_policy.direct.peer_status import StatusBook
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.rate_limits import LimitNotice, RateLimits
from ragwortwing_policy.direct.repeat_budget import RepeatAllowance, RepeatBudget
from ragwortwing_policy.direct.run_ledger import RunLedger
from ragwortwing_policy.direct.scheduler_choice import SchedulerChoice
from ragwortwing_policy.duties.candidates import DutyCandidates
from ragwortwing_policy.duties.fleet_time import FleetTime

from .decision_log import decided
from .feed_relay import FeedRelay
from .peer_link import PeerLink

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_policy.direct.backend_list import BackendServer
    from ragwortwing_policy.direct.routing_table import EngineTraits, RoutingTable

    from .peer_messages import StatusMessage


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """Where an entry stands."""

    name: str
    zone: str
    capacity: float = 1.0
    """Processor time that its VM gives it, in cores."""


class EntryState:
    """The state that the requests of one entry share."""

    def __init__(self, identity: EntryIdentity, allowance: RepeatAllowance, clock: Clock) -> None:
        self.identity = identity
        self.clock = clock
        self.table: RoutingTable | None = None
        self.backends = BackendList()
        self.placement = Placement()
        self.trust = BackendTrust()
        self.limits = RateLimits()
        self.started = round(1000 * clock.utc_now().timestamp())
        """Milliseconds of the Unix time; tells this life of the entry from earlier ones."""
        self.watch = FeedWatch(identity.name)
        self.choice = SchedulerChoice(identity.name)
        self.ledger = RunLedger(self.placement, self.trust, self._engine)
        self.candidates = DutyCandidates(identity.name)
        self.fleet_time = FleetTime(clock)
        statuses = StatusBook(
            identity.name,
            identity.capacity,
            self.watch,
            self.choice,
            self.candidates,
            self.fleet_time,
            self.limits,
        )
        self.peers = PeerLink(statuses, clock)
        self.relay = FeedRelay(identity.name, self.peers, self.watch, clock)
        self.peers.on_status(
            lambda status: self.relay.repair(status.sender, status.positions_by_feed)
        )
        self.peers.on_status(self._hear_limits)
        self.reads_abandoned: Counter[str] = Counter()
        """Reads of the store that were given up before an answer, by feed."""
        self.in_flight_by_backend: dict[str, int] = {}
        self._allowance = allowance
        self._budgets_by_service: dict[str, RepeatBudget] = {}
        self._entries: int | None = None

    def accept_table(self, table: RoutingTable) -> bool:
        """Take over a configuration; an older one than that in force is passed over."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        decided("configuration_in_force", version=table.version, routes=len(table.routes))
        return True

    def backend_changed(self, backend: BackendServer, *, restarted: bool) -> None:
        """Take over a backend server's entry; one that has restarted knows nothing of before."""
        if restarted:
            self.placement.forget(backend.id)
            self.trust.forget(backend.id)
            self.limits.forget(backend.id)
        self.backends.put(backend)
        decided(
            "backend_listed",
            backend=backend.id,
            service=backend.service,
            address=backend.address,
            leaving=backend.leaving,
            restarted=restarted,
        )

    def backend_removed(self, backend_id: str, unsure: float) -> bool:
        """Take over that a backend server is no longer listed; return whether it is gone.

        Args:
            backend_id: The backend server.
            unsure: Seconds for which the removal may still stem from an outage of the store.
        """
        if backend_id not in self.backends.by_id:
            return False
        if unsure > 0.0:
            self.backends.mark_missing(backend_id, self.clock.monotonic() + unsure)
            decided("backend_missing", backend=backend_id, kept_s=round(unsure, 3))
            return False
        self.backend_gone(backend_id)
        return True

    def backend_gone(self, backend_id: str) -> None:
        """Forget a backend server."""
        self.backends.remove(backend_id)
        self.placement.forget(backend_id)
        self.trust.forget(backend_id)
        self.limits.forget(backend_id)
        decided("backend_gone", backend=backend_id)

    def limit_observed(self, backend_id: str, rate: float | None, sent_at: Instant) -> None:
        """Take in the limit that an answer of a backend server names, or that it names none."""
        if backend_id not in self.backends.by_id:
            return
        before = self.limits.rate(backend_id)
        self.limits.observe(backend_id, rate, sent_at, self.clock.monotonic())
        self._log_limit(backend_id, before, observed_by=self.identity.name)

    def _hear_limits(self, status: StatusMessage) -> None:
        now = self.clock.monotonic()
        for backend_id, (rate, age) in status.limits_by_backend.items():
            # A peer may still tell of a server that is gone.
            if backend_id not in self.backends.by_id:
                continue
            before = self.limits.rate(backend_id)
            self.limits.hear(backend_id, LimitNotice(rate, age), now)
            self._log_limit(backend_id, before, observed_by=status.sender)

    def _log_limit(self, backend_id: str, before: float | None, observed_by: str) -> None:
        rate = self.limits.rate(backend_id)
        if rate != before:
            decided(
                "backend_limit_changed",
                backend=backend_id,
                rate=rate,
                before=before,
                observed_by=observed_by,
            )

    def scheduler(self, pool: str) -> str | None:
        """Return the other entry that decides for a pool; None where this one does."""
        found = self.choice.scheduler(pool, self.clock.monotonic())
        if found is None or found == self.identity.name:
            return None
        return found if self.peers.knows(found) else None

    def rate_share(self, pool: str) -> float:
        """Return the part of a pool's rate limits that this entry may use.

        The pool's scheduler keeps them for all. One that decides without it does so beside others
        that may do the same.
        """
        if self.choice.scheduler(pool, self.clock.monotonic()) == self.identity.name:
            return 1.0
        return 1.0 / (self._entries or 1 + len(self.peers.members))

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return what the configuration tells of a service's engines; None where it has none."""
        found = self.table.services_by_name.get(service) if self.table else None
        return found.engine if found else None

    def _engine(self, backend_id: str) -> tuple[BackendServer, EngineTraits] | None:
        backend = self.backends.by_id.get(backend_id)
        traits = self.engine_traits(backend.service) if backend is not None else None
        return None if backend is None or traits is None else (backend, traits)

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget for repeats to a service."""
        found = self._budgets_by_service.get(service)
        if found is None:
            found = self._budgets_by_service[service] = RepeatBudget(self._allowance)
            found.entries = self._entries
        return found

    def entries_counted(self, entries: int | None) -> None:
        """Take over the number of entries that are alive; None where it is no longer known."""
        if entries != self._entries:
            decided("entries_counted", entries=entries, before=self._entries)
        self._entries = entries
        for budget in self._budgets_by_service.values():
            budget.entries = entries
