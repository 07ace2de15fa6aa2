"""Callers of a site of real processes, for tests that inject faults during a call."""

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

TEST_TIMEOUT = 40.0
"""Seconds after which a hanging test fails; no test result depends on the value otherwise."""

ACCOUNT = "suva-bakery"


class Callers:
    """Makes calls in background tasks of a test."""

    def __init__(self, site: Site, nursery: trio.Nursery) -> None:
        self.site = site
        self._nursery = nursery

    def chat(self, prompt: str, entry: int = 0, request_class: str = "chat") -> Call:
        """Start a streamed chat request."""
        return self._start(chat_request(prompt, ACCOUNT, request_class), entry)

    def order(self, key: str, entry: int = 0, account: str = ACCOUNT, cake: int = 1) -> Call:
        """Start an order request."""
        return self._start(order_request(key, account, cake), entry)

    def _start(self, request: CallerRequest, entry: int) -> Call:
        call = Call(Answer(self.site.entry_url(entry)))
        self._nursery.start_soon(call.run, request)
        return call


@asynccontextmanager
async def site_callers(directory: Path, shape: SiteShape) -> AsyncIterator[Callers]:
    """Run a site of real processes; yield callers for it."""
    async with running_site(shape, directory) as site, trio.open_nursery() as nursery:
        yield Callers(site, nursery)
        nursery.cancel_scope.cancel()


async def wait_for_answer(call: Call) -> Answer:
    """Wait until a call has ended and return its response."""
    with trio.fail_after(TEST_TIMEOUT):
        await call.ended.wait()
    return call.answer


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition on the state of this process."""
    with trio.fail_after(TEST_TIMEOUT):
        while not condition():
            await trio.sleep(0.01)


async def wait_until_async(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait for a condition that queries another process."""
    with trio.fail_after(TEST_TIMEOUT):
        while not await condition():
            await trio.sleep(0.05)


def executions(site: Site, kind: str) -> list[Execution]:
    """Return all executions by backend servers of a kind, including killed ones."""
    paths = sorted(site.directory.glob(f"{kind}-*.journal"))
    return [each for path in paths for each in read_journal(path)]
