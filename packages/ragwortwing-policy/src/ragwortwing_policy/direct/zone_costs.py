"""Cost of an engine in another availability zone.

Load: demand that varies by zone with different phases. Engines of another zone are used for the
wait that they save, but bytes between zones are billed, so they are not used for less than that.

The cost is in seconds of predicted first event, so that it can be compared with the wait. It only
ranks engines. Whether and when a request is placed does not depend on the zone it came from.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .prompt_parts import Prompt

BYTES_PER_PROMPT_TOKEN = 4
"""Assumed bytes of a request for each token of its prompt."""

BYTES_PER_OUTPUT_TOKEN = 24
"""Assumed bytes of an answer for each token: its text, and its part of the framing of an event with
five tokens."""

BYTES_PER_SECOND = 5e6
"""Bytes between zones that are worth a second of first event: about the rate of a VM's link of
40 Mbit/s, so a request goes to another zone if that saves more than its transmission takes."""

MAXIMUM_COST_SECONDS = 0.01
"""Maximum cost of a request. It is a third of the difference within which engines count as equal,
so the zone never outweighs a difference that a caller notices."""


def zone_cost(prompt: Prompt) -> float:
    """Return the cost in seconds of an engine in another zone than the caller's entry.

    Example:
        >>> from ragwortwing_policy.direct.prompt_parts import Prompt
        >>> chat = Prompt("m", (), prompt_tokens=826, output_tokens=290)
        >>> round(1000 * zone_cost(chat), 1)
        2.1
        >>> huge = Prompt("m", (), prompt_tokens=50_000, output_tokens=290)
        >>> round(1000 * zone_cost(huge), 1)
        10.0
    """
    carried = (
        BYTES_PER_PROMPT_TOKEN * prompt.prompt_tokens
        + BYTES_PER_OUTPUT_TOKEN * prompt.output_tokens
    )
    return min(MAXIMUM_COST_SECONDS, carried / BYTES_PER_SECOND)
