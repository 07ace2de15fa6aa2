"""Replay of an overload of short prompts that keep every slot of a pool busy."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush
from random import Random

from ragwortwing_policy.direct.admission_queue import AdmissionQueue, Granted, WaitingRequest
from ragwortwing_policy.direct.placement import Placement
from ragwortwing_policy.direct.queue_order import Waiter

from .builders import TRAITS, engines, prompt

ENGINES = 6
TARGET = 0.3
ANSWER_SECONDS = 1.0
FIRST_EVENT_SECONDS = 0.06
SECONDS = 6.0


def replay(load: float, seed: int) -> Counter[str]:
    """Return how the requests fared at a multiple of what the slots can serve."""
    random = Random(seed)
    placement = Placement()
    queue = AdmissionQueue("engines", placement)
    servers = engines(ENGINES)
    rate = load * ENGINES * TRAITS.slots / ANSWER_SECONDS
    fates: Counter[str] = Counter()
    pending: list[tuple[float, int, str, str, str]] = []
    now, number, arrives_at, step = 0.0, 0, 0.0, 0.0
    while now < SECONDS:
        now = step
        step += 0.01
        while arrives_at <= now:
            number += 1
            waiter = Waiter(0, arrives_at + TARGET, arrives_at + 15.0, arrives_at)
            ticket = f"chat-{number}"
            queue.enter(WaitingRequest(ticket, ticket, prompt(300, ticket), waiter), now)
            arrives_at += random.expovariate(rate)
        while pending and pending[0][0] <= now:
            at, _, kind, backend, ticket = heappop(pending)
            if kind == "first":
                placement.first_event(backend, ticket, at)
            else:
                placement.loads_by_id[backend].end(ticket, at)
        for decision in queue.dispatch(TRAITS, lambda _: servers, now):
            request = decision.request
            if not isinstance(decision, Granted):
                fates["refused"] += 1
                continue
            first_at = now + FIRST_EVENT_SECONDS
            fates["on time" if first_at <= request.waiter.target_at else "late"] += 1
            number += 1
            key = (decision.backend.id, request.ticket)
            heappush(pending, (first_at, number, "first", *key))
            heappush(pending, (first_at + ANSWER_SECONDS, number, "end", *key))
    return fates


def test_most_of_what_full_slots_can_serve_is_on_time() -> None:
    """Guards against serving every request just after its target when the slots are overloaded."""
    for seed in range(3):
        fates = replay(load=1.4, seed=seed)
        served = fates["on time"] + fates["late"]
        assert fates["on time"] > 0.8 * served, fates


def test_all_requests_are_on_time_below_the_capacity() -> None:
    """Guards against an order for overload that costs requests below it."""
    fates = replay(load=0.7, seed=1)
    assert fates["late"] + fates["refused"] < 0.02 * fates["on time"], fates
