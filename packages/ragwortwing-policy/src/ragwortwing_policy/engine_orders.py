"""Orders to a model engine: what it should have loaded, and which order to give next.

Only the agent beside the engine gives orders. Each carries the agent's fencing number, the log
offset of its own start record, so an engine that checks it refuses the agent that was replaced. An
engine that ignores the number may be changed back by a replaced agent which was paused and goes on;
so the orders set a state, and the present agent gives all of them again at an interval.
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
"""How long an engine that ignores fencing numbers may keep what a replaced agent ordered."""
DEFAULT_RETRY_INTERVAL = timedelta(seconds=2)


class EngineOrderKind(StrEnum):
    """What an engine can be told to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One order; giving it twice leaves the engine as giving it once."""

    kind: EngineOrderKind
    target: str
    """Model, adapter or role."""
    version: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class DesiredEngine:
    """What an engine should have loaded and be."""

    versions_by_model: Mapping[str, str] = field(default_factory=dict)
    versions_by_adapter: Mapping[str, str] = field(default_factory=dict)
    role: str = ""
    """Empty where the engine has no roles."""


@dataclass(frozen=True, slots=True)
class ReportedEngine:
    """What an engine says that it has loaded; it may lag."""

    versions_by_model: Mapping[str, str] = field(default_factory=dict)
    versions_by_adapter: Mapping[str, str] = field(default_factory=dict)
    role: str = ""


@dataclass(frozen=True, slots=True)
class _Attempt:
    """The last time an order was given."""

    at: Instant
    taken: bool


@dataclass(frozen=True, slots=True)
class Superseded:
    """The engine has taken an order of a newer agent; this one must give none any more."""

    highest_fencing_number: int


def desired_engine(configuration: Configuration, targets: Iterable[str]) -> DesiredEngine:
    """Return what the configuration wants of an engine that serves some models."""
    models = configuration.models_by_name
    return DesiredEngine({name: models[name].version for name in targets if name in models})


class EngineOrders:
    """Chooses the orders of one agent to its engine."""

    def __init__(
        self,
        fencing_number: int,
        reassert_interval: timedelta = DEFAULT_REASSERT_INTERVAL,
        retry_interval: timedelta = DEFAULT_RETRY_INTERVAL,
    ) -> None:
        """Create a chooser.

        Args:
            fencing_number: Log offset of the agent's start record.
            reassert_interval: Time after which an order that was taken is given again.
            retry_interval: Time between two attempts at an order that failed.
        """
        self._fencing_number = fencing_number
        self._reassert_interval = reassert_interval.total_seconds()
        self._retry_interval = retry_interval.total_seconds()
        self._attempts_by_order: dict[EngineOrder, _Attempt] = {}
        self._superseded: Superseded | None = None

    @property
    def superseded(self) -> Superseded | None:
        """Return by which newer agent this one was replaced, None if it was not."""
        return self._superseded

    def due(
        self, desired: DesiredEngine, reported: ReportedEngine | None, now: Instant
    ) -> tuple[EngineOrder, ...]:
        """Return the orders to give now, in the order in which to give them.

        Args:
            desired: What the engine should have.
            reported: What it says it has; None where it does not say.
            now: The time.
        """
        if self._superseded is not None:
            return ()
        wanted = self._orders_for(desired)
        # What is not wanted any more must not come back at an interval.
        self._attempts_by_order = {
            order: attempt for order, attempt in self._attempts_by_order.items() if order in wanted
        }
        return tuple(order for order in wanted if self._is_due(order, reported, now))

    def taken(self, order: EngineOrder, now: Instant) -> None:
        """Note that the engine took an order."""
        self._attempts_by_order[order] = _Attempt(now, taken=True)

    def failed(self, order: EngineOrder, now: Instant) -> None:
        """Note that an order had no answer or an error; it may have taken effect."""
        self._attempts_by_order[order] = _Attempt(now, taken=False)

    def refused(self, highest_fencing_number: int) -> Superseded | None:
        """Note that the engine refused an order for its old number.

        Returns:
            By which newer agent this one was replaced; None if the engine's number is not newer.
        """
        # The start records of one place rise in the log, so a higher number is a newer agent. This
        # one was paused or cut off while it was replaced. Were it to go on, the two would change
        # the engine to and fro, which shows as models that load again and again.
        if highest_fencing_number > self._fencing_number:
            self._superseded = Superseded(highest_fencing_number)
        return self._superseded

    def _is_due(self, order: EngineOrder, reported: ReportedEngine | None, now: Instant) -> bool:
        if reported is not None and _shows(reported, order):
            return False
        attempt = self._attempts_by_order.get(order)
        if attempt is None:
            return True
        # A report that does not show an order yet may lag behind it, so that one is not repeated
        # faster than a failed one.
        rests = attempt.taken and reported is None
        return now >= attempt.at + (self._reassert_interval if rests else self._retry_interval)

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


def _shows(reported: ReportedEngine, order: EngineOrder) -> bool:
    match order.kind:
        case EngineOrderKind.CHANGE_ROLE:
            return reported.role == order.target
        case EngineOrderKind.LOAD_ADAPTER:
            return reported.versions_by_adapter.get(order.target) == order.version
        case _:
            return reported.versions_by_model.get(order.target) == order.version
