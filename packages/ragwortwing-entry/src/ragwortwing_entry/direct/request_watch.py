"""Keeps requests under which server processes end from further servers, wherever they come again.

The ends are reported by `CrashWatch`; all entries judge them by the same rule.
"""

from __future__ import annotations

from contextlib import contextmanager
from hashlib import blake2b
from typing import TYPE_CHECKING

from ragwortwing_policy.direct.request_ledger import (
    LostRequest,
    NameKind,
    RequestLedger,
    RequestName,
)
from ragwortwing_runtime.http_client import ConnectionLoss

from .decision_log import decided, warned
from .peer_messages import (
    AnsweredMessage,
    request_block_body,
    request_block_of,
    request_name,
)
from .ports import BackendLostError
from .report_pacing import ReportPacing

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.direct.request_ledger import RequestBlock, RequestNames

    from .entry_state import EntryState
    from .peer_messages import RequestBlockBody, StatusMessage
    from .ports import CallerRequest

MAX_NAME_LENGTH = 96
"""Maximum characters of a name; longer ones are replaced by a digest."""

MAX_REPORTED_REQUESTS = 32
"""Maximum blocked requests in a status, those with the latest ends."""

REPORT_INTERVAL_PER_ENTRY = 1.0
"""Seconds that each entry adds to the interval of its lists: each entry receives one a second."""


def names_of(request: CallerRequest, account: str | None) -> RequestNames:
    """Return the names by which other entries recognize a request of a client account.

    The account is a part of them: no caller's requests are refused because of another caller's.
    """
    attempts = dict.fromkeys(each for each in (request.id, request.resumes) if each)
    values = [(NameKind.ATTEMPT, each) for each in attempts]
    if fingerprint := request.fingerprint():
        values.append((NameKind.CONTENT, fingerprint))
    return tuple(RequestName(kind, _bounded(f"{account or ''}/{value}")) for kind, value in values)


class RequestWatch:
    """The requests that one entry keeps from servers because servers ended under them."""

    def __init__(self, state: EntryState) -> None:
        self.ledger = RequestLedger()
        self._state = state
        self._pacing = ReportPacing(REPORT_INTERVAL_PER_ENTRY)
        state.peers.requests_to_report = self._blocks_to_report

    def blocked(self, request_id: str, names: RequestNames) -> RequestBlock | None:
        """Return the block that keeps a request from servers now, if any."""
        now = self._now()
        block = self.ledger.blocked(names, now)
        if block is not None:
            decided(
                "request_blocked",
                request_id,
                name=block.name.value,
                kind=block.name.kind,
                ends=block.processes,
                blocked_s=round(now - block.since, 3),
                next_trial_s=block.opens_in(now),
            )
        return block

    @contextmanager
    def sending(self, request_id: str, names: RequestNames) -> Iterator[None]:
        """Treat the sending of a blocked request as its trial."""
        tested = self.ledger.begin_trial(names, self._now()) if names else ()
        if tested:
            decided("blocked_request_tried", request_id, names=[each.name.value for each in tested])
            self._report_blocks()
        try:
            yield
        except BackendLostError as error:
            if tested and error.loss is ConnectionLoss.CLOSED:
                for block in tested:
                    block.fail_trial(self._now())
                self._report_blocks()
            raise

    def answered(self, names: RequestNames) -> None:
        """Record a complete answer to a request."""
        name = self._state.identity.name
        cleared = self._record_answer(names, self._now(), name)
        if cleared:
            self._state.peers.broadcast(AnsweredMessage(name, cleared, 0.0))

    def take_answered(self, message: AnsweredMessage) -> None:
        """Handle another entry's report of an answer to a request under suspicion."""
        names = tuple(each for body in message.names if (each := request_name(body)) is not None)
        self._record_answer(names, self._now() - message.age, message.sender)

    def record_end(
        self, process: str, lost: Iterable[LostRequest], at: Instant, reported_by: str
    ) -> None:
        """Record the requests that a server process had not answered when it ended."""
        now = self._now()
        blocks = self.ledger.record_end(process, lost, at, now)
        for block in blocks:
            self._log_blocked(block, reported_by)
        if blocks and reported_by == self._state.identity.name:
            # The other entries conclude the same; one list tells those that missed a report.
            self._report_blocks()

    def take_status(self, status: StatusMessage) -> None:
        """Apply the blocks that another entry lists."""
        now = self._now()
        for body in status.request_blocks:
            block = request_block_of(body, now)
            if block is not None and self.ledger.merge(block):
                self._log_blocked(block, reported_by=status.sender)

    def release(self, value: str, operator: str) -> None:
        """Unblock a request at all entries, at an operator's request."""
        names = self.ledger.release(value, self._now())
        if names:
            name = self._state.identity.name
            self._state.peers.broadcast(AnsweredMessage(name, names, 0.0))
            decided("request_released", name=value, operator=operator)

    def expire(self) -> None:
        """Remove what is too old."""
        for block in self.ledger.expire(self._now()):
            decided("request_block_expired", name=block.name.value, kind=block.name.kind)

    def reported_blocks(self) -> tuple[RequestBlockBody, ...]:
        """Return the blocks that are listed to other entries."""
        now = self._now()
        latest = sorted(self.ledger.blocks, key=lambda each: each.last_end_at, reverse=True)
        return tuple(request_block_body(each, now) for each in latest[:MAX_REPORTED_REQUESTS])

    def _blocks_to_report(self, now: Instant) -> tuple[RequestBlockBody, ...]:
        entries = 1 + len(self._state.peers.members)
        return self.reported_blocks() if self._pacing.is_due(now, entries) else ()

    def _report_blocks(self) -> None:
        self._pacing.report_again()
        self._state.statuses.report_again()
        self._state.peers.wake()

    def _record_answer(self, names: RequestNames, at: Instant, reported_by: str) -> RequestNames:
        blocked = {each.name for each in self.ledger.blocks}
        cleared = self.ledger.record_answer(names, at)
        for name in blocked.intersection(cleared):
            decided("request_sound", name=name.value, kind=name.kind, reported_by=reported_by)
        return cleared

    def _log_blocked(self, block: RequestBlock, reported_by: str) -> None:
        warned(
            "request_name_blocked",
            name=block.name.value,
            kind=block.name.kind,
            ends=block.processes,
            last_end_ms=round(1000 * (self._now() - block.last_end_at)),
            reported_by=reported_by,
        )

    def _now(self) -> Instant:
        return self._state.clock.monotonic()


def _bounded(value: str) -> str:
    if len(value) <= MAX_NAME_LENGTH:
        return value
    return blake2b(value.encode(), digest_size=16).hexdigest()
