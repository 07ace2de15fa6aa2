"""Callers that stream answers and submit orders while faults happen, and note what they saw."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from ..site import MODEL
from .observations import Answer, ChatObservation, OrderObservation, read_error, read_stream

if TYPE_CHECKING:
    from random import Random

    from ..site import Site

PATIENCE = 75.0
"""Seconds after which a caller counts a request as held back for ever; above every deadline."""

KEY_BY_ACCOUNT = {"suva-bakery": "suva-key", "nadi-bakery": "nadi-key"}
CHAT_CLASSES = ("chat", "chat", "draft")
LONGEST_ANSWER = 60
KEYED_SHARE = 0.8
SUBMISSIONS_LIMIT = 6
"""Submissions of one keyed order until a caller stops asking."""

RESUBMIT_PAUSE = 0.3
OUTCOME_HEADER = b"x-ragwortwing-outcome"
REQUEST_ID_HEADER = b"x-request-id"
FIRST_ERROR_STATUS = 400
FINAL_OUTCOMES = frozenset({"completed", "failed"})


class Callers:
    """Sends requests through the entries and keeps what came back."""

    def __init__(self, site: Site, random: Random) -> None:
        self.chats: list[ChatObservation] = []
        self.orders: list[OrderObservation] = []
        self._site = site
        self._random = random
        self._count = 0

    async def run(self, seconds: float, interval: float) -> None:
        """Send requests at random intervals for a while, then wait for every answer."""
        async with trio.open_nursery() as nursery:
            end = trio.current_time() + seconds
            while trio.current_time() < end:
                nursery.start_soon(self.order if self._random.random() < 0.4 else self.chat)
                await trio.sleep(self._random.expovariate(1 / interval))

    async def chat(self) -> ChatObservation:
        """Stream one answer."""
        prompt, tokens = self._prompt()
        body = msgspec.json.encode(
            {
                "model": MODEL,
                "stream": True,
                "messages": [{"role": "user", "content": prompt}],
            }
        )
        headers = [*self._headers(), ("x-request-class", self._random.choice(CHAT_CLASSES))]
        answer = await self._post(self._entry(), "/v1/chat/completions", headers, body)
        observation = ChatObservation(prompt, tokens, answer)
        self.chats.append(observation)
        return observation

    async def order(self) -> OrderObservation:
        """Submit one order; a keyed one again until its fate is told or the caller tires."""
        self._count += 1
        number = self._count
        keyed = self._random.random() < KEYED_SHARE
        observation = OrderObservation(f"key-{number}" if keyed else "")
        self.orders.append(observation)
        headers = self._headers()
        if keyed:
            headers.append(("idempotency-key", observation.key))
        body = msgspec.json.encode({"cake": number})
        for _ in range(SUBMISSIONS_LIMIT if keyed else 1):
            answer = await self._post(self._entry(), "/desk/orders", headers, body)
            observation.answers.append(answer)
            if answer.outcome in FINAL_OUTCOMES:
                break
            await trio.sleep(RESUBMIT_PAUSE)
        return observation

    def _prompt(self) -> tuple[str, int]:
        self._count += 1
        tokens = self._random.randint(1, LONGEST_ANSWER)
        return f"menu {self._count} for a wedding [tokens={tokens}]", tokens

    def _headers(self) -> list[tuple[str, str]]:
        account = self._random.choice(sorted(KEY_BY_ACCOUNT))
        return [
            ("content-type", "application/json"),
            ("authorization", f"Bearer {KEY_BY_ACCOUNT[account]}"),
        ]

    def _entry(self) -> int:
        return self._random.randrange(self._site.shape.entries)

    async def _post(
        self, entry: int, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> Answer:
        answer = Answer(self._site.entry_url(entry))
        with trio.move_on_after(PATIENCE) as scope:
            try:
                await self._exchange(answer, path, headers, body)
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                answer.whole = False
        answer.timed_out = scope.cancelled_caught
        return answer

    async def _exchange(
        self, answer: Answer, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        received = bytearray()
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream("POST", answer.entry + path, headers=headers, content=body) as response,
        ):
            answer.status = response.status
            told = dict(response.headers)
            answer.request_id = told.get(REQUEST_ID_HEADER, b"").decode()
            try:
                async for piece in response.aiter_stream():
                    received += piece
                answer.whole = True
            finally:
                _read(answer, told, bytes(received))


def _read(answer: Answer, headers: dict[bytes, bytes], body: bytes) -> None:
    if headers.get(b"content-type", b"").startswith(b"text/event-stream"):
        read_stream(body, answer)
    elif answer.whole and answer.status >= FIRST_ERROR_STATUS:
        read_error(body, answer)
    elif OUTCOME_HEADER in headers:
        answer.outcomes.append(headers[OUTCOME_HEADER].decode())
