"""Simulated callers that stream chats and submit orders during faults and record the responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from .call import KEY_BY_ACCOUNT, Call, chat_request, order_request
from .observations import Answer, ChatObservation, OrderObservation

if TYPE_CHECKING:
    from random import Random

    from ..site import Site
    from .call import CallerRequest

ANSWER_TIMEOUT = 75.0
"""Seconds after which a request counts as unanswered; longer than every deadline."""

CHAT_CLASSES = ("chat", "chat", "draft")
MAX_ANSWER_TOKENS = 60
KEYED_SHARE = 0.8
MAX_SUBMISSIONS = 6
"""Maximum number of submissions of one order with an idempotency key."""

RESUBMIT_PAUSE_SECONDS = 0.3
FINAL_OUTCOMES = frozenset({"completed", "failed"})


class Callers:
    """Sends requests through the entries and records the responses."""

    def __init__(self, site: Site, random: Random) -> None:
        self.chats: list[ChatObservation] = []
        self.orders: list[OrderObservation] = []
        self._site = site
        self._random = random
        self._count = 0

    async def run(self, seconds: float, interval: float) -> None:
        """Send requests at random intervals for `seconds`, then wait for every response.

        Args:
            seconds: Duration of the load.
            interval: Mean seconds between two requests.
        """
        async with trio.open_nursery() as nursery:
            end = trio.current_time() + seconds
            while trio.current_time() < end:
                nursery.start_soon(self.order if self._random.random() < 0.4 else self.chat)
                await trio.sleep(self._random.expovariate(1 / interval))

    async def chat(self) -> ChatObservation:
        """Send one streamed chat request."""
        prompt, tokens = self._prompt()
        request = chat_request(prompt, self._account(), self._random.choice(CHAT_CLASSES))
        answer = await self._send(request)
        observation = ChatObservation(prompt, tokens, answer)
        self.chats.append(observation)
        return observation

    async def order(self) -> OrderObservation:
        """Submit one order.

        An order with an idempotency key is resubmitted until its outcome is final or
        `MAX_SUBMISSIONS` is reached.
        """
        self._count += 1
        number = self._count
        keyed = self._random.random() < KEYED_SHARE
        observation = OrderObservation(f"key-{number}" if keyed else "")
        self.orders.append(observation)
        request = order_request(observation.key, self._account(), number)
        for _ in range(MAX_SUBMISSIONS if keyed else 1):
            answer = await self._send(request)
            observation.answers.append(answer)
            if answer.outcome in FINAL_OUTCOMES:
                break
            await trio.sleep(RESUBMIT_PAUSE_SECONDS)
        return observation

    def _prompt(self) -> tuple[str, int]:
        self._count += 1
        tokens = self._random.randint(1, MAX_ANSWER_TOKENS)
        return f"menu {self._count} for a wedding [tokens={tokens}]", tokens

    def _account(self) -> str:
        return self._random.choice(sorted(KEY_BY_ACCOUNT))

    async def _send(self, request: CallerRequest) -> Answer:
        entry = self._random.randrange(self._site.shape.entries)
        call = Call(Answer(self._site.entry_url(entry)))
        with trio.move_on_after(ANSWER_TIMEOUT) as scope:
            await call.run(request)
        call.answer.timed_out = scope.cancelled_caught
        return call.answer
