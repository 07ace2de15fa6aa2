"""Simulated callers that reuse connections, abort requests and reconnect to other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..standins.platform_site import CHAT_PROMPT, DRAFT_PROMPT, Caller
from .observations import Attempt, Kind, incarnation_name

if TYPE_CHECKING:
    from random import Random

    from ..standins.platform_site import EntryProcess
    from .fleet import Fleet

MAX_REQUESTS_PER_CONNECTION = 8
"""Maximum number of requests on a connection that the caller closes itself."""

KEEP_ALIVE_SHARE = 0.4
"""Share of connections that the caller keeps open until the entry closes them or exits."""

ABORT_SHARE = 0.06
"""Share of requests that the caller may abort before the response; applies only to connections
that the caller closes itself."""

MEAN_THINK_SECONDS = 0.05
"""Mean seconds between two requests of a caller; also the delay after a connection error."""

ANSWER_TIMEOUT = 8.0
"""Seconds without a complete response after which a request counts as unanswered.

Twice the longest timeout of a route."""

PROMPTS = {Kind.CHAT: CHAT_PROMPT, Kind.DRAFT: DRAFT_PROMPT}


class Callers:
    """Simulates a number of concurrent callers with one request each at a time."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self.attempts: list[Attempt] = []
        self.unanswered: list[Attempt] = []
        """Requests that did not finish within `ANSWER_TIMEOUT`."""
        self._fleet = fleet
        self._random = random
        self._count = 0

    async def run(self, callers: int, seconds: float) -> None:
        """Send requests for `seconds`, then wait until every caller's last request has ended."""
        end_time = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(self._call_until, end_time)

    async def _call_until(self, end_time: float) -> None:
        while trio.current_time() < end_time:
            entry = self._random.choice(self._fleet.entries)
            caller = Caller(entry.callers)
            keeps_alive = self._random.random() < KEEP_ALIVE_SHARE
            remaining = self._random.randint(1, MAX_REQUESTS_PER_CONNECTION)
            try:
                while keeps_alive or remaining > 0:
                    remaining -= 1
                    await trio.sleep(self._random.expovariate(1 / MEAN_THINK_SECONDS))
                    expired = trio.current_time() >= end_time
                    if expired or not await self._call(caller, entry, may_abort=not keeps_alive):
                        break
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                await trio.sleep(MEAN_THINK_SECONDS)
            finally:
                await caller.leave()

    async def call_once(self, entry: EntryProcess, kind: Kind) -> Attempt:
        """Send one request on a new connection."""
        caller = Caller(entry.callers)
        try:
            await self._call(caller, entry, kind, may_abort=False)
        finally:
            await caller.leave()
        return self.attempts[-1]

    async def _call(
        self,
        caller: Caller,
        entry: EntryProcess,
        kind: Kind | None = None,
        *,
        may_abort: bool = True,
    ) -> bool:
        """Send one request; return whether the connection can be reused."""
        aborts = may_abort and self._random.random() < ABORT_SHARE
        kind = kind or self._random.choice(list(Kind))
        self._count += 1
        request_id = f"{entry.name}.{self._count}"
        sent_at = trio.current_time()
        with trio.move_on_after(
            self._random.uniform(0, 0.15) if aborts else ANSWER_TIMEOUT
        ) as scope:
            await caller.send(f"/{kind}/x", request_id, headers=PROMPTS.get(kind))
            response = await caller.receive()
        ended_at = trio.current_time()
        process = incarnation_name(entry)
        if scope.cancelled_caught:
            attempt = Attempt(request_id, kind, process, sent_at, ended_at, None)
            if not aborts:
                self.unanswered.append(attempt)
            return False
        self.attempts.append(Attempt(request_id, kind, process, sent_at, ended_at, response))
        if not response.whole or response.headers.get("connection") == "close":
            return False
        caller.next_request()
        return True
