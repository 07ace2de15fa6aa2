"""Draws the random fault schedule of a soak test; faults may overlap and repeat in series."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.3, 3.0
"""Bounds of a fault's duration."""

SERIES_LENGTHS = (1, 1, 2, 3)
"""How many times a fault is injected in a row; drawn from these values."""

MEAN_SERIES_PAUSE = 0.7
"""Mean seconds between two injections of a series."""


class SoakFault(StrEnum):
    """Kinds of faults.

    A fault described with "one" affects one process or link; the others affect the shared store or
    configuration.
    """

    KILL_ENTRY = "kill_entry"
    """One entry is killed and starts again."""
    FREEZE_ENTRY = "freeze_entry"
    """One entry is suspended and resumed."""
    STOP_ENTRY = "stop_entry"
    """One entry is stopped as planned and starts again."""
    RELOAD_ENTRY = "reload_entry"
    """One entry gets the signal to reload its settings."""
    STORE_SILENT = "store_silent"
    STORE_BUSY = "store_busy"
    STORE_RESETS = "store_resets"
    STORE_SLOW = "store_slow"
    STORE_FORGETS = "store_forgets"
    """The store forgets its history."""
    STORE_REFUSES_ONE = "store_refuses_one"
    """The store resets the connections of one entry and serves the others."""
    STORE_LINK_SILENT = "store_link_silent"
    """One entry's connections to the store go silent; new ones work."""
    LINK_CUT = "link_cut"
    """The connections to one backend server are reset."""
    LINK_SILENT = "link_silent"
    """The connections to one backend server go silent; new ones work."""
    LINK_ONE_WAY = "link_one_way"
    """Data from one backend server no longer arrives; data to it does."""
    LINK_SLOW = "link_slow"
    """Each chunk of data to and from one backend server is delayed."""
    BACKEND_MISBEHAVES = "backend_misbehaves"
    BACKEND_CRASHES = "backend_crashes"
    """One backend server crashes, and another starts at a new address."""
    BACKEND_LEAVES = "backend_leaves"
    """One backend server announces that it is draining, goes on serving, and is replaced."""
    CONFIGURE = "configure"
    """A configuration with one more route is published."""
    CONFIGURE_LARGE = "configure_large"
    """A configuration with hundreds of additional routes is published."""
    STORE_LINK_NARROW = "store_link_narrow"
    """One entry's link to the store has low bandwidth."""
    BACKEND_LIMITS = "backend_limits"
    """One backend server announces a rate limit."""
    BACKEND_LEAVES_UNLISTED = "backend_leaves_unlisted"
    """One backend server states in its answers that it leaves, is listed as ready, and ends."""
    BACKEND_REQUESTS_BACKOFF = "backend_requests_backoff"
    """One backend server declines the requests of one entry, or of all, and requests a backoff."""
    ACCOUNT_BURST = "account_burst"
    """One client account sends many times its usual rate."""
    SLOW_READERS = "slow_readers"
    """Some callers read their answers slowly, or stop reading."""
    ENGINE_SLOWS = "engine_slows"
    """One engine takes several times as long for each step."""
    BACKEND_ANSWERS_TWICE = "backend_answers_twice"
    """One plain server sends second answers, which come late."""
    BACKEND_ANSWERS_AT_DEADLINE = "backend_answers_at_deadline"
    """One plain server answers when the time of a request ends; routes have a short timeout."""
    BACKEND_DECLINES_LATE = "backend_declines_late"
    """One backend server declines requests only after the time for the work."""
    ENGINE_RELEASE = "engine_release"
    """One engine is drained and replaced by one of the other software version."""


STRESS_FAULTS = (SoakFault.CONFIGURE_LARGE, SoakFault.STORE_LINK_NARROW, SoakFault.BACKEND_LIMITS)
"""Faults that break nothing: all guarantees hold for every entry while they last."""

NOTICE_FAULTS = (SoakFault.BACKEND_LEAVES_UNLISTED, SoakFault.BACKEND_REQUESTS_BACKOFF)
"""Faults that only the answers of backend servers tell."""

ANSWER_FAULTS = (
    SoakFault.BACKEND_ANSWERS_TWICE,
    SoakFault.BACKEND_ANSWERS_AT_DEADLINE,
    SoakFault.BACKEND_DECLINES_LATE,
    SoakFault.ENGINE_RELEASE,
)
"""Faults that show when and from which software version answers come."""

CONTENTION_FAULTS = (SoakFault.ACCOUNT_BURST, SoakFault.SLOW_READERS, SoakFault.ENGINE_SLOWS)
"""Faults under which requests compete for engines, connections and memory."""

FAILURES = tuple(
    each
    for each in SoakFault
    if each not in STRESS_FAULTS + NOTICE_FAULTS + ANSWER_FAULTS + CONTENTION_FAULTS
)

DISTURB_ALL_ENTRIES = frozenset(
    {
        SoakFault.STORE_SILENT,
        SoakFault.STORE_BUSY,
        SoakFault.STORE_RESETS,
        SoakFault.STORE_SLOW,
        SoakFault.STORE_FORGETS,
    }
)
"""Faults that delay updates from the store at every entry."""

ENTRY_FAULTS = frozenset({SoakFault.KILL_ENTRY, SoakFault.FREEZE_ENTRY, SoakFault.STOP_ENTRY})
"""Faults that hit one entry process itself."""

DISTURB_ONE_ENTRY = ENTRY_FAULTS | {SoakFault.STORE_REFUSES_ONE, SoakFault.STORE_LINK_SILENT}
"""Faults that delay updates from the store at one entry."""

LINK_FAULTS = frozenset(
    {SoakFault.LINK_CUT, SoakFault.LINK_SILENT, SoakFault.LINK_ONE_WAY, SoakFault.LINK_SLOW}
)
"""Faults of the link to one backend server."""

MAY_CUT_ANSWERS = frozenset(
    {
        SoakFault.KILL_ENTRY,
        SoakFault.FREEZE_ENTRY,
        SoakFault.LINK_CUT,
        SoakFault.LINK_SILENT,
        SoakFault.LINK_ONE_WAY,
        SoakFault.LINK_SLOW,
        SoakFault.BACKEND_MISBEHAVES,
        SoakFault.BACKEND_CRASHES,
        SoakFault.BACKEND_LEAVES,
        SoakFault.BACKEND_LEAVES_UNLISTED,
        SoakFault.ENGINE_RELEASE,
    }
)
"""Faults that may cut a response that a planned stop alone would not cut."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One injection of a fault."""

    at: float
    """Seconds from the start of the load."""
    kind: SoakFault
    target_index: int
    """Number that selects the process or link, taken modulo their count."""
    seconds: float


def draw_schedule(
    random: Random,
    length: float,
    per_second: float,
    kinds: tuple[SoakFault, ...] = FAILURES,
) -> tuple[PlannedFault, ...]:
    """Draw faults of the given kinds over `length` seconds; they may overlap."""
    faults: list[PlannedFault] = []
    if per_second <= 0.0:
        return ()
    at = random.expovariate(per_second)
    while at < length:
        kind, target_index = random.choice(kinds), random.randrange(1_000)
        fault_at = at
        for _ in range(random.choice(SERIES_LENGTHS)):
            faults.append(
                PlannedFault(
                    fault_at,
                    kind,
                    target_index,
                    random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
                )
            )
            fault_at += random.expovariate(1 / MEAN_SERIES_PAUSE)
        at += random.expovariate(per_second)
    return tuple(sorted((each for each in faults if each.at < length), key=lambda each: each.at))
