"""Starts several entries of a site, sends them a steady load, and changes what surrounds them."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

import trio

from ragwortwing_lab.standins.platform_site import (
    CHAT_PROMPT,
    DESK,
    ENGINES,
    call,
    configuration,
    until,
)
from ragwortwing_lab.standins.published_backend import SERVERS_TOPIC

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ragwortwing_lab.standins.platform_site import CallerResponse, EntryProcess, PlatformSite
    from ragwortwing_lab.standins.published_backend import PublishedBackend

CALLS = {
    DESK: {"path": "/lookup/", "method": "GET"},
    ENGINES: {"path": "/chat/", "headers": CHAT_PROMPT},
}
"""Arguments of a call to each service."""

CALLS_PER_SECOND = 50


async def ready_entries(site: PlatformSite, count: int) -> list[EntryProcess]:
    """Start entries and wait until they are ready and know each other."""
    entries = [await site.ready_entry(f"entry-{number}") for number in range(count)]
    await until(lambda: all(_peer_count(entry) == count - 1 for entry in entries))
    return entries


def _peer_count(entry: EntryProcess) -> int:
    changes = entry.lines("peers_changed")
    return len(changes[-1]["peers"]) if changes else 0


async def call_entries(
    entries: Sequence[EntryProcess], service: str, seconds: float, **overrides: Any
) -> list[CallerResponse]:
    """Call the entries in turn; the ids of the requests begin with the name of their entry.

    Args:
        entries: The entries.
        service: The service that is called.
        seconds: Duration of the load; returns when all calls have ended.
        overrides: Arguments of `call` that replace those in `CALLS`.
    """
    answers: list[CallerResponse] = []

    async def call_one(number: int) -> None:
        entry = entries[number % len(entries)]
        more: dict[str, Any] = CALLS[service] | overrides
        request_id = f"{entry.name}-{service}-{trio.current_time():.3f}"
        answers.append(await call(entry, request_id=request_id, **more))

    async with trio.open_nursery() as nursery:
        for number in range(int(CALLS_PER_SECOND * seconds)):
            nursery.start_soon(call_one, number)
            await trio.sleep(1 / CALLS_PER_SECOND)
    return answers


async def _list_again(site: PlatformSite, _: EntryProcess, server: PublishedBackend) -> None:
    server.announce(site.store)


async def _lapse(site: PlatformSite, entry: EntryProcess, server: PublishedBackend) -> None:
    site.store.drop(SERVERS_TOPIC, server.id)
    await until(lambda: bool(entry.lines("backend_gone")))
    server.announce(site.store)


async def _list_unreadable(
    site: PlatformSite, entry: EntryProcess, server: PublishedBackend
) -> None:
    site.store.put(SERVERS_TOPIC, server.id, {"state": "unknown"})
    await until(lambda: bool(entry.lines("backend_unreadable")))
    server.announce(site.store)


async def _configure(site: PlatformSite, entry: EntryProcess, _: PublishedBackend) -> None:
    site.configure(configuration(version=2))
    await until(lambda: len(entry.lines("configuration_in_force")) == 2)


async def _reload(_site: PlatformSite, entry: EntryProcess, _server: PublishedBackend) -> None:
    entry.handle.send_signal(signal.SIGHUP)
    await until(lambda: bool(entry.lines("settings_reloaded")))


CHANGES_BY_NAME = {
    "listed again": _list_again,
    "lapsed": _lapse,
    "unreadable": _list_unreadable,
    "configured": _configure,
    "reload": _reload,
}
"""Changes after which an entry still has the same process of a backend server before it."""
