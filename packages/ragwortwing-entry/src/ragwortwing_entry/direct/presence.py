"""Group membership through the platform's store: processes join a group and read its members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from .decision_log import decided, warned
from .store_port import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .store_port import GroupStore

ENTRIES_GROUP = "entries"
"""Group of the entries that call backend servers directly."""

MEMBERSHIP_TTL = 4.0
"""Seconds without a renewal after which the store removes a member."""

RENEWAL_INTERVAL = 1.5
"""Seconds between renewals; the interval allows two to be lost before the membership lapses. A
renewal costs a tenth of a call."""

MEMBERS_UNKNOWN_AFTER = 8.0
"""Seconds without an answer of the store after which the members count as unknown."""

MAX_RENEWALS_WITHOUT_PARTITION = 3
"""Renewals without a partition after which a member requests one more topic.

The store lists only members that own a partition, and reassigns partitions within one or two
renewals of a change. If a member has none for longer, there are more members than partitions, and
the others cannot see this member."""

UNTHROTTLED_READS = 3
"""Number of first reads of the members without a minimum interval: most members of a fleet that
starts at once join during these seconds."""

MAX_TOPICS = 40
"""Maximum topics of a group; the store accepts 100 topics in total."""


class Presence:
    """Keeps this process a member of a group and reports the group's members."""

    def __init__(
        self,
        store: GroupStore,
        group: str,
        on_members: Callable[[frozenset[str] | None], None],
        member: str | None = None,
        renewal: float = RENEWAL_INTERVAL,
        partitions: int | None = None,
        read_interval: float = 0.0,
    ) -> None:
        """Create a membership.

        Args:
            store: The store.
            group: Name of the group and name prefix of its topics.
            on_members: Called with the members after each read; None if they are no longer known.
            member: Name under which the others see this process; None to observe without joining.
            renewal: Seconds between renewals.
            partitions: Number of partitions of a topic; None if unknown.
            read_interval: Minimum seconds between reads of the members, after the first few.
                Without it each change of the group would cause a call by every member.
        """
        self._store = store
        self._group = group
        self._on_members = on_members
        self._member = member
        self._former_member: str | None = None
        self._renewal = renewal
        self._partitions = partitions
        self._read_interval = read_interval
        self._reads = 0
        self._last_read_at = 0.0
        self._topics = 1
        self._renewals_without_partition = 0
        self._generation = 0
        self._owners_generation = -1
        self._last_answer_at = 0.0
        self._members_known = True
        self._renewal_due = trio.Event()
        self._call_lock = trio.Lock()

    def set_member_name(self, member: str) -> None:
        """Change the name under which the others see this process."""
        if member != self._member:
            self._former_member = self._former_member or self._member
            self._member = member
            self._renewal_due.set()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Renew the membership until cancelled; reports as started after the first attempt."""
        while True:
            self._renewal_due = trio.Event()
            try:
                async with self._call_lock:
                    await self._renew()
            except StoreError as error:
                self._lost(error)
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            with trio.move_on_after(self._renewal):
                await self._renewal_due.wait()

    async def leave(self) -> None:
        """Leave the group permanently, so that others need not wait for the membership to lapse."""
        # A renewal in progress could rejoin after the leave, so it finishes first.
        async with self._call_lock:
            names = [name for name in (self._former_member, self._member) if name is not None]
            self._former_member = self._member = None
            for name in names:
                await self._leave_as(name)

    async def _leave_as(self, member: str) -> None:
        try:
            await self._store.leave(self._group, member)
        except StoreError as error:
            decided("group_not_left", group=self._group, cause=error.cause)

    async def _renew(self) -> None:
        if self._former_member is not None:
            await self._store.leave(self._group, self._former_member)
            self._former_member = None
        if self._member is not None:
            await self._join(self._member)
        self._last_answer_at = trio.current_time()
        if self._member is not None and (
            self._generation == self._owners_generation or self._has_read_recently()
        ):
            return
        self._reads += 1
        self._last_read_at = trio.current_time()
        members = await self._store.owners(self._group)
        self._owners_generation = self._generation
        self._members_known = True
        self._add_topic_if_full(len(members))
        self._on_members(members | ({self._member} if self._member is not None else set()))

    def _has_read_recently(self) -> bool:
        if self._reads < UNTHROTTLED_READS or not self._members_known:
            return False
        return trio.current_time() - self._last_read_at < self._read_interval

    async def _join(self, member: str) -> None:
        topics = [self._topic_name(number) for number in range(self._topics)]
        joined = await self._store.join(
            self._group, member, topics, MEMBERSHIP_TTL, self._generation
        )
        self._generation = joined.generation
        self._renewals_without_partition = (
            0 if joined.parts else self._renewals_without_partition + 1
        )
        if self._renewals_without_partition > MAX_RENEWALS_WITHOUT_PARTITION:
            self._add_topic()

    def _add_topic_if_full(self, members: int) -> None:
        """Request one more topic at once if every partition has its own member."""
        if not self._renewals_without_partition or self._partitions is None:
            return
        if members >= self._partitions * self._topics:
            self._add_topic()
            self._renewal_due.set()

    def _add_topic(self) -> None:
        if self._topics < MAX_TOPICS:
            self._topics += 1
            self._renewals_without_partition = 0
            decided("group_widened", group=self._group, topics=self._topics)

    def _topic_name(self, number: int) -> str:
        return self._group if number == 0 else f"{self._group}-{number}"

    def _lost(self, error: StoreError) -> None:
        if (
            self._members_known
            and trio.current_time() - self._last_answer_at > MEMBERS_UNKNOWN_AFTER
        ):
            self._members_known = False
            self._owners_generation = -1
            warned("members_unknown", group=self._group, call=error.call, cause=error.cause)
            self._on_members(None)
