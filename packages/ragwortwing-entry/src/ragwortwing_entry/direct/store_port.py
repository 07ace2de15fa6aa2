"""What an adapter gives of the platform's store: topics to follow, and groups to be a member of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .feed_relay import FeedRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .transfer import Transfer


class StoreError(Exception):
    """A call to the store that brought no result."""

    def __init__(self, call: str, cause: str, status: int | None = None) -> None:
        super().__init__(f"{call}: {cause}")
        self.call = call
        self.cause = cause
        self.status = status
        """Status of the answer; None where no whole answer came."""


class StoreUnreachableError(StoreError):
    """No connection could be made, so the call took no effect."""


class HistoryLostError(StoreError):
    """The records asked for are no longer kept: start again from the newest of each key."""

    def __init__(self, call: str, first: int) -> None:
        super().__init__(call, "the records are no longer kept", 410)
        self.first = first
        """Offset of the oldest record that is kept."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The newest record of each key, and the offset to follow from."""

    records: tuple[FeedRecord, ...]
    end: int


@dataclass(frozen=True, slots=True)
class SnapshotPage:
    """Some of a snapshot's records, in the order of their keys."""

    records: tuple[FeedRecord, ...]
    end: int
    next_after: str | None
    """Key behind which the next page begins; None where this is the last."""


class TopicStore(Protocol):
    """Reads of keyed topics."""

    async def newest_page(self, topic: str, after: str | None) -> SnapshotPage:
        """Return the newest record of each key of a topic, as many as the store puts on a page.

        Args:
            topic: The topic.
            after: Key behind which the page begins; None for the first.

        Raises:
            StoreError: The store did not answer as it should.
        """
        ...

    async def read(self, topic: str, offset: int, wait: float, transfer: Transfer) -> None:
        """Hand over the records of a topic from an offset on, each as it arrives.

        Args:
            topic: The topic.
            offset: Offset of the first record wanted.
            wait: Seconds for which the store may hold the call until there is one.
            transfer: Takes the records, at least once: without any where there are none.

        Raises:
            HistoryLostError: The records are no longer kept.
            StoreError: The store did not answer as it should. What was handed over before holds.
        """
        ...


class Joined(Protocol):
    """What the store says of a membership."""

    @property
    def generation(self) -> int:
        """Rises with each change of the group."""
        ...

    @property
    def parts(self) -> Sequence[object]:
        """The member's partitions."""
        ...


class GroupStore(Protocol):
    """Groups of processes."""

    async def join(
        self, group: str, member: str, topics: list[str], ttl: float, known: int
    ) -> Joined:
        """Join a group or stay in it."""
        ...

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        ...

    async def owners(self, group: str) -> frozenset[str]:
        """Return the members of a group that own a partition."""
        ...
