"""Runs one request: sends dispatch decisions to agents and returns the answer in parts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.dispatch import (
    CancelAtAgent,
    Conclude,
    Dispatch,
    DispatchDecision,
    RequestReservation,
    SendBody,
)
from ragwortwing_policy.outcomes import Completed, NotRun, NotRunReason, Outcome
from ragwortwing_policy.routing import BackendKind
from ragwortwing_wire.connection import ConnectionClosed
from ragwortwing_wire.delivered_text import DeliveredText
from ragwortwing_wire.messages import Attach, Credit, Reserve, ResponseHead, Submit, Withdraw

from .answers import DONE_EVENT

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock, Instant
    from ragwortwing_policy.retries import RetryBudget
    from ragwortwing_policy.routing import Router
    from ragwortwing_wire.messages import Chunk, End, Granted, Refused

    from .agent_link import AgentLink
    from .agent_pool import AgentPool
    from .caller_request import CallerRequest

EVENT_END = b"\n\n"
MAX_BUFFERED_ANSWER_BYTES = 1_048_576
"""Maximum size of a plain service's answer that is buffered until its outcome is known.

The unstreamed answer of a model needs no limit, because the model's context bounds it.
"""

CREDIT_BYTES = 8_192
"""Number of delivered bytes after which a credit acknowledges them.

The agent keeps unacknowledged bytes for a reattachment.
"""

STREAMING_STATE = "streaming"
"""State of the dispatch chart in which chunks are relayed to the caller."""


@dataclass(frozen=True, slots=True)
class AnswerData:
    """Bytes of the answer that are ready to send."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Idle:
    """No part of the answer was ready in time."""


@dataclass(frozen=True, slots=True)
class Ended:
    """The final outcome of the request; no part follows."""

    outcome: Outcome


Part = AnswerData | Idle | Ended

IDLE = Idle()


class RequestRun:
    """One request in flight.

    Agent links call the synchronous methods when messages arrive. The task of the request calls
    `next_part`, which executes pending dispatch decisions and returns the next part of the answer.
    """

    def __init__(
        self,
        request: CallerRequest,
        pool: AgentPool,
        router: Router,
        budget: RetryBudget,
        clock: Clock,
        window: int,
    ) -> None:
        self.request = request
        self.head: ResponseHead | None = None
        """Head of the backend server's response; None until it arrives."""
        self.first_piece_at: Instant | None = None
        self._pool = pool
        self._clock = clock
        self._window = window
        self._credit_bytes = min(CREDIT_BYTES, window // 2)
        self._dispatch = Dispatch(request.route_query(), router, budget, request.deadline)
        self._decisions: deque[DispatchDecision] = deque()
        self._execute_lock = trio.Lock()
        self._changed = trio.Event()
        self.last_agent_id = ""
        """Last agent that received the request body, also after the end; empty if none did."""
        self._links_by_agent_id: dict[str, AgentLink] = {}
        self._ready_chunks: list[bytes] = []
        self._is_relaying = request.streamed
        self._buffered_bytes = 0
        self._partial_event = b""
        self._delivered_text = DeliveredText()
        self._next_sequence = 0
        self._uncredited_bytes = 0
        self._outcome: Outcome | None = None
        self._submitted = False

    @property
    def agent_id(self) -> str | None:
        """The agent that currently has the request body, if any."""
        return self._dispatch.agent_id

    @property
    def outcome(self) -> Outcome | None:
        """Outcome of the request; None while it is in flight."""
        return self._outcome

    @property
    def tokens(self) -> int:
        """Number of tokens received so far."""
        return self._dispatch.tokens

    @property
    def state(self) -> str:
        """Current state of the dispatch chart."""
        return self._dispatch.state

    def start(self) -> None:
        """Start the dispatch, which selects the first agents."""
        self._enqueue_decisions(self._dispatch.on_start(self._now))

    def granted(self, agent_id: str, message: Granted) -> None:
        """Process a grant of an agent."""
        self._enqueue_decisions(self._dispatch.on_granted(agent_id, self._now))

    def refused(self, agent_id: str, message: Refused) -> None:
        """Process a refusal of an agent."""
        self._enqueue_decisions(self._dispatch.on_refused(agent_id, message.outcome, self._now))

    def head_received(self, agent_id: str, message: ResponseHead) -> None:
        """Process the head of the response."""
        if agent_id == self.agent_id and self.head is None:
            self.head = message
            self._changed.set()

    def chunk_received(self, agent_id: str, chunk: Chunk) -> None:
        """Process a chunk of the answer."""
        # An abandoned agent may continue to send, and a reattached agent may repeat chunks that
        # arrived before the connection was lost. Both would duplicate text for the caller. The
        # agent ID and the sequence number identify them.
        if agent_id != self.agent_id or chunk.sequence < self._next_sequence:
            return
        if chunk.sequence > self._next_sequence:
            self.agent_lost(agent_id)
            return
        self._next_sequence += 1
        self._uncredited_bytes += len(chunk.data)
        if self.first_piece_at is None:
            self.first_piece_at = self._now
        if self.request.streamed:
            self._add_events(agent_id, chunk)
        else:
            self._buffer_chunk(agent_id, chunk.data)
        self._changed.set()

    def ended(self, agent_id: str, message: End) -> None:
        """Process the outcome that an agent reports."""
        self._enqueue_decisions(self._dispatch.on_ended(agent_id, message.outcome, self._now))

    def agent_lost(self, agent_id: str) -> None:
        """Process the loss of an agent, from which nothing more arrives."""
        self._links_by_agent_id.pop(agent_id, None)
        self._enqueue_decisions(self._dispatch.on_agent_lost(agent_id, self._now))

    def attach_message(self, agent_id: str) -> Attach | None:
        """Return the message that reattaches the run on a new connection.

        Returns None if the agent does not have the request body.
        """
        if agent_id != self.agent_id or not self._submitted:
            return None
        request = self.request
        return Attach(request.request_id, request.account, self._next_sequence, self._window)

    async def caller_disconnected(self) -> None:
        """Stop the run at once, because the caller has disconnected."""
        self._enqueue_decisions(self._dispatch.on_caller_gone(self._now))
        await self._execute()

    async def next_part(self, idle_at: Instant) -> Part:
        """Return the next part of the answer.

        The part that the previous call returned counts as delivered, so its bytes are credited to
        the agent.

        Args:
            idle_at: Time at which to return `Idle` if nothing is ready.
        """
        while True:
            await self._execute()
            await self._send_credit()
            if self._ready_chunks and (self._is_relaying or self._outcome is not None):
                return self._pop_ready()
            if self._outcome is not None:
                return Ended(self._outcome)
            if self._dispatch.state == STREAMING_STATE:
                await self._wait()
                continue
            now = self._now
            if now >= idle_at:
                return IDLE
            self.tick(now)
            if not self._decisions:
                await self._wait_until(min(idle_at, self._dispatch.wake_at or idle_at))

    def tick(self, now: Instant) -> None:
        """Process expired timers of the dispatch; a shared ticker calls this while streaming.

        A stream waits for its next token thousands of times. A timer for each wait would cost as
        much as relaying the token.
        """
        wake_at = self._dispatch.wake_at
        if wake_at is not None and now >= wake_at:
            self._enqueue_decisions(self._dispatch.on_tick(now))

    def close(self) -> None:
        """Unregister the run from every agent link."""
        for link in self._links_by_agent_id.values():
            link.remove_run(self.request.request_id)
        self._links_by_agent_id.clear()

    @property
    def _now(self) -> Instant:
        return self._clock.monotonic()

    async def _wait_until(self, instant: Instant) -> None:
        with trio.move_on_after(max(0.0, instant - self._now)):
            await self._wait()

    async def _wait(self) -> None:
        await self._changed.wait()
        self._changed = trio.Event()

    def _buffer_chunk(self, agent_id: str, data: bytes) -> None:
        """Buffer a chunk of an unstreamed answer until the outcome is known or it is too large."""
        self._ready_chunks.append(data)
        self._buffered_bytes += len(data)
        if not self._is_relaying and self._buffered_bytes > MAX_BUFFERED_ANSWER_BYTES:
            # Buffering a large download to its end would exhaust the entry's memory, so the answer
            # is relayed from here on. The dispatch is informed because a call whose answer has
            # partly reached the caller cannot be retried.
            self._is_relaying = self.request.kind is BackendKind.SERVICE
            if self._is_relaying:
                self._enqueue_decisions(self._dispatch.on_progress(agent_id, 0, self._now))

    def _add_events(self, agent_id: str, chunk: Chunk) -> None:
        data = self._partial_event + chunk.data
        self._partial_event = b""
        if not data.endswith(EVENT_END):
            # Only complete events are relayed. If an engine crashed within an event, the caller
            # would be left with half a line, and the resumed answer could not be appended to it.
            end = data.rfind(EVENT_END) + len(EVENT_END) if EVENT_END in data else 0
            data, self._partial_event = data[:end], data[end:]
        if data.endswith(DONE_EVENT):
            data = data[: -len(DONE_EVENT)]
        if data:
            self._ready_chunks.append(data)
            if self.request.idempotent:
                self._delivered_text.add(data)
        self._enqueue_decisions(self._dispatch.on_progress(agent_id, chunk.tokens, self._now))

    def _pop_ready(self) -> AnswerData:
        data = (
            self._ready_chunks[0] if len(self._ready_chunks) == 1 else b"".join(self._ready_chunks)
        )
        self._ready_chunks.clear()
        return AnswerData(data)

    async def _send_credit(self) -> None:
        # Back-pressure: bytes that the caller has not taken yet are not credited. The agent stops
        # at the window, which bounds the buffer here, and a slow caller delays only its own stream.
        if self._uncredited_bytes < self._credit_bytes or (
            self._ready_chunks and self._is_relaying
        ):
            return
        link = self._links_by_agent_id.get(self.agent_id or "")
        if link is None:
            return
        self._uncredited_bytes = 0
        credit = Credit(self.request.request_id, self._next_sequence, self._window)
        await self._send(link, credit)

    def _enqueue_decisions(self, decisions: list[DispatchDecision]) -> None:
        if decisions:
            self._decisions.extend(decisions)
            self._changed.set()

    async def _execute(self) -> None:
        if not self._decisions:
            return
        async with self._execute_lock:
            while self._decisions:
                await self._execute_decision(self._decisions.popleft())

    async def _execute_decision(self, decision: DispatchDecision) -> None:
        if isinstance(decision, RequestReservation):
            await self._request_reservation(decision.agent_id)
        elif isinstance(decision, SendBody):
            await self._send_body(decision)
        elif isinstance(decision, CancelAtAgent):
            await self._withdraw_from(decision.agent_id)
        elif isinstance(decision, Conclude):
            self._conclude(decision.outcome)

    async def _request_reservation(self, agent_id: str) -> None:
        link = self._pool.get_link(agent_id)
        if link is None:
            self._enqueue_decisions(self._dispatch.on_agent_lost(agent_id, self._now))
            return
        self._links_by_agent_id[agent_id] = link
        link.add_run(self)
        await self._send(link, self._reservation())

    def _reservation(self) -> Reserve:
        request = self.request
        return Reserve(
            request_id=request.request_id,
            request_class=request.request_class,
            account=request.account,
            target=request.target,
            remaining=timedelta(seconds=max(0.0, request.deadline - self._now)),
            prompt_tokens=request.prompt_tokens,
            expected_tokens=request.expected_tokens,
            prefix_hash=request.prefix_hash,
            resumed_tokens=self.tokens,
            idempotent=request.idempotent,
            order_key=request.order_key,
            body_digest=request.body_digest,
            order_time=request.order_time,
        )

    async def _send_body(self, decision: SendBody) -> None:
        agent_id = decision.agent_id
        link = self._links_by_agent_id.get(agent_id)
        if link is None or not link.is_open:
            # The connection was lost before any byte of the body was sent, so the request certainly
            # has not run on this agent. Reporting a lost agent would leave that open.
            not_run = NotRun(NotRunReason.NO_BACKEND)
            self._enqueue_decisions(self._dispatch.on_ended(agent_id, not_run, self._now))
            return
        self._reset_answer(decision.resumed)
        request = self.request
        submit = Submit(
            request_id=request.request_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            traceparent=request.traceparent,
            resume_text=self._delivered_text.text() if decision.resumed else "",
            window=self._window,
        )
        self._submitted = True
        self.last_agent_id = agent_id
        await self._send(link, submit)

    def _reset_answer(self, resumed: bool) -> None:
        self._next_sequence = 0
        self._uncredited_bytes = 0
        self._partial_event = b""
        if not resumed:
            self.head = None
            self._ready_chunks.clear()
            self._buffered_bytes = 0

    async def _withdraw_from(self, agent_id: str) -> None:
        link = self._links_by_agent_id.pop(agent_id, None)
        if link is not None:
            link.remove_run(self.request.request_id)
            await self._send(link, Withdraw(self.request.request_id))

    async def _send(self, link: AgentLink, message: Reserve | Submit | Withdraw | Credit) -> None:
        try:
            await link.send(message)
        except ConnectionClosed:
            # The link detects the closed connection too and notifies all of its runs.
            return

    def _conclude(self, outcome: Outcome) -> None:
        if isinstance(outcome, Completed) and self.request.kind is BackendKind.ENGINE:
            outcome = replace(outcome, tokens=max(outcome.tokens, self.tokens))
        self._outcome = outcome
        self._changed.set()
