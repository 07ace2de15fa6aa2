"""Processes known to each other through a group of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from .decision_log import decided, warned
from .store_port import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .store_port import GroupStore

ENTRIES_GROUP = "entries"
"""Group of the entries that call backend servers themselves."""

LIFETIME = 4.0
"""Seconds after which a silent process is no longer a member."""

RENEWAL = 1.5
"""Seconds between renewals: two may be lost before the membership lapses. A renewal costs a tenth
of a call."""

LONGEST_UNSURE = 8.0
"""Seconds without the store after which the members count as unknown."""

PATIENT_RENEWALS = 3
"""Renewals without a partition after which a member asks for one more topic.

The store shows a group's members only by the partitions they hold, and hands partitions over within
a renewal or two of each change. A member without one for longer is beyond their number: nobody
would see it."""

FIRST_READS = 3
"""Reads of the members that are made at once: in a fleet that starts most come in these seconds."""

MOST_TOPICS = 40
"""Topics that a group may come to have; the store takes 100 of all kinds."""


class Presence:
    """Keeps this process a member of a group and reports who the members are."""

    def __init__(
        self,
        store: GroupStore,
        group: str,
        on_members: Callable[[frozenset[str] | None], None],
        member: str | None = None,
        renewal: float = RENEWAL,
        partitions: int | None = None,
        read_interval: float = 0.0,
    ) -> None:
        """Create a membership.

        Args:
            store: The store.
            group: Name of the group and of its topics.
            on_members: Told the members when they change; None where they are no longer known.
            member: What the others see of this process; None to see them only.
            renewal: Seconds between renewals.
            partitions: Partitions of a topic, where that is known.
            read_interval: Least seconds between two reads of the members after the first few: each
                change of the group would be a call of every member.
        """
        self._store = store
        self._group = group
        self._on_members = on_members
        self._member = member
        self._former: str | None = None
        self._renewal = renewal
        self._partitions = partitions
        self._read_interval = read_interval
        self._reads = 0
        self._read_at = 0.0
        self._topics = 1
        self._renewals_without = 0
        self._generation = 0
        self._owners_of = -1
        self._heard_at = 0.0
        self._known = True
        self._renew_now = trio.Event()
        self._one_call_at_a_time = trio.Lock()

    def become(self, member: str) -> None:
        """Change what the others see of this process."""
        if member != self._member:
            self._former = self._former or self._member
            self._member = member
            self._renew_now.set()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Renew the membership until cancelled; started once the first call has ended."""
        while True:
            self._renew_now = trio.Event()
            try:
                async with self._one_call_at_a_time:
                    await self._renew()
            except StoreError as error:
                self._lost(error)
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            with trio.move_on_after(self._renewal):
                await self._renew_now.wait()

    async def leave(self) -> None:
        """Leave the group for good, so that the others need not wait for the lapse."""
        # A renewal that is under way would join again behind the leave: it is let finish first.
        async with self._one_call_at_a_time:
            names = [name for name in (self._former, self._member) if name is not None]
            self._former = self._member = None
            for name in names:
                await self._leave_as(name)

    async def _leave_as(self, member: str) -> None:
        try:
            await self._store.leave(self._group, member)
        except StoreError as error:
            decided("group_not_left", group=self._group, cause=error.cause)

    async def _renew(self) -> None:
        if self._former is not None:
            await self._store.leave(self._group, self._former)
            self._former = None
        if self._member is not None:
            await self._join(self._member)
        self._heard_at = trio.current_time()
        if self._member is not None and (
            self._generation == self._owners_of or self._has_read_of_late()
        ):
            return
        self._reads += 1
        self._read_at = trio.current_time()
        members = await self._store.owners(self._group)
        self._owners_of = self._generation
        self._known = True
        self._widen_if_full(len(members))
        self._on_members(members | ({self._member} if self._member is not None else set()))

    def _has_read_of_late(self) -> bool:
        if self._reads < FIRST_READS or not self._known:
            return False
        return trio.current_time() - self._read_at < self._read_interval

    async def _join(self, member: str) -> None:
        topics = [self._topic(number) for number in range(self._topics)]
        joined = await self._store.join(self._group, member, topics, LIFETIME, self._generation)
        self._generation = joined.generation
        self._renewals_without = 0 if joined.parts else self._renewals_without + 1
        if self._renewals_without > PATIENT_RENEWALS:
            self._widen()

    def _widen_if_full(self, members: int) -> None:
        """Ask for one more topic at once where every partition has a member of its own."""
        if not self._renewals_without or self._partitions is None:
            return
        if members >= self._partitions * self._topics:
            self._widen()
            self._renew_now.set()

    def _widen(self) -> None:
        if self._topics < MOST_TOPICS:
            self._topics += 1
            self._renewals_without = 0
            decided("group_widened", group=self._group, topics=self._topics)

    def _topic(self, number: int) -> str:
        return self._group if number == 0 else f"{self._group}-{number}"

    def _lost(self, error: StoreError) -> None:
        if self._known and trio.current_time() - self._heard_at > LONGEST_UNSURE:
            self._known = False
            self._owners_of = -1
            warned("members_unknown", group=self._group, call=error.call, cause=error.cause)
            self._on_members(None)
