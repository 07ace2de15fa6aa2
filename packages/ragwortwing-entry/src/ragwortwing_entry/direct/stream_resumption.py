"""Finds out where a stream that a caller resumes may go on, and records where streams began."""

from __future__ import annotations

from dataclasses import dataclass, field
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
"""Times that a query is sent to a peer; 1 if only one version can have begun the stream."""

MAX_UNINFORMED_PEERS = 3
"""Members of the fleet that are asked while this entry knows no scheduler."""


@dataclass(eq=False, slots=True)
class _Inquiry:
    """What was done to find out about one stream, for the log."""

    asked: set[str] = field(default_factory=set)
    """Peers that were sent a query."""
    answered: set[str] = field(default_factory=set)
    """Peers that answered in time."""


@dataclass(eq=False, slots=True)
class _PendingQuery:
    """A query that waits for the answers of peers."""

    evidence: OriginEvidence
    inquiry: _Inquiry
    unanswered: set[str]
    answered: trio.Event = field(default_factory=trio.Event)

    @property
    def is_settled(self) -> bool:
        record = self.evidence.record
        return not self.unanswered or (record is not None and record.is_confirmed)


class StreamResumption:
    """Decides on the resumptions of one entry and answers the queries of its peers."""

    def __init__(self, state: EntryState, counters: EntryCounters) -> None:
        self._state = state
        self._counters = counters
        self._pending_by_ticket: dict[int, _PendingQuery] = {}
        self._tickets = 0

    async def decide(self, request: CallerRequest, route: Route) -> StreamOrigin | Refused:
        """Return the origin at which a resumed stream may go on, or why it may not."""
        started_at = self._now()
        inquiry = _Inquiry()
        evidence = await self._evidence(request.resumes or "", route, inquiry)
        decision = decide_resumption(evidence, {each.service for each in route.shares})
        self._counters.resumptions.labels(_result(decision)).inc()
        self._log(request, route, decision, evidence, inquiry, started_at)
        if not isinstance(decision, MayGoOn):
            return Refused(decision.reason)
        # The caller may name this attempt in its next one.
        self._record(request.id, decision.origin, self._state.identity.name)
        return decision.origin

    def began(self, request_id: str, ticket: str, backend: BackendServer) -> StreamOrigin:
        """Record the first event of a stream and return its origin.

        Args:
            request_id: The attempt.
            ticket: Its name on the engine; empty for a plain service, whose runs are not reported.
            backend: The server that sent the event.
        """
        origin = self._state.origins.origin(backend.service, backend.version)
        self._record(request_id, origin, self._state.identity.name)
        if not ticket and len(request_id) <= MAX_ID_LENGTH:
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
        evidence = self._own_evidence(message.request_id, message.service, message.lifetime)
        name = self._state.identity.name
        answer = origin_message(evidence, name, message.ticket, self._now())
        self._state.peers.send_to(answer, address)

    def take_answer(self, message: OriginMessage) -> None:
        """Handle the answer to a query."""
        pending = self._pending_by_ticket.get(message.ticket)
        if pending is None or message.sender not in pending.unanswered:
            return
        pending.unanswered.discard(message.sender)
        pending.inquiry.answered.add(message.sender)
        pending.evidence = pending.evidence.merged(evidence_of(message, self._now()))
        if pending.is_settled:
            pending.answered.set()

    async def _evidence(self, resumes: str, route: Route, inquiry: _Inquiry) -> OriginEvidence:
        """Return what this entry and the schedulers of the route's services know."""
        lifetime = stream_lifetime(route.timeout)
        request_id = resumes if len(resumes) <= MAX_ID_LENGTH else ""
        evidence = OriginEvidence()
        for share in route.shares:
            own = self._own_evidence(request_id, share.service, lifetime)
            evidence = evidence.merged(own)
            if own.record is not None and own.record.is_confirmed:
                return evidence
        for share in route.shares:
            query = (request_id, share.service, lifetime)
            evidence = await self._ask_peers(evidence, inquiry, *query)
            if evidence.record is not None and evidence.record.is_confirmed:
                break
        return evidence

    def _own_evidence(self, request_id: str, service: str, lifetime: float) -> OriginEvidence:
        now = self._now()
        since = now - lifetime
        versions = self._state.versions
        return OriginEvidence(
            self._state.origins.find(request_id, now),
            versions.versions(service, since),
            versions.covers(service, since) and self._state.follows_lists(now),
        )

    async def _ask_peers(
        self,
        evidence: OriginEvidence,
        inquiry: _Inquiry,
        request_id: str,
        service: str,
        lifetime: float,
    ) -> OriginEvidence:
        peers = self._informed_peers(service)
        if not peers:
            return evidence
        inquiry.asked |= peers
        self._tickets += 1
        name = self._state.identity.name
        query = OriginQueryMessage(name, self._tickets, request_id, service, lifetime)
        pending = self._pending_by_ticket[query.ticket] = _PendingQuery(evidence, inquiry, peers)
        try:
            for _ in range(1 if evidence.sole_version is not None else MAX_QUERIES):
                for peer in pending.unanswered:
                    self._state.peers.send(query, peer)
                with trio.move_on_after(QUERY_INTERVAL):
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
