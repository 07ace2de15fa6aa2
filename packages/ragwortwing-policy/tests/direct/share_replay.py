"""A pool under contention in virtual time: accounts, the admission queue and serial engines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from ragwortwing_policy.direct.account_shares import PoolShares
from ragwortwing_policy.direct.admission_queue import AdmissionQueue, Granted, WaitingRequest
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.queue_order import Waiter
from ragwortwing_policy.direct.routing_table import EngineTraits

from .builders import engines, prompt

TARGET, DEADLINE = 0.6, 5.0
PASS_INTERVAL = 0.02
TOKENS_PER_SECOND = 40_000.0
OVERHEAD = 0.03
DECODE = 0.3


@dataclass(slots=True)
class Outcome:
    """What became of an account's requests."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def missed(self) -> float:
        """Part of the requests that were refused or late."""
        return 1.0 - self.on_time / self.offered


@dataclass(slots=True)
class Replay:
    """Requests of accounts on engines that read one prompt after another."""

    rate_by_account: Mapping[str, float]
    """Requests a second by account; those of one account do not depend on the others'."""
    tokens_by_account: Mapping[str, int] = field(default_factory=dict)
    weight_by_account: Mapping[str, float] = field(default_factory=dict)
    new_shares: Callable[[], PoolShares] | None = PoolShares
    engines: int = 4
    slots: int = 32
    seconds: float = 12.0
    shares: PoolShares | None = None
    idle_engine_seconds_while_waiting: float = 0.0

    def run(self) -> dict[str, Outcome]:
        """Run it; return the outcomes by account."""
        placement = Placement()
        if self.new_shares is not None:
            placement.shares.enabled = True
            self.shares = placement.shares.by_pool["engines"] = self.new_shares()
        queue = AdmissionQueue("engines", placement)
        traits = EngineTraits(self.slots, memory_tokens=400_000, tokens_per_event=5)
        servers = engines(self.engines)
        outcomes = {name: Outcome() for name in self.rate_by_account}
        free_at: Counter[str] = Counter()
        events: list[tuple[float, int, Callable[[float], None]]] = []
        order = count()

        def at(moment: float, act: Callable[[float], None]) -> None:
            heappush(events, (moment, next(order), act))

        def granted(decision: Granted, now: float) -> None:
            request, key = decision.request, decision.backend.id
            reading = decision.reading.unread_tokens / TOKENS_PER_SECOND
            read_at = free_at[key] = max(now, free_at[key]) + reading
            at(read_at + OVERHEAD, lambda moment: first_event(request, key, moment))
            at(read_at + OVERHEAD + DECODE, lambda end: placement.end(key, request.ticket, end))

        def first_event(request: WaitingRequest, key: str, now: float) -> None:
            placement.first_event(key, request.ticket, now)
            outcome = outcomes[request.account or ""]
            if now <= request.waiter.target_at:
                outcome.on_time += 1
            else:
                outcome.late += 1

        def dispatch(now: float, only: str | None = None) -> None:
            for decision in queue.dispatch(traits, lambda _: servers, now, only):
                if isinstance(decision, Granted):
                    granted(decision, now)
                else:
                    outcomes[decision.request.account or ""].refused += 1

        def arrivals(name: str) -> Callable[[float], None]:
            random = Random(name)
            tokens = self.tokens_by_account.get(name, 3_000)

            def arrive(now: float) -> None:
                if now >= self.seconds:
                    return
                at(now + random.expovariate(self.rate_by_account[name]), arrive)
                ticket = f"{name}-{next(order)}"
                outcomes[name].offered += 1
                waiter = Waiter(1, now + TARGET, now + DEADLINE, now)
                weight = self.weight_by_account.get(name, 1.0)
                asked = prompt(tokens, session=name, own=ticket)
                queue.enter(
                    WaitingRequest(ticket, ticket, asked, waiter, account=name, weight=weight), now
                )
                if queue.is_first(ticket):
                    dispatch(now, only=ticket)

            return arrive

        def loop(now: float) -> None:
            dispatch(now)
            if len(queue):
                idle = sum(free_at[each.id] <= now for each in servers)
                self.idle_engine_seconds_while_waiting += idle * PASS_INTERVAL
            if now < self.seconds + DEADLINE:
                at(now + PASS_INTERVAL, loop)

        for name in self.rate_by_account:
            at(0.0, arrivals(name))
        at(0.0, loop)
        while events:
            moment, _, act = heappop(events)
            act(moment)
        return outcomes


def together(outcomes: Mapping[str, Outcome], *, without: str) -> Outcome:
    """Return the outcomes of all accounts but one."""
    rest = [each for name, each in outcomes.items() if name != without]
    return Outcome(
        sum(each.offered for each in rest),
        sum(each.on_time for each in rest),
        sum(each.late for each in rest),
        sum(each.refused for each in rest),
    )
