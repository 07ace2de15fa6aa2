"""Orders to a model engine: the desired state, and which orders are due.

Only the agent of an engine sends it orders. Each order carries the agent's fencing number, which is
the log offset of the agent's start record. An engine that checks the number refuses orders of a
replaced agent. An engine that ignores it may be changed back by a replaced agent that resumes after
a pause. Orders therefore set a state, and the current agent repeats all of them at an interval.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

from .clock import Instant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .configuration import Configuration

DEFAULT_REASSERT_INTERVAL = timedelta(seconds=30)
"""Interval at which orders are repeated; it bounds how long an engine that ignores fencing numbers
may keep the state set by a replaced agent."""
DEFAULT_RETRY_INTERVAL = timedelta(seconds=2)


class EngineOrderKind(StrEnum):
    """Kinds of orders that an engine accepts."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One idempotent order to an engine."""

    kind: EngineOrderKind
    target: str
    """Model, adapter or role."""
    version: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class DesiredEngine:
    """Models, adapters and role that an engine should have."""

    versions_by_model: Mapping[str, str] = field(default_factory=dict)
    versions_by_adapter: Mapping[str, str] = field(default_factory=dict)
    role: str = ""
    """Empty if the engine has no roles."""


@dataclass(frozen=True, slots=True)
class ReportedEngine:
    """Models, adapters and role that an engine reports; the report may lag."""

    versions_by_model: Mapping[str, str] = field(default_factory=dict)
    versions_by_adapter: Mapping[str, str] = field(default_factory=dict)
    role: str = ""


@dataclass(frozen=True, slots=True)
class _Attempt:
    """The last attempt to send an order."""

    at: Instant
    taken: bool


@dataclass(frozen=True, slots=True)
class Superseded:
    """The engine accepted an order of a newer agent; this agent must not send orders any more."""

    highest_fencing_number: int


def desired_engine(configuration: Configuration, targets: Iterable[str]) -> DesiredEngine:
    """Return the desired state of an engine that serves the given models."""
    models = configuration.models_by_name
    return DesiredEngine({name: models[name].version for name in targets if name in models})


class EngineOrders:
    """Determines which orders an agent sends to its engine."""

    def __init__(
        self,
        fencing_number: int,
        reassert_interval: timedelta = DEFAULT_REASSERT_INTERVAL,
        retry_interval: timedelta = DEFAULT_RETRY_INTERVAL,
    ) -> None:
        """Initialize without any attempted orders.

        Args:
            fencing_number: Log offset of the agent's start record.
            reassert_interval: Time after which an accepted order is repeated.
            retry_interval: Time between two attempts to send an order that failed.
        """
        self._fencing_number = fencing_number
        self._reassert_interval = reassert_interval.total_seconds()
        self._retry_interval = retry_interval.total_seconds()
        self._attempts_by_order: dict[EngineOrder, _Attempt] = {}
        self._superseded: Superseded | None = None

    @property
    def superseded(self) -> Superseded | None:
        """Return the newer agent's fencing number if this agent was replaced, otherwise None."""
        return self._superseded

    def due(
        self, desired: DesiredEngine, reported: ReportedEngine | None, now: Instant
    ) -> tuple[EngineOrder, ...]:
        """Return the orders to send now, in sequence.

        Args:
            desired: The state that the engine should have.
            reported: The state that the engine reports, or None if it does not report.
            now: The current time.
        """
        if self._superseded is not None:
            return ()
        desired_orders = self._orders_for(desired)
        # Forget attempts of orders that are no longer desired.
        self._attempts_by_order = {
            order: attempt
            for order, attempt in self._attempts_by_order.items()
            if order in desired_orders
        }
        return tuple(order for order in desired_orders if self._is_due(order, reported, now))

    def taken(self, order: EngineOrder, now: Instant) -> None:
        """Record that the engine accepted an order."""
        self._attempts_by_order[order] = _Attempt(now, taken=True)

    def failed(self, order: EngineOrder, now: Instant) -> None:
        """Record that an order got no answer or an error; it may still have taken effect."""
        self._attempts_by_order[order] = _Attempt(now, taken=False)

    def refused(self, highest_fencing_number: int) -> Superseded | None:
        """Record that the engine refused an order because of its fencing number.

        Returns:
            The newer agent's fencing number, or None if the engine's number is not newer.
        """
        # Start records of an agent's place have increasing offsets, so a higher number belongs to a
        # newer agent. This agent was replaced while it was paused or disconnected. If it continued,
        # the two agents would keep reverting each other and models would be reloaded repeatedly.
        if highest_fencing_number > self._fencing_number:
            self._superseded = Superseded(highest_fencing_number)
        return self._superseded

    def _is_due(self, order: EngineOrder, reported: ReportedEngine | None, now: Instant) -> bool:
        if reported is not None and _is_confirmed(reported, order):
            return False
        attempt = self._attempts_by_order.get(order)
        if attempt is None:
            return True
        # A report may lag behind an accepted order, so the order is repeated no faster than a
        # failed one.
        use_reassert_interval = attempt.taken and reported is None
        return now >= attempt.at + (
            self._reassert_interval if use_reassert_interval else self._retry_interval
        )

    def _orders_for(self, desired: DesiredEngine) -> tuple[EngineOrder, ...]:
        orders = []
        if desired.role:
            orders.append(self._order(EngineOrderKind.CHANGE_ROLE, desired.role, ""))
        for model, version in sorted(desired.versions_by_model.items()):
            orders.append(self._order(EngineOrderKind.LOAD_MODEL, model, version))
        for adapter, version in sorted(desired.versions_by_adapter.items()):
            orders.append(self._order(EngineOrderKind.LOAD_ADAPTER, adapter, version))
        return tuple(orders)

    def _order(self, kind: EngineOrderKind, target: str, version: str) -> EngineOrder:
        return EngineOrder(kind, target, version, self._fencing_number)


def _is_confirmed(reported: ReportedEngine, order: EngineOrder) -> bool:
    match order.kind:
        case EngineOrderKind.CHANGE_ROLE:
            return reported.role == order.target
        case EngineOrderKind.LOAD_ADAPTER:
            return reported.versions_by_adapter.get(order.target) == order.version
        case _:
            return reported.versions_by_model.get(order.target) == order.version
