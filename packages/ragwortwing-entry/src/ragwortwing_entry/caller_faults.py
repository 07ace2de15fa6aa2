"""Errors caused by the caller. Each has a code, an HTTP status and a message."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class CallerFaultCode(StrEnum):
    """Why a request is invalid."""

    MALFORMED_JSON = "malformed_json"
    """The body is not JSON in UTF-8."""
    INVALID_BODY = "invalid_body"
    """A value of the body is missing or has the wrong type."""
    RESERVED_KEY = "reserved_key"
    """The body contains a key that only the system may send to a model engine."""
    INVALID_HEADER = "invalid_header"
    """A header that the system reads has an invalid value."""
    UNAUTHENTICATED = "unauthenticated"
    """The API key is missing or belongs to no client account."""
    CLASS_NOT_ALLOWED = "class_not_allowed"
    """The client account may not use the request class."""
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TIMEOUT = "body_timeout"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNSUPPORTED_CONTENT_TYPE = "unsupported_content_type"


STATUS_BY_FAULT = {
    CallerFaultCode.MALFORMED_JSON: 400,
    CallerFaultCode.INVALID_BODY: 400,
    CallerFaultCode.RESERVED_KEY: 400,
    CallerFaultCode.INVALID_HEADER: 400,
    CallerFaultCode.UNAUTHENTICATED: 401,
    CallerFaultCode.CLASS_NOT_ALLOWED: 403,
    CallerFaultCode.UNKNOWN_MODEL: 404,
    CallerFaultCode.UNKNOWN_PATH: 404,
    CallerFaultCode.METHOD_NOT_ALLOWED: 405,
    CallerFaultCode.BODY_TIMEOUT: 408,
    CallerFaultCode.BODY_TOO_LARGE: 413,
    CallerFaultCode.UNSUPPORTED_CONTENT_TYPE: 415,
    CallerFaultCode.HEADERS_TOO_LARGE: 431,
}
"""HTTP status of each fault code."""


@dataclass(frozen=True, slots=True)
class CallerFault:
    """A request that was rejected without running because of what the caller sent."""

    code: CallerFaultCode
    message: str

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return STATUS_BY_FAULT[self.code]
