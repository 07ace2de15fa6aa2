"""Port for the platform's store: keyed topics to follow, and groups of processes to join."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .feed_relay import FeedRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .transfer import Transfer


class StoreError(Exception):
    """A call to the store failed or its result is unknown."""

    def __init__(self, call: str, cause: str, status: int | None = None) -> None:
        super().__init__(f"{call}: {cause}")
        self.call = call
        self.cause = cause
        self.status = status
        """HTTP status of the answer; None if no complete answer arrived."""


class StoreUnreachableError(StoreError):
    """No connection could be established, so the call had no effect."""


class HistoryLostError(StoreError):
    """The requested records are no longer kept; the reader must start again from a snapshot."""

    def __init__(self, call: str, first: int) -> None:
        super().__init__(call, "the records are no longer kept", 410)
        self.first = first
        """Offset of the oldest record that is still kept."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest record of each key, and the offset from which to follow the topic."""

    records: tuple[FeedRecord, ...]
    end: int

    @property
    def has_all_records(self) -> bool:
        """Whether no record was ever replaced or removed, so that none before it is missing."""
        return self.has_all_since(0)

    def has_all_since(self, offset: int) -> bool:
        """Return whether no record from an offset on has been replaced or removed.

        Example:
            >>> snapshot = Snapshot((FeedRecord("a", b"", 1), FeedRecord("b", b"", 2)), 3)
            >>> snapshot.has_all_since(0), snapshot.has_all_since(1)
            (False, True)
        """
        found = {each.offset for each in self.records if offset <= each.offset < self.end}
        return len(found) == max(0, self.end - offset)


@dataclass(frozen=True, slots=True)
class SnapshotPage:
    """A page of a snapshot's records, ordered by key."""

    records: tuple[FeedRecord, ...]
    end: int
    next_after: str | None
    """Key after which the next page begins; None for the last page."""


class TopicStore(Protocol):
    """Read access to keyed topics."""

    async def newest_page(self, topic: str, after: str | None) -> SnapshotPage:
        """Return one page of the newest record of each key of a topic.

        Args:
            topic: The topic.
            after: Key after which the page begins; None for the first page.

        Raises:
            StoreError: The call failed or the answer was invalid.
        """
        ...

    async def read(self, topic: str, offset: int, wait: float, transfer: Transfer) -> None:
        """Read the records of a topic from an offset on and deliver each as it arrives.

        Args:
            topic: The topic.
            offset: Offset of the first record to read.
            wait: Seconds for which the store may hold the call until there is a record.
            transfer: Receives the records; called at least once, without records if there are none.
                Also receives the end of the log.

        Raises:
            HistoryLostError: The records are no longer kept.
            StoreError: The call failed or the answer was invalid. Records delivered before that
                remain valid.
        """
        ...


class Joined(Protocol):
    """The store's answer to a join."""

    @property
    def generation(self) -> int:
        """Increases with each change of the group."""
        ...

    @property
    def parts(self) -> Sequence[object]:
        """The partitions that the member owns."""
        ...


class GroupStore(Protocol):
    """Membership of groups of processes."""

    async def join(
        self, group: str, member: str, topics: list[str], ttl: float, known: int
    ) -> Joined:
        """Join a group or renew the membership."""
        ...

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        ...

    async def owners(self, group: str) -> frozenset[str]:
        """Return the members of a group that own a partition."""
        ...
