"""A request that passed all checks of the entry."""

from __future__ import annotations

from dataclasses import dataclass

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.routing import BackendKind, RouteQuery
from ragwortwing_wire.messages import Header


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated call of a client account, with the data for routing and for the agent."""

    request_id: str
    account: str
    request_class: str
    tier: int
    kind: BackendKind
    target: str
    """Name of the model or the service."""
    method: str
    path: str
    headers: tuple[Header, ...]
    """Headers to forward to the backend server."""
    body: bytes
    arrived_at: Instant
    deadline: Instant
    """Time until which the caller waits for the first token or the complete response."""
    streamed: bool = False
    """Whether the response is a stream of server-sent events."""
    idempotent: bool = True
    prompt_tokens: int = 0
    expected_tokens: int = 0
    prefix_hash: int = 0
    order_key: str = ""
    """Idempotency key; the agent scopes it to the client account."""
    body_digest: bytes = b""
    order_time: float = 0.0
    traceparent: str = ""

    def route_query(self) -> RouteQuery:
        """Return the routing query for this request."""
        return RouteQuery(
            request_id=self.request_id,
            target=self.target,
            kind=self.kind,
            prefix_hash=self.prefix_hash,
            tier=self.tier,
            idempotent=self.idempotent,
        )
