"""Datagrams between entries, and their conversion to and from the types of the policy package.

The codec is msgspec's MessagePack with fields by position. The wire package's pycapnp takes 0.5 s
to import on a small machine, and only entries read these messages.
"""

from __future__ import annotations

from datetime import timedelta
from enum import IntEnum
from math import inf
from typing import TYPE_CHECKING

import msgspec

from ragwortwing_policy.decoding import checked_decoder
from ragwortwing_policy.direct.account_shares import SHARED_ACCOUNT
from ragwortwing_policy.direct.admission_queue import Granted, Rejected, WaitingRequest
from ragwortwing_policy.direct.crash_ledger import Block, Software
from ragwortwing_policy.direct.engine_load import PrefillPlan
from ragwortwing_policy.direct.peer_status import PeerStatus
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.rate_limits import LimitNotice
from ragwortwing_policy.direct.request_ledger import (
    LostRequest,
    NameKind,
    RequestBlock,
    RequestName,
)
from ragwortwing_policy.direct.resumption import OriginEvidence
from ragwortwing_policy.direct.return_times import Recognition, RetryBasis
from ragwortwing_policy.direct.run_report import EndedRun, ReportedRun, RunReport
from ragwortwing_policy.direct.stream_origins import OriginRecord, StreamOrigin
from ragwortwing_policy.direct.usage_window import Standing
from ragwortwing_policy.duties.usage_counts import UsageReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.direct.backend_list import BackendServer

MAX_DATAGRAM_BYTES = 60_000
"""Maximum size in bytes of a datagram that is sent or received."""


class PromptBody(msgspec.Struct, frozen=True, array_like=True):
    """A prompt: its parts as pairs of id and token count, and its token totals."""

    model: str
    parts: tuple[tuple[str, int], ...]
    prompt_tokens: int
    output_tokens: int
    bears_reading: bool | None = None


class BlockBody(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts that is kept from engines; times are in seconds relative to the sending."""

    service: str
    version: str
    part: str
    age: float
    last_crash_age: float
    processes: tuple[str, ...]
    opens_in: float | None
    """None if no trial is left."""
    trial: int
    requests: int = 0
    """Requests with the part that were on the crashed servers."""


class RequestBlockBody(msgspec.Struct, frozen=True, array_like=True):
    """A request that is kept from servers; times are in seconds relative to the sending."""

    name: tuple[str, str]
    """Kind and value."""
    age: float
    last_end_age: float
    processes: tuple[str, ...]
    opens_in: float | None
    """None if no trial is left."""
    trial: int


class LostRequestBody(msgspec.Struct, frozen=True, array_like=True):
    """A request that a server process had not answered when it ended."""

    names: tuple[tuple[str, str], ...]
    """Kind and value of each name, its own attempt first."""
    sent_age: float
    """Seconds since it was sent."""


class StatusMessage(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """The periodic status of one entry."""

    sender: str
    capacity: float
    uptime: float | None
    hears_store: bool
    unsure_for: float
    positions_by_feed: dict[str, int]
    unix_time: float | None = None
    can_hold_duties: bool = False
    offset_by_duty: dict[str, int] = {}
    limits_by_backend: dict[str, tuple[float | None, float]] = {}
    started_at_by_leaving_backend: dict[str, int | None] = {}
    pressure: float = 0.0
    blocks: tuple[BlockBody, ...] = ()
    request_blocks: tuple[RequestBlockBody, ...] = ()
    store_age: float | None = None


class RunBody(msgspec.Struct, frozen=True, array_like=True):
    """A request that runs on an engine."""

    ticket: str
    backend_id: str
    prompt: PromptBody
    unread_tokens: int
    fetch_seconds: float
    urgency: int
    age: float
    is_read: bool
    exceeded: bool = False
    account: str | None = None
    first_event_after: float | None = None
    longest_gap: float | None = None
    mean_gap: float | None = None
    events: int = 0
    version: str | None = None


class ReportMessage(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Runs of one entry on the engines of one pool, and those that have ended."""

    sender: str
    started: int
    number: int
    pool: str
    runs: tuple[RunBody, ...]
    ended: tuple[tuple[str, str, bool], ...]
    whole: bool


class PlaceMessage(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A request that needs an engine; times are in seconds relative to the moment of sending."""

    sender: str
    started: int
    pool: str
    ticket: str
    request_id: str
    prompt: PromptBody
    urgency: int
    target_in: float
    deadline_in: float
    age: float
    resumed: bool
    avoid: tuple[str, ...]
    shortest_pause: float | None
    zone: str
    pause_target: float | None = None
    unusable_for: dict[str, float] = {}
    account: str | None = None
    weight: float = 1.0
    version: str | None = None


class WithdrawMessage(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A request that no longer needs an engine, or does not use the one it was granted."""

    sender: str
    pool: str
    ticket: str


class FeedMessage(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Records of one of the store's feeds, each as a key, a value and an offset."""

    sender: str
    feed: str
    first: int
    end: int
    records: tuple[tuple[str, bytes | None, int], ...]
    unsure_for: float


class UsageMessage(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Counts of requests begun at one entry, by window and client account; they never decrease."""

    sender: str
    life: int
    first_window: int
    closed_through: int
    counts_by_window: dict[int, dict[str, int]]


class PermitRequestMessage(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A request for a permit to send to a backend server that states a rate limit."""

    sender: str
    ticket: int
    service: str
    backend_id: str


class PermitMessage(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """The answer to a permit request."""

    sender: str
    ticket: int
    wait: float
    """Seconds until a permit may be available; 0 if it is granted."""


class Decision(IntEnum):
    """The state of a request at its scheduler."""

    QUEUED = 0
    GRANTED = 1
    REJECTED = 2


class DecisionMessage(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """A scheduler's answer to a `PlaceMessage`."""

    sender: str
    pool: str
    ticket: str
    decision: Decision
    backend_id: str = ""
    unread_tokens: int = 0
    fetch_from: str | None = None
    fetch_seconds: float = 0.0
    backlog: float = 0.0
    running: int = 0
    first_event_after: float = 0.0
    retry_after: float | None = None
    no_engine: bool = False
    waiting: int = 0
    account_usage: float | None = None
    account_share: float | None = None
    recognition: str = Recognition.UNKNOWN.value
    retry_basis: tuple[float | None, float | None, float, int, bool] | None = None
    """The fields of a `RetryBasis`; None if the scheduler assigns no times."""


class OriginQueryMessage(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """A question where the stream of an attempt began."""

    sender: str
    ticket: int
    request_id: str
    """The attempt; empty if the caller named none."""
    service: str
    """The service whose versions are asked for."""
    lifetime: float
    """Seconds within which the stream has begun."""
    needs_current: bool = False
    """Whether the answer must rest on a read of the store that begins after the query arrived."""


class OriginMessage(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """The answer to an `OriginQueryMessage`."""

    sender: str
    ticket: int
    versions: tuple[str, ...]
    covers: bool
    record: tuple[str | None, str, str, tuple[int, int], bool, float] | None = None
    """Service (None if ambiguous), version, entry, send, whether it is confirmed, and age in
    seconds; None if unknown."""
    is_current: bool = False
    """Whether the versions were read from the store after the query arrived."""
    configuration: int | None = None
    """Version of the sender's configuration."""


class CrashMessage(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A server process that has ended, and the prompts that may have caused it."""

    sender: str
    service: str
    version: str
    backend_id: str
    started_at: int | None
    age: float
    """Seconds since its end."""
    prompts: tuple[tuple[str, ...], ...]
    """Ids of the parts of each prompt."""
    requests: tuple[LostRequestBody, ...] = ()
    """Requests that it had not answered."""
    prompt_requests: tuple[str, ...] = ()
    """What the request of each prompt shares with its repeats and no other request."""


class SurvivalMessage(msgspec.Struct, frozen=True, array_like=True, tag="y"):
    """Parts of prompts under suspicion on which an engine did not crash."""

    sender: str
    service: str
    version: str
    parts: tuple[str, ...]
    age: float
    """Seconds since the first event of the run."""


class AnsweredMessage(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Names of a request under suspicion that a server has answered completely."""

    sender: str
    names: tuple[tuple[str, str], ...]
    age: float
    """Seconds since the answer."""


class PartReleaseMessage(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """An operator's request to unblock a part of prompts, or a request by one of its names."""

    sender: str
    part: str


class StreamBegunMessage(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """The origin of a stream that no run report names."""

    sender: str
    request_id: str
    service: str
    version: str


PeerMessage = (
    StatusMessage
    | ReportMessage
    | PlaceMessage
    | WithdrawMessage
    | DecisionMessage
    | FeedMessage
    | UsageMessage
    | PermitRequestMessage
    | PermitMessage
    | OriginQueryMessage
    | OriginMessage
    | StreamBegunMessage
    | CrashMessage
    | SurvivalMessage
    | AnsweredMessage
    | PartReleaseMessage
)

encode: Callable[[PeerMessage], bytes] = msgspec.msgpack.Encoder().encode
decode = checked_decoder(msgspec.msgpack.Decoder(PeerMessage).decode)


def block_body(block: Block, now: Instant) -> BlockBody:
    """Return the part of a message that describes a blocked part."""
    return BlockBody(
        block.software.service,
        block.software.version,
        block.part,
        round(now - block.since, 3),
        round(now - block.last_crash_at, 3),
        block.processes,
        block.opens_in(now),
        block.trial,
        block.requests,
    )


def block_of(body: BlockBody, now: Instant) -> Block:
    """Return the blocked part that a message describes."""
    return Block(
        Software(body.service, body.version),
        body.part,
        now - body.age,
        now - body.last_crash_age,
        body.processes,
        _opens_at(body, now),
        body.trial,
        body.requests,
    )


def _opens_at(body: BlockBody | RequestBlockBody, now: Instant) -> Instant:
    return inf if body.opens_in is None else now + body.opens_in


def request_name(body: tuple[str, str]) -> RequestName | None:
    """Return the name that a message describes; None if its kind is unknown."""
    kind, value = body
    return RequestName(NameKind(kind), value) if kind in set(NameKind) else None


def lost_request_body(lost: LostRequest, now: Instant) -> LostRequestBody:
    """Return the part of a message that describes a request which was lost with a server."""
    return LostRequestBody(lost.names, round(now - lost.sent_at, 4))


def lost_requests_of(bodies: Iterable[LostRequestBody], now: Instant) -> list[LostRequest]:
    """Return the requests that a message describes."""
    found = []
    for body in bodies:
        names = tuple(each for name in body.names if (each := request_name(name)) is not None)
        if names:
            found.append(LostRequest(names, now - body.sent_age))
    return found


def request_block_body(block: RequestBlock, now: Instant) -> RequestBlockBody:
    """Return the part of a message that describes a blocked request."""
    return RequestBlockBody(
        block.name,
        round(now - block.since, 3),
        round(now - block.last_end_at, 3),
        block.processes,
        block.opens_in(now),
        block.trial,
    )


def request_block_of(body: RequestBlockBody, now: Instant) -> RequestBlock | None:
    """Return the blocked request that a message describes; None if its kind is unknown."""
    name = request_name(body.name)
    if name is None:
        return None
    return RequestBlock(
        name,
        now - body.age,
        now - body.last_end_age,
        body.processes,
        _opens_at(body, now),
        body.trial,
    )


def status_message(
    status: PeerStatus,
    blocks: tuple[BlockBody, ...] = (),
    request_blocks: tuple[RequestBlockBody, ...] = (),
) -> StatusMessage:
    """Return the message for a status."""
    return StatusMessage(
        status.sender,
        status.capacity,
        status.uptime,
        status.hears_store,
        status.unsure_for,
        dict(status.positions_by_feed),
        status.unix_time,
        status.can_hold_duties,
        dict(status.offset_by_duty),
        {key: (each.rate, round(each.age, 3)) for key, each in status.limits_by_backend.items()},
        dict(status.started_at_by_leaving_backend),
        status.pressure,
        blocks,
        request_blocks,
        status.store_age,
    )


def status_of(message: StatusMessage) -> PeerStatus:
    """Return the status of a received message."""
    return PeerStatus(
        sender=message.sender,
        capacity=message.capacity,
        uptime=message.uptime,
        hears_store=message.hears_store,
        unsure_for=message.unsure_for,
        positions_by_feed=message.positions_by_feed,
        unix_time=message.unix_time,
        can_hold_duties=message.can_hold_duties,
        offset_by_duty=message.offset_by_duty,
        limits_by_backend={
            key: LimitNotice(*each) for key, each in message.limits_by_backend.items()
        },
        started_at_by_leaving_backend=message.started_at_by_leaving_backend,
        pressure=message.pressure,
        store_age=message.store_age,
    )


def usage_message(report: UsageReport) -> UsageMessage:
    """Return the message for a usage report."""
    return UsageMessage(
        report.sender,
        report.life,
        report.first_window,
        report.closed_through,
        {window: dict(counts) for window, counts in report.counts_by_window.items()},
    )


def usage_of(message: UsageMessage) -> UsageReport:
    """Return the usage report of a received message."""
    return UsageReport(
        message.sender,
        message.life,
        message.first_window,
        message.closed_through,
        message.counts_by_window,
    )


def report_message(report: RunReport) -> ReportMessage:
    """Return the message for a run report."""
    return ReportMessage(
        report.sender,
        report.started,
        report.number,
        report.pool,
        tuple(_run_body(each) for each in report.runs),
        tuple((each.ticket, each.backend_id, each.failed) for each in report.ended),
        report.whole,
    )


def report_of(message: ReportMessage) -> RunReport:
    """Return the run report of a received message."""
    return RunReport(
        message.sender,
        message.started,
        message.number,
        message.pool,
        tuple(_run_of(each) for each in message.runs),
        tuple(EndedRun(*each) for each in message.ended),
        message.whole,
    )


def place_message(
    request: WaitingRequest, sender: str, started: int, pool: str, now: Instant
) -> PlaceMessage:
    """Return the message that requests an engine."""
    waiter = request.waiter
    return PlaceMessage(
        sender=sender,
        started=started,
        pool=pool,
        ticket=request.ticket,
        request_id=request.request_id,
        prompt=_prompt_body(request.prompt),
        urgency=waiter.urgency,
        target_in=waiter.target_at - now,
        deadline_in=waiter.deadline - now,
        age=now - waiter.arrived_at,
        resumed=waiter.resumed,
        avoid=tuple(request.avoid),
        shortest_pause=request.shortest_pause,
        zone=request.zone,
        pause_target=request.pause_target,
        unusable_for={key: until - now for key, until in request.unusable_until.items()},
        account=request.account,
        weight=request.weight,
        version=request.version,
    )


def waiting_request_of(message: PlaceMessage, ticket: str, now: Instant) -> WaitingRequest:
    """Return the request of a received message, with a ticket that is unique among all entries."""
    waiter = Waiter(
        urgency=message.urgency,
        target_at=now + message.target_in,
        deadline=now + message.deadline_in,
        arrived_at=now - message.age,
        resumed=message.resumed,
    )
    return WaitingRequest(
        ticket=ticket,
        request_id=message.request_id,
        prompt=_prompt_of(message.prompt),
        waiter=waiter,
        avoid=frozenset(message.avoid),
        shortest_pause=message.shortest_pause,
        zone=message.zone,
        pause_target=message.pause_target,
        unusable_until={key: now + left for key, left in message.unusable_for.items()},
        account=message.account,
        weight=message.weight,
        version=message.version,
    )


def decision_message(
    decision: Granted | Rejected, sender: str, pool: str, ticket: str
) -> DecisionMessage:
    """Return the message for a scheduler's decision."""
    standing = decision.standing
    if isinstance(decision, Rejected):
        after = decision.retry_after
        return DecisionMessage(
            sender,
            pool,
            ticket,
            Decision.REJECTED,
            retry_after=None if after is None else after.total_seconds(),
            no_engine=decision.no_engine,
            waiting=decision.waiting,
            account_usage=standing.usage if standing else None,
            account_share=standing.share if standing else None,
            recognition=decision.recognition.value,
            retry_basis=_basis_body(decision.basis),
        )
    reading = decision.reading
    return DecisionMessage(
        sender,
        pool,
        ticket,
        Decision.GRANTED,
        backend_id=decision.backend.id,
        unread_tokens=reading.unread_tokens,
        fetch_from=reading.fetch_from.id if reading.fetch_from is not None else None,
        fetch_seconds=reading.fetch_seconds,
        backlog=decision.backlog,
        running=decision.running,
        first_event_after=decision.first_event_after,
        account_usage=standing.usage if standing else None,
        account_share=standing.share if standing else None,
    )


def rejection_of(message: DecisionMessage, request: WaitingRequest) -> Rejected:
    """Return the rejection of a received message."""
    after = message.retry_after
    return Rejected(
        request=request,
        retry_after=None if after is None else timedelta(seconds=after),
        no_engine=message.no_engine,
        waiting=message.waiting,
        standing=_standing_of(message, request),
        recognition=_recognition_of(message.recognition),
        basis=RetryBasis(*message.retry_basis) if message.retry_basis is not None else None,
    )


def grant_of(
    message: DecisionMessage,
    request: WaitingRequest,
    backend: BackendServer,
    fetch_from: BackendServer | None,
) -> Granted:
    """Return the grant of a received message, with the backend servers as this entry lists them."""
    seconds = message.fetch_seconds if fetch_from is not None else 0.0
    return Granted(
        request=request,
        backend=backend,
        reading=PrefillPlan(message.unread_tokens, fetch_from, seconds),
        backlog=message.backlog,
        running=message.running,
        first_event_after=message.first_event_after,
        standing=_standing_of(message, request),
    )


def origin_message(
    evidence: OriginEvidence,
    sender: str,
    ticket: int,
    now: Instant,
    configuration: int | None = None,
) -> OriginMessage:
    """Return the message with what an entry knows about the origin of a stream."""
    record = evidence.record
    body = None
    if record is not None:
        origin = record.origin
        body = (
            origin.service if origin is not None else None,
            origin.version if origin is not None else "",
            record.sender,
            record.send,
            record.is_confirmed,
            round(now - record.recorded_at, 3),
        )
    versions = tuple(evidence.versions)
    return OriginMessage(
        sender, ticket, versions, evidence.covers, body, evidence.is_current, configuration
    )


def evidence_of(message: OriginMessage, now: Instant) -> OriginEvidence:
    """Return what a peer knows about the origin of a stream."""
    record = None
    if message.record is not None:
        service, version, sender, send, is_confirmed, age = message.record
        origin = StreamOrigin(service, version) if service is not None else None
        record = OriginRecord(origin, sender, send, is_confirmed, now - age)
    return OriginEvidence(record, frozenset(message.versions), message.covers, message.is_current)


def _standing_of(message: DecisionMessage, request: WaitingRequest) -> Standing | None:
    usage, share = message.account_usage, message.account_share
    if usage is None or share is None:
        return None
    return Standing(request.account or SHARED_ACCOUNT, usage, share)


def _basis_body(
    basis: RetryBasis | None,
) -> tuple[float | None, float | None, float, int, bool] | None:
    if basis is None:
        return None
    return (
        _rounded(basis.placed_rate),
        _rounded(basis.free_rate),
        round(basis.waiting_work, 4),
        basis.pending,
        basis.within_limit,
    )


def _recognition_of(value: str) -> Recognition:
    """Return the recognition of a message; a value of a newer version counts as unknown."""
    return Recognition(value) if value in set(Recognition) else Recognition.UNKNOWN


def _prompt_body(prompt: Prompt) -> PromptBody:
    parts = tuple((each.id, each.tokens) for each in prompt.parts)
    return PromptBody(
        prompt.model, parts, prompt.prompt_tokens, prompt.output_tokens, prompt.bears_reading
    )


def _prompt_of(body: PromptBody) -> Prompt:
    parts = tuple(PromptPart(*each) for each in body.parts)
    return Prompt(body.model, parts, body.prompt_tokens, body.output_tokens, body.bears_reading)


def _run_body(run: ReportedRun) -> RunBody:
    return RunBody(
        run.ticket,
        run.backend_id,
        _prompt_body(run.prompt),
        run.reading.unread_tokens,
        round(run.reading.fetch_seconds, 4),
        run.urgency,
        round(run.age, 3),
        run.is_read,
        run.exceeded,
        run.account,
        _rounded(run.first_event_after),
        _rounded(run.longest_gap),
        _rounded(run.mean_gap),
        run.events,
        run.version,
    )


def _run_of(body: RunBody) -> ReportedRun:
    reading = PrefillPlan(body.unread_tokens, None, body.fetch_seconds)
    prompt = _prompt_of(body.prompt)
    return ReportedRun(
        body.ticket,
        body.backend_id,
        prompt,
        reading,
        body.urgency,
        body.age,
        body.is_read,
        body.exceeded,
        body.account,
        body.first_event_after,
        body.longest_gap,
        body.mean_gap,
        body.events,
        body.version,
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
