"""Stand-in of the platform's membership list.

Members are set over the control address: `PUT /members/NAME` with the other fields, or
`DELETE /members/NAME`. It knows the faults outage, slow and lag.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import cattrs
import click
import trio
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ragwortwing_policy.clock import Instant
from ragwortwing_runtime.system_clock import SystemClock

from .faults import FaultKind, Faults, control_app
from .serving import run_standin

if TYPE_CHECKING:
    from starlette.requests import Request

    from ragwortwing_policy.clock import Clock

WAIT_LIMIT_SECONDS = 30.0


class ListedRole(StrEnum):
    """What runs on a listed VM."""

    ENTRY = "entry"
    AGENT = "agent"


class ListedState(StrEnum):
    """What the list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedMember:
    """One VM of the list."""

    name: str
    address: str
    zone: str
    role: ListedRole
    state: ListedState = ListedState.LIVE


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The list at one version, and from when on it is shown."""

    version: int
    visible_at: Instant
    members: tuple[ListedMember, ...]


class MembershipStandIn:
    """The list and its HTTP side."""

    def __init__(self, clock: Clock, lag_seconds: float = 0.0) -> None:
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._snapshots = [Snapshot(0, clock.monotonic(), ())]
        self._changed = trio.Event()
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.app = Starlette(routes=[Route("/members", self.on_members, methods=["GET"])])
        self.control = control_app(
            self.faults,
            self.state,
            extra_routes=(
                Route("/members/{name}", self.on_put, methods=["PUT"]),
                Route("/members/{name}", self.on_delete, methods=["DELETE"]),
            ),
        )

    def set_member(self, member: ListedMember) -> None:
        """Add or change a member."""
        others = [each for each in self._snapshots[-1].members if each.name != member.name]
        self._push((*others, member))

    def remove_member(self, name: str) -> None:
        """Remove a member."""
        self._push(tuple(each for each in self._snapshots[-1].members if each.name != name))

    def visible(self) -> Snapshot:
        """Return the newest snapshot that callers are shown yet."""
        now = self._clock.monotonic()
        while len(self._snapshots) > 1 and self._snapshots[1].visible_at <= now:
            self._snapshots.pop(0)
        return self._snapshots[0]

    def state(self) -> dict[str, object]:
        """Return the counts, and the newest list whether it is shown yet or not."""
        newest = self._snapshots[-1]
        return {
            "counts": dict(self.counts),
            "version": newest.version,
            "visible_version": self.visible().version,
            "members": [asdict(each) for each in newest.members],
        }

    async def on_put(self, request: Request) -> Response:
        """Add or change a member, from the control address."""
        fields: dict[str, Any] = await request.json()
        try:
            member = cattrs.structure(fields | {"name": request.path_params["name"]}, ListedMember)
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            return JSONResponse({"error": repr(error)}, status_code=400)
        self.set_member(member)
        return JSONResponse({"version": self._snapshots[-1].version})

    async def on_delete(self, request: Request) -> Response:
        """Remove a member, from the control address."""
        self.remove_member(request.path_params["name"])
        return JSONResponse({"version": self._snapshots[-1].version})

    async def on_members(self, request: Request) -> Response:
        """Answer the list; a caller that has the newest version is held."""
        await self.faults.hold()
        known = int(request.query_params.get("version", "-1"))
        wait = min(WAIT_LIMIT_SECONDS, float(request.query_params.get("wait", "0")))
        give_up_at = self._clock.monotonic() + wait
        while not self.faults.active(FaultKind.OUTAGE) and self.visible().version == known:
            remaining = give_up_at - self._clock.monotonic()
            if remaining <= 0:
                break
            await self._wait_for_change(remaining)
        if self.faults.active(FaultKind.OUTAGE):
            self.counts["refused_outage"] += 1
            return JSONResponse({"error": "outage"}, status_code=503)
        self.counts["reads"] += 1
        shown = self.visible()
        members = [asdict(each) for each in shown.members]
        return JSONResponse({"version": shown.version, "members": members})

    async def _wait_for_change(self, seconds: float) -> None:
        if len(self._snapshots) > 1:
            hidden_for = self._snapshots[1].visible_at - self._clock.monotonic()
            await trio.sleep(max(0.0, min(seconds, hidden_for)))
            return
        with trio.move_on_after(seconds):
            await self._changed.wait()

    def _push(self, members: tuple[ListedMember, ...]) -> None:
        lag = self.faults.get(FaultKind.LAG)
        seconds = self._lag_seconds if lag is None else lag.seconds
        # A change is never shown before an earlier one, also when the lag falls in between.
        visible_at = max(self._clock.monotonic() + seconds, self._snapshots[-1].visible_at)
        version = self._snapshots[-1].version + 1
        self._snapshots.append(Snapshot(version, visible_at, members))
        self._changed.set()
        self._changed = trio.Event()


@click.command("membership")
@click.option("--port", default=0, help="Port of the list; 0 lets the kernel choose.")
@click.option("--control-port", default=0, help="Port of the control address.")
@click.option("--lag-seconds", default=0.0, help="How late a change shows.")
def membership_command(port: int, control_port: int, lag_seconds: float) -> None:
    """Run the membership list's stand-in."""
    standin = MembershipStandIn(SystemClock(), lag_seconds)
    trio.run(run_standin, "membership", standin.app, standin.control, port, control_port)
