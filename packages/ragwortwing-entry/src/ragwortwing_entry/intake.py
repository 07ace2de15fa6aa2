"""What every kind of call needs before it becomes a request."""

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
"""Headers that go on to a backend server; keys and cookies of callers stay here."""

REQUEST_ID_BYTES = 12


@dataclass(frozen=True, slots=True)
class Intake:
    """Identity and times of a new request."""

    request_id: str
    account: str
    request_class: RequestClass
    arrived_at: Instant
    deadline: Instant


def new_request_id() -> str:
    """Return an id that no other request has."""
    return secrets.token_hex(REQUEST_ID_BYTES)


def new_intake(account: str, request_class: RequestClass, now: Instant) -> Intake:
    """Give a new request its id and its deadline."""
    deadline = now + request_class.deadline.total_seconds()
    return Intake(new_request_id(), account, request_class, now, deadline)


def forwarded_headers(call: HttpCall) -> tuple[Header, ...]:
    """Return the headers that go on to the backend server."""
    return tuple(Header(name, value) for name, value in call.headers if name in FORWARDED_HEADERS)


def check_content_type(call: HttpCall) -> CallerFault | None:
    """Return the fault of a call whose body is not said to be JSON."""
    media_type = call.header(CONTENT_TYPE).split(b";")[0].strip().lower()
    if media_type == b"application/json":
        return None
    return CallerFault(
        CallerFaultCode.UNSUPPORTED_CONTENT_TYPE, "send content-type: application/json"
    )
