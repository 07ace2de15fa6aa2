"""Assigns an agent its fencing number: the log offset of its start record.

Offsets only grow, so an agent that replaces another has the higher number.
"""

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
    """Record that an agent appends when it starts."""

    agent_id: str
    """Name and incarnation of the agent."""
    zone: str
    started_at: float
    """Wall-clock time in seconds since the epoch. Only for people who inspect the stream."""


async def acquire_fencing_number(
    log: Log, clock: Clock, random: Random, agent_id: str, zone: str
) -> int:
    """Append the agent's start record and return its offset.

    Retries with backoff until the log accepts the record.

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
        # Unlike a claim, a start record whose reply was lost can be appended again. The later
        # offset is higher than that of every agent that this one replaces, and the earlier offset
        # is never used.
        await trio.sleep(backoff.next_wait().total_seconds())
