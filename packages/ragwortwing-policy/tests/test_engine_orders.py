"""Engine orders set a state, stop for a replaced agent, and heal an engine that checks nothing."""

from __future__ import annotations

from datetime import timedelta

from ragwortwing_policy.configuration import Configuration, Model
from ragwortwing_policy.engine_orders import (
    DesiredEngine,
    EngineOrder,
    EngineOrderKind,
    EngineOrders,
    ReportedEngine,
    Superseded,
    desired_engine,
)

DESIRED = DesiredEngine({"menu": "2"})
LOAD = EngineOrder(EngineOrderKind.LOAD_MODEL, "menu", "2", 7)


class UncheckedEngine:
    """An engine that takes every order, whatever its number."""

    def __init__(self) -> None:
        self.versions_by_model: dict[str, str] = {}

    def take(self, order: EngineOrder) -> None:
        self.versions_by_model[order.target] = order.version


def orders(fencing_number: int = 7) -> EngineOrders:
    return EngineOrders(fencing_number, timedelta(seconds=30), timedelta(seconds=2))


def test_orders_follow_the_configuration() -> None:
    configuration = Configuration(3, "ordinary", models_by_name={"menu": Model("menu", "2")})
    assert desired_engine(configuration, ["menu", "other"]) == DESIRED
    wanted = DesiredEngine({"menu": "2"}, {"cakes": "1"}, "decode")
    kinds = [order.kind for order in orders().due(wanted, None, 0.0)]
    assert kinds == ["change_role", "load_model", "load_adapter"]


def test_an_order_is_given_once_until_it_is_reasserted() -> None:
    chooser = orders()
    assert chooser.due(DESIRED, None, 0.0) == (LOAD,)
    chooser.failed(LOAD, 0.0)
    assert chooser.due(DESIRED, None, 1.9) == ()
    assert chooser.due(DESIRED, None, 2.0) == (LOAD,)
    chooser.taken(LOAD, 2.0)
    assert chooser.due(DESIRED, None, 31.9) == ()
    assert chooser.due(DESIRED, None, 32.0) == (LOAD,)


def test_a_report_spares_orders_and_shows_what_is_missing() -> None:
    chooser = orders()
    assert chooser.due(DESIRED, ReportedEngine({"menu": "2"}), 0.0) == ()
    stale = ReportedEngine({"menu": "1"})
    assert chooser.due(DESIRED, stale, 0.0) == (LOAD,)
    chooser.failed(LOAD, 0.0)
    assert chooser.due(DESIRED, stale, 1.9) == ()
    chooser.taken(LOAD, 0.0)
    assert chooser.due(DESIRED, stale, 1.0) == ()
    assert chooser.due(DESIRED, stale, 2.0) == (LOAD,)


def test_a_replaced_agent_gives_no_order_any_more() -> None:
    """An agent is stopped, another takes its place, and the first one goes on.

    Its order carries the older number and is refused; from then on it must stay silent.
    """
    chooser = orders(7)
    assert chooser.refused(7) is None
    assert chooser.refused(9) == Superseded(9)
    assert chooser.due(DESIRED, None, 100.0) == ()


def test_an_engine_that_ignores_the_number_is_set_right_again() -> None:
    """A replaced agent goes on after a pause and orders the version it knew; the engine obeys.

    Callers get answers of the old version until the present agent gives its orders again.
    """
    engine, present, replaced = UncheckedEngine(), orders(9), orders(7)
    for order in present.due(DESIRED, None, 0.0):
        engine.take(order)
        present.taken(order, 0.0)
    for order in replaced.due(DesiredEngine({"menu": "1"}), None, 5.0):
        engine.take(order)
    assert engine.versions_by_model == {"menu": "1"}
    for order in present.due(DESIRED, None, 30.0):
        engine.take(order)
    assert engine.versions_by_model == {"menu": "2"}
