"""What must hold in a soak, judged by what callers and backend servers saw."""

from __future__ import annotations

from bisect import bisect
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .observations import Kind, Span

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from ..standins.platform_site import EntryProcess, Got
    from ..standins.published_backend import PublishedBackend
    from .observations import Attempt, Disturbance, LimitedSpan, Published

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
TAKES_FOR = 2.5
"""Seconds after the word to stop in which a request must still be served whole; an entry takes
them for three, and this leaves it time to hear the word."""

AFTERMATH = 4.0
"""Seconds after a fault in which it may still cut an answer: silence shows after time limits."""

IN_FORCE_WITHIN = 3.0
"""Seconds after its acknowledgement in which a configuration is in force."""

SETTLING = 3.0
"""Seconds after a fault in which its effects may last."""

LIMIT_KEPT_AFTER = 3.0
"""Seconds after a server first named a limit from which it is kept."""

LIMIT_SPAN = 4.0
"""Seconds in which a server gets at most one and a half times its limit, and five requests."""

EVENTS = 10
"""Events of a whole stream."""


class SoakPromise(StrEnum):
    """A promise that a soak can see broken."""

    ONCE = "once"
    """What may not be repeated runs once at most."""
    NOT_RUN = "not_run"
    """What is told as not run has not run and does not run later."""
    WHOLE_AND_OWN = "whole_and_own"
    """A success is the whole answer of a backend server to that request."""
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    """A planned stop cuts no answer."""
    ANSWERED = "answered"
    """Every request ends."""
    ALIVE = "alive"
    """No entry ends by itself."""
    RECOVERS = "recovers"
    """Without faults, every entry serves every kind again."""
    IN_FORCE = "in_force"
    """The newest configuration is in force at every entry."""
    IN_FORCE_IN_TIME = "in_force_in_time"
    """A configuration is in force within seconds at every entry that reaches the store."""
    LIMIT_KEPT = "limit_kept"
    """A backend server gets no more than the limit that it names."""
    LETS_GO = "lets_go"
    """No backend server works on for callers that are gone."""


@dataclass(frozen=True, slots=True)
class SoakViolation:
    """A promise that was broken, and what shows it."""

    promise: SoakPromise
    detail: str


def check_runs(
    attempts: Iterable[Attempt], backends: Iterable[PublishedBackend]
) -> Iterator[SoakViolation]:
    """Check what ran against what callers were told."""
    runs = [(run.request_id, run.path) for backend in backends for run in backend.runs]
    runs_by_id = Counter(request_id for request_id, _ in runs)
    path_by_id = dict(runs)
    for request_id, count in runs_by_id.items():
        kind = path_by_id[request_id].split("/")[1]
        if count > 1 and kind in (Kind.ORDER, Kind.CHAT):
            yield SoakViolation(SoakPromise.ONCE, f"{kind} {request_id} ran {count} times")
    for attempt in attempts:
        if attempt.got is None or not runs_by_id[attempt.request_id]:
            continue
        once = attempt.kind in (Kind.ORDER, Kind.CHAT)
        if once and attempt.got.status in NOT_RUN_STATUSES:
            detail = f"{attempt.kind} {attempt.request_id}: told {attempt.got.status}, yet it ran"
            yield SoakViolation(SoakPromise.NOT_RUN, detail)


def check_answers(
    attempts: Iterable[Attempt], backend_ids: frozenset[str]
) -> Iterator[SoakViolation]:
    """Check that each success is whole and the request's own."""
    for attempt in attempts:
        fault = None if attempt.got is None else _fault(attempt, attempt.got, backend_ids)
        if fault is not None:
            detail = f"{attempt.kind} {attempt.request_id} by {attempt.entry}: {fault}"
            yield SoakViolation(SoakPromise.WHOLE_AND_OWN, detail)


def check_planned_stops(
    attempts: Iterable[Attempt],
    stopped_at_by_incarnation: Mapping[str, float],
    cutting: Iterable[Span],
) -> Iterator[SoakViolation]:
    """Check that stops cut nothing, where no other fault can have cut it."""
    spans = tuple(cutting)
    for attempt in attempts:
        stopped_at = stopped_at_by_incarnation.get(attempt.entry)
        if stopped_at is None or attempt.got is None:
            continue
        in_time = attempt.ended_at >= stopped_at >= attempt.sent_at - TAKES_FOR
        if not in_time or attempt.got.whole or _may_be_cut(attempt, spans):
            continue
        detail = (
            f"{attempt.kind} {attempt.request_id}, stopped at {stopped_at - attempt.sent_at:.2f} s"
        )
        yield SoakViolation(SoakPromise.STOP_CUTS_NOTHING, detail)


def check_in_force(
    published: Sequence[Published],
    entries: Sequence[EntryProcess],
    disturbances: Sequence[Disturbance],
) -> Iterator[SoakViolation]:
    """Check when each configuration was in force, where nothing but a narrow link delayed it."""
    for number, entry in enumerate(entries):
        applied = [
            (line["time"], line["version"]) for line in entry.lines("configuration_in_force")
        ]
        for each in published:
            window = Span(each.at - SETTLING, each.at + IN_FORCE_WITHIN)
            if any(_delays(one, number, window) for one in disturbances):
                continue
            due = each.unix_time + IN_FORCE_WITHIN
            if not any(at <= due and version >= each.version for at, version in applied):
                detail = f"version {each.version} at {entry.name}"
                yield SoakViolation(SoakPromise.IN_FORCE_IN_TIME, detail)


def check_limits(
    limited: Iterable[LimitedSpan], disturbances: Sequence[Disturbance]
) -> Iterator[SoakViolation]:
    """Check what limited servers got, where no entry was struck meanwhile."""
    for each in limited:
        span = Span(each.span.began - SETTLING, each.span.ended)
        if any(one.strikes_entry and _overlap(one.span, span) for one in disturbances):
            continue
        since, until = each.span.began + LIMIT_KEPT_AFTER, each.span.ended
        counted = [at for at in each.backend.arrived_at if since <= at <= until]
        most = max(
            (bisect(counted, at + LIMIT_SPAN) - i for i, at in enumerate(counted)), default=0
        )
        allowed = 1.5 * LIMIT_SPAN * each.rate + 5
        if most > allowed:
            detail = f"{each.backend.id} got {most} in {LIMIT_SPAN} s, allowed {allowed}"
            yield SoakViolation(SoakPromise.LIMIT_KEPT, detail)


def _delays(disturbance: Disturbance, number: int, window: Span) -> bool:
    return disturbance.entry in (None, number) and _overlap(disturbance.span, window)


def _overlap(one: Span, other: Span) -> bool:
    return one.began <= other.ended and other.began <= one.ended


def _may_be_cut(attempt: Attempt, spans: tuple[Span, ...]) -> bool:
    return any(
        span.began <= attempt.ended_at and attempt.sent_at <= span.ended + AFTERMATH
        for span in spans
    )


def _fault(attempt: Attempt, got: Got, backend_ids: frozenset[str]) -> str | None:
    if got.status is None or got.headers.get("x-request-id") not in (None, attempt.request_id):
        return None if got.status is None else f"answer of {got.headers['x-request-id']}"
    if got.status != 200:
        return None
    if not got.is_stamped:
        return "a success without a stamp"
    if attempt.kind.streams:
        return _stream_fault(attempt.request_id, got)
    expected = {f"{attempt.request_id} by {backend}".encode() for backend in backend_ids}
    return None if got.body in expected or not got.whole else f"body {got.body[:60]!r}"


def _stream_fault(request_id: str, got: Got) -> str | None:
    events = got.body.split(b"\n\n")
    expected = [b"id: %d\ndata: %s-%d" % (n, request_id.encode(), n) for n in range(EVENTS)]
    if got.whole and events != [*expected, b""]:
        return f"a whole stream of {len(events) - 1} events: {got.body[-60:]!r}"
    seen = events[:-1]
    return None if seen == expected[: len(seen)] else f"events out of order: {got.body[:80]!r}"
