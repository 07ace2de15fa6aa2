"""State machine of one request at an entry: reservations with late binding.

The entry calls the `on_…` methods to report events and executes the returned decisions in order. It
calls `on_tick` at `wake_at`. `Conclude` is always the last decision.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from .chart import load_chart
from .dispatch_decisions import (
    FINAL_REASONS,
    CancelAtAgent,
    Conclude,
    DispatchDecision,
    RequestReservation,
    SendBody,
    best_refusal,
)
from .outcomes import (
    Completed,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from .retries import (
    Interruption,
    Resume,
    RunAgain,
    StopRetrying,
    decide_after_loss,
    decide_after_outcome,
)
from .routing import BackendKind
from .run_latency import RunLatency

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .clock import Instant
    from .retries import RetryBudget
    from .routing import RouteQuery, Router

__all__ = [
    "RequestReservation",
    "Conclude",
    "Dispatch",
    "DispatchDecision",
    "SendBody",
    "CancelAtAgent",
    "best_refusal",
]

MAXIMUM_AGENTS_ASKED = 16
"""Maximum number of agents asked in one attempt of a request before it is refused."""

WIDEN_AFTER = timedelta(milliseconds=300)
"""Time without a grant after which more agents are asked, if any are expected to have a slot."""

WIDEN_COUNT = 2
"""Number of additional agents asked each time."""

RESUME_RETRY_INTERVAL = timedelta(milliseconds=250)
"""Delay before an interrupted answer asks the agents that refused it again."""

EJECTION_CHECK_INTERVAL = timedelta(seconds=1)
"""How often a running request checks whether its agent has been ejected."""


class Dispatch:
    """One request, from the choice of agents to its outcome, without I/O.

    Args:
        query: The routing query of the request; `idempotent` says whether it may be run again.
        router: The entry's router.
        budget: The entry's retry budget.
        deadline: When the caller stops waiting for the first token or the answer.
    """

    def __init__(
        self, query: RouteQuery, router: Router, budget: RetryBudget, deadline: Instant
    ) -> None:
        self._query = query
        self._router = router
        self._budget = budget
        self._deadline = deadline
        self._chart = load_chart("dispatch")
        self._state = self._chart.initial
        self._pending: dict[str, Instant] = {}
        self._asked: set[str] = set()
        self._failed: set[str] = set()
        self._refusals: list[NotRun] = []
        self._deferred: list[str] = []
        self._next_ask_at: Instant | None = None
        self._running_agent: str | None = None
        self._runs = 0
        self._tokens = 0
        self._bytes_delivered = False
        self._ejection_checked_at: Instant = 0.0
        self._latency = RunLatency(router, 0.0)
        self._may_have_run = False

    @property
    def state(self) -> str:
        """Name of the current state in the chart."""
        return self._state

    @property
    def agent_id(self) -> str | None:
        """The agent that received the body, if any."""
        return self._running_agent

    @property
    def tokens(self) -> int:
        """Tokens delivered to the caller so far."""
        return self._tokens

    @property
    def wake_at(self) -> Instant | None:
        """When `on_tick` is due next, or None once the request has ended."""
        if self._state == "ended":
            return None
        if self._state == "asking":
            return min(self._deadline, self._next_ask_at or self._deadline)
        ejection_check_at = self._ejection_checked_at + EJECTION_CHECK_INTERVAL.total_seconds()
        if self._state == "submitted":
            return min(self._deadline, ejection_check_at)
        return ejection_check_at

    def on_start(self, now: Instant) -> list[DispatchDecision]:
        """Ask the first agents, or conclude if there is none."""
        return self._ask(now)

    def on_granted(self, agent_id: str, now: Instant) -> list[DispatchDecision]:
        """Send the body to the agent that grants first, and withdraw from all others."""
        if self._state != "asking" or agent_id not in self._pending:
            return [] if agent_id == self._running_agent else [CancelAtAgent(agent_id)]
        del self._pending[agent_id]
        decisions: list[DispatchDecision] = [SendBody(agent_id, resumed=self._bytes_delivered)]
        decisions.extend(self._withdraw_pending())
        self._fire("submit")
        self._running_agent = agent_id
        self._runs += 1
        self._ejection_checked_at = now
        self._latency = RunLatency(self._router, now)
        self._router.submitted(agent_id, now)
        return decisions

    def on_refused(self, agent_id: str, outcome: Outcome, now: Instant) -> list[DispatchDecision]:
        """Handle an agent's refusal to run the request."""
        if agent_id == self._running_agent:
            return self.on_ended(agent_id, outcome, now)
        if self._state != "asking" or self._pending.pop(agent_id, None) is None:
            return []
        if not isinstance(outcome, NotRun):
            return self._conclude(outcome)
        if outcome.reason in FINAL_REASONS:
            return self._conclude(self._outcome_of_refusal(outcome))
        self._refusals.append(outcome)
        return [] if self._pending else self._ask(now)

    def on_progress(self, agent_id: str, tokens: int, now: Instant) -> list[DispatchDecision]:
        """Record a chunk of the answer that is delivered to the caller."""
        if agent_id != self._running_agent:
            return []
        self._fire("progress")
        self._bytes_delivered = True
        self._tokens += tokens
        self._router.progressed(agent_id, now)
        if self._query.kind is BackendKind.ENGINE:
            self._latency.progressed(agent_id, tokens, now)
        return []

    def on_ended(self, agent_id: str, outcome: Outcome, now: Instant) -> list[DispatchDecision]:
        """Handle the final outcome of the run, reported by its agent."""
        if agent_id != self._running_agent:
            return []
        self._release(now)
        if isinstance(outcome, Completed):
            self._budget.succeeded(now)
            return self._conclude(outcome)
        if isinstance(outcome, NotRun) and outcome.reason in FINAL_REASONS:
            return self._conclude(self._outcome_of_refusal(outcome))
        if not isinstance(outcome, NotRun):
            self._may_have_run = True
        decision = decide_after_outcome(outcome, self._interruption(), self._budget, now)
        refusals = [outcome] if isinstance(outcome, NotRun) else []
        return self._apply_decision(decision, agent_id, now, refusals)

    def on_agent_lost(self, agent_id: str, now: Instant) -> list[DispatchDecision]:
        """Handle the loss of an agent."""
        if agent_id == self._running_agent:
            return self._handle_running_agent_lost(now)
        if self._state != "asking" or self._pending.pop(agent_id, None) is None:
            return []
        return [] if self._pending else self._ask(now)

    def on_caller_gone(self, now: Instant) -> list[DispatchDecision]:
        """Handle a disconnected caller: cancel the request, unless it is an order that was sent."""
        if self._state == "ended":
            return []
        outcome: Outcome = self._outcome_of_refusal(NotRun(NotRunReason.WITHDRAWN))
        decisions: list[DispatchDecision] = []
        if self._running_agent is not None:
            outcome = Unknown(UnknownReason.TIMEOUT)
            if self._query.idempotent:
                outcome = Failed(FailedReason.CALLER_GONE)
                decisions.append(CancelAtAgent(self._running_agent))
            self._release(now)
        return decisions + self._conclude(outcome)

    def on_tick(self, now: Instant) -> list[DispatchDecision]:
        """Handle due timers: deferred reservations, the deadline and the ejection check."""
        if self._state == "ended":
            return []
        if self._state != "streaming" and now >= self._deadline:
            return self._handle_deadline(now)
        if self._state != "asking":
            return self._move_from_ejected(now)
        if self._next_ask_at is not None and now >= self._next_ask_at:
            return self._ask_deferred(now)
        return []

    def _fire(self, trigger: str) -> None:
        self._state = self._chart.next(self._state, trigger)

    def _ask(self, now: Instant) -> list[DispatchDecision]:
        self._next_ask_at = None
        if self._deferred:
            return self._ask_deferred(now)
        if len(self._asked) >= MAXIMUM_AGENTS_ASKED:
            return self._refused_by_all(now)
        first_round = self._asked == self._failed
        count = None if first_round else MAXIMUM_AGENTS_ASKED - len(self._asked)
        choice = self._router.choose(self._next_query(), now, count)
        if isinstance(choice, NotRun):
            if not self._refusals:
                self._refusals.append(choice)
            return self._refused_by_all(now)
        if choice.head_start and len(choice.agent_ids) > 1:
            self._deferred = list(choice.agent_ids[1:])
            self._next_ask_at = now + choice.head_start.total_seconds()
            return self._ask_agents(choice.agent_ids[:1], now)
        return self._ask_agents(choice.agent_ids, now)

    def _next_query(self) -> RouteQuery:
        return replace(self._query, excluded=self._query.excluded | self._asked)

    def _ask_deferred(self, now: Instant) -> list[DispatchDecision]:
        self._next_ask_at = None
        agent_ids, self._deferred = self._deferred, []
        if agent_ids:
            return self._ask_agents(agent_ids, now)
        return self._widen(now) if self._pending else self._ask(now)

    def _widen(self, now: Instant) -> list[DispatchDecision]:
        """Ask more agents for a request that is still waiting.

        The agents asked first may be frozen or full of equally urgent work while others would free
        a slot immediately. Without this step the request would wait until it is refused. The
        maximum number of agents asked bounds the cost under overload.
        """
        if len(self._asked) >= MAXIMUM_AGENTS_ASKED:
            return []
        agent_ids = self._router.low_wait_agents(self._next_query(), WIDEN_COUNT, now)
        decisions = self._ask_agents(agent_ids, now)
        self._next_ask_at = now + WIDEN_AFTER.total_seconds()
        return decisions

    def _ask_agents(self, agent_ids: Iterable[str], now: Instant) -> list[DispatchDecision]:
        for agent_id in agent_ids:
            self._pending[agent_id] = now
            self._asked.add(agent_id)
        if self._next_ask_at is None:
            self._next_ask_at = now + WIDEN_AFTER.total_seconds()
        return [RequestReservation(each) for each in agent_ids]

    def _refused_by_all(self, now: Instant) -> list[DispatchDecision]:
        if self._bytes_delivered and now < self._deadline:
            # The caller already has part of the answer, so it must not end because every engine is
            # briefly full. The search is bounded by the resume window, not by one refusal.
            self._asked = set(self._failed)
            self._refusals.clear()
            self._next_ask_at = now + RESUME_RETRY_INTERVAL.total_seconds()
            return []
        return self._conclude(self._outcome_of_refusal(best_refusal(self._refusals)))

    def _outcome_of_refusal(self, refusal: NotRun) -> Outcome:
        if self._bytes_delivered:
            return Failed(FailedReason.BACKEND_LOST)
        if self._may_have_run:
            return Unknown(UnknownReason.BACKEND_LOST)
        return refusal

    def _handle_running_agent_lost(self, now: Instant) -> list[DispatchDecision]:
        lost_agent = self._running_agent
        assert lost_agent is not None
        self._release(now)
        self._may_have_run = True
        return self._apply_decision(
            decide_after_loss(self._interruption(), self._budget, now), lost_agent, now
        )

    def _apply_decision(
        self,
        decision: RunAgain | Resume | StopRetrying,
        agent_id: str,
        now: Instant,
        refusals: Sequence[NotRun] = (),
    ) -> list[DispatchDecision]:
        if isinstance(decision, StopRetrying):
            outcome = decision.outcome
            return self._conclude(
                self._outcome_of_refusal(outcome) if isinstance(outcome, NotRun) else outcome
            )
        if isinstance(decision, Resume):
            self._deadline = decision.until
        self._fire("ask_again")
        self._failed.add(agent_id)
        self._asked = set(self._failed)
        self._refusals = list(refusals)
        return self._ask(now)

    def _move_from_ejected(self, now: Instant) -> list[DispatchDecision]:
        """Move a model's answer away from an agent that was ejected while the answer was running.

        An engine may freeze or slow to a tenth of its speed while its connection stays open. Its
        answers would then take very long to finish. Only the router's comparison with peers
        triggers a move, only resumable answers are moved, and the run count limits the moves.
        """
        self._ejection_checked_at = max(self._ejection_checked_at, now)
        running_agent = self._running_agent
        if (
            running_agent is None
            or not self._is_movable
            or not self._router.is_ejected(running_agent, now)
        ):
            return []
        affordable = self._bytes_delivered or self._budget.available(now) >= 1
        if not affordable or not self._has_alternative(running_agent, now):
            return []
        return [CancelAtAgent(running_agent), *self._handle_running_agent_lost(now)]

    @property
    def _is_movable(self) -> bool:
        return self._query.idempotent and self._query.kind is BackendKind.ENGINE and self._runs < 2

    def _has_alternative(self, running_agent: str, now: Instant) -> bool:
        query = replace(
            self._query, excluded=self._query.excluded | {running_agent}, idempotent=False
        )
        return not isinstance(self._router.choose(query, now), NotRun)

    def _handle_deadline(self, now: Instant) -> list[DispatchDecision]:
        running_agent = self._running_agent
        if running_agent is None:
            return self._conclude(self._outcome_of_refusal(NotRun(NotRunReason.DEADLINE)))
        self._release(now)
        if not self._query.idempotent:
            return self._conclude(Unknown(UnknownReason.TIMEOUT))
        return [CancelAtAgent(running_agent), *self._conclude(Failed(FailedReason.DEADLINE))]

    def _withdraw_pending(self) -> list[DispatchDecision]:
        pending = list(self._pending)
        self._pending.clear()
        self._deferred.clear()
        self._next_ask_at = None
        return [CancelAtAgent(each) for each in pending]

    def _release(self, now: Instant) -> None:
        if self._running_agent is not None:
            self._router.released(self._running_agent, now)
        self._running_agent = None

    def _interruption(self) -> Interruption:
        return Interruption(
            kind=self._query.kind,
            idempotent=self._query.idempotent,
            runs=self._runs,
            deadline=self._deadline,
            bytes_delivered=self._bytes_delivered,
        )

    def _conclude(self, outcome: Outcome) -> list[DispatchDecision]:
        decisions = self._withdraw_pending()
        self._fire("conclude")
        return [*decisions, Conclude(outcome)]
