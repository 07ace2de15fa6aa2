"""Callers of a site of real processes, for tests that break something in the middle of a call."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from ragwortwing_lab.faults.call import Call, CallerRequest, chat_request, order_request
from ragwortwing_lab.faults.observations import Answer
from ragwortwing_lab.site import Site, SiteShape, running_site
from ragwortwing_lab.standins.journal import Execution, read_journal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from pathlib import Path

LIMIT = 40.0
"""Seconds after which a test that hangs fails; no verdict depends on it otherwise."""

ACCOUNT = "suva-bakery"


class Callers:
    """Makes calls in the background of a test."""

    def __init__(self, site: Site, nursery: trio.Nursery) -> None:
        self.site = site
        self._nursery = nursery

    def chat(self, prompt: str, entry: int = 0, request_class: str = "chat") -> Call:
        """Begin a stream."""
        return self._begin(chat_request(prompt, ACCOUNT, request_class), entry)

    def order(self, key: str, entry: int = 0, account: str = ACCOUNT, cake: int = 1) -> Call:
        """Begin an order."""
        return self._begin(order_request(key, account, cake), entry)

    def _begin(self, request: CallerRequest, entry: int) -> Call:
        call = Call(Answer(self.site.entry_url(entry)))
        self._nursery.start_soon(call.run, request)
        return call


@asynccontextmanager
async def site_callers(directory: Path, shape: SiteShape) -> AsyncIterator[Callers]:
    """Run a site of real processes and callers of it."""
    async with running_site(shape, directory) as site, trio.open_nursery() as nursery:
        yield Callers(site, nursery)
        nursery.cancel_scope.cancel()


async def end(call: Call) -> Answer:
    """Wait for the end of a call."""
    with trio.fail_after(LIMIT):
        await call.ended.wait()
    return call.answer


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition on what this process sees."""
    with trio.fail_after(LIMIT):
        while not condition():
            await trio.sleep(0.01)


async def until_told(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait for a condition that another process tells."""
    with trio.fail_after(LIMIT):
        while not await condition():
            await trio.sleep(0.05)


def executions(site: Site, kind: str) -> list[Execution]:
    """Return what the backend servers of a kind ran, those that were killed included."""
    paths = sorted(site.directory.glob(f"{kind}-*.journal"))
    return [each for path in paths for each in read_journal(path)]
