"""Structured log lines for decisions on requests and for changes of the entry's state.

`request explain` and `request losses` read the event names and keys back, so both are part of the
log format.
"""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING, Any

import logbook

if TYPE_CHECKING:
    from ragwortwing_policy.direct.usage_window import Standing

_log = logbook.Logger("decision")


def decided(decision: str, request_id: str = "", **inputs: Any) -> None:
    """Log a decision with the inputs that led to it.

    Args:
        decision: Name of the decision, in the past tense.
        request_id: The request concerned; empty for a change of the entry's own state.
        inputs: The values the decision was based on, with their age or version if they have one.
    """
    if request_id:
        inputs["request_id"] = request_id
    _log.info(decision, **inputs)


def warned(decision: str, request_id: str = "", **inputs: Any) -> None:
    """Log a decision at warning level, for an operator to see."""
    if request_id:
        inputs["request_id"] = request_id
    _log.warning(decision, **inputs)


def failed(decision: str, request_id: str = "", **inputs: Any) -> None:
    """Log the exception that is being handled, which is an error in this program."""
    if request_id:
        inputs["request_id"] = request_id
    _log.exception(decision, **inputs)


def standing_fields(standing: Standing | None) -> dict[str, Any]:
    """Return the log fields of an account's usage and share; none without client accounts.

    While the engines suffice for all accounts no share is in force, and none is logged.
    """
    if standing is None:
        return {}
    share = round(standing.share, 3) if isfinite(standing.share) else None
    return {"account_usage": round(standing.usage, 3), "account_share": share}
