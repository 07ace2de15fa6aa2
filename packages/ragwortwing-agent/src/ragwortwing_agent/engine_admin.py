"""Gives the engine its orders (what to load); this agent alone does, under its fencing number."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import logbook
import msgspec
import trio

from ragwortwing_policy.engine_orders import EngineOrders, desired_engine
from ragwortwing_runtime.fencing import AGENT_STARTS_STREAM, AgentStart, take_fencing_number
from ragwortwing_runtime.record_log import LogPage, OffsetExpired
from ragwortwing_wire.messages import Header

from .backend_client import BackendCallError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ragwortwing_policy.clock import Clock
    from ragwortwing_policy.engine_orders import EngineOrder
    from ragwortwing_runtime.configuration_feed import ConfigurationFeed
    from ragwortwing_runtime.record_log import Log

    from .backend_client import BackendClient

log = logbook.Logger("engine_admin")

ORDERS_PATH = "/admin/orders"
CHECK_INTERVAL = timedelta(seconds=1)
ANSWER_SILENCE = timedelta(seconds=10)
SUCCESS = 200
CONFLICT = 409
JSON_HEADERS = (Header(b"content-type", b"application/json"),)


class _Refusal(msgspec.Struct):
    fencing_number: int


class EngineAdmin:
    """Keeps the engine in the state that the configuration wants."""

    def __init__(
        self,
        backend: BackendClient,
        log_client: Log,
        source: ConfigurationFeed,
        targets: tuple[str, ...],
        clock: Clock,
        random: Random,
        interval: timedelta = CHECK_INTERVAL,
    ) -> None:
        """Create an admin.

        Args:
            backend: The engine.
            log_client: The platform's log.
            source: The configuration in force.
            targets: Models that the engine is to serve.
            clock: The process's clock.
            random: Source of jitter.
            interval: Time between two looks at what is due.
        """
        self.fencing_number: int | None = None
        """Log offset of this agent's start record; None before the log has taken it."""
        self._backend = backend
        self._log = log_client
        self._source = source
        self._targets = targets
        self._clock = clock
        self._random = random
        self._interval = interval.total_seconds()
        self._starts_read_to = 0

    async def run(self, agent_id: str, zone: str, on_superseded: Callable[[], None]) -> None:
        """Give orders until a newer agent has taken this one's place.

        Args:
            agent_id: Name and incarnation of this agent.
            zone: Its availability zone.
            on_superseded: Called when this agent was replaced.
        """
        number = await take_fencing_number(self._log, self._clock, self._random, agent_id, zone)
        self.fencing_number = number
        self._starts_read_to = number + 1
        log.info("Fencing number taken", fencing_number=number)
        orders = EngineOrders(number)
        while orders.superseded is None:
            await self._give_due(orders, agent_id)
            await trio.sleep(self._interval)
        log.warning("A newer agent took this one's place", newer=orders.superseded)
        on_superseded()

    async def _give_due(self, orders: EngineOrders, agent_id: str) -> None:
        configuration = self._source.current
        if configuration is None:
            return
        desired = desired_engine(configuration, self._targets)
        due = orders.due(desired, None, self._clock.monotonic())
        if not due:
            return
        # An agent that was paused while it was replaced would go on to give orders, and an engine
        # that ignores the number would take them. Its successor's start record shows it.
        newer = await self._newer_start(agent_id)
        if newer is not None:
            orders.refused(newer)
            return
        for order in due:
            await self._give(orders, order)

    async def _give(self, orders: EngineOrders, order: EngineOrder) -> None:
        try:
            async with self._backend.call(
                "POST",
                ORDERS_PATH,
                JSON_HEADERS,
                msgspec.json.encode(order),
                ANSWER_SILENCE,
                lambda: None,
            ) as answer:
                body = b"".join([piece async for piece in answer.pieces()])
        except BackendCallError as error:
            log.warning("Order not answered", kind=order.kind, failure=error.failure)
            orders.failed(order, self._clock.monotonic())
            return
        now = self._clock.monotonic()
        if answer.status == SUCCESS:
            log.info("Order taken", kind=order.kind, target=order.target, version=order.version)
            orders.taken(order, now)
        elif answer.status == CONFLICT and orders.refused(_highest_number(body)) is not None:
            return
        else:
            orders.failed(order, now)

    async def _newer_start(self, agent_id: str) -> int | None:
        """Return the offset of a later start under this agent's name, if there is one."""
        name = _name_of(agent_id)
        while True:
            page = await self._log.read(AGENT_STARTS_STREAM, self._starts_read_to)
            if isinstance(page, OffsetExpired):
                self._starts_read_to = page.first_offset
                continue
            if not isinstance(page, LogPage):
                return None
            self._starts_read_to += len(page.records)
            for record in page.records:
                if _started_name(record.payload) == name:
                    return record.offset
            if self._starts_read_to >= page.next_offset:
                return None


def _name_of(agent_id: str) -> str:
    return agent_id.rpartition("/")[0]


def _started_name(payload: bytes) -> str:
    try:
        return _name_of(msgspec.json.decode(payload, type=AgentStart).agent_id)
    except msgspec.MsgspecError:
        return ""


def _highest_number(body: bytes) -> int:
    try:
        return msgspec.json.decode(body, type=_Refusal).fencing_number
    except msgspec.MsgspecError:
        return -1
