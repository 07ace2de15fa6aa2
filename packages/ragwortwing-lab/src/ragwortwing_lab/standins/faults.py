"""Faults that are injected into a stand-in through its control address.

`POST /fault` activates a fault and replaces an active one of the same kind. `DELETE /fault` clears
all faults. `GET /state` returns the state of the stand-in, such as its counters.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import cattrs
import trio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from starlette.requests import Request


class FaultKind(StrEnum):
    """Kind of a fault; each stand-in supports only some of them."""

    OUTAGE = "outage"
    """Every call is answered with 503."""
    SLOW = "slow"
    """Every call is delayed by `seconds` before it takes effect.

    In an engine, each step takes `factor` times as long. In a proxy, each chunk is delayed.
    """
    LOSE_REPLY = "lose_reply"
    """The next `count` appends take effect, but the connection is closed without a full reply."""
    SILENT = "silent"
    """The next `count` appends take effect, but are never answered.

    A backend server sends no bytes until the fault is cleared. A proxy forwards no bytes.
    """
    RECORDS_OUTAGE = "records_outage"
    """Every call for records is answered with 503; calls for groups still work."""
    GROUPS_OUTAGE = "groups_outage"
    """Every call for groups is answered with 503."""
    RATE = "rate"
    """The limit on appends is set to `per_second`."""
    FREEZE = "freeze"
    """Calls are accepted but not processed, and running work pauses, until the fault is cleared."""
    CRASH = "crash"
    """The process exits at once, and its connections are lost."""
    DROP_REPLIES = "drop_replies"
    """Calls take effect, but their connections are closed without a reply."""
    CUT = "cut"
    """A proxy resets its open connections at once."""
    REFUSE = "refuse"
    """A proxy resets every new connection."""
    NARROW = "narrow"
    """A proxy forwards at most `per_second` bytes per second in each direction.

    All of its connections share this limit.
    """
    TRIM = "trim"
    """Records of `stream` before `offset` are deleted at once, as if their retention had ended."""


class Direction(StrEnum):
    """Direction of a proxy connection that a fault affects."""

    BOTH = "both"
    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"

    def covers(self, other: Direction) -> bool:
        """Return whether a fault in this direction affects bytes sent in direction `other`."""
        return self in (Direction.BOTH, other)


@dataclass(frozen=True, slots=True)
class Fault:
    """One active fault; each kind uses only some of the fields."""

    kind: FaultKind
    seconds: float = 0.0
    count: int = 1
    per_second: float = 0.0
    factor: float = 1.0
    """Factor by which the steps of an engine take longer."""
    stream: str = ""
    offset: int = 0
    direction: Direction = Direction.BOTH
    existing_only: bool = False
    """Whether only connections that were open when the fault was set are affected."""


class Faults:
    """The active faults of one stand-in."""

    def __init__(self) -> None:
        self._by_kind: dict[FaultKind, Fault] = {}
        self._remaining_by_kind: dict[FaultKind, int] = {}
        self._cleared = trio.Event()

    def set(self, fault: Fault) -> None:
        """Activate a fault; it replaces an active one of the same kind."""
        self._by_kind[fault.kind] = fault
        self._remaining_by_kind[fault.kind] = fault.count

    def clear(self) -> None:
        """Clear all faults."""
        self._by_kind.clear()
        self._remaining_by_kind.clear()
        self._cleared.set()
        self._cleared = trio.Event()

    def get(self, kind: FaultKind) -> Fault | None:
        """Return the active fault of a kind, or None."""
        return self._by_kind.get(kind)

    def active(self, kind: FaultKind) -> bool:
        """Return whether a fault of a kind is active."""
        return kind in self._by_kind

    def take(self, kind: FaultKind) -> bool:
        """Use up one occurrence of a counted fault; return whether one was left."""
        remaining = self._remaining_by_kind.get(kind, 0)
        if remaining <= 0:
            return False
        self._remaining_by_kind[kind] = remaining - 1
        return True

    async def wait_cleared(self, kind: FaultKind) -> None:
        """Wait until no fault of a kind is active."""
        while self.active(kind):
            await self._cleared.wait()

    async def hold(self) -> None:
        """Sleep for the delay of the `SLOW` fault, if it is active."""
        slow = self.get(FaultKind.SLOW)
        if slow is not None:
            await trio.sleep(slow.seconds)


def control_routes(
    faults: Faults,
    state: Callable[[], Mapping[str, object]],
    on_fault: Callable[[Fault], None] | None = None,
) -> list[Route]:
    """Return the routes that all control addresses share.

    Args:
        faults: The faults of the stand-in.
        state: Returns the body of the `GET /state` response.
        on_fault: Called with each new fault, so that it can take effect immediately.
    """

    async def set_fault(request: Request) -> Response:
        try:
            fault = cattrs.structure(await request.json(), Fault)
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            return JSONResponse({"error": repr(error)}, status_code=400)
        faults.set(fault)
        if on_fault is not None:
            on_fault(fault)
        return JSONResponse({})

    async def clear_faults(request: Request) -> Response:
        faults.clear()
        return JSONResponse({})

    async def get_state(request: Request) -> Response:
        return JSONResponse(dict(state()))

    return [
        Route("/fault", set_fault, methods=["POST"]),
        Route("/fault", clear_faults, methods=["DELETE"]),
        Route("/state", get_state, methods=["GET"]),
    ]


def control_app(
    faults: Faults,
    state: Callable[[], Mapping[str, object]],
    on_fault: Callable[[Fault], None] | None = None,
    extra_routes: tuple[Route, ...] = (),
) -> Starlette:
    """Return the ASGI application of a control address."""
    return Starlette(routes=[*control_routes(faults, state, on_fault), *extra_routes])
