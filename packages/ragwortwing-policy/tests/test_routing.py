"""Choice of agents: eligibility, affinity with bounded load, near ties, probes."""

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


def chosen(routing: Router, query: RouteQuery = QUERY, now: float = 0.0) -> tuple[str, ...]:
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
def test_only_fit_agents_are_chosen(unfit: dict[str, object]) -> None:
    routing = router(view("fit"), view("unfit", **unfit))
    assert chosen(routing) == ("fit",)
    assert isinstance(routing.candidates(replace(QUERY, excluded=frozenset({"fit"})), 0.0), NotRun)


def test_an_agent_that_changes_what_it_serves_or_goes_is_not_chosen() -> None:
    routing = router(view("a"), view("b"), view("c"))
    routing.update(view("a", targets=frozenset({"other"})), 1.0)
    routing.remove("b", 1.0)
    assert chosen(routing) == ("c",)


def test_the_shorter_predicted_wait_wins_and_the_zone_decides_near_ties_only() -> None:
    near = view("near", load=load(16, 1.0))
    far = view("far", zone="nadi", load=load(16, 0.2))
    assert chosen(router(near, far)) == ("far", "near")
    level = replace(far, load=load(16, 1.01))
    assert chosen(router(near, level)) == ("near", "far")


def test_own_submits_count_until_the_next_report() -> None:
    routing = router(view("a"), view("b", load=load(2)))
    for _ in range(8):
        routing.submitted("a", 0.0)
    assert chosen(routing)[0] == "b"
    routing.update(view("a", load=load(1)), 1.0)
    assert chosen(routing)[0] == "a"


def test_a_prefix_stays_with_its_agent_and_spills_when_that_is_loaded() -> None:
    views = [view(f"a{each}", load=load(4)) for each in range(8)]
    query = replace(QUERY, prefix_hash=77)
    first, second = chosen(router(*views), query)
    assert chosen(router(*views[::-1]), query) == (first, second)
    loaded = [replace(x, load=load(14)) if x.agent_id == first else x for x in views]
    assert chosen(router(*loaded), query)[0] == second


def test_prefixes_spread_evenly_and_only_those_of_a_lost_agent_move() -> None:
    views = [view(f"a{each}", load=load(4)) for each in range(8)]
    queries = [replace(QUERY, prefix_hash=each * 7919 + 1) for each in range(800)]
    whole, without = router(*views), router(*views[1:])
    before = [chosen(whole, each)[0] for each in queries]
    after = [chosen(without, each)[0] for each in queries]
    assert min(Counter(before).values()) > 50
    assert all(x == y for x, y in zip(before, after, strict=True) if x != "a0")


def test_an_ejected_agent_gets_one_idempotent_probe_at_a_time() -> None:
    routing = router(*(view(f"a{each}") for each in range(6)))
    routing.submitted("a0", 0.0)
    settings = EjectionSettings()
    silent = settings.silence.total_seconds()
    assert routing.is_ejected("a0", silent)
    assert all("a0" not in chosen(routing, now=silent) for _ in range(20))
    probing = silent + settings.first_ejection.total_seconds()
    lesser = replace(QUERY, tier=2)
    order = replace(lesser, idempotent=False)
    assert all("a0" not in chosen(routing, order, probing) for _ in range(20))
    assert all("a0" not in chosen(routing, QUERY, probing) for _ in range(20))
    assert chosen(routing, lesser, probing)[0] == "a0"
    assert all("a0" not in chosen(routing, lesser, probing) for _ in range(20))


def test_ejected_agents_are_asked_where_there_is_nobody_else() -> None:
    routing = router(*(view(f"a{each}") for each in range(3)))
    routing.submitted("a0", 0.0)
    silent = EjectionSettings().silence.total_seconds()
    only = replace(QUERY, excluded=frozenset({"a1", "a2"}))
    assert chosen(routing, only, silent) == ("a0",)
