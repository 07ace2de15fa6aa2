"""Faults that a stand-in is told to have, over its control address.

`POST /fault` sets one fault of a kind, `DELETE /fault` clears all, `GET /state` tells the counts.
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
    """What can be wrong with a stand-in; each one documents the kinds it knows."""

    OUTAGE = "outage"
    """Every call answers 503."""
    SLOW = "slow"
    """Every call is held for `seconds` before it takes effect."""
    LOSE_REPLY = "lose_reply"
    """The next `count` appends take effect and the connection is closed without a whole reply."""
    SILENT = "silent"
    """The next `count` appends take effect and the reply never comes."""
    RECORDS_OUTAGE = "records_outage"
    """Every call on records answers 503; groups are served."""
    GROUPS_OUTAGE = "groups_outage"
    """Every call on groups answers 503."""
    RATE = "rate"
    """The rate falls to `per_second`."""
    FREEZE = "freeze"
    """Calls are taken and held, and work stands still, until the fault is cleared."""
    CRASH = "crash"
    """The process ends at once and its connections break."""
    DROP_REPLIES = "drop_replies"
    """Calls take effect and their connections are closed without a reply."""
    CUT = "cut"
    """A proxy resets its connections at once."""
    REFUSE = "refuse"
    """A proxy resets every new connection."""
    NARROW = "narrow"
    """A proxy passes on at most `per_second` bytes a second, over all its connections."""
    TRIM = "trim"
    """Records before `offset` of `stream` are dropped at once, as if their time had run out."""


class Direction(StrEnum):
    """Which way of a proxy's connections a fault concerns."""

    BOTH = "both"
    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"

    def covers(self, other: Direction) -> bool:
        """Return whether a fault this way concerns bytes that go the other given way."""
        return self in (Direction.BOTH, other)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in force."""

    kind: FaultKind
    seconds: float = 0.0
    count: int = 1
    per_second: float = 0.0
    factor: float = 1.0
    """How many times slower an engine's steps become."""
    stream: str = ""
    offset: int = 0
    direction: Direction = Direction.BOTH
    existing_only: bool = False
    """Whether connections made after the fault are spared."""


class Faults:
    """The faults in force at one stand-in."""

    def __init__(self) -> None:
        self._by_kind: dict[FaultKind, Fault] = {}
        self._remaining_by_kind: dict[FaultKind, int] = {}
        self._cleared = trio.Event()

    def set(self, fault: Fault) -> None:
        """Put a fault in force; it replaces an earlier one of its kind."""
        self._by_kind[fault.kind] = fault
        self._remaining_by_kind[fault.kind] = fault.count

    def clear(self) -> None:
        """Clear every fault."""
        self._by_kind.clear()
        self._remaining_by_kind.clear()
        self._cleared.set()
        self._cleared = trio.Event()

    def get(self, kind: FaultKind) -> Fault | None:
        """Return the fault of a kind, if it is in force."""
        return self._by_kind.get(kind)

    def active(self, kind: FaultKind) -> bool:
        """Return whether a fault of a kind is in force."""
        return kind in self._by_kind

    def take(self, kind: FaultKind) -> bool:
        """Use up one of a counted fault; return whether there was one left."""
        remaining = self._remaining_by_kind.get(kind, 0)
        if remaining <= 0:
            return False
        self._remaining_by_kind[kind] = remaining - 1
        return True

    async def wait_cleared(self, kind: FaultKind) -> None:
        """Wait while a fault of a kind is in force."""
        while self.active(kind):
            await self._cleared.wait()

    async def hold(self) -> None:
        """Wait as long as the slow fault says."""
        slow = self.get(FaultKind.SLOW)
        if slow is not None:
            await trio.sleep(slow.seconds)


def control_routes(
    faults: Faults,
    state: Callable[[], Mapping[str, object]],
    on_fault: Callable[[Fault], None] | None = None,
) -> list[Route]:
    """Return the routes that every control address has.

    Args:
        faults: The stand-in's faults.
        state: Gives what `GET /state` answers.
        on_fault: Called with each new fault, for those that act at once.
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

    async def tell_state(request: Request) -> Response:
        return JSONResponse(dict(state()))

    return [
        Route("/fault", set_fault, methods=["POST"]),
        Route("/fault", clear_faults, methods=["DELETE"]),
        Route("/state", tell_state, methods=["GET"]),
    ]


def control_app(
    faults: Faults,
    state: Callable[[], Mapping[str, object]],
    on_fault: Callable[[Fault], None] | None = None,
    extra_routes: tuple[Route, ...] = (),
) -> Starlette:
    """Return the application of a control address."""
    return Starlette(routes=[*control_routes(faults, state, on_fault), *extra_routes])
