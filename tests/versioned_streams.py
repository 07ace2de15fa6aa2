"""Streams on engines of several software versions: begins, breaks off and resumes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_lab.standins.platform_site import ENGINES, call, until
from ragwortwing_lab.standins.published_backend import Misbehaviour, Pace

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ragwortwing_lab.standins.platform_site import (
        CallerResponse,
        EntryProcess,
        PlatformSite,
    )
    from ragwortwing_lab.standins.published_backend import PublishedBackend

AT_ONCE = 1.0
"""Seconds within which a stream that cannot go on is refused; its deadline is 3 s."""

STREAM_LIFETIME = 20.0
"""Seconds for which a stream may have begun before it is resumed."""

UNSHARED = {"x-prompt-prefix": ""}
"""Request headers of a prompt that no engine has cached, so that every engine is as suitable."""


async def add_engines(
    site: PlatformSite,
    versions: Iterable[str] = ("v1", "v1", "v2", "v2"),
    misbehaviour: Misbehaviour = Misbehaviour.RESET_AFTER_EVENTS,
    pace: Pace | None = None,
) -> list[PublishedBackend]:
    """Start engines; by default each breaks off its streams within the fourth event."""
    engines = []
    for version in versions:
        name = f"i-{len(site.backends_by_id)}"
        engine = await site.add_backend(
            name, ENGINES, announce=False, streams=True, version=version, pace=pace or Pace()
        )
        engine.misbehaviour = misbehaviour
        engines.append(engine)
    # Records that are written together reach the entries with one answer of the store.
    for engine in engines:
        engine.announce(site.store)
    return engines


async def know_engines(site: PlatformSite, entries: Iterable[EntryProcess]) -> None:
    """Wait until the entries list every engine."""
    ids = set(site.backends_by_id)
    for entry in entries:
        await until(lambda entry=entry: ids <= _listed(entry))


def _listed(entry: EntryProcess) -> set[str]:
    return {line["backend"] for line in entry.lines("backend_listed")}


def repair(site: PlatformSite) -> None:
    for engine in site.backends_by_id.values():
        engine.misbehaviour = Misbehaviour.NONE


def event_numbers(answer: CallerResponse) -> list[int]:
    lines = answer.body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


def versions_of(site: PlatformSite, *request_ids: str) -> set[str]:
    """Return the versions of the engines that ran any of a stream's attempts."""
    return {
        engine.version
        for engine in site.backends_by_id.values()
        for run in engine.runs
        if run.request_id in request_ids
    }


async def resume(
    entry: EntryProcess, request_id: str, after: int, resumes: str | None
) -> CallerResponse:
    """Take up a stream after an event."""
    fields = UNSHARED | {"last-event-id": str(after)} | ({"resumes": resumes} if resumes else {})
    return await call(entry, "/draft/menu", request_id, headers=fields)


async def break_off(entry: EntryProcess, *request_ids: str) -> dict[str, int]:
    """Begin streams that break off; return the number of the last event of each."""
    last_by_id = {}
    for request_id in request_ids:
        answer = await call(entry, "/draft/menu", request_id, headers=UNSHARED)
        assert (answer.status, answer.whole) == (200, False), answer
        last_by_id[request_id] = event_numbers(answer)[-1]
    return last_by_id


def assert_refused_at_once(answer: CallerResponse) -> None:
    assert answer.status == 503
    assert answer.took < AT_ONCE


def assert_goes_on(answer: CallerResponse, after: int) -> None:
    assert (answer.status, answer.whole) == (200, True)
    assert event_numbers(answer) == list(range(after + 1, 8))
