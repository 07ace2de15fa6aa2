"""The requests that hold a slot of one backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .clock import Instant
from .concurrency_limit import LatencyTargets
from .configuration import RequestClass
from .fair_queue import QueuedRequest
from .reservations import Reservation

if TYPE_CHECKING:
    from collections.abc import Iterator

PROGRESS_TOKENS = 32
"""Tokens of a run that count as real progress and end its protection from preemption."""

ANSWER_TOKENS = 16
"""Tokens without which the mean between-token time of a run says little."""

PROTECTION_SECONDS = 10.0
"""Longest protection of a run that makes no progress, as on an engine that stalled."""


@dataclass(slots=True, eq=False)
class HeldSlot:
    """A slot promised to a request until its body comes."""

    request: QueuedRequest
    expires_at: Instant


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request that the backend server works on."""

    reservation: Reservation
    request_class: RequestClass
    started_at: Instant
    last_token_at: Instant
    """Instant of the newest token; of the start while there is none."""
    protected: bool
    first_token_at: Instant = 0.0
    tokens: int = 0
    """Tokens of this run."""
    preempting: bool = False
    """Whether it was told to give up its slot and has not yet done so."""

    @property
    def tier(self) -> int:
        """Tier in force when it started."""
        return self.request_class.tier

    @property
    def age(self) -> int:
        """Tokens of the whole answer so far."""
        return self.reservation.resumed_tokens + self.tokens

    @property
    def mean_between_tokens(self) -> float | None:
        """Mean seconds between the tokens of this run; None where it has too few to tell."""
        if self.tokens < ANSWER_TOKENS:
            return None
        return (self.last_token_at - self.first_token_at) / (self.tokens - 1)

    def is_protected(self, now: Instant) -> bool:
        """Return whether it has yet to make the real progress it was promised."""
        if not self.protected or self.tokens >= PROGRESS_TOKENS:
            return False
        return now - self.started_at < PROTECTION_SECONDS


class RunningRequests:
    """Slots in use: held for a body, or running."""

    def __init__(self) -> None:
        self.held_by_id: dict[str, HeldSlot] = {}
        self.running_by_id: dict[str, RunningRequest] = {}

    def __len__(self) -> int:
        return len(self.held_by_id) + len(self.running_by_id)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self.held_by_id or request_id in self.running_by_id

    def expire(self, now: Instant) -> list[HeldSlot]:
        """Give up the slots whose body did not come in time."""
        expired = [each for each in self.held_by_id.values() if each.expires_at <= now]
        for slot in expired:
            del self.held_by_id[slot.request.request_id]
        return expired

    def through(self, tier: int) -> Iterator[RunningRequest]:
        """Yield the running requests of a tier and more urgent ones."""
        return (each for each in self.running_by_id.values() if each.tier <= tier)

    def held_through(self, tier: int) -> Iterator[HeldSlot]:
        """Yield the held slots of a tier and more urgent ones."""
        return (each for each in self.held_by_id.values() if each.request.tier <= tier)

    def count_through(self, tier: int) -> int:
        """Return how many slots a tier and more urgent ones hold."""
        running = sum(each.tier <= tier for each in self.running_by_id.values())
        return running + sum(each.request.tier <= tier for each in self.held_by_id.values())

    def preempting(self) -> int:
        """Return how many slots are about to come free by preemption."""
        return sum(each.preempting for each in self.running_by_id.values())

    def victims(self, tier: int, now: Instant, spare_protected: bool) -> list[RunningRequest]:
        """Return what may be preempted for a tier, the first to go first.

        The least urgent tier goes first, and in it whoever has the least to read again on resume:
        the tokens themselves are kept, but the engine must process prompt and text once more.
        """
        candidates = [
            each
            for each in self.running_by_id.values()
            if each.tier > tier
            and not each.preempting
            and not (spare_protected and each.is_protected(now))
        ]
        return sorted(candidates, key=_cost_of_preemption)

    def awaits_first_token(self) -> bool:
        """Return whether a slot is held, or a run has no token yet."""
        return bool(self.held_by_id) or any(not each.tokens for each in self.running_by_id.values())

    def most_urgent_tier(self) -> int | None:
        """Return the most urgent tier that runs."""
        return min((each.tier for each in self.running_by_id.values()), default=None)

    def strictest_targets(self) -> LatencyTargets | None:
        """Return the strictest latency targets among the running requests."""
        classes = [each.request_class for each in self.running_by_id.values()]
        if not classes:
            return None
        return LatencyTargets(
            between_tokens=min(each.between_token_target for each in classes).total_seconds(),
            first_token=min(each.first_token_target for each in classes).total_seconds(),
        )


def _cost_of_preemption(running: RunningRequest) -> tuple[int, int, str]:
    reservation = running.reservation
    return (-running.tier, reservation.prompt_tokens + running.age, reservation.request_id)
