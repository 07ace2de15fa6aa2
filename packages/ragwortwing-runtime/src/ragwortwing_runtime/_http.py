"""Calls to the platform's HTTP services with every way to fail told apart."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

import httpcore
import trio

JSON_HEADERS: Mapping[bytes | str, bytes | str] = {"content-type": "application/json"}
_SLACK_SECONDS = 1.0
"""Time above the read timeout after which a call is given up even while bytes trickle in."""


class CallFailure(StrEnum):
    """Why a call gave no answer."""

    NOT_SENT = "not_sent"
    """No connection could be made, so the call took no effect."""
    NO_ANSWER = "no_answer"
    """The call may have been sent, and no whole answer came."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a service."""

    status: int
    body: bytes
    headers_by_name: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Timeouts:
    """How long each step of a call may take."""

    connect: timedelta = timedelta(seconds=1)
    answer: timedelta = timedelta(seconds=3)


class HttpCaller:
    """Keeps connections to one address and makes calls on them."""

    def __init__(self, address: str, timeouts: Timeouts) -> None:
        self._base = f"http://{address}"
        self._timeouts = timeouts
        self._pool = httpcore.AsyncConnectionPool(max_connections=8, max_keepalive_connections=4)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    async def call(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        extra_wait: timedelta = timedelta(0),
        answer_timeout: timedelta | None = None,
    ) -> Answer | CallFailure:
        """Make one call, once.

        Args:
            method: The HTTP method.
            path: Path and query.
            content: The JSON body.
            extra_wait: How long the service may hold the call on purpose.
            answer_timeout: Timeout for this answer in place of the usual one.
        """
        connect = self._timeouts.connect.total_seconds()
        answer = ((answer_timeout or self._timeouts.answer) + extra_wait).total_seconds()
        timeout = {"connect": connect, "pool": connect, "write": answer, "read": answer}
        # The read timeout starts anew with every piece of an answer. The outer limit guards against
        # a service that sends a byte now and then and so never ends; it shows as a hanging call.
        with trio.move_on_after(connect + answer + _SLACK_SECONDS):
            try:
                response = await self._pool.request(
                    method,
                    f"{self._base}{path}",
                    headers=JSON_HEADERS,
                    content=content,
                    extensions={"timeout": timeout},
                )
            except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout):
                return CallFailure.NOT_SENT
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                return CallFailure.NO_ANSWER
            headers = {
                k.decode("latin-1").lower(): v.decode("latin-1") for k, v in response.headers
            }
            return Answer(response.status, response.content, headers)
        return CallFailure.NO_ANSWER
