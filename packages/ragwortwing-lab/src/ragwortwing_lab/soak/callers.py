"""Callers that keep connections open, leave in the middle, and come back elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..standins.platform_site import CHAT_PROMPT, DRAFT_PROMPT, Caller
from .observations import Attempt, Kind, incarnation

if TYPE_CHECKING:
    from random import Random

    from ..standins.platform_site import EntryProcess
    from .fleet import Fleet

REQUESTS_A_CONNECTION = 8
"""Most requests on one connection of a caller that closes it by itself."""

STAYING_SHARE = 0.4
"""Share of the connections that are used until the entry closes them or is gone."""

LEAVE_SHARE = 0.06
"""Share of the requests whose caller leaves before the answer."""

THINKING = 0.05
"""Mean seconds between two requests of a caller."""

ANSWER_LIMIT = 8.0
"""Seconds after which an answer counts as never coming; twice the longest timeout of a route."""

PROMPTS = {Kind.CHAT: CHAT_PROMPT, Kind.DRAFT: DRAFT_PROMPT}


class Callers:
    """A number of callers, each with one request at a time."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self.attempts: list[Attempt] = []
        self.unanswered: list[Attempt] = []
        """Those that had no end within the limit."""
        self._fleet = fleet
        self._random = random
        self._count = 0

    async def run(self, callers: int, seconds: float) -> None:
        """Call for some time, and return once every caller has its answer."""
        ends = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(self._call_until, ends)

    async def _call_until(self, ends: float) -> None:
        while trio.current_time() < ends:
            entry = self._random.choice(self._fleet.entries)
            caller = Caller(entry.callers)
            stays = self._random.random() < STAYING_SHARE
            left = self._random.randint(1, REQUESTS_A_CONNECTION)
            try:
                while stays or left > 0:
                    left -= 1
                    await trio.sleep(self._random.expovariate(1 / THINKING))
                    over = trio.current_time() >= ends
                    if over or not await self._call(caller, entry, may_leave=not stays):
                        break
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                await trio.sleep(THINKING)
            finally:
                await caller.leave()

    async def call_once(self, entry: EntryProcess, kind: Kind) -> Attempt:
        """Make one request on a connection of its own."""
        caller = Caller(entry.callers)
        try:
            await self._call(caller, entry, kind, may_leave=False)
        finally:
            await caller.leave()
        return self.attempts[-1]

    async def _call(
        self,
        caller: Caller,
        entry: EntryProcess,
        kind: Kind | None = None,
        *,
        may_leave: bool = True,
    ) -> bool:
        """Make one request; return whether the connection carries another."""
        leaves = may_leave and self._random.random() < LEAVE_SHARE
        kind = kind or self._random.choice(list(Kind))
        self._count += 1
        request_id = f"r-{self._count}"
        sent_at = trio.current_time()
        with trio.move_on_after(self._random.uniform(0, 0.15) if leaves else ANSWER_LIMIT) as scope:
            await caller.send(f"/{kind}/x", request_id, headers=PROMPTS.get(kind))
            got = await caller.receive()
        ended_at = trio.current_time()
        process = incarnation(entry)
        if scope.cancelled_caught:
            attempt = Attempt(request_id, kind, process, sent_at, ended_at, None)
            if not leaves:
                self.unanswered.append(attempt)
            return False
        self.attempts.append(Attempt(request_id, kind, process, sent_at, ended_at, got))
        if not got.whole or got.headers.get("connection") == "close":
            return False
        caller.next_request()
        return True
