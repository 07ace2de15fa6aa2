"""State shared by an entry's requests: configuration, backend servers, load and retry budgets."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from ragwortwing_policy.direct.backend_list import BackendList
from ragwortwing_policy.direct.backoff import Backoffs
from ragwortwing_policy.direct.entry_pressure import EntryPressure, LoopLag
from ragwortwing_policy.direct.failure_tracker import FailureTracker
from ragwortwing_policy.direct.feed_watch import FeedWatch
from ragwortwing_policy.direct.memory_guard import MemoryShares
from ragwortwing_policy.direct.peer_status import StatusExchange
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.rate_limits import LimitNotice, RateLimits
from ragwortwing_policy.direct.repeat_budget import EntryCount, RepeatAllowance, RepeatBudget
from ragwortwing_policy.direct.routing_table import CallerLimits, Repetition
from ragwortwing_policy.direct.run_ledger import RunLedger
from ragwortwing_policy.direct.scheduler_choice import SchedulerChoice
from ragwortwing_policy.direct.stream_origins import StreamOrigins
from ragwortwing_policy.direct.version_history import VersionHistory
from ragwortwing_policy.duties.candidates import DutyCandidates
from ragwortwing_policy.duties.fleet_time import FleetTime

from .decision_log import decided, warned
from .feed_catch_up import FeedCatchUp
from .feed_relay import FeedRelay
from .peer_link import PeerLink
from .presence import MEMBERS_UNKNOWN_AFTER
from .relay_buffer import CallerMemory

if TYPE_CHECKING:
    from collections.abc import Callable

    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_policy.direct.backend_list import BackendServer
    from ragwortwing_policy.direct.memory_guard import MemoryBounds
    from ragwortwing_policy.direct.routing_table import EngineTraits, RoutingTable

    from .peer_messages import StatusMessage

DEFAULT_LIMITS = CallerLimits()

MAX_REMOVAL_DELAY = 1.4
"""Default of `EntryState.max_removal_delay`."""

SHARE_LIFETIME = 0.05
"""Seconds for which a computed memory share is used: with 340 entries it takes 0.1 ms, and a
scheduler needs it for each request."""


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """The name, availability zone and capacity of an entry."""

    name: str
    zone: str
    capacity: float = 1.0
    """CPU time that the VM provides, in cores."""


class EntryState:
    """The state that the requests of one entry share."""

    def __init__(
        self,
        identity: EntryIdentity,
        allowance: RepeatAllowance,
        clock: Clock,
        random: Random | None = None,
        memory_bounds: MemoryBounds | None = None,
    ) -> None:
        """Create the state of an entry.

        Args:
            identity: The entry.
            allowance: The retry budget of each service.
            clock: The clock.
            random: Source of jitter.
            memory_bounds: Bounds of the bytes held for callers. With them the entry also guards the
                memory of engines and sheds load under pressure; None switches all of this off.
        """
        self.identity = identity
        self.clock = clock
        self.table: RoutingTable | None = None
        self.backends = BackendList()
        self.versions = VersionHistory(self.backends)
        self.origins = StreamOrigins()
        self.placement = Placement()
        self.failure_tracker = FailureTracker()
        self.limits = RateLimits()
        self.backoffs = Backoffs(random if random is not None else Random())
        self.started = round(1000 * clock.utc_now().timestamp())
        """Start time in Unix ms; distinguishes this process from earlier ones of the entry."""
        self.watch = FeedWatch(identity.name)
        self.choice = SchedulerChoice(identity.name)
        self.ledger = RunLedger(self.placement, self.failure_tracker, self._engine)
        self.candidates = DutyCandidates(identity.name)
        self.fleet_time = FleetTime(clock)
        statuses = StatusExchange(
            identity.name,
            identity.capacity,
            self.watch,
            self.choice,
            self.candidates,
            self.fleet_time,
            self.limits,
            self.backends,
        )
        self.statuses = statuses
        self.peers = PeerLink(statuses, clock)
        self.memory = CallerMemory(memory_bounds, clock) if memory_bounds is not None else None
        """Bytes held for callers; None if they are not bounded."""
        self.pressure = EntryPressure() if memory_bounds is not None else None
        """This entry's shortage of processor time and memory; None if it is not measured."""
        self.lag = LoopLag()
        self.on_listed: Callable[[BackendServer], None] = lambda _: None
        """Called with each changed registration of a backend server."""
        self._memory_shares = MemoryShares()
        self._share_by_pool: dict[str, tuple[Instant, bool, float]] = {}
        self.relay = FeedRelay(identity.name, self.peers, self.watch, clock)
        self.catch_up = FeedCatchUp(clock, lambda: 1 + len(self.peers.members))
        self.peers.on_status(
            lambda status: self.relay.repair(status.sender, status.positions_by_feed)
        )
        self.peers.on_status(self._take_peer_limits)
        self.peers.on_status(self._take_peer_leaving)
        self.max_removal_delay = MAX_REMOVAL_DELAY
        """Maximum seconds for which a removed server is kept after an outage of the store that was
        too short for its registration to expire."""
        self.reads_abandoned: Counter[str] = Counter()
        """Reads of the store that were cancelled before an answer, by feed."""
        self.unusable_by_topic: Counter[str] = Counter()
        """Records of the store that could not be used, by topic."""
        self.placements_by_zone: Counter[str] = Counter()
        """Requests placed on engines of this entry's zone (`same`) and of others (`other`)."""
        self.in_flight_by_backend: dict[str, int] = {}
        self._allowance = allowance
        self._budgets_by_service: dict[str, RepeatBudget] = {}
        # Entries that the store lists no longer may go on until they notice that.
        notice = allowance.window.total_seconds() + MEMBERS_UNKNOWN_AFTER
        self._entries = EntryCount(notice)

    def accept_table(self, table: RoutingTable) -> bool:
        """Apply a configuration and return True; one that is not newer is ignored."""
        if self.table is not None and table.version <= self.table.version:
            return False
        if self.table is not None:
            self.versions.routes_changed(self.table, table, self.clock.monotonic())
        self.table = table
        self.placement.shares.enabled = bool(table.accounts_by_key)
        decided("configuration_in_force", version=table.version, routes=len(table.routes))
        return True

    def routes_skipped(self) -> None:
        """Record that there were configurations which this entry has not read.

        Streams that they let other services begin may be resumed on any route.
        """
        routes = self.table.routes if self.table is not None else ()
        now = self.clock.monotonic()
        for route in routes:
            if route.repetition is Repetition.RESUMABLE:
                for share in route.shares:
                    self.versions.rerouted(share.service, now)
        decided("configurations_skipped", version=self.table.version if self.table else None)

    def backend_listed(self, backend: BackendServer) -> None:
        """Update a backend server in the list; after a restart its load and history are reset."""
        previous = self.backends.by_id.get(backend.id)
        restarted = self.backends.is_restart(backend)
        if restarted:
            self.placement.forget(backend.id)
            self.failure_tracker.forget(backend.id)
            self.limits.forget(backend.id)
            self.backoffs.forget(backend.id)
        backend = self.backends.put(backend)
        if backend == previous:
            return
        self.on_listed(backend)
        now = self.clock.monotonic()
        self.versions.listed(backend, now)
        # The record of a process that was found before tells which version it has been all along.
        is_told = previous is not None and previous.recorded_version is not None
        if previous is not None and not (is_told and previous.started_at == backend.started_at):
            self.versions.left(previous, now)
        decided(
            "backend_listed",
            backend=backend.id,
            service=backend.service,
            address=backend.address,
            version=backend.version,
            leaving=backend.leaving,
            restarted=restarted,
        )

    def process_replaced(self, backend: BackendServer, started_at: int) -> None:
        """Record that another process than the registered one answers at a server's address.

        Streams of other processes do not go on there until its own record tells its version.

        Args:
            backend: The server as it was registered when it was asked.
            started_at: Start of the process in Unix ms, as it states it.
        """
        listed = self.backends.by_id.get(backend.id)
        if listed is None or not listed.may_be_same_process(backend):
            return
        warned(
            "backend_process_replaced",
            backend=backend.id,
            version=backend.version,
            started_at=started_at,
            registered=backend.started_at,
        )
        self.backend_listed(listed.replaced_by(started_at))

    def backend_removed(self, backend_id: str, unsure: float) -> bool:
        """Handle a backend server that is no longer listed; return whether it was removed.

        Args:
            backend_id: The backend server.
            unsure: Seconds for which an outage of the store may still explain the removal. The
                server is kept for that long.
        """
        if backend_id not in self.backends.by_id:
            return False
        if unsure > 0.0:
            self.backends.mark_missing(backend_id, self.clock.monotonic() + unsure)
            decided(
                "backend_missing",
                backend=backend_id,
                kept_s=round(unsure, 3),
                may_have_expired=self.watch.registrations_may_expire,
            )
            return False
        self.backend_gone(backend_id)
        return True

    def backend_gone(self, backend_id: str) -> None:
        """Remove a backend server and its load; what it has stated holds if it is listed again."""
        last = self.backends.last_known(backend_id)
        if last is not None:
            self.versions.left(last, self.clock.monotonic())
        self.backends.remove(backend_id)
        self.placement.forget(backend_id)
        self.failure_tracker.forget(backend_id)
        decided("backend_gone", backend=backend_id)

    def follows_lists(self, now: Instant) -> bool:
        """Return whether this entry has read all that others have read of the store's feeds."""
        if not (self.watch.hears_store(now) or self.watch.follows(now)):
            return False
        return not any(self.watch.is_behind(feed, now) for feed in self.watch.positions_by_feed)

    def backoff_requested(self, backend: BackendServer, seconds: float) -> None:
        """Begin a backoff from a backend server whose answer asks for it."""
        if not self.backends.is_latest_process(backend):
            return
        now = self.clock.monotonic()
        until = self.backoffs.begin(backend.id, seconds, now)
        decided("backend_backoff", backend=backend.id, seconds=round(until - now, 3))

    def leaving_announced(self, backend: BackendServer) -> None:
        """Stop new requests to a backend server whose answer states that it is leaving."""
        if self.backends.record_leaving(backend, self.clock.monotonic()):
            self._log_leaving(backend.id, stated_to=self.identity.name)
            self.peers.wake()

    def _take_peer_leaving(self, status: StatusMessage) -> None:
        for backend_id, started_at in status.started_at_by_leaving_backend.items():
            if self.backends.record_leaving_from_peer(backend_id, started_at):
                self._log_leaving(backend_id, stated_to=status.sender)

    def _log_leaving(self, backend_id: str, stated_to: str) -> None:
        decided("backend_leaving", backend=backend_id, stated_to=stated_to)

    def is_listed_leaving(self, backend_id: str) -> bool | None:
        """Return whether a backend server is listed as leaving; None if it is not listed."""
        listed = self.backends.by_id.get(backend_id)
        return None if listed is None else listed.leaving

    def limit_observed(self, backend: BackendServer, rate: float | None, sent_at: Instant) -> None:
        """Record the rate limit that a backend server's answer states; None if it states none.

        Args:
            backend: The server as it was registered when it was sent the request.
            rate: Requests per second.
            sent_at: When the request was sent.
        """
        if not self.backends.is_latest_process(backend):
            return
        before = self.limits.rate(backend.id)
        self.limits.observe(backend.id, rate, sent_at, self.clock.monotonic())
        self._log_limit(backend.id, before, observed_by=self.identity.name)

    def _take_peer_limits(self, status: StatusMessage) -> None:
        now = self.clock.monotonic()
        for backend_id, (rate, age) in status.limits_by_backend.items():
            if self.backends.last_known(backend_id) is None:
                continue
            before = self.limits.rate(backend_id)
            self.limits.update_from_peer(backend_id, LimitNotice(rate, age), now)
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
        """Return the peer that schedules a pool; None if this entry does."""
        found = self.choice.scheduler(pool, self.clock.monotonic())
        if found is None or found == self.identity.name:
            return None
        return found if self.peers.knows(found) else None

    def rate_share(self, pool: str) -> float:
        """Return the share of a pool's rate limits that this entry may use.

        The pool's scheduler enforces the limits for all entries, so it uses them in full. An entry
        that decides without the scheduler uses an equal share, because others may do the same.
        """
        if self.choice.scheduler(pool, self.clock.monotonic()) == self.identity.name:
            return 1.0
        return 1.0 / (self._entries.latest or 1 + len(self.peers.members))

    def memory_share(self, pool: str) -> float | None:
        """Return the fraction of an engine's free memory that this entry may commit.

        Returns None if the memory of engines is not guarded.
        """
        if self.memory is None:
            return None
        now = self.clock.monotonic()
        schedules = self.choice.scheduler(pool, now) == self.identity.name
        known = self._share_by_pool.get(pool)
        if known is not None and now < known[0] and schedules == known[1]:
            return known[2]
        heard = self.peers.heard(now)
        share = self._memory_shares.share(
            pool,
            now,
            # New entries are heard before they are on the member list.
            entries=1 + max((self._entries.latest or 1) - 1, len(self.peers.members), len(heard)),
            heard=heard,
            reported=self.ledger.reported(pool, now),
            schedules=schedules,
        )
        self._share_by_pool[pool] = (now + SHARE_LIFETIME, schedules, share)
        return share

    @property
    def caller_limits(self) -> CallerLimits:
        """Limits on callers' requests; the defaults until a configuration is in force."""
        return self.table.limits if self.table is not None else DEFAULT_LIMITS

    @property
    def has_accounts(self) -> bool:
        """Whether the configuration in force has client accounts."""
        table = self.table
        return table is not None and table.keys_required and bool(table.accounts_by_key)

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return the traits of a service's engines; None if the service has no engines."""
        found = self.table.services_by_name.get(service) if self.table else None
        return found.engine if found else None

    def _engine(self, backend_id: str) -> tuple[BackendServer, EngineTraits] | None:
        backend = self.backends.by_id.get(backend_id)
        traits = self.engine_traits(backend.service) if backend is not None else None
        return None if backend is None or traits is None else (backend, traits)

    def budget(self, service: str) -> RepeatBudget:
        """Return the retry budget of a service."""
        found = self._budgets_by_service.get(service)
        if found is None:
            found = RepeatBudget(self._allowance, self._entries)
            self._budgets_by_service[service] = found
        return found

    def entries_counted(self, entries: int | None) -> None:
        """Set the number of live entries; None if it is no longer known."""
        if entries != self._entries.latest:
            decided("entries_counted", entries=entries, before=self._entries.latest)
        self._entries.update(entries, self.clock.monotonic())
