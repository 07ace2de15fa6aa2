"""Experiments on shares of client accounts: one account's burst, and the cost of decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_lab.model.batching_engine import EnginePace
from ragwortwing_lab.model.burst_replay import (
    AccountLoad,
    Placing,
    Replay,
    RequestKind,
    run_replay,
)
from ragwortwing_lab.model.start_time_shares import StartTimeShares
from ragwortwing_policy.direct.account_shares import PoolShares
from ragwortwing_policy.direct.admission_queue import AdmissionQueue, WaitingRequest
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.prompt_parts import Prompt, PromptPart
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.routing_table import EngineTraits
from ragwortwing_policy.direct.run_cost import RunCost

from .registry import experiment
from .slopes import cpu_microseconds

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

ACCOUNTS = 24
LARGE = "large"
"""The account that sends ten times as much as each other."""

ENGINES = 8
PACE = EnginePace(
    slots=64,
    step=0.00437,
    step_per_run=0.00011,
    tokens_per_second=93_600,
    chunk=1024,
    first_overhead=0.083,
    cache_tokens=380_000,
    memory_tokens=481_453,
)
"""The engines of the deployment on which accounts compete (docs/design/hard-load.md)."""

CHATS = RequestKind("chat", 0, 64.8, 0.315, 0.15, 15.76, 628, 198, 300, 290, 3.3, 0.3)
LONG = RequestKind("long", 1, 51.1, 0.535, 0.25, 5.353, 2890, 6300, 500, 50, 1.6, 0.48)
LONG_ALONE = RequestKind("long", 1, 102.1, 0.535, 0.25, 5.353, 2890, 6300, 500, 50, 1.6, 0.48)
"""Rates at which the engines just suffice."""

METHODS: dict[str, Callable[[], PoolShares] | None] = {
    "no shares": None,
    "decayed usage window": PoolShares,
    "start-time fair queueing": StartTimeShares,
}


@dataclass(frozen=True, slots=True)
class ShareRow:
    """Result of one replay."""

    kinds: str
    factor: int
    """Multiple of its usual rate at which the large account sends."""
    method: str
    missed: float
    """Part of the other accounts' long prompts that were refused or late."""
    lost: float
    """Part of them that were not answered."""
    large_missed: float
    """Part of the large account's long prompts that were refused or late."""
    worth: float


@dataclass(frozen=True, slots=True)
class ShareResult:
    """Results of all methods."""

    seed: int
    rows: tuple[ShareRow, ...]

    def render(self) -> str:
        """Return one line per replay."""
        return "\n".join(
            f"{row.kinds:15} x{row.factor:<2} {row.method:25} others missed {row.missed:.3f}, "
            f"lost {row.lost:.3f}; large missed {row.large_missed:.3f}; worth {row.worth:5.0f}"
            for row in self.rows
        )


@experiment("account_shares", in_all=False)
def account_shares(seed: int) -> ShareResult:
    """A burst of one client account at ten times its rate, with and without shares."""
    rows = []
    for kinds in ((LONG_ALONE,), (CHATS, LONG)):
        rows.append(_row(seed, kinds, 1, "no shares"))
        rows += [_row(seed, kinds, 10, method) for method in METHODS]
    return ShareResult(seed, tuple(rows))


def _row(seed: int, kinds: Sequence[RequestKind], factor: int, method: str) -> ShareRow:
    part = 1 / ACCOUNTS
    large = AccountLoad(LARGE, part, 0.0, 1e9, factor)
    others = [AccountLoad(f"account-{number}", part) for number in range(1, ACCOUNTS)]
    replay = Replay(
        Placing.OURS,
        seed,
        engines=ENGINES,
        length=10.0,
        bursts=(),
        pace=PACE,
        kinds=tuple(kinds),
        retries=1,
        accounts=(large, *others),
        new_shares=METHODS[method],
    )
    results = run_replay(replay)
    rest = [each for each in results["long"].requests if each.account != LARGE]
    own = [each for each in results["long"].requests if each.account == LARGE]
    return ShareRow(
        " and ".join(each.name for each in kinds),
        factor,
        method,
        1.0 - sum(each.is_on_time for each in rest) / len(rest),
        1.0 - sum(each.is_served for each in rest) / len(rest),
        1.0 - sum(each.is_on_time for each in own) / len(own),
        sum(each.worth for each in results.values()),
    )


COST_ENGINES = 24
COST_ACCOUNTS = (0, 24, 3_500)
"""Numbers of accounts with usage; 0 for a configuration without client accounts."""

COST_WAITING = 40
COST_TRAITS = EngineTraits(slots=48, memory_tokens=350_000, tokens_per_event=5)
FULL_TRAITS = EngineTraits(slots=1, memory_tokens=350_000, tokens_per_event=5)
PASS_INTERVAL = 0.02


@dataclass(frozen=True, slots=True)
class ShareCost:
    """CPU time of the admission queue's decisions by number of accounts."""

    seed: int
    decisions: tuple[float, ...]
    """Microseconds to queue, grant and end one request."""
    waiting: tuple[float, ...]
    """Microseconds for each waiting request of one pass that places none."""

    def render(self) -> str:
        """Return one line per number of accounts."""
        return "\n".join(
            f"{accounts:5} accounts: decision {decision:.0f} µs, waiting request {waiting:.1f} µs"
            for accounts, decision, waiting in zip(
                COST_ACCOUNTS, self.decisions, self.waiting, strict=True
            )
        )


@experiment("account_share_cost")
def account_share_cost(seed: int) -> ShareCost:
    """CPU time of decisions on 24 engines, without accounts and by the number of accounts."""
    return ShareCost(
        seed,
        tuple(cpu_microseconds(_decision(accounts)) for accounts in COST_ACCOUNTS),
        tuple(cpu_microseconds(_pass(accounts)) / COST_WAITING for accounts in COST_ACCOUNTS),
    )


def _pool(accounts: int, traits: EngineTraits) -> tuple[Placement, list[BackendServer]]:
    placement = Placement()
    servers = [
        BackendServer(f"i-{number:010d}", "engines", "", "", traits.slots)
        for number in range(COST_ENGINES)
    ]
    for server in servers:
        load, prompt = placement.load(server, traits), _prompt(server.id)
        load.begin(server.id, prompt, load.plan_prefill(prompt), 0.0)
    placement.shares.enabled = accounts > 0
    for number in range(accounts):
        cost = RunCost(0.1, 0, traits.slots)
        placement.shares.began("engines", f"used-{number}", _account(number), 0, cost, 0.0)
    return placement, servers


def _account(number: int) -> str:
    return f"account-{number}"


def _decision(accounts: int) -> Callable[[], None]:
    placement, servers = _pool(accounts, COST_TRAITS)
    queue = AdmissionQueue("engines", placement)
    waiter = Waiter(urgency=0, target_at=1e9, deadline=2e9, arrived_at=0.0)
    request = WaitingRequest("ticket", "ticket", _prompt("session"), waiter, account=_account(1))

    def decide_and_end() -> None:
        queue.enter(request, 0.0)
        (decision,) = queue.dispatch(COST_TRAITS, lambda _: servers, 0.0)
        placement.end(getattr(decision, "backend", servers[0]).id, "ticket", 0.0)

    return decide_and_end


def _pass(accounts: int) -> Callable[[], None]:
    placement, servers = _pool(accounts, FULL_TRAITS)
    queue = AdmissionQueue("engines", placement)
    waiter = Waiter(urgency=0, target_at=1e9, deadline=2e9, arrived_at=0.0)
    for number in range(COST_WAITING):
        ticket, account = f"waiting-{number}", _account(number % 24)
        queue.enter(WaitingRequest(ticket, ticket, _prompt(ticket), waiter, account=account), 0.0)
    now = 0.0

    def dispatch() -> None:
        nonlocal now
        now += PASS_INTERVAL
        queue.dispatch(FULL_TRAITS, lambda _: servers, now)

    return dispatch


def _prompt(session: str) -> Prompt:
    return Prompt("m", (PromptPart(session, 4_000), PromptPart(f"{session}-own", 3_000)), 7_000, 50)
