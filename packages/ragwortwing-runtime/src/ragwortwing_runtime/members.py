"""Who the VMs of a site are, as the platform tells it; an adapter of a platform provides the list.

The list lags: it seeds and removes, and what a VM says of itself over a connection goes before it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import msgspec
import trio


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
    state: MemberState = MemberState.LIVE


@dataclass(frozen=True, slots=True)
class Members:
    """The list at one version."""

    version: int
    by_name: dict[str, Member]

    def with_role(self, role: MemberRole) -> tuple[Member, ...]:
        """Return the members of a role, by name."""
        chosen = [each for each in self.by_name.values() if each.role is role]
        return tuple(sorted(chosen, key=lambda each: each.name))


class MemberSource(Protocol):
    """The list, followed, and this VM's own line in it."""

    @property
    def current(self) -> Members:
        """The newest list; its version is -1 before the first."""
        ...

    async def changed(self) -> Members:
        """Wait until the list changes and return it."""
        ...

    def announce(self, member: Member) -> None:
        """Put this VM on the list, or change what it says there."""
        ...

    async def leave(self) -> None:
        """Take this VM off the list; without it the line lapses a few seconds later."""
        ...

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the list until cancelled; started as soon as the first call has ended."""
        ...
