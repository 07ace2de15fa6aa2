"""Makes calls, reads each answer to its end, verifies it and measures its timing."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import httpcore
import msgspec
import trio

from ..standins.generation import answer_text
from .answer_check import AnswerFault, prompt_of, read_stream
from .traffic import Arrival, CallKind

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

CHAT_PATH = "/v1/chat/completions"
ORDERS_PATH = "/desk/orders"
FIRST_TOKEN_MARKER = b'"content":" '
OUTCOME_HEADER = b"x-ragwortwing-outcome"
REASON_HEADER = b"x-ragwortwing-reason"
NO_ANSWER = "no_answer"
"""Outcome recorded if the connection broke before an outcome arrived."""

CALL_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call over all its attempts."""

    arrival: Arrival
    outcome: str
    reason: str = ""
    status: int = 0
    tokens: int = 0
    """Tokens received in the last attempt."""
    first_token: float | None = None
    """Seconds to the first token, or to the whole answer if it is not streamed."""
    between_tokens: float | None = None
    seconds: float = 0.0
    fault: AnswerFault = AnswerFault.NONE
    attempts: int = 1
    wasted_tokens: int = 0
    """Tokens received in attempts that did not complete."""

    @property
    def attained(self) -> bool:
        """Whether the call completed correctly and within its targets."""
        traffic = self.arrival.traffic
        if self.outcome != "completed" or self.fault or self.first_token is None:
            return False
        if self.first_token > traffic.first_token_target.total_seconds():
            return False
        between = self.between_tokens or 0.0
        return between <= traffic.between_token_target.total_seconds()


@dataclass(frozen=True, slots=True)
class _Response:
    """A complete HTTP response with the arrival times of its chunks."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    first_token_at: float | None
    last_chunk_at: float


class LoadCaller:
    """Makes calls to the entries in round-robin order."""

    def __init__(
        self,
        http: httpcore.AsyncConnectionPool,
        targets: Sequence[str],
        model: str,
        run_id: str,
        retries: int = 0,
    ) -> None:
        self._http = http
        self._targets = targets
        self._model = model
        self._run_id = run_id
        self._retries = retries
        self._request_builders: dict[CallKind, Callable[[Arrival], tuple[str, str, bytes]]] = {
            CallKind.STREAM: self._chat,
            CallKind.WHOLE: self._chat,
            CallKind.ORDER: self._order,
            CallKind.LOOKUP: self._lookup,
        }

    async def call(self, arrival: Arrival) -> CallResult:
        """Make a call, and retry it if the answer has a Retry-After header."""
        started_at = trio.current_time()
        wasted = 0
        attempt = 0
        while True:
            result, retry_after = await self._attempt(arrival, attempt, started_at)
            attempt += 1
            if result.outcome != "completed":
                wasted += result.tokens
            if retry_after is None or attempt > self._retries:
                seconds = trio.current_time() - started_at
                return replace(result, attempts=attempt, seconds=seconds, wasted_tokens=wasted)
            await trio.sleep(retry_after)

    async def _attempt(
        self, arrival: Arrival, attempt: int, started_at: float
    ) -> tuple[CallResult, float | None]:
        target = self._targets[(arrival.index + attempt) % len(self._targets)]
        method, path, body = self._request_builders[arrival.traffic.kind](arrival)
        try:
            read = await self._read(target, method, path, body, arrival)
        except CALL_ERRORS as error:
            return CallResult(arrival, NO_ANSWER, type(error).__name__), None
        return self._evaluate(arrival, read, started_at), _retry_after(read)

    async def _read(
        self, target: str, method: str, path: str, body: bytes, arrival: Arrival
    ) -> _Response:
        headers: dict[bytes | str, bytes | str] = {
            "authorization": f"Bearer {arrival.key}",
            "content-type": "application/json",
            "x-request-class": arrival.traffic.request_class,
        }
        if arrival.traffic.kind is CallKind.ORDER:
            headers["idempotency-key"] = f"{self._run_id}-{arrival.index}"
        chunks: list[bytes] = []
        first_token_at = None
        async with self._http.stream(
            method, target + path, headers=headers, content=body
        ) as response:
            async for chunk in response.aiter_stream():
                chunks.append(chunk)
                if first_token_at is None and FIRST_TOKEN_MARKER in chunk:
                    first_token_at = trio.current_time()
            names = {name.lower(): value for name, value in response.headers}
        now = trio.current_time()
        return _Response(response.status, names, b"".join(chunks), first_token_at, now)

    def _evaluate(self, arrival: Arrival, read: _Response, started_at: float) -> CallResult:
        if arrival.traffic.kind is CallKind.STREAM and read.status == 200:
            return _evaluate_stream(arrival, read, started_at)
        fault = AnswerFault.NONE
        tokens = 0
        outcome = read.headers.get(OUTCOME_HEADER, b"").decode()
        if arrival.traffic.kind is CallKind.WHOLE and read.status == 200:
            tokens = arrival.tokens
            expected = answer_text(prompt_of(arrival.index, tokens), tokens)
            if _message_text(read.body) != expected:
                fault = AnswerFault.TEXT
        return CallResult(
            arrival,
            outcome or NO_ANSWER,
            read.headers.get(REASON_HEADER, b"").decode(),
            read.status,
            tokens,
            read.last_chunk_at - started_at,
            fault=fault,
        )

    def _chat(self, arrival: Arrival) -> tuple[str, str, bytes]:
        prompt = prompt_of(arrival.index, arrival.tokens)
        body = {
            "model": self._model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": arrival.traffic.kind is CallKind.STREAM,
            "max_tokens": arrival.tokens,
        }
        return "POST", CHAT_PATH, msgspec.json.encode(body)

    def _order(self, arrival: Arrival) -> tuple[str, str, bytes]:
        return "POST", ORDERS_PATH, msgspec.json.encode({"cake": arrival.index})

    def _lookup(self, arrival: Arrival) -> tuple[str, str, bytes]:
        return "GET", f"{ORDERS_PATH}/{arrival.index}", b""


def _evaluate_stream(arrival: Arrival, read: _Response, started_at: float) -> CallResult:
    answer = read_stream(read.body, prompt_of(arrival.index, arrival.tokens), arrival.tokens)
    first_token = between = None
    if read.first_token_at is not None:
        first_token = read.first_token_at - started_at
        between = (read.last_chunk_at - read.first_token_at) / max(1, answer.tokens - 1)
    return CallResult(
        arrival,
        answer.outcome or NO_ANSWER,
        answer.reason if answer.outcome != "completed" else "",
        read.status,
        answer.tokens,
        first_token,
        between,
        fault=answer.fault,
    )


def _message_text(body: bytes) -> str:
    answer: Any = msgspec.json.decode(body)
    return str(answer["choices"][0]["message"]["content"])


def _retry_after(read: _Response) -> float | None:
    if b"retry-after" not in read.headers:
        return None
    detail = msgspec.json.decode(read.body)["error"]
    return float(detail["retry_after_ms"]) / 1000
