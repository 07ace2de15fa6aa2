"""Memory limits: bytes that an entry holds for its callers, and tokens committed on an engine.

Load: a hundred callers that stop reading at once; an engine near its memory limit while two
entries decide for it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from ragwortwing_policy.clock import Instant

ANSWER_BYTES = 256 * 1024
"""Bytes held for one answer. A typical answer has 1 to 20 KB, so only an unusually long answer to
a caller that does not read reaches the bound."""

HELD_FRACTION = 0.1
"""Fraction of the process's memory for answers and request bodies. A Python process of this size
needs most of the rest for its code, its tables and one connection object per caller."""

ANSWERS_FRACTION = 0.75
"""Fraction of the total that answers may fill. The rest is for request bodies: callers that have
stopped reading must not keep other callers' requests from being received."""

ALWAYS_RECEIVED_BYTES = 8192
"""Bytes of a connection's requests that are received whatever the total is. Most requests are
complete with them, so they are served also while large ones wait."""

ROOM_FRACTION = 0.9
"""Fraction of a bound below which reading continues. Without the gap, each released byte would wake
every connection that waits for room."""

REPORTS_WITHIN = 1.2
"""Seconds within which every entry has reported its runs to a new scheduler: a whole report is sent
each second, and takes up to 0.1 s to become due."""

RETAINED_AFTER_LOSS = 4.0
"""Seconds for which the tokens of a run stay committed after its entry or its connection was lost.
The engine may not have noticed: it generates until the buffers of the connection are full, and
aborts an answer that remains unread for some seconds."""


@dataclass(frozen=True, slots=True)
class MemoryBounds:
    """Bounds of the bytes that an entry holds for its callers."""

    total_bytes: int
    answer_bytes: int = ANSWER_BYTES
    always_received_bytes: int = 0
    """Bytes of a connection's requests that are received whatever the total is."""

    @classmethod
    def of_process(cls, memory_bytes: int) -> MemoryBounds:
        """Return the bounds for a process that may use some memory.

        Example:
            >>> MemoryBounds.of_process(200 << 20)
            MemoryBounds(total_bytes=20971520, answer_bytes=262144, always_received_bytes=8192)
        """
        total = int(memory_bytes * HELD_FRACTION)
        return cls(total, min(ANSWER_BYTES, total), ALWAYS_RECEIVED_BYTES)


@dataclass(slots=True)
class HeldBytes:
    """The bytes that an entry holds for all its callers: answers and request bodies.

    Example:
        >>> held = HeldBytes(MemoryBounds(total_bytes=1000, answer_bytes=400))
        >>> held.add(900)
        >>> held.may_hold(200, own=0), held.may_hold(200, own=1), held.may_hold(50, own=100)
        (True, False, False)
        >>> held.remove(200)
        >>> held.may_hold(50, own=100), held.may_hold(50, own=380)
        (True, False)
    """

    bounds: MemoryBounds
    total: int = 0
    highest: int = 0
    """The largest total so far."""

    def add(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self.total += size
        self.highest = max(self.highest, self.total)

    def remove(self, size: int) -> None:
        """Count bytes that are no longer held."""
        self.total -= size

    def may_hold(self, size: int, own: int) -> bool:
        """Return whether more bytes may be held for one answer, of which some are already held.

        An answer of which nothing is held may always hold one piece: otherwise it could not
        proceed although its own caller reads.

        Args:
            size: The additional bytes.
            own: The bytes held for the same answer.
        """
        if own <= 0:
            return True
        if own + size > self.bounds.answer_bytes:
            return False
        return self.total + size <= self.bounds.total_bytes * ANSWERS_FRACTION

    @property
    def may_receive(self) -> bool:
        """Whether more of a request body may be read."""
        return self.total <= self.bounds.total_bytes

    @property
    def has_room_for_answers(self) -> bool:
        """Whether answers that wait for room in the total may proceed."""
        return self.total <= self.bounds.total_bytes * ANSWERS_FRACTION * ROOM_FRACTION

    @property
    def has_room_for_bodies(self) -> bool:
        """Whether request bodies that wait for room may proceed."""
        return self.total <= self.bounds.total_bytes * ROOM_FRACTION

    @property
    def used(self) -> float:
        """Fraction of the total that is held; above 1 if single pieces exceeded it."""
        return self.total / max(1, self.bounds.total_bytes)


def fits_engine(tokens: int, *, capacity: int, committed: int, by_share: int, share: float) -> bool:
    """Return whether a request fits an engine's memory, its answer at the maximum included.

    Example:
        >>> fits_engine(50, capacity=100, committed=40, by_share=0, share=1.0)
        True
        >>> fits_engine(50, capacity=100, committed=40, by_share=0, share=0.5)
        False
        >>> fits_engine(10, capacity=100, committed=60, by_share=20, share=0.5)
        True

    Args:
        tokens: Prompt and maximum answer of the request.
        capacity: The engine's memory.
        committed: Tokens of all requests known to be on the engine.
        by_share: Those of them that this entry placed while it had only a share.
        share: Fraction of the free memory that this entry may use.
    """
    free = capacity - (committed - by_share)
    return by_share + tokens <= share * free


class RetainedTokens:
    """Tokens that an engine may still hold although its run counts as ended.

    Example:
        >>> retained = RetainedTokens()
        >>> retained.add(300, until=4.0)
        >>> retained.total, retained.expire(now=4.0), retained.total
        (300, None, 0)
    """

    def __init__(self) -> None:
        self.total = 0
        self._items: list[tuple[Instant, int]] = []

    def add(self, tokens: int, until: Instant) -> None:
        """Keep tokens committed until some instant."""
        self._items.append((until, tokens))
        self.total += tokens

    def expire(self, now: Instant) -> None:
        """Release what is no longer retained."""
        if self._items:
            self._items = [each for each in self._items if each[0] > now]
            self.total = sum(tokens for _, tokens in self._items)


class MemoryShares:
    """The fraction of an engine's free memory that this entry may commit, by pool.

    The scheduler of a pool that hears all entries may commit everything. Entries that hear only
    some of the others use the share of the entries that they hear, so that the groups into which
    a fleet is divided share the memory. An entry that hears nobody has an equal share.

    Example:
        >>> shares = MemoryShares()
        >>> everyone = frozenset({"b", "c", "d"})
        >>> def share(now, heard, reported, schedules=True):
        ...     return shares.share("pool", now, entries=4, heard=heard, reported=reported,
        ...                         schedules=schedules)
        >>> share(0.0, everyone, reported=frozenset())
        0.25
        >>> share(0.2, everyone, reported=everyone)
        1.0
        >>> share(1.2, everyone, reported=frozenset())
        1.0
        >>> share(2.0, frozenset({"b"}), reported=frozenset())
        0.5
        >>> share(3.0, everyone, reported=everyone, schedules=False)
        0.25
    """

    def __init__(self) -> None:
        self._schedules_since_by_pool: dict[str, Instant] = {}

    def share(
        self,
        pool: str,
        now: Instant,
        *,
        entries: int,
        heard: AbstractSet[str],
        reported: AbstractSet[str],
        schedules: bool,
    ) -> float:
        """Return the fraction.

        Args:
            pool: The pool.
            now: The current instant.
            entries: Number of live entries, this one included.
            heard: The other entries whose status has been received recently.
            reported: The other entries whose whole run report has been received recently.
            schedules: Whether this entry is the scheduler by its own choice.
        """
        equal = 1.0 / max(1, entries)
        if not schedules:
            self._schedules_since_by_pool.pop(pool, None)
            return equal
        since = self._schedules_since_by_pool.setdefault(pool, now)
        if now - since < REPORTS_WITHIN and not heard <= reported:
            return equal
        return min(1.0, (1 + len(heard)) * equal)
