"""Finds out where a stream that a caller resumes may go on, and records where streams began."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import partial
from math import ceil
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.direct.lanes import rank
from ragwortwing_policy.direct.resumption import (
    MayGoOn,
    OriginEvidence,
    decide_resumption,
    stream_lifetime,
)
from ragwortwing_policy.direct.stream_origins import MAX_ID_LENGTH, OriginRecord, StreamOrigin

from .decision_log import decided
from .peer_messages import (
    OriginMessage,
    OriginQueryMessage,
    StreamBegunMessage,
    evidence_of,
    origin_message,
)
from .ports import Refused

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.direct.backend_list import BackendServer
    from ragwortwing_policy.direct.resumption import MayNotGoOn
    from ragwortwing_policy.direct.routing_table import Route

    from .entry_counters import EntryCounters
    from .entry_state import EntryState
    from .peer_link import Address
    from .ports import CallerRequest

QUERY_INTERVAL = 0.04
"""Seconds without an answer after which a query is sent again."""

MAX_QUERIES = 3
"""Times that a query is sent to a peer; 1 if this entry can do without an answer, because it knows
of one version and may read whether there are others."""

CURRENT_QUERY_INTERVAL = 0.2
"""Seconds for which a peer may read the store before a query that asks for it is sent again."""

MAX_UNINFORMED_PEERS = 3
"""Members of the fleet that are asked while this entry knows no scheduler."""


@dataclass(eq=False, slots=True)
class _Inquiry:
    """What was done to find out about one stream, for the log."""

    asked: set[str] = field(default_factory=set)
    """Peers that were sent a query."""
    answered: set[str] = field(default_factory=set)
    """Peers that answered in time."""
    covering: set[str] = field(default_factory=set)
    """Peers that know all versions which can have begun the stream, up to their last reading."""
    read: bool | None = None
    """Whether this entry has read the list since; None if it has not tried."""


@dataclass(eq=False, slots=True)
class _PendingQuery:
    """A query that waits for the answers of peers."""

    evidence: OriginEvidence
    inquiry: _Inquiry
    unanswered: set[str]
    answered: trio.Event = field(default_factory=trio.Event)

    @property
    def is_settled(self) -> bool:
        return (
            not self.unanswered
            or self.evidence.is_recorded
            or self.evidence.sole_version is not None
        )


class StreamResumption:
    """Decides on the resumptions of one entry and answers the queries of its peers."""

    def __init__(
        self,
        state: EntryState,
        counters: EntryCounters,
        start_task: Callable[[Callable[[], Awaitable[None]]], None],
    ) -> None:
        """Create the component.

        Args:
            state: The state of the entry.
            counters: The counters of the entry.
            start_task: Starts a task that may outlive the handling of a message.
        """
        self._state = state
        self._start_task = start_task
        self._counters = counters
        self._pending_by_ticket: dict[int, _PendingQuery] = {}
        self._tickets = 0

    async def decide(self, request: CallerRequest, route: Route) -> StreamOrigin | Refused:
        """Return the origin at which a resumed stream may go on, or why it may not."""
        started_at = self._now()
        inquiry = _Inquiry()
        evidence = await self._evidence(request, route, inquiry)
        decision = decide_resumption(evidence, {each.service for each in route.shares})
        self._counters.resumptions.labels(_result(decision)).inc()
        self._log(request, route, decision, evidence, inquiry, started_at)
        if not isinstance(decision, MayGoOn):
            return Refused(decision.reason)
        # The caller may name this attempt in its next one.
        self._record(request.id, decision.origin, self._state.identity.name)
        return decision.origin

    def began(self, request_id: str, backend: BackendServer) -> StreamOrigin:
        """Record the first event of an attempt's stream and return its origin.

        The schedulers are told before the caller receives the event: a run report is sent later,
        and the entry may have failed by then.
        """
        origin = self._state.origins.origin(backend.service, backend.version)
        self._record(request_id, origin, self._state.identity.name)
        if len(request_id) <= MAX_ID_LENGTH:
            self._announce(request_id, origin)
        return origin

    def _announce(self, request_id: str, origin: StreamOrigin) -> None:
        """Tell the schedulers where a stream began, if it matters to them."""
        now = self._now()
        if len(self._state.versions.versions(origin.service, now)) < 2:
            return
        name = self._state.identity.name
        message = StreamBegunMessage(name, request_id, origin.service, origin.version)
        for peer in self._state.choice.informed(origin.service, now):
            self._state.peers.send(message, peer)

    def take_begun(self, message: StreamBegunMessage) -> None:
        """Record a stream that began at another entry."""
        origin = self._state.origins.origin(message.service, message.version)
        self._record(message.request_id, origin, message.sender)

    def answer_query(self, message: OriginQueryMessage, address: Address) -> None:
        """Answer another entry's query with what this entry knows by itself."""
        now = self._now()
        since = now - message.lifetime
        if message.needs_current:
            self._start_task(partial(self._answer_after_reading, message, since, address))
            return
        evidence = self._own_evidence(message.request_id, message.service, since)
        # Entries of the previous release take this for a current reading.
        covers = evidence.covers and self._state.follows_lists(now)
        self._answer(replace(evidence, covers=covers), message.ticket, address)

    async def _answer_after_reading(
        self, message: OriginQueryMessage, since: Instant, address: Address
    ) -> None:
        is_current = await self._state.catch_up.read()
        evidence = self._own_evidence(message.request_id, message.service, since)
        self._answer(replace(evidence, is_current=is_current), message.ticket, address)

    def _answer(self, evidence: OriginEvidence, ticket: int, address: Address) -> None:
        name = self._state.identity.name
        answer = origin_message(evidence, name, ticket, self._now(), self._configuration)
        self._state.peers.send_to(answer, address)

    def take_answer(self, message: OriginMessage) -> None:
        """Handle the answer to a query."""
        pending = self._pending_by_ticket.get(message.ticket)
        if pending is None or message.sender not in pending.unanswered:
            return
        pending.unanswered.discard(message.sender)
        pending.inquiry.answered.add(message.sender)
        if message.covers:
            pending.inquiry.covering.add(message.sender)
        found = evidence_of(message, self._now())
        # With another configuration, the peer may know of another service of the route.
        is_current = found.is_current and message.configuration == self._configuration
        pending.evidence = pending.evidence.merged(replace(found, is_current=is_current))
        if pending.is_settled:
            pending.answered.set()

    async def _evidence(
        self, request: CallerRequest, route: Route, inquiry: _Inquiry
    ) -> OriginEvidence:
        """Return what this entry and the schedulers of the route's services know."""
        lifetime = stream_lifetime(route.timeout)
        since = self._now() - lifetime
        resumes = request.resumes or ""
        request_id = resumes if len(resumes) <= MAX_ID_LENGTH else ""
        evidence = OriginEvidence()
        for share in route.shares:
            own = self._own_evidence(request_id, share.service, since)
            evidence = evidence.merged(own)
            if own.is_recorded:
                return evidence
        knows_one_version = evidence.has_one_version
        for share in route.shares:
            query = self._query(request_id, share.service, lifetime)
            peers = self._informed_peers(share.service)
            attempts = 1 if knows_one_version else MAX_QUERIES
            evidence = await self._ask(query, peers, evidence, inquiry, attempts, QUERY_INTERVAL)
            if evidence.is_recorded:
                return evidence
        if not evidence.has_one_version or len(route.shares) > 1:
            return evidence
        (share,) = route.shares
        if knows_one_version:
            inquiry.read = await self._state.catch_up.read()
            own = self._own_evidence(request_id, share.service, since)
            evidence = evidence.merged(replace(own, is_current=inquiry.read))
        if evidence.has_one_version and not evidence.is_current:
            query = self._query(request_id, share.service, lifetime, needs_current=True)
            evidence = await self._ask(
                query,
                set(inquiry.covering),
                evidence,
                inquiry,
                ceil(self._state.catch_up.longest_wait / CURRENT_QUERY_INTERVAL),
                CURRENT_QUERY_INTERVAL,
            )
        # A reading of the services of an earlier configuration does not cover the newer ones.
        is_current = evidence.is_current and self._has_same_services(request, route)
        return replace(evidence, is_current=is_current)

    @property
    def _configuration(self) -> int | None:
        table = self._state.table
        return table.version if table is not None else None

    def _has_same_services(self, request: CallerRequest, route: Route) -> bool:
        """Return whether a request goes to the services of a route in the current configuration."""
        table = self._state.table
        found = table.match(request.host, request.path) if table is not None else None
        return found is not None and found.shares == route.shares

    def _own_evidence(self, request_id: str, service: str, since: Instant) -> OriginEvidence:
        versions = self._state.versions
        return OriginEvidence(
            self._state.origins.find(request_id, self._now()),
            versions.versions(service, since),
            covers=versions.covers(service, since),
        )

    def _query(
        self, request_id: str, service: str, lifetime: float, *, needs_current: bool = False
    ) -> OriginQueryMessage:
        self._tickets += 1
        name = self._state.identity.name
        return OriginQueryMessage(name, self._tickets, request_id, service, lifetime, needs_current)

    async def _ask(
        self,
        query: OriginQueryMessage,
        peers: set[str],
        evidence: OriginEvidence,
        inquiry: _Inquiry,
        attempts: int,
        interval: float,
    ) -> OriginEvidence:
        """Send a query to peers and return the evidence with what they answer in time."""
        if not peers:
            return evidence
        inquiry.asked |= peers
        pending = self._pending_by_ticket[query.ticket] = _PendingQuery(evidence, inquiry, peers)
        try:
            for _ in range(attempts):
                for peer in pending.unanswered:
                    self._state.peers.send(query, peer)
                with trio.move_on_after(interval):
                    await pending.answered.wait()
                    break
        finally:
            del self._pending_by_ticket[query.ticket]
        return pending.evidence

    def _informed_peers(self, service: str) -> set[str]:
        """Return the peers that receive the run reports on a service's engines."""
        peers = self._state.peers
        informed = self._state.choice.informed(service, self._now())
        if not informed:
            # No status was received yet. Schedulers are chosen among the first in the same order.
            ranked = sorted(peers.members, key=lambda each: rank(service, each))
            informed = frozenset(ranked[:MAX_UNINFORMED_PEERS])
        return {each for each in informed if peers.knows(each)}

    def _record(self, request_id: str, origin: StreamOrigin, sender: str) -> None:
        """Record the origin of a stream that has begun at an entry."""
        now = self._now()
        record = OriginRecord(origin, sender, (0, 0), is_confirmed=True, recorded_at=now)
        self._state.origins.record(request_id, record, now)

    def _log(
        self,
        request: CallerRequest,
        route: Route,
        decision: MayGoOn | MayNotGoOn,
        evidence: OriginEvidence,
        inquiry: _Inquiry,
        started_at: Instant,
    ) -> None:
        now = self._now()
        origin = decision.origin if isinstance(decision, MayGoOn) else None
        record = evidence.record
        read_at_by_feed = self._state.watch.last_heard_by_feed
        decided(
            "stream_resumption",
            request.id,
            resumes=request.resumes[:MAX_ID_LENGTH] if request.resumes else None,
            after_event=request.resume_after,
            result=_result(decision),
            service=origin.service if origin is not None else None,
            version=origin.version if origin is not None else None,
            source=decision.source if isinstance(decision, MayGoOn) else None,
            recorded_by=record.sender if record is not None else None,
            confirmed=record.is_confirmed if record is not None else None,
            age_ms=_milliseconds(now - record.recorded_at) if record is not None else None,
            versions=sorted(evidence.versions),
            covers=evidence.covers,
            current=evidence.is_current,
            read=inquiry.read,
            listed_for_ms=self._listed_for(route, now),
            read_ago_ms={feed: _milliseconds(now - at) for feed, at in read_at_by_feed.items()},
            positions=dict(self._state.watch.positions_by_feed),
            asked=sorted(inquiry.asked),
            answered=sorted(inquiry.answered),
            took_ms=_milliseconds(now - started_at),
        )

    def _listed_for(self, route: Route, now: Instant) -> dict[str, int]:
        """Return for how many ms this entry has known each version of a route's services."""
        since = now - stream_lifetime(route.timeout)
        versions = self._state.versions
        return {
            version: _milliseconds(now - listed_at)
            for share in route.shares
            for version, listed_at in versions.listed_at(share.service, since).items()
        }

    def _now(self) -> Instant:
        return self._state.clock.monotonic()


def _milliseconds(seconds: float) -> int:
    return round(1000 * seconds)


def _result(decision: MayGoOn | MayNotGoOn) -> str:
    return "goes_on" if isinstance(decision, MayGoOn) else decision.reason.value
