"""Split of a service's engines into lanes for short and for long prompts.

An engine reads prompts between the tokens of its running requests. A prompt of thousands of
tokens stops every stream on the engine for as long as its prefill takes. Short prompts with long
answers (chats) and long prompts with short answers (drafts) are therefore placed on separate
engines where there are enough. The split follows the recent prefill work of both kinds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, exp
from typing import TYPE_CHECKING

import xxhash

from ragwortwing_policy.clock import Instant

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .backend_list import BackendServer

WORK_DECAY_SECONDS = 8.0
"""Time constant in seconds of the exponential decay of past work: about the length of a burst."""

MAXIMUM_SHORT_PREFILL_SHARE = 0.5
"""Largest fraction of an engine's time that prefill of short prompts may take. Prompts that
arrive within the time of one event are read in the same pause, so engines with a higher load
exceed the pause target by chance."""

SHORT_WEIGHT = 2.0
"""Weight of the prefill of short prompts relative to long ones.

Any prefill on the same engine pauses a chat, so engines for short prompts run at half the load
of the others.
"""

TARGET_SLOT_RATIO = 1.25
"""Target ratio of running short requests to slots in the short lane. The remaining capacity
takes new requests until the split has changed."""

MINIMUM_OBSERVATION_SECONDS = 1.0
"""Minimum seconds of observation for a rate: shorter ones are dominated by chance."""

ROUNDING_TOLERANCE = 0.25
"""Fraction of an engine by which the computed share may exceed a whole number before another
engine is added."""


@dataclass(slots=True)
class _Work:
    amount: float = 0.0
    updated_at: Instant = 0.0

    def add(self, amount: float, now: Instant) -> None:
        self.amount = self.at(now) + amount
        self.updated_at = now

    def at(self, now: Instant) -> float:
        return self.amount * exp(-max(0.0, now - self.updated_at) / WORK_DECAY_SECONDS)


def rank(key: str, backend_id: str) -> int:
    """Return the rank of a backend server for a key; it is the same in every entry."""
    return xxhash.xxh3_64_intdigest(f"{key}/{backend_id}".encode())


class Lanes:
    """Computes the split of one service's engines.

    Example:
        >>> lanes = Lanes()
        >>> lanes.count(unread_tokens=500, is_long=False, now=0.0)
        >>> lanes.count(unread_tokens=5_000, is_long=True, now=0.0)
        >>> lanes.short_engines(6, slots=8, now=0.0)
        1
        >>> lanes.short_running = 20
        >>> lanes.short_engines(6, slots=8, now=0.0)
        2
    """

    def __init__(self) -> None:
        self._short = _Work()
        self._long = _Work()
        self._observed_since: Instant | None = None
        self.tokens_per_second = 0.0
        """Prompt tokens that one engine reads per second; 0 if unknown."""
        self.short_running = 0
        """Number of short requests on the engines."""
        self._ordered_from: tuple[BackendServer, ...] = ()
        self._ordered: Sequence[BackendServer] = ()

    def count(self, unread_tokens: int, *, is_long: bool, now: Instant) -> None:
        """Add the prefill work of a request that asks for an engine."""
        self._start_observation(now)
        (self._long if is_long else self._short).add(unread_tokens, now)

    def short_engines(self, engines: int, slots: int, now: Instant) -> int:
        """Return how many engines are for short prompts; the others are for long ones.

        The number is the maximum of three: what the share of short work requires, what their
        prefill rate requires, and the slots that running short requests need.
        """
        short = SHORT_WEIGHT * self._short.at(now)
        total = short + self._long.at(now)
        if total <= 0.0 or engines < 2:
            return engines
        if short <= 0.0:
            return 0
        for_work = ceil(engines * short / total - ROUNDING_TOLERANCE)
        for_slots = ceil(self.short_running / (TARGET_SLOT_RATIO * slots))
        return min(engines - 1, max(1, for_work, for_slots, self._for_reading(now)))

    def _for_reading(self, now: Instant) -> int:
        """Return the engines needed to keep prefill of short prompts within its time share."""
        if not self.tokens_per_second or self._observed_since is None:
            return 0
        observed_for = max(MINIMUM_OBSERVATION_SECONDS, now - self._observed_since)
        rate = self._short.at(now) / (
            WORK_DECAY_SECONDS * (1 - exp(-observed_for / WORK_DECAY_SECONDS))
        )
        return ceil(
            rate / (MAXIMUM_SHORT_PREFILL_SHARE * self.tokens_per_second) - ROUNDING_TOLERANCE
        )

    def _start_observation(self, now: Instant) -> None:
        if self._observed_since is None:
            self._observed_since = now

    def split(
        self, engines: Sequence[BackendServer], service: str, slots: int, now: Instant
    ) -> tuple[Sequence[BackendServer], Sequence[BackendServer]]:
        """Return the engines for short prompts and those for long ones."""
        ordered = self._in_order(engines, service)
        count = self.short_engines(len(ordered), slots, now)
        return ordered[:count], ordered[count:]

    def _in_order(self, engines: Sequence[BackendServer], service: str) -> Sequence[BackendServer]:
        """Return the engines in an order that is the same in every entry, cached per list."""
        known = tuple(engines)
        if known != self._ordered_from:
            self._ordered_from = known
            self._ordered = sorted(known, key=lambda each: rank(service, each.id))
        return self._ordered
