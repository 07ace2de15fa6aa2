"""Checks the guarantees of a soak test against what callers and backend servers observed."""

from __future__ import annotations

from bisect import bisect
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ..standins.published_backend import event_of
from .callers import SLOW_PADDING
from .observations import Kind, Role, Span

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from ..standins.platform_site import CallerResponse, EntryProcess
    from ..standins.published_backend import PublishedBackend
    from .observations import Attempt, Disturbance, PublishedConfiguration, RateLimitedSpan

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SERVED_AFTER_STOP_SECONDS = 2.5
"""Seconds after the stop signal in which a new request must still be served completely.

An entry accepts requests for three seconds after it; the rest is time to receive the signal."""

CUT_EFFECT_SECONDS = 4.0
"""Seconds after a fault in which it may still cut a response.

A silent connection is detected only when its timeouts expire."""

IN_FORCE_TIMEOUT = 3.0
"""Seconds after its acknowledgement within which a configuration must be in force."""

SETTLE_SECONDS = 3.0
"""Seconds for which the effects of a fault may last after it ends."""

RATE_LIMIT_DELAY = 3.0
"""Seconds from the moment a server first announces a rate limit until it must be respected."""

RATE_LIMIT_WINDOW = 4.0
"""Seconds of the window over which requests are counted.

A server may get at most 1.5 times its rate limit over the window, plus five requests."""

STREAM_EVENTS = 10
"""Number of events in a complete stream."""


class SoakPromise(StrEnum):
    """A guarantee that a soak test checks."""

    ONCE = "once"
    """A request that must not be repeated runs at most once."""
    NOT_RUN = "not_run"
    """A request reported as not run has not run and does not run later."""
    WHOLE_AND_OWN = "whole_and_own"
    """A successful response is a backend server's complete answer to that very request."""
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    """A planned stop cuts no response."""
    ANSWERED = "answered"
    """Every request gets a response or an error."""
    ONE_VERSION = "one_version"
    """A stream holds events of one software version only."""
    ALIVE = "alive"
    """No entry exits unexpectedly."""
    RECOVERS = "recovers"
    """After the faults end, every entry serves every kind of request again."""
    IN_FORCE = "in_force"
    """The latest configuration is in force at every entry at the end."""
    IN_FORCE_IN_TIME = "in_force_in_time"
    """A configuration takes effect in time at every entry that reaches the store."""
    LIMIT_KEPT = "limit_kept"
    """A backend server gets no more requests than the rate limit that it announces allows."""
    LEAVING_KEPT = "leaving_kept"
    """A backend server gets no requests of an entry that it has told that it is leaving."""
    BACKOFF_KEPT = "backoff_kept"
    """A backend server gets hardly any requests of an entry within a backoff that it requested."""
    SERVED = "served"
    """The usual requests are served while another account bursts or an engine is slow."""
    SLOT_FREED = "slot_freed"
    """A caller that reads slowly does not keep an engine's slot longer than its answer takes."""
    USED_AGAIN = "used_again"
    """After the faults end, every engine gets requests again."""
    LETS_GO = "lets_go"
    """No backend server goes on working for a caller that has disconnected."""


@dataclass(frozen=True, slots=True)
class SoakViolation:
    """A violated guarantee and the evidence for it."""

    promise: SoakPromise
    detail: str


def check_runs(
    attempts: Iterable[Attempt], backends: Iterable[PublishedBackend]
) -> Iterator[SoakViolation]:
    """Compare what backend servers ran with the outcomes that callers got."""
    runs = [(run.request_id, run.path) for backend in backends for run in backend.runs]
    runs_by_id = Counter(request_id for request_id, _ in runs)
    path_by_id = dict(runs)
    for request_id, count in runs_by_id.items():
        kind = path_by_id[request_id].split("/")[1]
        if count > 1 and kind in (Kind.ORDER, Kind.CHAT):
            yield SoakViolation(SoakPromise.ONCE, f"{kind} {request_id} ran {count} times")
    for attempt in attempts:
        if attempt.response is None or not runs_by_id[attempt.request_id]:
            continue
        once = attempt.kind in (Kind.ORDER, Kind.CHAT)
        if once and attempt.response.status in NOT_RUN_STATUSES:
            detail = f"{attempt.kind} {attempt.request_id}: got {attempt.response.status}, but ran"
            yield SoakViolation(SoakPromise.NOT_RUN, detail)


def check_answers(
    attempts: Iterable[Attempt],
    backend_ids: frozenset[str],
    badly_resumed: frozenset[str] = frozenset(),
) -> Iterator[SoakViolation]:
    """Check that each successful response is complete and belongs to its request.

    Args:
        attempts: What callers observed.
        backend_ids: All backend servers.
        badly_resumed: Requests that a backend server was made to resume wrongly. Whether the answer
            to a caller that resumes a stream is complete, only that server knows.
    """
    for attempt in attempts:
        is_excused = attempt.resumes is not None and attempt.request_id in badly_resumed
        fault = (
            None
            if attempt.response is None or is_excused
            else _answer_fault(attempt, attempt.response, backend_ids)
        )
        if fault is not None:
            detail = f"{attempt.kind} {attempt.request_id} by {attempt.entry}: {fault}"
            yield SoakViolation(SoakPromise.WHOLE_AND_OWN, detail)


def check_planned_stops(
    attempts: Iterable[Attempt],
    stopped_at_by_incarnation: Mapping[str, float],
    cutting_spans: Iterable[Span],
) -> Iterator[SoakViolation]:
    """Check that planned stops cut no response, except where another fault may have cut it."""
    spans = tuple(cutting_spans)
    for attempt in attempts:
        stopped_at = stopped_at_by_incarnation.get(attempt.entry)
        if stopped_at is None or attempt.response is None:
            continue
        was_affected = attempt.ended_at >= stopped_at >= attempt.sent_at - SERVED_AFTER_STOP_SECONDS
        # An answer that is read slowly may end early at its deadline.
        is_cut = not attempt.response.whole and attempt.role not in (Role.SLOW, Role.LOST)
        if not was_affected or not is_cut or _may_be_cut(attempt, spans):
            continue
        detail = (
            f"{attempt.kind} {attempt.request_id}, stopped at {stopped_at - attempt.sent_at:.2f} s"
        )
        yield SoakViolation(SoakPromise.STOP_CUTS_NOTHING, detail)


def check_in_force(
    published: Sequence[PublishedConfiguration],
    entries: Sequence[EntryProcess],
    disturbances: Sequence[Disturbance],
) -> Iterator[SoakViolation]:
    """Check that each configuration took effect in time.

    Skips entries whose updates a fault may have delayed. A low-bandwidth link is no excuse.
    """
    for number, entry in enumerate(entries):
        applied = [
            (line["time"], line["version"]) for line in entry.lines("configuration_in_force")
        ]
        for each in published:
            window = Span(each.at - SETTLE_SECONDS, each.at + IN_FORCE_TIMEOUT)
            if any(_is_disturbed(disturbance, number, window) for disturbance in disturbances):
                continue
            due = each.unix_time + IN_FORCE_TIMEOUT
            if not any(at <= due and version >= each.version for at, version in applied):
                detail = f"version {each.version} at {entry.name}"
                yield SoakViolation(SoakPromise.IN_FORCE_IN_TIME, detail)


def check_limits(
    rate_limited_spans: Iterable[RateLimitedSpan], disturbances: Sequence[Disturbance]
) -> Iterator[SoakViolation]:
    """Check request rates at rate-limited servers, except while an entry itself was disturbed."""
    for each in rate_limited_spans:
        span = Span(each.span.start - SETTLE_SECONDS, each.span.end)
        if any(
            disturbance.hits_entry and overlap(disturbance.span, span)
            for disturbance in disturbances
        ):
            continue
        since, until = each.span.start + RATE_LIMIT_DELAY, each.span.end
        counted = [at for at in each.backend.arrived_at if since <= at <= until]
        peak = max(
            (bisect(counted, at + RATE_LIMIT_WINDOW) - i for i, at in enumerate(counted)), default=0
        )
        allowed = 1.5 * RATE_LIMIT_WINDOW * each.rate + 5
        if peak > allowed:
            detail = (
                f"{each.backend.id} got {peak} requests in {RATE_LIMIT_WINDOW} s, allowed {allowed}"
            )
            yield SoakViolation(SoakPromise.LIMIT_KEPT, detail)


def _is_disturbed(disturbance: Disturbance, number: int, window: Span) -> bool:
    return disturbance.entry in (None, number) and overlap(disturbance.span, window)


def overlap(first: Span, second: Span) -> bool:
    """Return whether two time spans overlap."""
    return first.start <= second.end and second.start <= first.end


def _may_be_cut(attempt: Attempt, spans: tuple[Span, ...]) -> bool:
    return any(
        span.start <= attempt.ended_at and attempt.sent_at <= span.end + CUT_EFFECT_SECONDS
        for span in spans
    )


def _answer_fault(
    attempt: Attempt, response: CallerResponse, backend_ids: frozenset[str]
) -> str | None:
    if response.status is None or response.headers.get("x-request-id") not in (
        None,
        attempt.request_id,
    ):
        return (
            None if response.status is None else f"response to {response.headers['x-request-id']}"
        )
    if response.status != 200:
        return None
    if not response.is_stamped:
        return "success without a server stamp"
    if attempt.kind.streams:
        padding = SLOW_PADDING if attempt.role is Role.SLOW else 0
        return _stream_fault(attempt, response, padding)
    expected = {f"{attempt.request_id} by {backend}".encode() for backend in backend_ids}
    return (
        None if response.body in expected or not response.whole else f"body {response.body[:60]!r}"
    )


def _stream_fault(attempt: Attempt, response: CallerResponse, padding: int) -> str | None:
    events = response.body.split(b"\n\n")
    numbers = range(attempt.first_event, STREAM_EVENTS)
    expected = [event_of(attempt.request_id, n, padding)[:-2] for n in numbers]
    if response.whole and events != [*expected, b""]:
        return f"unexpected complete stream, {len(events) - 1} events: {response.body[-60:]!r}"
    seen = events[:-1]
    return None if seen == expected[: len(seen)] else f"unexpected events: {response.body[:80]!r}"
