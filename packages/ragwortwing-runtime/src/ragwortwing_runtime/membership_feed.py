"""Follows the platform's membership list; it lags, so it only seeds and removes."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
import trio

from ._http import Answer, HttpCaller, Timeouts
from .backoff import Backoff

if TYPE_CHECKING:
    from random import Random

POLL_WAIT = timedelta(seconds=1.5)
"""How long the list may hold a call while nothing changes."""
ANSWER_TIMEOUT = timedelta(seconds=1)
"""Time beyond that after which a connection counts as silent: a VM that leaves is then seen within
three seconds of the list showing it, also where the connection has gone silent."""


class MemberRole(StrEnum):
    """What runs on a VM."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(StrEnum):
    """What the list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Member(msgspec.Struct, frozen=True):
    """One VM of the list."""

    name: str
    address: str
    zone: str
    role: MemberRole
    state: MemberState


@dataclass(frozen=True, slots=True)
class Members:
    """The list at one version."""

    version: int
    by_name: dict[str, Member]

    def with_role(self, role: MemberRole) -> tuple[Member, ...]:
        """Return the members of a role, by name."""
        chosen = [each for each in self.by_name.values() if each.role is role]
        return tuple(sorted(chosen, key=lambda each: each.name))


@dataclass(frozen=True, slots=True)
class MembersUnavailable:
    """The list could not be read."""


class _MembersAnswer(msgspec.Struct):
    version: int
    members: list[Member]


class MembershipFeed:
    """Keeps the newest list; while the service is down, the last list stays."""

    def __init__(
        self,
        address: str,
        random: Random,
        poll_wait: timedelta = POLL_WAIT,
        timeouts: Timeouts | None = None,
    ) -> None:
        self._caller = HttpCaller(address, timeouts or Timeouts(answer=ANSWER_TIMEOUT))
        self._poll_wait = poll_wait
        self._backoff = Backoff(random)
        self._current = Members(-1, {})
        self._changed = trio.Event()
        self.reachable = False
        """Whether the last call was answered."""

    @property
    def current(self) -> Members:
        """Return the newest list; its version is -1 before the first."""
        return self._current

    async def changed(self) -> Members:
        """Wait until the list changes and return it."""
        await self._changed.wait()
        return self._current

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the list until cancelled; started as soon as the first call has ended."""
        try:
            await self._poll(timedelta(0))
            task_status.started()
            while True:
                await self._poll(self._poll_wait if self.reachable else timedelta(0))
                if not self.reachable:
                    await trio.sleep(self._backoff.next_wait().total_seconds())
        finally:
            with trio.CancelScope(shield=True):
                await self._caller.aclose()

    async def read(self, wait: timedelta = timedelta(0)) -> Members | MembersUnavailable:
        """Make one call for a version other than the current one."""
        path = f"/members?version={self._current.version}&wait={wait.total_seconds()}"
        answer = await self._caller.call("GET", path, extra_wait=wait)
        if not isinstance(answer, Answer) or answer.status != 200:
            return MembersUnavailable()
        try:
            read = msgspec.json.decode(answer.body, type=_MembersAnswer)
        except msgspec.MsgspecError:
            return MembersUnavailable()
        return Members(read.version, {each.name: each for each in read.members})

    async def _poll(self, wait: timedelta) -> None:
        members = await self.read(wait)
        self.reachable = isinstance(members, Members)
        if not isinstance(members, Members):
            return
        self._backoff.reset()
        # Replicas of the list lag behind each other; an older version would bring back a VM that
        # is gone, so it is passed over.
        if members.version > self._current.version:
            self._current = members
            changed, self._changed = self._changed, trio.Event()
            changed.set()
