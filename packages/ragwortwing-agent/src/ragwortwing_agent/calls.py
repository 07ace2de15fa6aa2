"""Registry of the functions that call each kind of backend server, and their shared types."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from ragwortwing_policy.clock import Clock
from ragwortwing_policy.outcomes import Outcome
from ragwortwing_runtime.order_book import OrderBook

from .agent_request import AgentRequest
from .backend_client import BackendAnswer, BackendClient

if TYPE_CHECKING:
    from ragwortwing_policy.routing import BackendKind


@dataclass(frozen=True, slots=True)
class CallResult:
    """Outcome and prompt token counts of a call."""

    outcome: Outcome
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CallContext:
    """What a call function needs besides the request."""

    backend: BackendClient
    clock: Clock
    orders: OrderBook | None
    """Claims the idempotency keys of orders; None for a model engine."""
    on_progress: Callable[[AgentRequest, int], None]
    """Called with the number of new tokens as a request generates them."""
    tier_of: Callable[[AgentRequest], int]
    """Returns the priority tier of a request."""
    traceparent: str
    """Trace context header to send to the backend server."""


Call = Callable[[AgentRequest, CallContext], Awaitable[CallResult]]
CallT = TypeVar("CallT", bound=Call)

calls_by_kind: dict[BackendKind, Call] = {}


def register_call(kind: BackendKind) -> Callable[[CallT], CallT]:
    """Register the function that calls a kind of backend server."""

    def register(function: CallT) -> CallT:
        calls_by_kind[kind] = function
        return function

    return register


async def wait_for_space(request: AgentRequest, answer: BackendAnswer) -> None:
    """Pause reading a response until its entry has received enough of it.

    The idle timeout is suspended meanwhile: the backend server is not the one that is waited for.
    """
    answer.suspend_idle_timeout()
    await request.wait_for_space()
    answer.restart_idle_timeout()
