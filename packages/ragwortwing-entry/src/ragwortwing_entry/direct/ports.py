"""What an adapter gives the direct entry: callers' requests, ways to answer, backend calls."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Protocol

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.prompt_parts import Prompt
from ragwortwing_policy.outcomes import NotRunReason, UnknownReason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from ragwortwing_policy.direct.send_state import Send


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request of a caller."""

    id: str
    method: str
    host: str
    path: str
    key: str | None
    """The account's key, None where the caller sent none."""
    prompt: Prompt | None
    resume_after: int | None
    """Number of the last event that the caller has; None where it asks from the start."""
    arrived_at: Instant
    deadline: Instant | None
    """When the caller stops waiting; None where it did not say."""
    message: Any
    """The adapter's own form of the request, which it forwards."""


@dataclass(frozen=True, slots=True)
class SendOrder:
    """What goes with a request to one backend server."""

    backend: BackendServer
    account: str | None
    urgency: int | None
    """Rank that the engine should honour, 0 first; None for a plain service."""
    deadline: Instant
    resume_after: int | None
    """Number of the last event that the caller has."""
    expects_events: bool
    may_repeat: bool
    fetch_from: BackendServer | None = None
    """The engine from which the backend server fetches what it lacks of the prompt."""


class AnswerKind(StrEnum):
    """What a backend server's answer says of the run."""

    DECLINED = "declined"
    """It did not run the request, and never will."""
    ANOTHER_SERVER = "another_server"
    """Another backend server has the address; it did not run the request."""
    SUCCESS = "success"
    FAILURE = "failure"
    """It ran the request, and the run failed."""


@dataclass(frozen=True, slots=True)
class AnswerPiece:
    """Some bytes of an answer; of a stream, exactly one whole event."""

    data: bytes
    event: int | None = None
    """Number of the event, where the piece is one."""


class BackendAnswer(Protocol):
    """An answer whose head has come."""

    kind: AnswerKind
    head: Any
    """The adapter's own form of status and headers, for `CallerAnswer.begin`."""
    carries_events: bool
    """Whether it is a success whose body is a stream of events."""
    rate_limit: float | None
    """Requests a second that the backend server takes from all entries, where it names a limit."""

    def pieces(self) -> AsyncIterator[AnswerPiece]:
        """Yield the body.

        Raises:
            BackendLostError: The answer ended early or was spoiled.
        """
        ...


class BackendLostError(Exception):
    """A call ended without the whole answer."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class BackendCalls(Protocol):
    """Calls to backend servers."""

    def call(
        self, request: CallerRequest, order: SendOrder, send: Send
    ) -> AbstractAsyncContextManager[BackendAnswer]:
        """Send a request and wait for the head of the answer; leaving the context ends the call.

        Args:
            request: The caller's request.
            order: Where it goes and what goes with it.
            send: Advanced with each step that becomes certain.

        Raises:
            BackendLostError: No head came.
        """
        ...

    def forget(self, backend_id: str) -> None:
        """Let go of what is kept for a backend server that is gone."""
        ...


class Denial(StrEnum):
    """Why a request is not allowed at all."""

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run, and never will."""

    reason: NotRunReason
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Unresolved:
    """The request may have run; nobody can say."""

    reason: UnknownReason


class CallerAnswer(Protocol):
    """The way back to one caller."""

    async def begin(self, head: Any) -> None:
        """Send the head of a backend server's answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send some of its body."""
        ...

    async def end(self) -> None:
        """Send the end of the body."""
        ...

    def break_off(self) -> None:
        """End an answer so that the caller sees that it is not whole."""
        ...

    async def conclude(self, conclusion: Refused | Unresolved | Denial) -> None:
        """Answer without a backend server's answer."""
        ...
