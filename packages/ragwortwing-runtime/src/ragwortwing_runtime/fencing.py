"""Gives an agent its fencing number: the log offset of its own start record."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from .backoff import Backoff
from .record_log import Appended

if TYPE_CHECKING:
    from random import Random

    from ragwortwing_policy.clock import Clock

    from .record_log import Log

AGENT_STARTS_STREAM = "agent-starts"


class AgentStart(msgspec.Struct, frozen=True):
    """Start record of an agent."""

    agent_id: str
    """Name and incarnation."""
    zone: str
    started_at: float
    """Wall time in seconds since the epoch, for people who read the stream."""


async def take_fencing_number(
    log: Log, clock: Clock, random: Random, agent_id: str, zone: str
) -> int:
    """Append the agent's start record and return its offset; wait while the log is down.

    Args:
        log: The platform's log.
        clock: The process's clock.
        random: Source of jitter.
        agent_id: Name and incarnation of the agent.
        zone: Its availability zone.
    """
    start = AgentStart(agent_id, zone, clock.utc_now().timestamp())
    payload = msgspec.json.encode(start)
    backoff = Backoff(random)
    while True:
        result = await log.append(AGENT_STARTS_STREAM, payload)
        if isinstance(result, Appended):
            return result.offset
        # Unlike a claim, a start record whose reply was lost may simply be appended again: the
        # later offset is higher than that of every agent that this one replaces, and the earlier
        # one is used by nobody.
        await trio.sleep(backoff.next_wait().total_seconds())
