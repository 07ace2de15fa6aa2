"""Checks that requests on persistent connections are answered and that streams keep a version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .checks import SoakPromise, SoakViolation, overlap
from .observations import Kind, Span

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from ..standins.published_backend import PublishedBackend
    from .observations import Attempt

    SpansByName = Mapping[str, Sequence[Span]]


def check_kept_connections(
    attempts: Iterable[Attempt],
    backends: Iterable[PublishedBackend],
    unsound_by_backend: SpansByName,
    interruptions_by_entry: SpansByName,
) -> Iterator[SoakViolation]:
    """Check that a request on a connection that served others before gets a response.

    Args:
        attempts: What callers observed.
        backends: All backend servers.
        unsound_by_backend: Time spans in which a backend server or its link had failed.
        interruptions_by_entry: Time spans in which an entry process was killed, suspended or past
            its grace.
    """
    reached: dict[str, list[str]] = {}
    for backend in backends:
        for request_id in backend.arrivals:
            reached.setdefault(request_id, []).append(backend.id)
    for attempt in attempts:
        response = attempt.response
        if attempt.earlier == 0 or response is None or response.status is not None:
            continue
        span = Span(attempt.sent_at, attempt.ended_at)
        if _touches(span, interruptions_by_entry.get(attempt.entry, ())):
            continue
        for backend_id in reached.get(attempt.request_id, ()):
            if not _touches(span, unsound_by_backend.get(backend_id, ())):
                detail = f"{attempt.kind} {attempt.request_id} by {attempt.entry}: no response, "
                detail += f"{attempt.earlier} before it, reached {backend_id}"
                yield SoakViolation(SoakPromise.ANSWERED, detail)
                break


def check_versions(
    attempts: Iterable[Attempt], backends: Sequence[PublishedBackend]
) -> Iterator[SoakViolation]:
    """Check that each stream, over all attempts that resume it, came from one software version.

    The server that began an attempt is named by its stamp. One that gets a request to go on after
    an event counts even if none of its events arrives.
    """
    version_by_backend = {each.id: each.version for each in backends}
    versions_by_request: dict[str, set[str]] = {}
    for backend in backends:
        for run in backend.runs:
            if "last-event-id" in run.headers_by_name:
                versions_by_request.setdefault(run.request_id, set()).add(backend.version)
    versions_by_stream: dict[str, set[str]] = {}
    stream_by_request: dict[str, str] = {}
    for attempt in attempts:
        if attempt.kind is not Kind.DRAFT or attempt.response is None:
            continue
        stream = stream_by_request.get(attempt.resumes or "", attempt.request_id)
        stream_by_request[attempt.request_id] = stream
        versions = versions_by_stream.setdefault(stream, set())
        versions |= versions_by_request.get(attempt.request_id, set())
        stamped = attempt.response.backend_id
        if attempt.event_count and stamped in version_by_backend:
            versions.add(version_by_backend[stamped])
    for stream, versions in versions_by_stream.items():
        if len(versions) > 1:
            detail = f"stream {stream}: {', '.join(sorted(versions))}"
            yield SoakViolation(SoakPromise.ONE_VERSION, detail)


def _touches(span: Span, others: Iterable[Span]) -> bool:
    return any(overlap(span, each) for each in others)
