"""Steps shared by all calls before they become requests: IDs, deadlines and header checks."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ragwortwing_policy.clock import Instant
from ragwortwing_policy.configuration import RequestClass
from ragwortwing_wire.messages import Header

from .caller_faults import CallerFault, CallerFaultCode

if TYPE_CHECKING:
    from .http_call import HttpCall

AUTHORIZATION = b"authorization"
CONTENT_TYPE = b"content-type"
REQUEST_CLASS = b"x-request-class"
TRACEPARENT = b"traceparent"

FORWARDED_HEADERS = frozenset(
    {b"accept", b"accept-language", b"content-type", b"idempotency-key", b"user-agent"}
)
"""Headers forwarded to backend servers; API keys and cookies of callers are not forwarded."""

REQUEST_ID_BYTES = 12


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Identity, class and deadline of a new request."""

    request_id: str
    account: str
    request_class: RequestClass
    arrived_at: Instant
    deadline: Instant


def new_request_id() -> str:
    """Return a unique random request ID."""
    return secrets.token_hex(REQUEST_ID_BYTES)


def new_request_context(account: str, request_class: RequestClass, now: Instant) -> RequestContext:
    """Create the context of a request that arrives now.

    Args:
        account: Name of the client account.
        request_class: Class of the request, which sets its deadline.
        now: The current time.
    """
    deadline = now + request_class.deadline.total_seconds()
    return RequestContext(new_request_id(), account, request_class, now, deadline)


def forwarded_headers(call: HttpCall) -> tuple[Header, ...]:
    """Return the headers to forward to the backend server."""
    return tuple(Header(name, value) for name, value in call.headers if name in FORWARDED_HEADERS)


def check_content_type(call: HttpCall) -> CallerFault | None:
    """Return a fault if the content type of the call is not JSON."""
    media_type = call.header(CONTENT_TYPE).split(b";")[0].strip().lower()
    if media_type == b"application/json":
        return None
    return CallerFault(
        CallerFaultCode.UNSUPPORTED_CONTENT_TYPE, "send content-type: application/json"
    )
