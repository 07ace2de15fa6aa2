"""Sends the engine administrative orders, such as which model version to load.

Orders carry this agent's fencing number, so that an agent that was replaced cannot change the
engine.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import logbook
import msgspec
import trio

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder
from ragwortwing_policy.engine_orders import EngineOrders, desired_engine
from ragwortwing_runtime.fencing import AGENT_STARTS_STREAM, AgentStart, acquire_fencing_number
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
"""Time between two checks for orders that are due."""

ORDER_IDLE_TIMEOUT = timedelta(seconds=10)
"""Time without a byte from the engine after which an order counts as failed."""

SUCCESS = 200
CONFLICT = 409
JSON_HEADERS = (Header(b"content-type", b"application/json"),)


class _Refusal(msgspec.Struct):
    fencing_number: int


_decode_start = checked_decoder(msgspec.json.Decoder(AgentStart).decode)
_decode_refusal = checked_decoder(msgspec.json.Decoder(_Refusal).decode)


class EngineAdmin:
    """Brings the engine into the state that the configuration asks for."""

    def __init__(
        self,
        backend: BackendClient,
        log_client: Log,
        configuration_feed: ConfigurationFeed,
        targets: tuple[str, ...],
        clock: Clock,
        random: Random,
        interval: timedelta = CHECK_INTERVAL,
    ) -> None:
        """Create an admin.

        Args:
            backend: Client of the engine.
            log_client: The platform's log, which assigns fencing numbers.
            configuration_feed: Provides the configuration in force.
            targets: Models that the engine is to serve.
            clock: The process's clock.
            random: Source of jitter for retries.
            interval: Time between two checks for orders that are due.
        """
        self.fencing_number: int | None = None
        """Log offset of this agent's start record; None until the record is appended."""
        self._backend = backend
        self._log = log_client
        self._configuration_feed = configuration_feed
        self._targets = targets
        self._clock = clock
        self._random = random
        self._interval = interval.total_seconds()
        self._next_start_offset = 0

    async def run(self, agent_id: str, zone: str, on_superseded: Callable[[], None]) -> None:
        """Send orders until a newer agent replaces this one.

        Args:
            agent_id: Name and incarnation of this agent.
            zone: Its availability zone.
            on_superseded: Called when this agent has been replaced.
        """
        number = await acquire_fencing_number(self._log, self._clock, self._random, agent_id, zone)
        self.fencing_number = number
        self._next_start_offset = number + 1
        log.info("Fencing number acquired", fencing_number=number)
        orders = EngineOrders(number)
        while orders.superseded is None:
            await self._send_due_orders(orders, agent_id)
            await trio.sleep(self._interval)
        log.warning("Replaced by a newer agent", newer=orders.superseded)
        on_superseded()

    async def _send_due_orders(self, orders: EngineOrders, agent_id: str) -> None:
        configuration = self._configuration_feed.current
        if configuration is None:
            return
        desired = desired_engine(configuration, self._targets)
        due = orders.due(desired, None, self._clock.monotonic())
        if not due:
            return
        # An agent that was suspended while it was replaced would otherwise resume sending orders,
        # and an engine that ignores fencing numbers would accept them. The start record of the
        # successor in the log reveals the replacement.
        newer = await self._find_newer_start(agent_id)
        if newer is not None:
            orders.refused(newer)
            return
        for order in due:
            await self._send_order(orders, order)

    async def _send_order(self, orders: EngineOrders, order: EngineOrder) -> None:
        try:
            async with self._backend.call(
                "POST",
                ORDERS_PATH,
                JSON_HEADERS,
                msgspec.json.encode(order),
                ORDER_IDLE_TIMEOUT,
                lambda: None,
            ) as answer:
                body = b"".join([chunk async for chunk in answer.iter_body()])
        except BackendCallError as error:
            log.warning("Engine did not answer an order", kind=order.kind, failure=error.failure)
            orders.failed(order, self._clock.monotonic())
            return
        now = self._clock.monotonic()
        if answer.status == SUCCESS:
            log.info(
                "Engine accepted an order",
                kind=order.kind,
                target=order.target,
                version=order.version,
            )
            orders.taken(order, now)
        elif (
            answer.status == CONFLICT
            and orders.refused(_fencing_number_in_refusal(body)) is not None
        ):
            return
        else:
            orders.failed(order, now)

    async def _find_newer_start(self, agent_id: str) -> int | None:
        """Return the offset of a later start record with this agent's name, or None."""
        name = _agent_name(agent_id)
        while True:
            page = await self._log.read(AGENT_STARTS_STREAM, self._next_start_offset)
            if isinstance(page, OffsetExpired):
                self._next_start_offset = page.first_offset
                continue
            if not isinstance(page, LogPage):
                return None
            self._next_start_offset += len(page.records)
            for record in page.records:
                if _name_in_start_record(record.payload) == name:
                    return record.offset
            if self._next_start_offset >= page.next_offset:
                return None


def _agent_name(agent_id: str) -> str:
    return agent_id.rpartition("/")[0]


def _name_in_start_record(payload: bytes) -> str:
    try:
        return _agent_name(_decode_start(payload).agent_id)
    except InvalidDataError:
        return ""


def _fencing_number_in_refusal(body: bytes) -> int:
    try:
        return _decode_refusal(body).fencing_number
    except InvalidDataError:
        return -1
