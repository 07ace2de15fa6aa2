"""Schedules the engines of one pool for the requests of other entries."""

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

RESEND_GRANT = 0.06
"""Seconds after which a grant is sent again that its entry has not reported as used."""

QUEUE_EXPIRY = 1.0
"""Seconds after which a queued request is dropped whose entry has not asked again."""


@dataclass(slots=True)
class _Asked:
    message: PlaceMessage
    address: Address
    heard_at: Instant
    answer: DecisionMessage | None = None
    answered_at: Instant = 0.0


class PoolScheduler:
    """Answers what other entries ask for one pool; idempotent by ticket."""

    def __init__(self, pool: str, state: EntryState, dispatcher: QueueDispatcher) -> None:
        self._pool = pool
        self._state = state
        self._dispatcher = dispatcher
        self._asked_by_key: dict[str, _Asked] = {}

    def take(self, message: PlaceMessage, address: Address) -> None:
        """Queue a request, or answer once more for one that is known."""
        key = run_key(message.sender, message.ticket)
        now = self._state.clock.monotonic()
        asked = self._asked_by_key.get(key)
        if asked is not None:
            asked.heard_at = now
            asked.address = address
            self._answer(asked)
            return
        asked = self._asked_by_key[key] = _Asked(message, address, now)
        request = waiting_request_of(message, key, now)
        self._dispatcher.enter(request, lambda decision: self._decided(asked, decision))
        if asked.answer is None:
            self._answer(asked)

    def withdraw(self, message: WithdrawMessage) -> None:
        """Drop a request, or take back the engine that it was given."""
        key = run_key(message.sender, message.ticket)
        self._asked_by_key.pop(key, None)
        self._dispatcher.leave(key)
        now = self._state.clock.monotonic()
        self._state.ledger.withdraw(self._pool, message.sender, message.ticket, now)
        self._dispatcher.notify()

    def maintain(self) -> None:
        """Repeat grants that may be lost, and drop what its entry has forgotten."""
        now = self._state.clock.monotonic()
        for key, asked in list(self._asked_by_key.items()):
            if asked.answer is None:
                if now - asked.heard_at > QUEUE_EXPIRY:
                    self._dispatcher.leave(key)
                    del self._asked_by_key[key]
            elif now - asked.answered_at > GRANT_EXPIRY:
                del self._asked_by_key[key]
            elif now - asked.answered_at > RESEND_GRANT and self._is_unused_grant(asked):
                self._answer(asked)

    def _decided(self, asked: _Asked, decision: Granted | Rejected) -> None:
        message, now = asked.message, self._state.clock.monotonic()
        if isinstance(decision, Granted):
            self._state.ledger.granted(
                self._pool,
                message.sender,
                message.started,
                message.ticket,
                decision.backend.id,
                now,
            )
        name = self._state.identity.name
        asked.answer = decision_message(decision, name, self._pool, message.ticket)
        asked.answered_at = now
        self._answer(asked)

    def _is_unused_grant(self, asked: _Asked) -> bool:
        if asked.answer is None or asked.answer.decision is not Decision.GRANTED:
            return False
        message = asked.message
        return not self._state.ledger.is_reported(self._pool, message.sender, message.ticket)

    def _answer(self, asked: _Asked) -> None:
        answer = asked.answer
        if answer is None:
            name = self._state.identity.name
            answer = DecisionMessage(name, self._pool, asked.message.ticket, Decision.QUEUED)
        self._state.peers.send_to(answer, asked.address)
