"""Status messages between entries.

They tell liveness, scheduling, duties, feed positions, and what backend servers state in answers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .backend_list import BackendList
from .entry_pressure import AVOID_AT
from .rate_limits import LimitNotice, RateLimits
from .scheduler_choice import Candidate

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.duties.candidates import DutyCandidates
    from ragwortwing_policy.duties.fleet_time import FleetTime

    from .feed_watch import FeedWatch
    from .scheduler_choice import SchedulerChoice

STATUS_INTERVAL = 1.0
"""Seconds between statuses while nothing changes."""

WATCHER_INTERVAL = 0.4
"""Seconds between statuses of an entry that watches the store, as other entries rely on hearing
it."""


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The status of one entry."""

    sender: str
    capacity: float
    """CPU time available to its VM, in cores."""
    uptime: float | None
    """Seconds since the entry became able to schedule; None if it cannot."""
    hears_store: bool = False
    unsure_for: float = 0.0
    """Seconds for which a removal from the store's lists may still be an effect of an outage."""
    positions_by_feed: Mapping[str, int] = field(default_factory=dict)
    """Position up to which the entry has read each of the store's feeds."""
    unix_time: float | None = None
    """Its wall clock in seconds; None if not reported."""
    can_hold_duties: bool = False
    """Whether the entry can currently hold fleet duties."""
    offset_by_duty: Mapping[str, int] = field(default_factory=dict)
    """Log offset of the newest record that it knows for each duty."""
    limits_by_backend: Mapping[str, LimitNotice] = field(default_factory=dict)
    """Rate limits of backend servers that it has observed recently."""
    started_at_by_leaving_backend: Mapping[str, int | None] = field(default_factory=dict)
    """Start in Unix ms of backend servers that have recently stated to it that they are leaving."""
    pressure: float = 0.0
    """How short the entry is of processor time or memory, from 0 to 1; 0 if unknown."""
    store_age: float | None = None
    """Seconds since the store's last answer to the entry; None if not recent."""


class StatusExchange:
    """Creates this entry's status and processes those of other entries."""

    def __init__(
        self,
        name: str,
        capacity: float,
        watch: FeedWatch,
        choice: SchedulerChoice,
        candidates: DutyCandidates,
        fleet_time: FleetTime,
        limits: RateLimits | None = None,
        backends: BackendList | None = None,
    ) -> None:
        self._name = name
        self._capacity = capacity
        self._watch = watch
        self._choice = choice
        self._candidates = candidates
        self._fleet_time = fleet_time
        self._limits = limits if limits is not None else RateLimits()
        self._backends = backends if backends is not None else BackendList()
        self._announced_limits = 0
        self.pressure = 0.0
        """This entry's pressure as reported to the others; 0 if it does not measure any."""
        self._schedules_since: Instant | None = None
        self._sent: PeerStatus | None = None
        self._sent_at: Instant = 0.0

    def update_can_schedule(self, now: Instant, *, can_schedule: bool) -> None:
        """Record whether this entry can schedule."""
        if not can_schedule:
            self._schedules_since = None
        elif self._schedules_since is None:
            self._schedules_since = now
        since = self._schedules_since
        if since is None:
            self._choice.offer(None)
            return
        uptime = now - since
        self._choice.offer(Candidate(self._name, self._capacity, uptime, now, self.pressure))

    def report_again(self) -> None:
        """Make a status due at once: there are peers that have not received one."""
        self._sent = None

    def due(self, now: Instant) -> PeerStatus | None:
        """Return the status to send if the interval has passed or a relevant value has changed."""
        status = self.status(now)
        sent = self._sent
        watches = status.hears_store and self._watch.is_watcher(now)
        interval = WATCHER_INTERVAL if watches else STATUS_INTERVAL
        is_recent = sent is not None and now - self._sent_at < interval
        is_recent = is_recent and self._announced_limits == self._limits.urgent_changes
        if is_recent and self._urgent_values(status, now) == self._urgent_values(sent, now):
            return None
        self._sent, self._sent_at = status, now
        self._announced_limits = self._limits.urgent_changes
        return status

    def status(self, now: Instant) -> PeerStatus:
        """Return this entry's current status."""
        since = self._schedules_since
        age = self._watch.store_age(now)
        return PeerStatus(
            sender=self._name,
            capacity=self._capacity,
            uptime=None if since is None else round(now - since, 1),
            hears_store=self._watch.hears_store(now),
            unsure_for=round(self._watch.unsure_for(now), 3),
            positions_by_feed=dict(self._watch.positions_by_feed),
            unix_time=self._fleet_time.local_unix_time(),
            can_hold_duties=self._candidates.can_hold,
            offset_by_duty=dict(self._candidates.offset_by_duty),
            limits_by_backend=self._limits.notices(now),
            started_at_by_leaving_backend=self._backends.leaving_notices(now),
            pressure=self.pressure,
            store_age=None if age is None else round(age, 3),
        )

    def take(self, status: PeerStatus, now: Instant) -> None:
        """Process the status of another entry."""
        if status.sender == self._name:
            return
        if status.uptime is None:
            self._choice.withdraw(status.sender)
        else:
            self._choice.update_from_peer(
                Candidate(status.sender, status.capacity, status.uptime, now, status.pressure)
            )
        self._watch.peer_reported(
            status.sender,
            status.positions_by_feed,
            now,
            hears_store=status.hears_store,
            unsure_for=status.unsure_for,
            store_age=status.store_age,
        )
        self._candidates.update_from_peer(status.sender, can_hold=status.can_hold_duties, now=now)
        if status.unix_time is not None:
            self._fleet_time.update_from_peer(status.sender, status.unix_time)

    def _urgent_values(self, status: PeerStatus | None, now: Instant) -> tuple[object, ...]:
        """Return the values that other entries react to at once; the rest may be a second old."""
        if status is None:
            return ()
        watches = self._watch.is_watcher(now)
        return (
            status.uptime is None,
            status.hears_store,
            status.unsure_for > 0.0,
            status.can_hold_duties,
            status.positions_by_feed if watches else None,
            frozenset(status.started_at_by_leaving_backend),
            status.pressure >= AVOID_AT,
        )
