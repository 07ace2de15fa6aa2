"""Prefix cache of the engine stand-in; its events are published late and some are lost."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from xxhash import xxh64_intdigest

BLOCK_TOKENS = 16
MAX_RETAINED_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block that was stored in the cache or evicted from it."""

    sequence: int
    kind: str
    block: int
    visible_at: float


class PrefixCache:
    """LRU cache of prompt blocks; the key of a block is the hash of the prompt up to its end."""

    def __init__(self, capacity: int, event_lag: float, event_gap: int) -> None:
        self.events: deque[CacheEvent] = deque(maxlen=MAX_RETAINED_EVENTS)
        self._capacity = capacity
        self._event_lag = event_lag
        self._event_gap = event_gap
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0

    def use(self, words: list[str], now: float) -> int:
        """Look up a prompt and store its blocks.

        Returns:
            How many tokens at the start of the prompt were already cached.
        """
        cached = 0
        is_prefix = True
        for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
            block = xxh64_intdigest(" ".join(words[:end]).encode())
            is_prefix = is_prefix and block in self._blocks
            if is_prefix:
                cached = end
            self._store(block, now)
        return cached

    def events_after(self, sequence: int, now: float) -> list[CacheEvent]:
        """Return the events after a sequence number that are published by now and not lost."""
        return [
            each
            for each in self.events
            if each.sequence > sequence
            and each.visible_at <= now
            and (self._event_gap == 0 or each.sequence % self._event_gap != 0)
        ]

    def _store(self, block: int, now: float) -> None:
        if block not in self._blocks:
            self._publish("stored", block, now)
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now)

    def _publish(self, kind: str, block: int, now: float) -> None:
        self._sequence += 1
        self.events.append(CacheEvent(self._sequence, kind, block, now + self._event_lag))
