"""Interface to the platform's list of the VMs of a site, which a platform adapter implements.

The list lags behind the actual state. It is used to find new VMs and to remove those that are gone.
What a VM reports about itself over a connection takes precedence over the list.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import msgspec
import trio


class MemberRole(StrEnum):
    """Process that runs on a VM."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(StrEnum):
    """State of a VM in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class Member(msgspec.Struct, frozen=True):
    """One VM in the list."""

    name: str
    address: str
    zone: str
    role: MemberRole
    state: MemberState = MemberState.LIVE


@dataclass(frozen=True, slots=True)
class Members:
    """Snapshot of the list at one version."""

    version: int
    by_name: dict[str, Member]

    def with_role(self, role: MemberRole) -> tuple[Member, ...]:
        """Return the members with a role, sorted by name."""
        chosen = [each for each in self.by_name.values() if each.role is role]
        return tuple(sorted(chosen, key=lambda each: each.name))


class MemberSource(Protocol):
    """Follows the list and maintains this VM's own entry in it."""

    @property
    def current(self) -> Members:
        """The newest list; its version is -1 until a list was received."""
        ...

    async def changed(self) -> Members:
        """Wait until the list changes and return it."""
        ...

    def announce(self, member: Member) -> None:
        """Add this VM to the list, or update its entry."""
        ...

    async def leave(self) -> None:
        """Remove this VM from the list. Without this call the entry expires a few seconds later."""
        ...

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the list until cancelled.

        Args:
            task_status: Started once the first call to the platform has ended.
        """
        ...
