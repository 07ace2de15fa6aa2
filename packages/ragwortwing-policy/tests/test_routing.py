"""Tests of the choice of agents: eligibility, prefix affinity, ties and probes."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest

from ragwortwing_policy.ejection import EjectionSettings, OutlierDetector
from ragwortwing_policy.outcomes import NotRun
from ragwortwing_policy.reservations import LoadReport
from ragwortwing_policy.routing import AgentView, BackendKind, RouteQuery, Router

ENGINE = BackendKind.ENGINE
QUERY = RouteQuery("r", "m", ENGINE)


def load(running: int, wait: float = 0.0) -> LoadReport:
    return LoadReport(running, 0, 16, timedelta(seconds=wait))


def view(agent_id: str, **changes: object) -> AgentView:
    base = AgentView(agent_id, "suva", ENGINE, frozenset({"m"}), load=load(0))
    return replace(base, **changes)  # type: ignore[arg-type]


def router(*views: AgentView, fanout: int = 2) -> Router:
    result = Router("suva", Random(1), fanout, OutlierDetector(EjectionSettings()))
    for each in views:
        result.update(each, 0.0)
    return result


def choose(routing: Router, query: RouteQuery = QUERY, now: float = 0.0) -> tuple[str, ...]:
    result = routing.candidates(query, now)
    assert not isinstance(result, NotRun)
    return result


@pytest.mark.parametrize(
    "unfit",
    [
        {"kind": BackendKind.SERVICE},
        {"targets": frozenset({"other"})},
        {"connected": False},
        {"leaving": True},
    ],
)
def test_only_eligible_agents_are_chosen(unfit: dict[str, object]) -> None:
    routing = router(view("fit"), view("unfit", **unfit))
    assert choose(routing) == ("fit",)
    assert isinstance(routing.candidates(replace(QUERY, excluded=frozenset({"fit"})), 0.0), NotRun)


def test_removed_or_retargeted_agent_is_not_chosen() -> None:
    routing = router(view("a"), view("b"), view("c"))
    routing.update(view("a", targets=frozenset({"other"})), 1.0)
    routing.remove("b", 1.0)
    assert choose(routing) == ("c",)


def test_shorter_predicted_wait_wins_and_zone_breaks_ties() -> None:
    near = view("near", load=load(16, 1.0))
    far = view("far", zone="nadi", load=load(16, 0.2))
    assert choose(router(near, far)) == ("far", "near")
    tied = replace(far, load=load(16, 1.01))
    assert choose(router(near, tied)) == ("near", "far")


def test_submitted_requests_count_until_next_report() -> None:
    routing = router(view("a"), view("b", load=load(2)))
    for _ in range(8):
        routing.submitted("a", 0.0)
    assert choose(routing)[0] == "b"
    routing.update(view("a", load=load(1)), 1.0)
    assert choose(routing)[0] == "a"


def test_prefix_stays_with_its_agent_until_that_is_overloaded() -> None:
    views = [view(f"a{each}", load=load(4)) for each in range(8)]
    query = replace(QUERY, prefix_hash=77)
    first, second = choose(router(*views), query)
    assert choose(router(*views[::-1]), query) == (first, second)
    loaded = [replace(x, load=load(14)) if x.agent_id == first else x for x in views]
    assert choose(router(*loaded), query)[0] == second


def test_prefixes_are_balanced_and_only_those_of_lost_agent_move() -> None:
    views = [view(f"a{each}", load=load(4)) for each in range(8)]
    queries = [replace(QUERY, prefix_hash=each * 7919 + 1) for each in range(800)]
    full_router, reduced_router = router(*views), router(*views[1:])
    before = [choose(full_router, each)[0] for each in queries]
    after = [choose(reduced_router, each)[0] for each in queries]
    assert min(Counter(before).values()) > 50
    assert all(x == y for x, y in zip(before, after, strict=True) if x != "a0")


def test_ejected_agent_gets_one_idempotent_probe_at_a_time() -> None:
    routing = router(*(view(f"a{each}") for each in range(6)))
    routing.submitted("a0", 0.0)
    settings = EjectionSettings()
    silent = settings.silence.total_seconds()
    assert routing.is_ejected("a0", silent)
    assert all("a0" not in choose(routing, now=silent) for _ in range(20))
    probing = silent + settings.first_ejection.total_seconds()
    less_urgent = replace(QUERY, tier=2)
    order = replace(less_urgent, idempotent=False)
    assert all("a0" not in choose(routing, order, probing) for _ in range(20))
    assert all("a0" not in choose(routing, QUERY, probing) for _ in range(20))
    assert choose(routing, less_urgent, probing)[0] == "a0"
    assert all("a0" not in choose(routing, less_urgent, probing) for _ in range(20))


def test_ejected_agents_are_asked_if_there_are_no_others() -> None:
    """Guards against refusing requests because every remaining agent is ejected."""
    routing = router(*(view(f"a{each}") for each in range(3)))
    routing.submitted("a0", 0.0)
    silent = EjectionSettings().silence.total_seconds()
    only_ejected = replace(QUERY, excluded=frozenset({"a1", "a2"}))
    assert choose(routing, only_ejected, silent) == ("a0",)
