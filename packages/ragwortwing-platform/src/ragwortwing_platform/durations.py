"""Durations as operators write them: a number with a unit, such as `250ms`, `1.5s`, `2m`, `1h`."""

from __future__ import annotations

import re
from datetime import timedelta

DURATION_FORM = 'a duration such as "250ms", "1.5s", "2m" or "1h"'
"""What is allowed, for messages to operators."""

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")


class DurationError(ValueError):
    """A text is not a duration."""


def parse_duration(text: str) -> timedelta:
    """Return the duration that a text names.

    Args:
        text: A number with a unit.

    Returns:
        The duration.

    Raises:
        DurationError: The text has another form.

    Example:
        >>> parse_duration("250ms")
        datetime.timedelta(microseconds=250000)
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise DurationError(text)
    return timedelta(seconds=float(match[1]) * _SECONDS_BY_UNIT[match[2]])


def format_duration(duration: timedelta) -> str:
    """Return a duration as an operator would write it.

    Example:
        >>> format_duration(timedelta(seconds=1.5))
        '1.5s'
    """
    seconds = duration.total_seconds()
    if 0 < seconds < 1:
        return f"{seconds * 1000:g}ms"
    return f"{seconds:g}s"
