"""Checks what callers and engines see while requests compete, and that engines are used again."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from .checks import SETTLE_SECONDS, SoakPromise, SoakViolation, overlap
from .observations import Kind, Role, Span
from .schedule import SoakFault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Iterator, Sequence

    from ..standins.published_backend import PublishedBackend
    from .callers import Callers
    from .fleet import Fleet
    from .observations import Attempt

    FaultSpan = tuple[SoakFault, Span]

CHECKED_FAULTS = frozenset({SoakFault.ACCOUNT_BURST, SoakFault.ENGINE_SLOWS})
"""Faults during which the usual requests must be served."""

EFFECT_DELAY = 1.0
"""Seconds after the start of a burst or a slowdown until the usual requests must be served."""

MAX_UNSERVED_SHARE = 0.1
UNSERVED_BY_CHANCE = 2
"""Requests that may be refused beyond that share: a span has 20 to 50 usual chats."""

MAX_HELD_SECONDS = 1.0
"""Seconds for which a slow caller's answer may hold a slot.

The answer takes 0.25 s; an engine aborts an answer that remains unread for 2 s."""

RETURN_TIMEOUT = 12.0
"""Seconds within which every engine must get a request again."""

RETURN_CALLS = 12
"""Concurrent requests of each kind of stream that look for engines that get none."""


def check_served(
    attempts: Sequence[Attempt],
    spans: Sequence[FaultSpan],
    kinds: frozenset[SoakFault] = CHECKED_FAULTS,
) -> Iterator[SoakViolation]:
    """Check that the usual chats are served during faults of the given kinds.

    Passed over are spans near a fault of another kind, which may explain the failures.
    """
    for kind, span in spans:
        if kind not in kinds or _is_near_other(kind, span, spans):
            continue
        seen = [
            each.response
            for each in attempts
            if each.role is Role.USUAL
            and each.kind is Kind.CHAT
            and each.response is not None
            and span.start + EFFECT_DELAY <= each.sent_at
            and each.ended_at <= span.end
        ]
        failed = sum(each.status != 200 or not each.whole for each in seen)
        if failed > MAX_UNSERVED_SHARE * len(seen) + UNSERVED_BY_CHANCE:
            detail = f"{failed} of {len(seen)} chats were not served during {kind}"
            yield SoakViolation(SoakPromise.SERVED, f"{detail} at {span.start:.2f}")


def check_slots_freed(
    attempts: Iterable[Attempt],
    backends: Sequence[PublishedBackend],
    spans: Sequence[FaultSpan],
) -> Iterator[SoakViolation]:
    """Check that answers which are read slowly hold their slots only while they are generated."""
    seconds_by_id = {key: held for each in backends for key, held in each.seconds_by_id.items()}
    for attempt in attempts:
        held = seconds_by_id.get(attempt.request_id, 0.0)
        span = Span(attempt.sent_at, attempt.ended_at)
        if attempt.role is not Role.SLOW or held <= MAX_HELD_SECONDS:
            continue
        if not _is_near_other(SoakFault.SLOW_READERS, span, spans):
            detail = f"{attempt.request_id} held its slot for {held:.2f} s"
            yield SoakViolation(SoakPromise.SLOT_FREED, detail)


async def check_used_again(fleet: Fleet, callers: Callers) -> AsyncIterator[SoakViolation]:
    """Check that concurrent requests reach every engine that is listed."""
    listed = [each.backend for each in fleet.backend_slots if each.backend is not None]
    arrived_before = {each.id: len(each.arrivals) for each in listed if each.streams}

    def unused() -> list[str]:
        return [
            each.id
            for each in listed
            if each.streams and len(each.arrivals) == arrived_before[each.id]
        ]

    async def call(number: int, kind: Kind) -> None:
        with suppress(OSError, trio.BrokenResourceError):
            await callers.call_once(fleet.entries[number % len(fleet.entries)], kind)

    with trio.move_on_after(RETURN_TIMEOUT):
        while unused():
            async with trio.open_nursery() as nursery:
                for number in range(RETURN_CALLS):
                    nursery.start_soon(call, number, Kind.CHAT)
                    nursery.start_soon(call, number, Kind.DRAFT)
    for backend_id in unused():
        yield SoakViolation(SoakPromise.USED_AGAIN, f"{backend_id} gets no requests")


def _is_near_other(kind: SoakFault, span: Span, spans: Sequence[FaultSpan]) -> bool:
    return any(
        other is not kind and overlap(Span(each.start, each.end + SETTLE_SECONDS), span)
        for other, each in spans
    )
