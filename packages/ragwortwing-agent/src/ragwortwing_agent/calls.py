"""What a call to a backend server needs, and the registry of the ways to make one."""

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
    """How a call ended."""

    outcome: Outcome
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CallTools:
    """What calls share."""

    backend: BackendClient
    clock: Clock
    orders: OrderBook | None
    """Claims the keys of orders; only beside a plain service."""
    progressed: Callable[[AgentRequest, int], None]
    """Told of the tokens of a request as they come."""
    tier_of: Callable[[AgentRequest], int]
    traceparent: str
    """Trace context of this hop, for the backend server."""


Call = Callable[[AgentRequest, CallTools], Awaitable[CallResult]]
CallT = TypeVar("CallT", bound=Call)

calls_by_kind: dict[BackendKind, Call] = {}


def calls(kind: BackendKind) -> Callable[[CallT], CallT]:
    """Register how a kind of backend server is called."""

    def register(function: CallT) -> CallT:
        calls_by_kind[kind] = function
        return function

    return register


async def wait_room(request: AgentRequest, answer: BackendAnswer) -> None:
    """Stop to read an answer until its entry has taken enough of it."""
    answer.expect_nothing()
    await request.wait_room()
    answer.expect_more()
