"""Carries one request out: its dispatch decisions go to agents, its answer comes back in parts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

import trio

from ragwortwing_policy.dispatch import (
    Ask,
    Conclude,
    Dispatch,
    DispatchDecision,
    SendBody,
    WithdrawFrom,
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
WHOLE_ANSWER_BYTES = 1_048_576
"""Size up to which a plain service's answer is kept until its outcome is known; a model's whole
answer is bounded by its context."""

CREDIT_BYTES = 8_192
"""Delivered bytes that are confirmed together; the agent keeps what is not confirmed."""

STREAMING = "streaming"
"""State of the dispatch chart in which pieces reach the caller."""


@dataclass(frozen=True, slots=True)
class Pieces:
    """Bytes of the answer that are ready for the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Idle:
    """Nothing was ready in time."""


@dataclass(frozen=True, slots=True)
class Ended:
    """The request's one outcome; nothing comes after it."""

    outcome: Outcome


Part = Pieces | Idle | Ended

IDLE = Idle()


class RequestRun:
    """One request in flight.

    Links call the methods that do not wait, as messages come; the request's own task calls
    `next_part`, which carries out what the dispatch decided and returns what is ready.
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
        """Head of the backend server's answer, once it came."""
        self.first_piece_at: Instant | None = None
        self._pool = pool
        self._clock = clock
        self._window = window
        self._credit_bytes = min(CREDIT_BYTES, window // 2)
        self._dispatch = Dispatch(request.route_query(), router, budget, request.deadline)
        self._decisions: deque[DispatchDecision] = deque()
        self._executing = trio.Lock()
        self._changed = trio.Event()
        self.last_agent_id = ""
        """The agent that had the body last, also after the end; empty where none had it."""
        self._links_by_agent_id: dict[str, AgentLink] = {}
        self._ready: list[bytes] = []
        self._passes_on = request.streamed
        self._kept_bytes = 0
        self._partial_event = b""
        self._delivered = DeliveredText()
        self._next_sequence = 0
        self._uncredited = 0
        self._outcome: Outcome | None = None
        self._submitted = False

    @property
    def agent_id(self) -> str | None:
        """The agent that has the body, if any."""
        return self._dispatch.agent_id

    @property
    def outcome(self) -> Outcome | None:
        """How the request ended; None while it is in flight."""
        return self._outcome

    @property
    def tokens(self) -> int:
        """Tokens that came so far."""
        return self._dispatch.tokens

    @property
    def state(self) -> str:
        """Where the dispatch stands."""
        return self._dispatch.state

    def start(self) -> None:
        """Choose the first agents."""
        self._decide(self._dispatch.on_start(self._now))

    def granted(self, agent_id: str, message: Granted) -> None:
        """Take in a grant."""
        self._decide(self._dispatch.on_granted(agent_id, self._now))

    def refused(self, agent_id: str, message: Refused) -> None:
        """Take in a refusal."""
        self._decide(self._dispatch.on_refused(agent_id, message.outcome, self._now))

    def head_came(self, agent_id: str, message: ResponseHead) -> None:
        """Take in the head of the answer."""
        if agent_id == self.agent_id and self.head is None:
            self.head = message
            self._changed.set()

    def chunk_came(self, agent_id: str, chunk: Chunk) -> None:
        """Take in a piece of the answer."""
        # An agent that was given up may go on sending, and one that was attached anew may repeat
        # what came before the loss. Either would reach the caller as text that stands twice; the
        # runner and the sequence number tell both apart from what is new.
        if agent_id != self.agent_id or chunk.sequence < self._next_sequence:
            return
        if chunk.sequence > self._next_sequence:
            self.agent_lost(agent_id)
            return
        self._next_sequence += 1
        self._uncredited += len(chunk.data)
        if self.first_piece_at is None:
            self.first_piece_at = self._now
        if self.request.streamed:
            self._take_events(agent_id, chunk)
        else:
            self._keep(agent_id, chunk.data)
        self._changed.set()

    def ended(self, agent_id: str, message: End) -> None:
        """Take in the outcome of the run."""
        self._decide(self._dispatch.on_ended(agent_id, message.outcome, self._now))

    def agent_lost(self, agent_id: str) -> None:
        """Take in that nothing more will come from an agent."""
        self._links_by_agent_id.pop(agent_id, None)
        self._decide(self._dispatch.on_agent_lost(agent_id, self._now))

    def attach_message(self, agent_id: str) -> Attach | None:
        """Return what takes the run up again on a new connection; None where it has no body."""
        if agent_id != self.agent_id or not self._submitted:
            return None
        request = self.request
        return Attach(request.request_id, request.account, self._next_sequence, self._window)

    async def caller_gone(self) -> None:
        """Stop the work that nobody waits for, at once."""
        self._decide(self._dispatch.on_caller_gone(self._now))
        await self._execute()

    async def next_part(self, idle_at: Instant) -> Part:
        """Return the next part of the answer.

        What the last call returned counts as delivered, so that the agent may send more.

        Args:
            idle_at: When to return `Idle` if nothing is ready.
        """
        while True:
            await self._execute()
            await self._give_credit()
            if self._ready and (self._passes_on or self._outcome is not None):
                return self._take_ready()
            if self._outcome is not None:
                return Ended(self._outcome)
            if self._dispatch.state == STREAMING:
                await self._wait()
                continue
            now = self._now
            if now >= idle_at:
                return IDLE
            self.tick(now)
            if not self._decisions:
                await self._wait_until(min(idle_at, self._dispatch.wake_at or idle_at))

    def tick(self, now: Instant) -> None:
        """Let the dispatch act on time passed; called by a shared ticker while streaming.

        A stream waits for its next token thousands of times, and a timer for each wait would cost
        as much as relaying the token.
        """
        wake_at = self._dispatch.wake_at
        if wake_at is not None and now >= wake_at:
            self._decide(self._dispatch.on_tick(now))

    def close(self) -> None:
        """Forget the request at every link."""
        for link in self._links_by_agent_id.values():
            link.forget(self.request.request_id)
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

    def _keep(self, agent_id: str, data: bytes) -> None:
        """Keep a piece of a whole answer until its outcome is known, or it grows too large."""
        self._ready.append(data)
        self._kept_bytes += len(data)
        if not self._passes_on and self._kept_bytes > WHOLE_ANSWER_BYTES:
            # Kept to its end, one large download would take the entry's memory; a part that the
            # caller has also rules out that the call is made again elsewhere.
            self._passes_on = self.request.kind is BackendKind.SERVICE
            if self._passes_on:
                self._decide(self._dispatch.on_progress(agent_id, 0, self._now))

    def _take_events(self, agent_id: str, chunk: Chunk) -> None:
        data = self._partial_event + chunk.data
        self._partial_event = b""
        if not data.endswith(EVENT_END):
            # An engine that dies within an event would leave the caller half a line, to which the
            # resumed answer cannot be joined; so only whole events go out.
            end = data.rfind(EVENT_END) + len(EVENT_END) if EVENT_END in data else 0
            data, self._partial_event = data[:end], data[end:]
        if data.endswith(DONE_EVENT):
            data = data[: -len(DONE_EVENT)]
        if data:
            self._ready.append(data)
            if self.request.idempotent:
                self._delivered.add(data)
        self._decide(self._dispatch.on_progress(agent_id, chunk.tokens, self._now))

    def _take_ready(self) -> Pieces:
        data = self._ready[0] if len(self._ready) == 1 else b"".join(self._ready)
        self._ready.clear()
        return Pieces(data)

    async def _give_credit(self) -> None:
        # A slow caller holds up only its own stream: what was not yet taken is not credited, so
        # the agent stops at the window and what is kept here is bounded by it.
        if self._uncredited < self._credit_bytes or (self._ready and self._passes_on):
            return
        link = self._links_by_agent_id.get(self.agent_id or "")
        if link is None:
            return
        self._uncredited = 0
        credit = Credit(self.request.request_id, self._next_sequence, self._window)
        await self._send(link, credit)

    def _decide(self, decisions: list[DispatchDecision]) -> None:
        if decisions:
            self._decisions.extend(decisions)
            self._changed.set()

    async def _execute(self) -> None:
        if not self._decisions:
            return
        async with self._executing:
            while self._decisions:
                await self._carry_out(self._decisions.popleft())

    async def _carry_out(self, decision: DispatchDecision) -> None:
        if isinstance(decision, Ask):
            await self._ask(decision.agent_id)
        elif isinstance(decision, SendBody):
            await self._send_body(decision)
        elif isinstance(decision, WithdrawFrom):
            await self._withdraw_from(decision.agent_id)
        elif isinstance(decision, Conclude):
            self._conclude(decision.outcome)

    async def _ask(self, agent_id: str) -> None:
        link = self._pool.link_of(agent_id)
        if link is None:
            self._decide(self._dispatch.on_agent_lost(agent_id, self._now))
            return
        self._links_by_agent_id[agent_id] = link
        link.remember(self)
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
            # The grant's connection broke before any byte of the body was given to it, so the
            # request has not run there, which is more than a loss in general would say.
            not_run = NotRun(NotRunReason.NO_BACKEND)
            self._decide(self._dispatch.on_ended(agent_id, not_run, self._now))
            return
        self._start_afresh(decision.resumed)
        request = self.request
        submit = Submit(
            request_id=request.request_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            traceparent=request.traceparent,
            resume_text=self._delivered.text() if decision.resumed else "",
            window=self._window,
        )
        self._submitted = True
        self.last_agent_id = agent_id
        await self._send(link, submit)

    def _start_afresh(self, resumed: bool) -> None:
        self._next_sequence = 0
        self._uncredited = 0
        self._partial_event = b""
        if not resumed:
            self.head = None
            self._ready.clear()
            self._kept_bytes = 0

    async def _withdraw_from(self, agent_id: str) -> None:
        link = self._links_by_agent_id.pop(agent_id, None)
        if link is not None:
            link.forget(self.request.request_id)
            await self._send(link, Withdraw(self.request.request_id))

    async def _send(self, link: AgentLink, message: Reserve | Submit | Withdraw | Credit) -> None:
        try:
            await link.send(message)
        except ConnectionClosed:
            # The link finds its connection closed too and tells every run it remembers.
            return

    def _conclude(self, outcome: Outcome) -> None:
        if isinstance(outcome, Completed) and self.request.kind is BackendKind.ENGINE:
            outcome = replace(outcome, tokens=max(outcome.tokens, self.tokens))
        self._outcome = outcome
        self._changed.set()
