"""Tests of the site simulation: runs are reproducible and every request ends correctly."""

from __future__ import annotations

from collections import Counter

import pytest

from ragwortwing_lab.experiments.figures import VariantFigures, figures_of
from ragwortwing_lab.experiments.site_loads import CHAT, DRAFTS, ORDERS, at_load, desks, engines
from ragwortwing_lab.model.site import Fault, Scenario, Trace, run
from ragwortwing_lab.model.variants import BASELINES, SHIPPED, Variant
from ragwortwing_policy.outcomes import Completed, Unknown

BACKENDS = [*engines((1.0,) * 3), *desks()]
TRAFFICS = (at_load(CHAT, 0.5, BACKENDS), at_load(DRAFTS, 0.4, BACKENDS), ORDERS)
CRASH = (Fault(5, "engine-1", crash=True), Fault(6, "desk-1", crash=True))


def trace(variant: Variant = SHIPPED, seed: int = 1, faults: tuple[Fault, ...] = ()) -> Trace:
    return run(Scenario(BACKENDS, TRAFFICS, 12, faults, drain=60), variant, seed)


def figures(faults: tuple[Fault, ...] = (), seed: int = 1) -> VariantFigures:
    scenario = Scenario(BACKENDS, TRAFFICS, 12)
    return figures_of(trace(seed=seed, faults=faults), scenario.configuration.classes_by_name)


def test_equal_seeds_give_equal_figures_and_different_seeds_do_not() -> None:
    assert figures(CRASH) == figures(CRASH)
    assert figures(CRASH) != figures(CRASH, seed=2)


@pytest.mark.parametrize("variant", [SHIPPED, *BASELINES], ids=lambda each: each.name)
def test_all_variants_get_the_same_arrivals(variant: Variant) -> None:
    assert sorted(
        (each.arrival.at, each.arrival.class_name, each.arrival.output)
        for each in trace(variant).records
    ) == sorted(
        (each.arrival.at, each.arrival.class_name, each.arrival.output) for each in trace().records
    )


def test_completed_requests_have_their_whole_answer() -> None:
    for record in trace(faults=CRASH).records:
        if isinstance(record.outcome, Completed) and record.arrival.idempotent:
            assert record.tokens == record.arrival.output


def test_no_token_is_wasted_without_faults() -> None:
    without_faults = figures()
    assert without_faults.wasted_tokens == 0
    assert without_faults.generated_tokens == without_faults.useful_tokens


def test_crash_interrupts_no_answer_and_repeats_no_order() -> None:
    """The VMs of an engine and of an order desk crash while they work.

    Guards against lost answers and repeated orders. Answers are resumed on other engines. An order
    at the crashed desk ends with an unknown outcome, and every other order completes.
    """
    records = trace(faults=CRASH).records
    outcomes = Counter((each.arrival.kind, type(each.outcome)) for each in records)
    orders = {kind for (backend, kind) in outcomes if backend is ORDERS.kind}
    assert orders <= {Completed, Unknown}
    answers = {kind for (backend, kind) in outcomes if backend is CHAT.kind}
    assert answers == {Completed}
