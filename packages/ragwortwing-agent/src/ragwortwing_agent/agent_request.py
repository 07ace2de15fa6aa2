"""State of one request at the agent: its position in the state chart and its buffered response."""

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
    """A request, from its reservation until its response is discarded."""

    def __init__(self, reserve: Reserve, reservation: Reservation, peer: EntryPeer) -> None:
        self.reserve = reserve
        self.reservation = reservation
        self.peer: EntryPeer | None = peer
        """The connection that receives the response; None after it was lost."""
        self.lost_at: Instant | None = None
        """When the connection was lost; None while there is one."""
        self.state = CHART.initial
        self.submit: Submit | None = None
        self.cancel_scope: trio.CancelScope | None = None
        """Cancels the call to the backend server."""
        self.sent_to_backend = False
        """Whether the backend server may have received any part of the request."""
        self.text = DeliveredText()
        """Text generated so far; an engine resumes after it."""
        self.tokens = 0
        """Tokens that this agent's engine has generated for the request."""
        self.ended_at: Instant | None = None
        self._buffer = AnswerBuffer(reserve.request_id, window=0)
        self._head: ResponseHead | None = None
        self._end: End | None = None
        self._head_sent = False
        self._end_sent = False
        self._space_available = trio.Event()

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.reserve.request_id

    @property
    def has_begun(self) -> bool:
        """Whether the body has arrived and the outcome is still open."""
        return self.state in ("running", "preempting", "requeued")

    @property
    def is_unfinished(self) -> bool:
        """Whether stopping the process now would interrupt the request or lose its outcome."""
        if self.state == "ended":
            return self.peer is not None and not self._end_sent
        return self.has_begun or self.state == "granted"

    @property
    def held_bytes(self) -> int:
        """Buffered bytes of the response."""
        return self._buffer.held_bytes

    @property
    def is_full(self) -> bool:
        """Whether reading from the backend server must pause until the entry sends credit."""
        return self._buffer.is_full

    def advance(self, trigger: str) -> None:
        """Move to the next state of the chart.

        Raises:
            InvalidTransitionError: The current state has no transition for this trigger.
        """
        self.state = CHART.next(self.state, trigger)

    def accept_submit(self, submit: Submit) -> None:
        """Store the submitted body and start buffering with the window that it carries."""
        self.submit = submit
        self._buffer = AnswerBuffer(self.request_id, submit.window)

    def add_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Store the response head for sending; later calls have no effect."""
        if self._head is None:
            self._head = ResponseHead(self.request_id, status, headers)
            self._notify()

    def add_chunk(self, data: bytes, tokens: int = 0) -> None:
        """Buffer a chunk of the response body for sending."""
        self._buffer.add(data, tokens)
        self._notify()

    def add_text(self, events: bytes, tokens: int) -> None:
        """Record the text and tokens of events, so that an engine can resume after them."""
        self.text.add(events)
        self.tokens += tokens

    async def wait_for_space(self) -> None:
        """Wait until the entry has received enough of the response for reading to continue."""
        while self._buffer.is_full:
            await self._space_available.wait()

    def end(
        self, outcome: Outcome, now: Instant, prompt_tokens: int = 0, cached_tokens: int = 0
    ) -> None:
        """End the request and queue its outcome for sending after the last chunk."""
        self.advance("end")
        self.ended_at = now
        sequence = self._buffer.next_sequence
        self._end = End(self.request_id, sequence, outcome, prompt_tokens, cached_tokens)
        self._notify()

    def acknowledge(self, sequence: int, window: int) -> None:
        """Discard the chunks before a sequence number and set the new send window."""
        self._buffer.acknowledge(sequence, window)
        self._notify()

    def attach(self, peer: EntryPeer, sequence: int, window: int) -> bool:
        """Continue the response on another connection.

        Returns:
            Whether all chunks from that sequence number on are still buffered.
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
        """Return the response head if it has not been sent yet, and mark it as sent."""
        if self._head_sent:
            return None
        self._head_sent = self._head is not None
        return self._head

    def take_chunks(self) -> list[Chunk]:
        """Return the chunks that the window allows to send now, and mark them as sent."""
        chunks = self._buffer.take_sendable()
        if chunks and not self._buffer.is_full:
            self._space_available.set()
            self._space_available = trio.Event()
        return chunks

    def take_end(self) -> End | None:
        """Return the outcome once all chunks are sent, and mark it as sent."""
        if self._end is None or self._end_sent or not self._buffer.is_sent:
            return None
        self._end_sent = True
        return self._end

    def _notify(self) -> None:
        if self.peer is not None:
            self.peer.notify(self)
