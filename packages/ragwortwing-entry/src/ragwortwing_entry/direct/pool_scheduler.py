"""Schedules the engines of one pool for requests that other entries send."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.direct.admission_queue import Granted
from ragwortwing_policy.direct.run_ledger import GRANT_EXPIRY, run_key

from .peer_link import Address
from .peer_messages import (
    Decision,
    DecisionMessage,
    PlaceMessage,
    decision_message,
    waiting_request_of,
)

if TYPE_CHECKING:
    from ragwortwing_policy.direct.admission_queue import Rejected

    from .entry_state import EntryState
    from .peer_messages import WithdrawMessage
    from .queue_dispatcher import QueueDispatcher

GRANT_RESEND_INTERVAL = 0.06
"""Seconds after which a grant is resent if its entry has not reported the run."""

QUEUE_EXPIRY = 1.0
"""Seconds after which a queued request is dropped if its entry has not resent it."""


@dataclass(slots=True)
class _RequestRecord:
    """A request of another entry and the answer that it was given."""

    message: PlaceMessage
    address: Address
    heard_at: Instant
    answer: DecisionMessage | None = None
    answered_at: Instant = 0.0


class PoolScheduler:
    """Answers the requests of other entries for one pool; idempotent by ticket."""

    def __init__(self, pool: str, state: EntryState, dispatcher: QueueDispatcher) -> None:
        self._pool = pool
        self._state = state
        self._dispatcher = dispatcher
        self._records_by_key: dict[str, _RequestRecord] = {}

    def take(self, message: PlaceMessage, address: Address) -> None:
        """Queue a request, or repeat the answer if it is already known."""
        key = run_key(message.sender, message.ticket)
        now = self._state.clock.monotonic()
        record = self._records_by_key.get(key)
        if record is not None:
            record.heard_at = now
            record.address = address
            self._send_answer(record)
            return
        record = self._records_by_key[key] = _RequestRecord(message, address, now)
        request = waiting_request_of(message, key, now)
        self._dispatcher.enter(request, lambda decision: self._on_decision(record, decision))
        if record.answer is None:
            self._send_answer(record)

    def withdraw(self, message: WithdrawMessage) -> None:
        """Remove a request from the queue, or release the engine that it was granted."""
        key = run_key(message.sender, message.ticket)
        self._records_by_key.pop(key, None)
        self._dispatcher.leave(key)
        now = self._state.clock.monotonic()
        self._state.ledger.withdraw(self._pool, message.sender, message.ticket, now)
        self._dispatcher.notify()

    def maintain(self) -> None:
        """Resend grants that may be lost, and drop requests that have expired."""
        now = self._state.clock.monotonic()
        for key, record in list(self._records_by_key.items()):
            if record.answer is None:
                if now - record.heard_at > QUEUE_EXPIRY:
                    self._dispatcher.leave(key)
                    del self._records_by_key[key]
            elif now - record.answered_at > GRANT_EXPIRY:
                del self._records_by_key[key]
            elif now - record.answered_at > GRANT_RESEND_INTERVAL and self._is_unused_grant(record):
                self._send_answer(record)

    def _on_decision(self, record: _RequestRecord, decision: Granted | Rejected) -> None:
        message, now = record.message, self._state.clock.monotonic()
        if isinstance(decision, Granted):
            origins, backend = self._state.origins, decision.backend
            origin = origins.origin(backend.service, backend.version)
            origins.record_send(message.ticket, message.sender, origin, now)
            self._state.ledger.granted(
                self._pool,
                message.sender,
                message.started,
                message.ticket,
                decision.backend.id,
                now,
            )
        name = self._state.identity.name
        record.answer = decision_message(decision, name, self._pool, message.ticket)
        record.answered_at = now
        self._send_answer(record)

    def _is_unused_grant(self, record: _RequestRecord) -> bool:
        if record.answer is None or record.answer.decision is not Decision.GRANTED:
            return False
        message = record.message
        return not self._state.ledger.is_reported(self._pool, message.sender, message.ticket)

    def _send_answer(self, record: _RequestRecord) -> None:
        answer = record.answer
        if answer is None:
            name = self._state.identity.name
            answer = DecisionMessage(name, self._pool, record.message.ticket, Decision.QUEUED)
        self._state.peers.send_to(answer, record.address)
