"""One structured line for each decision on a request and each change of belief."""

from __future__ import annotations

from typing import Any

import logbook

_log = logbook.Logger("decision")


def decided(decision: str, request_id: str = "", **inputs: Any) -> None:
    """Log a decision with the inputs that it hung on.

    Args:
        decision: Name of the decision, in the past tense.
        request_id: The request it touches; empty where it changes what the entry believes.
        inputs: What decided it, with age or version where it has one.
    """
    if request_id:
        inputs["request_id"] = request_id
    _log.info(decision, **inputs)


def warned(decision: str, request_id: str = "", **inputs: Any) -> None:
    """Log a decision that an operator should see."""
    if request_id:
        inputs["request_id"] = request_id
    _log.warning(decision, **inputs)
