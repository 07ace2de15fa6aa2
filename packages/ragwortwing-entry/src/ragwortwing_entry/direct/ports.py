"""Ports of the direct entry: callers' requests, answers to callers, calls to backend servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Protocol

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.direct.backend_list import BackendServer
from ragwortwing_policy.direct.prompt_parts import Prompt
from ragwortwing_policy.outcomes import NotRunReason, UnknownReason
from ragwortwing_runtime.http_client import ConnectionLoss

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from ragwortwing_policy.direct.send_state import Send


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request of a caller."""

    id: str
    method: str
    host: str
    path: str
    key: str | None
    """The account's API key; None if the caller sent none."""
    prompt: Prompt | None
    resume_after: int | None
    """Number of the last event that the caller has received; None for a request from the start."""
    arrived_at: Instant
    deadline: Instant | None
    """When the caller stops waiting; None if it did not state a deadline."""
    message: Any
    """The request in the adapter's own representation, which it forwards."""
    resumes: str | None = None
    """Id of the attempt that brought the first event of the stream; None if not stated."""
    fingerprint: Callable[[], str] = lambda: ""
    """Returns a digest of what the request asks for, which its repeats under other ids share;
    empty if there is none."""


class ProcessCheck(StrEnum):
    """Whether a send first asks the server's process when it started.

    The address and the id of a registration do not change if the server starts again.
    """

    NONE = "none"
    IF_ANSWERED = "if_answered"
    """Only the registered process gets the request, or one that does not state its start."""
    REQUIRED = "required"
    """Only a process that states the start of the registered one gets the request."""


@dataclass(frozen=True, slots=True)
class SendOrder:
    """The parameters of one send of a request to a backend server."""

    backend: BackendServer
    account: str | None
    urgency: int | None
    """Scheduling rank for the engine, 0 being the most urgent; None for a plain service."""
    deadline: Instant
    resume_after: int | None
    """Number of the last event that the caller has received."""
    expects_events: bool
    may_repeat: bool
    fetch_from: BackendServer | None = None
    """The engine from which the backend server fetches cached parts of the prompt that it lacks."""
    process_check: ProcessCheck = ProcessCheck.NONE


class AnswerKind(StrEnum):
    """What a backend server's answer says about the run."""

    DECLINED = "declined"
    """The server did not run the request and never will."""
    ANOTHER_SERVER = "another_server"
    """A different backend server now has this address; it did not run the request."""
    SUCCESS = "success"
    FAILURE = "failure"
    """The server ran the request and the run failed."""


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What an answer says about its backend server rather than about the request."""

    rate_limit: float | None = None
    """Requests per second that the server accepts from all entries together; None if unlimited."""
    is_leaving: bool = False
    """Whether the server is shutting down and accepts no new requests."""
    retry_after: float | None = None
    """Seconds for which the server, which declined the request, asks this entry to send nothing;
    None if it does not ask."""


@dataclass(frozen=True, slots=True)
class AnswerPiece:
    """A part of an answer's body; in a stream, exactly one complete event."""

    data: bytes
    event: int | None = None
    """Number of the event; None if the piece is not an event."""


class BackendAnswer(Protocol):
    """An answer whose status and headers have arrived."""

    kind: AnswerKind
    head: Any
    """Status and headers in the adapter's own representation, for `CallerAnswer.begin`."""
    carries_events: bool
    """Whether the answer is a success with a stream of events as its body."""
    notice: ServerNotice
    is_excessive: bool
    """Whether its body was given up, once the call has ended, because it went on for too long."""

    def pieces(self) -> AsyncIterator[AnswerPiece]:
        """Yield the parts of the body.

        Raises:
            BackendLostError: The answer ended early or was invalid.
        """
        ...


class BackendLostError(Exception):
    """A call ended without a complete answer."""

    def __init__(self, cause: str, loss: ConnectionLoss = ConnectionLoss.INVALID) -> None:
        super().__init__(cause)
        self.cause = cause
        self.loss = loss


class ProcessReplacedError(BackendLostError):
    """Another process than the registered one answers at the server's address."""

    def __init__(self, started_at: int) -> None:
        super().__init__("another process answers")
        self.started_at = started_at
        """Start of that process in Unix ms."""


class ProcessUnknownError(BackendLostError):
    """A server that has to be the registered process does not state when it started."""

    def __init__(self) -> None:
        super().__init__("the process is not known", ConnectionLoss.FAILED)


class BackendCalls(Protocol):
    """Calls to backend servers."""

    def call(
        self, request: CallerRequest, order: SendOrder, send: Send
    ) -> AbstractAsyncContextManager[BackendAnswer]:
        """Send a request and wait for the answer's headers; leaving the context ends the call.

        Args:
            request: The caller's request.
            order: The backend server and the parameters of the send.
            send: The state of the send, advanced with each step that is certain to have happened.

        Raises:
            BackendLostError: No headers arrived.
        """
        ...

    def forget(self, backend_id: str) -> None:
        """Release the resources kept for a backend server that was removed."""
        ...

    async def is_listening(self, backend: BackendServer) -> bool | None:
        """Return whether a server accepts connections; None if it does not answer."""
        ...


class Denial(StrEnum):
    """Why a request is rejected as invalid or unauthorized."""

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run and never will."""

    reason: NotRunReason
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Unresolved:
    """It is unknown whether the request has run."""

    reason: UnknownReason


class CallerLostError(OSError):
    """The connection of a caller is closed or broken."""


class CallerAnswer(Protocol):
    """The answer to one caller.

    Its methods raise `CallerLostError` if the caller's connection is closed or broken.
    """

    bytes_sent: int
    """Bytes of the answer that the caller's connection has taken."""

    @property
    def has_begun(self) -> bool:
        """Whether a part of a backend server's answer was written, so that it can only go on."""
        ...

    def begin(self, head: Any) -> None:
        """Set the status and headers of a backend server's answer; its first part sends them."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        ...

    async def end(self) -> None:
        """Send the end of the body."""
        ...

    def send_now(self, data: bytes, *, last: bool = False) -> bool:
        """Send a part of the body as far as the connection takes it without waiting.

        Args:
            data: The part.
            last: Whether the body ends after it.

        Returns:
            Whether the connection has taken all of it; if not, `drain` has to send the rest first.
        """
        ...

    async def drain(self) -> None:
        """Send the rest of the last `send_now`."""
        ...

    def abort(self) -> None:
        """End an answer so that the caller can tell that it is incomplete."""
        ...

    async def conclude(self, conclusion: Refused | Unresolved | Denial) -> None:
        """Answer with an outcome that does not come from a backend server.

        Only for an answer that has not begun; a head that was set is dropped.
        """
        ...
