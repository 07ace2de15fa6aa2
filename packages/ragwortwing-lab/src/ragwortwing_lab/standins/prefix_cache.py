"""The stand-in's cache of prompt prefixes, and the events it publishes late and with gaps."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from xxhash import xxh64_intdigest

BLOCK_TOKENS = 16
EVENTS_KEPT = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block that came into the cache or left it."""

    sequence: int
    kind: str
    block: int
    visible_at: float


class PrefixCache:
    """Least recently used blocks of prompts, each named by the hash of all text up to its end."""

    def __init__(self, capacity: int, event_lag: float, event_gap: int) -> None:
        self.events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._capacity = capacity
        self._event_lag = event_lag
        self._event_gap = event_gap
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0

    def use(self, words: list[str], now: float) -> int:
        """Look a prompt up and keep its blocks.

        Returns:
            How many of the prompt's tokens were cached.
        """
        cached = 0
        is_prefix = True
        for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
            block = xxh64_intdigest(" ".join(words[:end]).encode())
            is_prefix = is_prefix and block in self._blocks
            if is_prefix:
                cached = end
            self._keep(block, now)
        return cached

    def events_after(self, sequence: int, now: float) -> list[CacheEvent]:
        """Return the events published so far, without those that are lost."""
        return [
            each
            for each in self.events
            if each.sequence > sequence
            and each.visible_at <= now
            and (self._event_gap == 0 or each.sequence % self._event_gap != 0)
        ]

    def _keep(self, block: int, now: float) -> None:
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
