"""Routes calls under the configured path prefixes to plain services."""

from __future__ import annotations

import hashlib
from datetime import datetime
from typing import TYPE_CHECKING

from ragwortwing_policy.routing import BackendKind

from .accounts import authenticate
from .caller_faults import CallerFault, CallerFaultCode
from .caller_request import CallerRequest
from .request_context import AUTHORIZATION, forwarded_headers

if TYPE_CHECKING:
    from ragwortwing_policy.configuration import Configuration, Service, ServiceRoute

    from .entry_app import EntryApp
    from .http_call import CallerLeft, HttpCall
    from .request_context import RequestContext

IDEMPOTENCY_KEY = b"idempotency-key"
ORDER_TIME = b"x-order-time"
"""Time of the order in RFC 3339, used to refuse expired idempotency keys."""

MAX_IDEMPOTENCY_KEY_LENGTH = 200
"""Maximum number of characters of an idempotency key."""

WILDCARD = "*"
"""Suffix of a route path that matches any remainder."""


async def call_service(
    app: EntryApp, call: HttpCall, configuration: Configuration, service: Service
) -> None:
    """Validate a call and forward it to a plain service."""
    request = await _read_request(app, call, configuration, service)
    if isinstance(request, CallerFault):
        await app.answer_fault(call, request)
    elif isinstance(request, CallerRequest):
        await app.requests.serve(call, request, configuration)


def find_service(configuration: Configuration, path: str) -> Service | None:
    """Return the service with the longest prefix that matches the path, or None."""
    matching = [
        service
        for service in configuration.services_by_name.values()
        if path == service.prefix or path.startswith(service.prefix.rstrip("/") + "/")
    ]
    return max(matching, key=lambda service: len(service.prefix), default=None)


def find_route(service: Service, method: str, path: str) -> ServiceRoute | CallerFault:
    """Return the route of a service that matches a call.

    Args:
        service: The service that is called.
        method: HTTP method of the call.
        path: Path relative to the service's prefix.
    """
    matching = [each for each in service.routes if _path_matches(each.path, path)]
    if not matching:
        return CallerFault(CallerFaultCode.UNKNOWN_PATH, f"{service.name} has no path {path!r}")
    for each in matching:
        if each.method == method:
            return each
    allowed = ", ".join(sorted({each.method for each in matching}))
    return CallerFault(CallerFaultCode.METHOD_NOT_ALLOWED, f"allowed: {allowed}")


def _path_matches(pattern: str, path: str) -> bool:
    if pattern.endswith(WILDCARD):
        return path.startswith(pattern.removesuffix(WILDCARD))
    return path == pattern


async def _read_request(
    app: EntryApp, call: HttpCall, configuration: Configuration, service: Service
) -> CallerRequest | CallerFault | CallerLeft:
    account = authenticate(configuration, call.header(AUTHORIZATION))
    if isinstance(account, CallerFault):
        return account
    path = call.path.removeprefix(service.prefix.rstrip("/")) or "/"
    service_route = find_route(service, call.method, path)
    if isinstance(service_route, CallerFault):
        return service_route
    if service_route.request_class not in account.classes:
        message = f"the account may not use the class {service_route.request_class!r}"
        return CallerFault(CallerFaultCode.CLASS_NOT_ALLOWED, message)
    order_time = _read_order_time(call)
    if isinstance(order_time, CallerFault):
        return order_time
    key = _read_idempotency_key(call)
    if isinstance(key, CallerFault):
        return key
    body = await call.read_body(app.settings.requests)
    if not isinstance(body, bytes):
        return body
    context = app.new_context(configuration, account.name, service_route.request_class)
    return _build_request(context, call, service, service_route, body, key, order_time)


def _build_request(
    context: RequestContext,
    call: HttpCall,
    service: Service,
    service_route: ServiceRoute,
    body: bytes,
    key: str,
    order_time: float,
) -> CallerRequest:
    is_order = not service_route.idempotent
    path = _relative_raw_path(service, call)
    return CallerRequest(
        request_id=context.request_id,
        account=context.account,
        request_class=context.request_class.name,
        tier=context.request_class.tier,
        kind=BackendKind.SERVICE,
        target=service.name,
        method=call.method,
        path=path,
        headers=forwarded_headers(call),
        body=body,
        arrived_at=context.arrived_at,
        deadline=context.deadline,
        idempotent=service_route.idempotent,
        order_key=key if is_order else "",
        body_digest=_request_digest(call.method, path, body) if is_order else b"",
        order_time=order_time if is_order else 0.0,
    )


def _relative_raw_path(service: Service, call: HttpCall) -> str:
    path = call.raw_path.decode("latin-1").removeprefix(service.prefix.rstrip("/")) or "/"
    return f"{path}?{call.query.decode('latin-1')}" if call.query else path


def _request_digest(method: str, path: str, body: bytes) -> bytes:
    return hashlib.sha256(b"\n".join((method.encode(), path.encode(), body))).digest()


def _read_idempotency_key(call: HttpCall) -> str | CallerFault:
    key = call.header(IDEMPOTENCY_KEY).decode("latin-1")
    if len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH and key.isprintable():
        return key
    message = f"Idempotency-Key may have {MAX_IDEMPOTENCY_KEY_LENGTH} printable characters"
    return CallerFault(CallerFaultCode.INVALID_HEADER, message)


def _read_order_time(call: HttpCall) -> float | CallerFault:
    text = call.header(ORDER_TIME).decode("latin-1")
    if not text:
        return 0.0
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.tzinfo is None:
        return CallerFault(CallerFaultCode.INVALID_HEADER, "x-order-time is a time in RFC 3339")
    return parsed.timestamp()
