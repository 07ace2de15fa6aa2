"""A request that passed every check at the entry."""

from __future__ import annotations

from dataclasses import dataclass

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.routing import BackendKind, RouteQuery
from ragwortwing_wire.messages import Header


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One call of a client account, with what routing and the agent need to know of it."""

    request_id: str
    account: str
    request_class: str
    tier: int
    kind: BackendKind
    target: str
    """Model or service name."""
    method: str
    path: str
    headers: tuple[Header, ...]
    """Headers that go on to the backend server."""
    body: bytes
    arrived_at: Instant
    deadline: Instant
    """When the caller no longer waits for the first token or the answer."""
    streamed: bool = False
    """Whether the answer is a stream of events."""
    idempotent: bool = True
    prompt_tokens: int = 0
    expected_tokens: int = 0
    prefix_hash: int = 0
    order_key: str = ""
    """Idempotency key; the agent scopes it by the client account."""
    body_digest: bytes = b""
    order_time: float = 0.0
    traceparent: str = ""

    def route_query(self) -> RouteQuery:
        """Return what the router needs to know."""
        return RouteQuery(
            request_id=self.request_id,
            target=self.target,
            kind=self.kind,
            prefix_hash=self.prefix_hash,
            tier=self.tier,
            idempotent=self.idempotent,
        )
