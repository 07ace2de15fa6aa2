"""Simulated callers that reuse connections, abort requests and reconnect to other entries."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import trio

from ..standins.platform_site import CHAT_PROMPT, DRAFT_PROMPT, SECOND_KEY, Caller
from .observations import Attempt, Kind, Role, incarnation_name

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

LOSS_SHARE = 0.15
"""Share of drafts whose caller loses the connection within the stream."""

LOSS_BYTES = (30, 200)
"""Bounds of the bytes that such a caller receives of a stream of about 300."""

MEAN_THINK_SECONDS = 0.05
"""Mean seconds between two requests of a caller; also the delay after a connection error."""

ANSWER_TIMEOUT = 8.0
"""Seconds without a complete response after which a request counts as unanswered.

Twice the longest timeout of a route."""

MAX_RESUMPTIONS = 4
"""Times that a caller tries to resume a stream that broke off."""

BURST_CALLERS = 200
"""Concurrent callers of a burst; the engines have 24 slots for all.

With 150 and less, the usual callers were refused too rarely without shares to tell the difference:
3 of 17 chats, and 12 of 26 with 200."""

BURST_PAUSE = 0.25
"""Seconds after which a refused caller of a burst sends again."""

SLOW_CALLERS = 8
"""Callers that read slowly at the same time."""

SLOW_PADDING = 55_000
"""Bytes in each event of an answer that is read slowly.

The kernels hold about 400 to 600 KB of an answer on its way, and a relay buffer 256 KB. Without one
8 of 64 slow callers held a slot for more than 1 s, with one none of 64."""

SLOW_RECEIVE_BUFFER = 8_192
SLOW_READ_SIZE = 4_096
SLOW_READS = ((0.0, 0.02), (4.0, 0.0))
"""Seconds before the first read and before each. At the first, an answer ends before its deadline;
at the second, nothing is read until after it."""

PROMPTS = {Kind.CHAT: CHAT_PROMPT, Kind.DRAFT: DRAFT_PROMPT}


class Callers:
    """Simulates a number of concurrent callers with one request each at a time."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self.attempts: list[Attempt] = []
        self.unanswered: list[Attempt] = []
        """Requests that did not finish within `ANSWER_TIMEOUT`."""
        self.bursting = False
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
            attempt: Attempt | None = None
            earlier = 0
            try:
                while keeps_alive or earlier < remaining:
                    await trio.sleep(self._random.expovariate(1 / MEAN_THINK_SECONDS))
                    if trio.current_time() >= end_time:
                        break
                    attempt = await self._call(
                        caller, entry, may_abort=not keeps_alive, may_lose=True, earlier=earlier
                    )
                    if not _can_reuse(attempt):
                        break
                    caller.next_request()
                    earlier += 1
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                await trio.sleep(MEAN_THINK_SECONDS)
            finally:
                await caller.leave()
            if attempt is not None and _is_broken_draft(attempt):
                await self._resume(attempt)

    async def call_once(self, entry: EntryProcess, kind: Kind) -> Attempt:
        """Send one request on a new connection."""
        caller = Caller(entry.callers)
        try:
            return await self._call(caller, entry, kind, may_abort=False)
        finally:
            await caller.leave()

    async def _resume(self, broken: Attempt) -> None:
        """Resume a stream at any entry, and again where it breaks off or is refused."""
        for _ in range(MAX_RESUMPTIONS):
            await trio.sleep(self._random.expovariate(1 / MEAN_THINK_SECONDS))
            entry = self._random.choice(self._fleet.entries)
            caller = Caller(entry.callers)
            try:
                attempt = await self._call(
                    caller, entry, Kind.DRAFT, may_abort=False, resumes=broken
                )
            except (OSError, trio.BrokenResourceError):
                continue
            finally:
                await caller.leave()
            if attempt.response is not None and attempt.response.status == 200:
                if attempt.response.whole:
                    return
                broken = attempt if attempt.event_count else broken

    async def burst(self, seconds: float) -> None:
        """Send chats of the second account from many callers for `seconds`."""
        end_time = trio.current_time() + seconds

        async def call_until_end() -> None:
            while trio.current_time() < end_time:
                attempt = await self._call_as(Role.BURST, {"authorization": f"Token {SECOND_KEY}"})
                if attempt is None or attempt.response is None or attempt.response.status != 200:
                    await trio.sleep(BURST_PAUSE)

        self.bursting = True
        async with trio.open_nursery() as nursery:
            for _ in range(BURST_CALLERS):
                nursery.start_soon(call_until_end)
        self.bursting = False

    async def read_slowly(self) -> None:
        """Send chats with large answers, which their callers read slowly or not in time."""
        async with trio.open_nursery() as nursery:
            for number in range(SLOW_CALLERS):
                stall, pause = SLOW_READS[number % len(SLOW_READS)]
                nursery.start_soon(self._call_as, Role.SLOW, {}, stall, pause)

    async def _call_as(
        self, role: Role, headers: dict[str, str], stall: float = 0.0, pause: float = 0.0
    ) -> Attempt | None:
        """Send a chat to an entry on a new connection; None if the entry cannot be reached."""
        entry = self._random.choice(self._fleet.entries)
        caller = Caller(entry.callers)
        path = f"/{Kind.CHAT}/padded-{SLOW_PADDING}" if role is Role.SLOW else f"/{Kind.CHAT}/x"
        self._count += 1
        request_id = f"{entry.name}.{role}-{self._count}"
        process, sent_at = incarnation_name(entry), trio.current_time()
        try:
            await caller.open(SLOW_RECEIVE_BUFFER if role is Role.SLOW else None)
            with trio.move_on_after(ANSWER_TIMEOUT) as scope:
                await caller.send(path, request_id, headers=CHAT_PROMPT | headers)
                await trio.sleep(stall)
                response = await caller.receive(SLOW_READ_SIZE, pause)
        except (OSError, trio.BrokenResourceError):
            return None
        finally:
            await caller.leave()
        ended_at = trio.current_time()
        answer = None if scope.cancelled_caught else response
        attempt = Attempt(request_id, Kind.CHAT, process, sent_at, ended_at, answer, role)
        (self.unanswered if answer is None else self.attempts).append(attempt)
        return attempt

    async def _call(
        self,
        caller: Caller,
        entry: EntryProcess,
        kind: Kind | None = None,
        *,
        may_abort: bool = True,
        may_lose: bool = False,
        earlier: int = 0,
        resumes: Attempt | None = None,
    ) -> Attempt:
        """Send one request.

        Args:
            caller: The connection.
            entry: The process that it leads to.
            kind: Kind of the request; random by default.
            may_abort: Whether the caller may give up early.
            may_lose: Whether the connection may be lost within a stream.
            earlier: Requests that the connection has served.
            resumes: Attempt whose stream the request resumes.
        """
        aborts = may_abort and self._random.random() < ABORT_SHARE
        kind = kind or self._random.choice(list(Kind))
        self._count += 1
        request_id = f"{entry.name}.{self._count}"
        loses = kind is Kind.DRAFT and may_lose and self._random.random() < LOSS_SHARE
        body_limit = self._random.randint(*LOSS_BYTES) if loses else inf
        headers = PROMPTS.get(kind, {})
        first_event = 0
        if resumes is not None:
            first_event = resumes.first_event + resumes.event_count
            headers = headers | {
                "last-event-id": str(first_event - 1),
                "resumes": resumes.request_id,
            }
        sent_at = trio.current_time()
        response = None
        with trio.move_on_after(
            self._random.uniform(0, 0.15) if aborts else ANSWER_TIMEOUT
        ) as scope:
            await caller.send(f"/{kind}/x", request_id, headers=headers)
            response = await caller.receive(body_limit=body_limit)
        attempt = Attempt(
            request_id,
            kind,
            incarnation_name(entry),
            sent_at,
            trio.current_time(),
            None if scope.cancelled_caught else response,
            Role.LOST if response is not None and len(response.body) >= body_limit else Role.USUAL,
            earlier=earlier,
            resumes=resumes.request_id if resumes is not None else None,
            first_event=first_event,
        )
        if attempt.response is not None:
            self.attempts.append(attempt)
        elif not aborts:
            self.unanswered.append(attempt)
        return attempt


def _can_reuse(attempt: Attempt) -> bool:
    response = attempt.response
    return response is not None and response.whole and response.headers.get("connection") != "close"


def _is_broken_draft(attempt: Attempt) -> bool:
    response = attempt.response
    if attempt.kind is not Kind.DRAFT or response is None or response.status != 200:
        return False
    return not response.whole and attempt.event_count > 0
