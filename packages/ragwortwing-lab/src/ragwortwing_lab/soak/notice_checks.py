"""Checks that entries act on what backend servers state: that they leave, or request a backoff."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .checks import SETTLE_SECONDS, SoakPromise, SoakViolation, overlap
from .observations import Span, entry_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from ..standins.published_backend import PublishedBackend
    from .observations import Attempt, Disturbance

LEAVING_DELAY = 2.0
"""Seconds after an entry has passed on that a server leaves, until its requests may reach it."""

BACKOFF_DELAY = 0.5
"""Seconds after an answer that requests a backoff, until the requests of its entry count."""

MAX_DURING_BACKOFF = 2
"""Requests of one entry that may reach a server within the backoff that it requested."""


def check_leaving(
    attempts: Sequence[Attempt],
    backends: Iterable[PublishedBackend],
    disturbances: Sequence[Disturbance],
) -> Iterator[SoakViolation]:
    """Check that a server gets no requests of an entry that it has told that it is leaving.

    A later request of a process that was suspended in between is passed over.
    """
    told_at: dict[tuple[str, str], float] = {}
    for attempt in attempts:
        leaving = attempt.response.leaving_backend_id if attempt.response is not None else None
        if leaving is None:
            continue
        key = (attempt.entry, leaving)
        told_at[key] = min(attempt.ended_at, told_at.get(key, attempt.ended_at))
    for backend in backends:
        arrived = set(backend.arrivals)
        for attempt in attempts:
            told = told_at.get((attempt.entry, backend.id))
            if told is None or attempt.request_id not in arrived:
                continue
            since = attempt.sent_at - told
            span = Span(told, attempt.ended_at)
            if since > LEAVING_DELAY and not _is_hit(attempt.entry, span, disturbances):
                detail = f"{attempt.request_id} reached {backend.id}, {since:.2f} s after it told"
                yield SoakViolation(SoakPromise.LEAVING_KEPT, f"{detail} {attempt.entry}")


def check_backoffs(
    attempts: Iterable[Attempt],
    backends: Iterable[PublishedBackend],
    disturbances: Sequence[Disturbance],
    link_spans_by_backend: Mapping[str, Sequence[Span]],
) -> Iterator[SoakViolation]:
    """Check that a server gets hardly any requests of an entry within a backoff that it requested.

    Passed over are backoffs during which the entry or its link to the server was disturbed, and
    answers to callers that left before: their entry may not have read them.
    """
    entries_by_request = {each.request_id: each.entry for each in attempts if each.response}
    for backend in backends:
        arrivals = [
            (at, entries_by_request.get(request_id))
            for request_id, at in zip(backend.arrivals, backend.arrived_at, strict=True)
        ]
        for declined in backend.declined:
            entry = entries_by_request.get(declined.request_id)
            span = Span(declined.at - SETTLE_SECONDS, declined.at + declined.seconds)
            links = link_spans_by_backend.get(backend.id, ())
            if entry is None or _is_hit(entry, span, disturbances):
                continue
            if any(overlap(each, span) for each in links):
                continue
            count = sum(
                sender == entry and BACKOFF_DELAY < at - declined.at < declined.seconds
                for at, sender in arrivals
            )
            if count > MAX_DURING_BACKOFF:
                detail = f"{backend.id} got {count} requests of {entry} in {declined.seconds} s"
                yield SoakViolation(SoakPromise.BACKOFF_KEPT, f"{detail} of backoff")


def _is_hit(incarnation: str, span: Span, disturbances: Sequence[Disturbance]) -> bool:
    return any(
        each.hits_entry
        and each.entry is not None
        and incarnation.startswith(f"{entry_name(each.entry)}/")
        and overlap(each.span, span)
        for each in disturbances
    )
