"""Parses and formats durations written as a number with a unit, such as `250ms`, `1.5s` or `2m`."""

from __future__ import annotations

import re
from datetime import timedelta

_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)")
_UNITS_BY_SUFFIX = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "m": timedelta(minutes=1),
    "h": timedelta(hours=1),
    "d": timedelta(days=1),
}


class DurationError(ValueError):
    """A duration that is not written as a number with a unit."""


def parse_duration(text: str) -> timedelta:
    """Parse a duration.

    Args:
        text: A number and one of the units ms, s, m, h and d.

    Raises:
        DurationError: The text is not in that form.

    Example:
        >>> parse_duration("1.5s")
        datetime.timedelta(seconds=1, microseconds=500000)
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise DurationError(f"{text!r} is not a duration such as '250ms', '1.5s' or '2m'")
    try:
        return float(match[1]) * _UNITS_BY_SUFFIX[match[2]]
    except OverflowError:
        raise DurationError(f"{text!r} exceeds the maximum duration") from None


def format_duration(duration: timedelta) -> str:
    """Format a duration in the largest unit that gives a whole number.

    Example:
        >>> format_duration(timedelta(seconds=90)), format_duration(timedelta(minutes=2))
        ('90s', '2m')
    """
    for suffix in ("h", "m", "s", "ms"):
        count, rest = divmod(duration, _UNITS_BY_SUFFIX[suffix])
        if not rest:
            return f"{count}{suffix}"
    return f"{duration / _UNITS_BY_SUFFIX['ms']:.3f}ms"
