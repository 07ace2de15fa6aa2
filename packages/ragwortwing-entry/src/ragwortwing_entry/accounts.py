"""Authentication and authorization: client accounts by API key and their request classes."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from .caller_faults import CallerFault, CallerFaultCode

if TYPE_CHECKING:
    from ragwortwing_policy.configuration import ClientAccount, Configuration

BEARER_PREFIX = b"bearer "


def hash_api_key(key: bytes) -> str:
    """Return the SHA-256 hex digest under which the configuration stores an API key.

    Example:
        >>> hash_api_key(b"key")[:8]
        '2c70e12b'
    """
    return hashlib.sha256(key).hexdigest()


def authenticate(configuration: Configuration, authorization: bytes) -> ClientAccount | CallerFault:
    """Return the client account of the caller's API key.

    Args:
        configuration: The active configuration.
        authorization: Value of the `Authorization` header, empty if it is missing.

    Returns:
        The account, or a fault that does not reveal which part of the key is wrong.
    """
    if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return CallerFault(CallerFaultCode.UNAUTHENTICATED, "send Authorization: Bearer KEY")
    digest = hash_api_key(authorization[len(BEARER_PREFIX) :].strip())
    matched_account: ClientAccount | None = None
    # Guards against timing attacks: the duration of a comparison that stops early reveals how much
    # of a guess is right. The loop compares every digest of every account, each in constant time.
    for account in configuration.accounts_by_name.values():
        for key_digest in account.key_digests:
            if hmac.compare_digest(key_digest, digest):
                matched_account = account
    if matched_account is None:
        return CallerFault(CallerFaultCode.UNAUTHENTICATED, "the API key is not known")
    return matched_account


def resolve_request_class(account: ClientAccount, requested: bytes) -> str | CallerFault:
    """Return the request class of a call, if the account may use it.

    Args:
        account: The caller's account.
        requested: Value of the `x-request-class` header; empty selects the account's default.
    """
    name = requested.decode("latin-1")
    if name and name not in account.classes:
        return CallerFault(
            CallerFaultCode.CLASS_NOT_ALLOWED, f"the account may not use the class {name!r}"
        )
    if not account.classes:
        return CallerFault(CallerFaultCode.CLASS_NOT_ALLOWED, "the account has no request class")
    return name or account.classes[0]
