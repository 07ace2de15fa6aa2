"""Who calls: finds the client account of an API key and the request class it may use."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from .caller_faults import CallerFault, CallerFaultCode

if TYPE_CHECKING:
    from ragwortwing_policy.configuration import ClientAccount, Configuration

BEARER = b"bearer "


def digest_of_key(key: bytes) -> str:
    """Return the form in which configuration holds an API key.

    Example:
        >>> digest_of_key(b"key")[:8]
        '2c70e12b'
    """
    return hashlib.sha256(key).hexdigest()


def authenticate(configuration: Configuration, authorization: bytes) -> ClientAccount | CallerFault:
    """Find the account of a caller.

    Args:
        configuration: The configuration in force.
        authorization: Value of the `Authorization` header, empty where there was none.

    Returns:
        The account, or a fault that does not tell which part of the key was wrong.
    """
    if authorization[: len(BEARER)].lower() != BEARER:
        return CallerFault(CallerFaultCode.UNAUTHENTICATED, "send Authorization: Bearer KEY")
    digest = digest_of_key(authorization[len(BEARER) :].strip())
    found: ClientAccount | None = None
    # A comparison that stops early tells by its duration how much of a guess was right. Here every
    # digest of every account is compared, each in constant time.
    for account in configuration.accounts_by_name.values():
        for known in account.key_digests:
            if hmac.compare_digest(known, digest):
                found = account
    if found is None:
        return CallerFault(CallerFaultCode.UNAUTHENTICATED, "the API key is not known")
    return found


def class_of_request(account: ClientAccount, named: bytes) -> str | CallerFault:
    """Return the request class of a call.

    Args:
        account: The caller's account.
        named: Value of the `x-request-class` header, empty for the account's default.
    """
    name = named.decode("latin-1")
    if name and name not in account.classes:
        return CallerFault(
            CallerFaultCode.CLASS_NOT_ALLOWED, f"the account may not use the class {name!r}"
        )
    if not account.classes:
        return CallerFault(CallerFaultCode.CLASS_NOT_ALLOWED, "the account has no request class")
    return name or account.classes[0]
