"""The model of a site: the same by seed, and every request accounted for."""

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


def test_the_same_seed_gives_the_same_figures_and_another_one_others() -> None:
    assert figures(CRASH) == figures(CRASH)
    assert figures(CRASH) != figures(CRASH, seed=2)


@pytest.mark.parametrize("variant", [SHIPPED, *BASELINES], ids=lambda each: each.name)
def test_all_variants_see_the_same_callers(variant: Variant) -> None:
    assert sorted(
        (each.arrival.at, each.arrival.class_name, each.arrival.output)
        for each in trace(variant).records
    ) == sorted(
        (each.arrival.at, each.arrival.class_name, each.arrival.output) for each in trace().records
    )


def test_each_request_ends_once_with_its_whole_answer() -> None:
    for record in trace(faults=CRASH).records:
        if isinstance(record.outcome, Completed) and record.arrival.idempotent:
            assert record.tokens == record.arrival.output


def test_no_token_is_lost_without_a_fault() -> None:
    calm = figures()
    assert calm.wasted_tokens == 0
    assert calm.generated_tokens == calm.useful_tokens


def test_a_crash_interrupts_no_answer_and_repeats_no_order() -> None:
    """An engine's VM and an order desk's VM are lost in mid-work.

    The answers go on at other engines; an order that was at the lost desk ends unknown, and no
    other order is anything but completed.
    """
    records = trace(faults=CRASH).records
    outcomes = Counter((each.arrival.kind, type(each.outcome)) for each in records)
    orders = {kind for (backend, kind) in outcomes if backend is ORDERS.kind}
    assert orders <= {Completed, Unknown}
    answers = {kind for (backend, kind) in outcomes if backend is CHAT.kind}
    assert answers == {Completed}
