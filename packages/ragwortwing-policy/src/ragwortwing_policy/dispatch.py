"""The state of one request at an entry: reservations with late binding.

The entry turns events into calls of the `on_…` methods and carries out the decisions returned, in
order. It calls `on_tick` at `wake_at`. After `Conclude` nothing more is to be done.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from .chart import load_chart
from .dispatch_decisions import (
    FINAL_REASONS,
    Ask,
    Conclude,
    DispatchDecision,
    SendBody,
    WithdrawFrom,
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
from .retries import GiveUp, Interruption, Resume, RunAgain, decide_after_loss, decide_after_outcome
from .routing import BackendKind
from .run_latency import RunLatency

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .clock import Instant
    from .retries import RetryBudget
    from .routing import RouteQuery, Router

__all__ = [
    "Ask",
    "Conclude",
    "Dispatch",
    "DispatchDecision",
    "SendBody",
    "WithdrawFrom",
    "best_refusal",
]

MAXIMUM_ASKED = 16
"""Agents asked for one attempt of a request before it is refused."""

WIDEN_AFTER = timedelta(milliseconds=300)
"""Time without a grant after which more agents are asked, if any should have a slot at once."""

WIDEN_COUNT = 2
"""Agents asked more each time."""

RESUME_PAUSE = timedelta(milliseconds=250)
"""Pause before an interrupted answer asks again agents that refused it."""

WATCH_INTERVAL = timedelta(seconds=1)
"""How often a running request looks whether its agent has been ejected."""


class Dispatch:
    """One request, from the choice of agents to its outcome; it does no input or output.

    Args:
        query: What the request looks for; `idempotent` says whether it may be run again.
        router: The entry's router.
        budget: The entry's retry budget.
        deadline: When the caller no longer waits for the first token or the answer.
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
        self._later: list[str] = []
        self._ask_later_at: Instant | None = None
        self._runner: str | None = None
        self._runs = 0
        self._tokens = 0
        self._bytes_delivered = False
        self._watched_at: Instant = 0.0
        self._latency = RunLatency(router, 0.0)
        self._maybe_ran = False

    @property
    def state(self) -> str:
        """Name of the present state in the chart."""
        return self._state

    @property
    def agent_id(self) -> str | None:
        """The agent that has the body, if any."""
        return self._runner

    @property
    def tokens(self) -> int:
        """Tokens delivered to the caller so far."""
        return self._tokens

    @property
    def wake_at(self) -> Instant | None:
        """When `on_tick` is next due; None once the request ended."""
        if self._state == "ended":
            return None
        if self._state == "asking":
            return min(self._deadline, self._ask_later_at or self._deadline)
        watch_at = self._watched_at + WATCH_INTERVAL.total_seconds()
        if self._state == "submitted":
            return min(self._deadline, watch_at)
        return watch_at

    def on_start(self, now: Instant) -> list[DispatchDecision]:
        """Ask the first agents, or say at once that there is none."""
        return self._ask(now)

    def on_granted(self, agent_id: str, now: Instant) -> list[DispatchDecision]:
        """Send the body to the first grant; hand back any other."""
        if self._state != "asking" or agent_id not in self._pending:
            return [] if agent_id == self._runner else [WithdrawFrom(agent_id)]
        del self._pending[agent_id]
        decisions: list[DispatchDecision] = [SendBody(agent_id, resumed=self._bytes_delivered)]
        decisions.extend(self._withdraw_pending())
        self._enter("submit")
        self._runner = agent_id
        self._runs += 1
        self._watched_at = now
        self._latency = RunLatency(self._router, now)
        self._router.submitted(agent_id, now)
        return decisions

    def on_refused(self, agent_id: str, outcome: Outcome, now: Instant) -> list[DispatchDecision]:
        """Take in that an agent will not run the request."""
        if agent_id == self._runner:
            return self.on_ended(agent_id, outcome, now)
        if self._state != "asking" or self._pending.pop(agent_id, None) is None:
            return []
        if not isinstance(outcome, NotRun):
            return self._conclude(outcome)
        if outcome.reason in FINAL_REASONS:
            return self._conclude(self._unless_ran(outcome))
        self._refusals.append(outcome)
        return [] if self._pending else self._ask(now)

    def on_progress(self, agent_id: str, tokens: int, now: Instant) -> list[DispatchDecision]:
        """Count a piece of the answer that goes to the caller."""
        if agent_id != self._runner:
            return []
        self._enter("progress")
        self._bytes_delivered = True
        self._tokens += tokens
        self._router.progressed(agent_id, now)
        if self._query.kind is BackendKind.ENGINE:
            self._latency.progressed(agent_id, tokens, now)
        return []

    def on_ended(self, agent_id: str, outcome: Outcome, now: Instant) -> list[DispatchDecision]:
        """Take in the final outcome of the run from its agent."""
        if agent_id != self._runner:
            return []
        self._release(now)
        if isinstance(outcome, Completed):
            self._budget.succeeded(now)
            return self._conclude(outcome)
        if isinstance(outcome, NotRun) and outcome.reason in FINAL_REASONS:
            return self._conclude(self._unless_ran(outcome))
        if not isinstance(outcome, NotRun):
            self._maybe_ran = True
        decision = decide_after_outcome(outcome, self._interruption(), self._budget, now)
        refusals = [outcome] if isinstance(outcome, NotRun) else []
        return self._carry_on(decision, agent_id, now, refusals)

    def on_agent_lost(self, agent_id: str, now: Instant) -> list[DispatchDecision]:
        """Take in that nothing more will come from an agent."""
        if agent_id == self._runner:
            return self._lose_runner(now)
        if self._state != "asking" or self._pending.pop(agent_id, None) is None:
            return []
        return [] if self._pending else self._ask(now)

    def on_caller_gone(self, now: Instant) -> list[DispatchDecision]:
        """Stop work that nobody waits for; an order that was sent runs on."""
        if self._state == "ended":
            return []
        outcome: Outcome = self._unless_ran(NotRun(NotRunReason.WITHDRAWN))
        decisions: list[DispatchDecision] = []
        if self._runner is not None:
            outcome = Unknown(UnknownReason.TIMEOUT)
            if self._query.idempotent:
                outcome = Failed(FailedReason.CALLER_GONE)
                decisions.append(WithdrawFrom(self._runner))
            self._release(now)
        return decisions + self._conclude(outcome)

    def on_tick(self, now: Instant) -> list[DispatchDecision]:
        """Act on what is due: later reservations, the deadline, an ejected agent."""
        if self._state == "ended":
            return []
        if self._state != "streaming" and now >= self._deadline:
            return self._pass_deadline(now)
        if self._state != "asking":
            return self._leave_ejected(now)
        if self._ask_later_at is not None and now >= self._ask_later_at:
            return self._ask_those_kept_back(now)
        return []

    def _enter(self, trigger: str) -> None:
        self._state = self._chart.next(self._state, trigger)

    def _ask(self, now: Instant) -> list[DispatchDecision]:
        self._ask_later_at = None
        if self._later:
            return self._ask_those_kept_back(now)
        if len(self._asked) >= MAXIMUM_ASKED:
            return self._refused_by_all(now)
        first_round = self._asked == self._failed
        count = None if first_round else MAXIMUM_ASKED - len(self._asked)
        choice = self._router.choose(self._next_query(), now, count)
        if isinstance(choice, NotRun):
            if not self._refusals:
                self._refusals.append(choice)
            return self._refused_by_all(now)
        if choice.head_start and len(choice.agent_ids) > 1:
            self._later = list(choice.agent_ids[1:])
            self._ask_later_at = now + choice.head_start.total_seconds()
            return self._ask_agents(choice.agent_ids[:1], now)
        return self._ask_agents(choice.agent_ids, now)

    def _next_query(self) -> RouteQuery:
        return replace(self._query, excluded=self._query.excluded | self._asked)

    def _ask_those_kept_back(self, now: Instant) -> list[DispatchDecision]:
        self._ask_later_at = None
        agent_ids, self._later = self._later, []
        if agent_ids:
            return self._ask_agents(agent_ids, now)
        return self._widen(now) if self._pending else self._ask(now)

    def _widen(self, now: Instant) -> list[DispatchDecision]:
        """Ask more agents for a request that still waits.

        Failure: the agents asked first are full of equally urgent work, or frozen, while others
        would make room at once; the request would wait there until it is refused. The number of
        agents asked bounds what this costs under overload.
        """
        if len(self._asked) >= MAXIMUM_ASKED:
            return []
        agent_ids = self._router.prompt_agents(self._next_query(), WIDEN_COUNT, now)
        decisions = self._ask_agents(agent_ids, now)
        self._ask_later_at = now + WIDEN_AFTER.total_seconds()
        return decisions

    def _ask_agents(self, agent_ids: Iterable[str], now: Instant) -> list[DispatchDecision]:
        for agent_id in agent_ids:
            self._pending[agent_id] = now
            self._asked.add(agent_id)
        if self._ask_later_at is None:
            self._ask_later_at = now + WIDEN_AFTER.total_seconds()
        return [Ask(each) for each in agent_ids]

    def _refused_by_all(self, now: Instant) -> list[DispatchDecision]:
        if self._bytes_delivered and now < self._deadline:
            # An interrupted answer must not end because every engine was full for a moment: the
            # caller has half a text. Its resume window, not one refusal, bounds the search.
            self._asked = set(self._failed)
            self._refusals.clear()
            self._ask_later_at = now + RESUME_PAUSE.total_seconds()
            return []
        return self._conclude(self._unless_ran(best_refusal(self._refusals)))

    def _unless_ran(self, refusal: NotRun) -> Outcome:
        if self._bytes_delivered:
            return Failed(FailedReason.BACKEND_LOST)
        if self._maybe_ran:
            return Unknown(UnknownReason.BACKEND_LOST)
        return refusal

    def _lose_runner(self, now: Instant) -> list[DispatchDecision]:
        lost = self._runner
        assert lost is not None
        self._release(now)
        self._maybe_ran = True
        return self._carry_on(decide_after_loss(self._interruption(), self._budget, now), lost, now)

    def _carry_on(
        self,
        decision: RunAgain | Resume | GiveUp,
        agent_id: str,
        now: Instant,
        refusals: Sequence[NotRun] = (),
    ) -> list[DispatchDecision]:
        if isinstance(decision, GiveUp):
            outcome = decision.outcome
            return self._conclude(
                self._unless_ran(outcome) if isinstance(outcome, NotRun) else outcome
            )
        if isinstance(decision, Resume):
            self._deadline = decision.until
        self._enter("ask_again")
        self._failed.add(agent_id)
        self._asked = set(self._failed)
        self._refusals = list(refusals)
        return self._ask(now)

    def _leave_ejected(self, now: Instant) -> list[DispatchDecision]:
        """Move a model's answer away from an agent that was ejected while the answer ran.

        Failure: an engine slows to a tenth, or freezes, and its connection lives on; the answers
        it holds would crawl to their end. The guard acts only on the router's verdict against
        peers, only on what may be resumed, and the run's own count bounds the moves.
        """
        self._watched_at = max(self._watched_at, now)
        runner = self._runner
        if runner is None or not self._may_move or not self._router.is_ejected(runner, now):
            return []
        affordable = self._bytes_delivered or self._budget.available(now) >= 1
        if not affordable or not self._has_alternative(runner, now):
            return []
        return [WithdrawFrom(runner), *self._lose_runner(now)]

    @property
    def _may_move(self) -> bool:
        return self._query.idempotent and self._query.kind is BackendKind.ENGINE and self._runs < 2

    def _has_alternative(self, runner: str, now: Instant) -> bool:
        query = replace(self._query, excluded=self._query.excluded | {runner}, idempotent=False)
        return not isinstance(self._router.choose(query, now), NotRun)

    def _pass_deadline(self, now: Instant) -> list[DispatchDecision]:
        runner = self._runner
        if runner is None:
            return self._conclude(self._unless_ran(NotRun(NotRunReason.DEADLINE)))
        self._release(now)
        if not self._query.idempotent:
            return self._conclude(Unknown(UnknownReason.TIMEOUT))
        return [WithdrawFrom(runner), *self._conclude(Failed(FailedReason.DEADLINE))]

    def _withdraw_pending(self) -> list[DispatchDecision]:
        pending = list(self._pending)
        self._pending.clear()
        self._later.clear()
        self._ask_later_at = None
        return [WithdrawFrom(each) for each in pending]

    def _release(self, now: Instant) -> None:
        if self._runner is not None:
            self._router.released(self._runner, now)
        self._runner = None

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
        self._enter("conclude")
        return [*decisions, Conclude(outcome)]
