"""Tests of engine orders: repetition, fencing of replaced agents, and engines without fencing."""

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


class EngineWithoutFencing:
    """An engine that accepts every order and ignores fencing numbers."""

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


def test_order_is_repeated_at_intervals() -> None:
    engine_orders = orders()
    assert engine_orders.due(DESIRED, None, 0.0) == (LOAD,)
    engine_orders.failed(LOAD, 0.0)
    assert engine_orders.due(DESIRED, None, 1.9) == ()
    assert engine_orders.due(DESIRED, None, 2.0) == (LOAD,)
    engine_orders.taken(LOAD, 2.0)
    assert engine_orders.due(DESIRED, None, 31.9) == ()
    assert engine_orders.due(DESIRED, None, 32.0) == (LOAD,)


def test_reported_state_determines_due_orders() -> None:
    engine_orders = orders()
    assert engine_orders.due(DESIRED, ReportedEngine({"menu": "2"}), 0.0) == ()
    stale = ReportedEngine({"menu": "1"})
    assert engine_orders.due(DESIRED, stale, 0.0) == (LOAD,)
    engine_orders.failed(LOAD, 0.0)
    assert engine_orders.due(DESIRED, stale, 1.9) == ()
    engine_orders.taken(LOAD, 0.0)
    assert engine_orders.due(DESIRED, stale, 1.0) == ()
    assert engine_orders.due(DESIRED, stale, 2.0) == (LOAD,)


def test_replaced_agent_sends_no_more_orders() -> None:
    """Guards against a replaced agent that resumes and keeps sending orders.

    Its order carries an older fencing number and is refused. It must not send any further orders.
    """
    engine_orders = orders(7)
    assert engine_orders.refused(7) is None
    assert engine_orders.refused(9) == Superseded(9)
    assert engine_orders.due(DESIRED, None, 100.0) == ()


def test_engine_without_fencing_is_corrected() -> None:
    """Guards against an engine staying on the state that a replaced agent ordered.

    The engine ignores fencing numbers and loads the old version. The current agent must restore the
    desired version when it repeats its orders.
    """
    engine, current, replaced = EngineWithoutFencing(), orders(9), orders(7)
    for order in current.due(DESIRED, None, 0.0):
        engine.take(order)
        current.taken(order, 0.0)
    for order in replaced.due(DesiredEngine({"menu": "1"}), None, 5.0):
        engine.take(order)
    assert engine.versions_by_model == {"menu": "1"}
    for order in current.due(DESIRED, None, 30.0):
        engine.take(order)
    assert engine.versions_by_model == {"menu": "2"}
