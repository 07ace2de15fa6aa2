"""One request at the agent: its place in the state chart, its answer, and who reads it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.chart import load_chart
from ragwortwing_wire.delivered_text import DeliveredText
from ragwortwing_wire.messages import End, ResponseHead

from .answer_buffer import AnswerBuffer

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Instant
    from ragwortwing_policy.outcomes import Outcome
    from ragwortwing_policy.reservations import Reservation
    from ragwortwing_wire.messages import Chunk, Header, Reserve, Submit

    from .entry_peer import EntryPeer

CHART = load_chart("agent_request")


class AgentRequest:
    """A request from its reservation until its answer is no longer kept."""

    def __init__(self, reserve: Reserve, reservation: Reservation, peer: EntryPeer) -> None:
        self.reserve = reserve
        self.reservation = reservation
        self.peer: EntryPeer | None = peer
        """The connection that reads the answer; None while it is lost."""
        self.lost_at: Instant | None = None
        """When the connection was lost."""
        self.state = CHART.initial
        self.submit: Submit | None = None
        self.scope: trio.CancelScope | None = None
        """Cancels the call to the backend server."""
        self.sent_to_backend = False
        """Whether the backend server may have seen any of it."""
        self.text = DeliveredText()
        """Text of the answer so far, for an engine to go on after."""
        self.tokens = 0
        """Tokens given by this agent."""
        self.ended_at: Instant | None = None
        self._buffer = AnswerBuffer(reserve.request_id, window=0)
        self._head: ResponseHead | None = None
        self._end: End | None = None
        self._head_sent = False
        self._end_sent = False
        self._room = trio.Event()

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.reserve.request_id

    @property
    def has_begun(self) -> bool:
        """Whether the body is here and the outcome is not known."""
        return self.state in ("running", "preempting", "requeued")

    @property
    def is_unfinished(self) -> bool:
        """Whether a stop of the process now would cut something."""
        if self.state == "ended":
            return self.peer is not None and not self._end_sent
        return self.has_begun or self.state == "granted"

    @property
    def held_bytes(self) -> int:
        """Bytes of the answer kept here."""
        return self._buffer.held_bytes

    @property
    def is_full(self) -> bool:
        """Whether the backend server must not be read further for now."""
        return self._buffer.is_full

    def advance(self, trigger: str) -> None:
        """Go on to the next state.

        Raises:
            InvalidTransitionError: The chart has no such transition.
        """
        self.state = CHART.next(self.state, trigger)

    def take_body(self, submit: Submit) -> None:
        """Keep the body, and the credit for the answer."""
        self.submit = submit
        self._buffer = AnswerBuffer(self.request_id, submit.window)

    def add_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Pass on the head of the answer, once."""
        if self._head is None:
            self._head = ResponseHead(self.request_id, status, headers)
            self._notify()

    def add_piece(self, data: bytes, tokens: int = 0) -> None:
        """Pass on a piece of the answer."""
        self._buffer.add(data, tokens)
        self._notify()

    def add_text(self, events: bytes, tokens: int) -> None:
        """Keep the text of events, for an engine to go on after."""
        self.text.add(events)
        self.tokens += tokens

    async def wait_room(self) -> None:
        """Wait until the entry has taken enough of the answer to read on."""
        while self._buffer.is_full:
            await self._room.wait()

    def end(
        self, outcome: Outcome, now: Instant, prompt_tokens: int = 0, cached_tokens: int = 0
    ) -> None:
        """Conclude the request."""
        self.advance("end")
        self.ended_at = now
        sequence = self._buffer.next_sequence
        self._end = End(self.request_id, sequence, outcome, prompt_tokens, cached_tokens)
        self._notify()

    def confirm(self, sequence: int, window: int) -> None:
        """Take in credit."""
        self._buffer.confirm(sequence, window)
        self._notify()

    def attach(self, peer: EntryPeer, sequence: int, window: int) -> bool:
        """Go on with the answer on another connection.

        Returns:
            Whether the answer is still kept from that sequence number on.
        """
        if not self._buffer.rewind(sequence, window):
            return False
        self.peer = peer
        self.lost_at = None
        self._head_sent = False
        self._end_sent = False
        self._notify()
        return True

    def take_head(self) -> ResponseHead | None:
        """Return the head where it is to be sent now."""
        if self._head_sent:
            return None
        self._head_sent = self._head is not None
        return self._head

    def take_chunks(self) -> list[Chunk]:
        """Return the pieces that may be sent now."""
        chunks = self._buffer.take_sendable()
        if chunks and not self._buffer.is_full:
            self._room.set()
            self._room = trio.Event()
        return chunks

    def take_end(self) -> End | None:
        """Return the outcome where it is to be sent now."""
        if self._end is None or self._end_sent or not self._buffer.is_sent:
            return None
        self._end_sent = True
        return self._end

    def _notify(self) -> None:
        if self.peer is not None:
            self.peer.notify(self)
