"""Which faults a soak brings about, and when: several at a time, and in series."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

SHORTEST, LONGEST = 0.3, 3.0
"""Seconds that a fault lasts."""

SERIES = (1, 1, 2, 3)
"""How often a fault strikes in a row; drawn from these."""

PAUSE = 0.7
"""Mean seconds between two strikes of a series."""


class SoakFault(StrEnum):
    """Kinds of faults; where it says so, one process or link is struck, else what all share."""

    KILL_ENTRY = "kill_entry"
    """One entry is killed and starts again."""
    FREEZE_ENTRY = "freeze_entry"
    """One entry stands still and goes on."""
    STOP_ENTRY = "stop_entry"
    """One entry is stopped as planned and starts again."""
    RELOAD_ENTRY = "reload_entry"
    """One entry is told that its settings have changed."""
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
    """One backend server's answers no longer come through."""
    LINK_SLOW = "link_slow"
    """Each piece to and from one backend server is held up."""
    BACKEND_MISBEHAVES = "backend_misbehaves"
    BACKEND_CRASHES = "backend_crashes"
    """One backend server ends, and another comes at a new address."""
    BACKEND_LEAVES = "backend_leaves"
    """One backend server says that it leaves, serves on, and is replaced."""
    CONFIGURE = "configure"
    """A configuration with one more route is published."""
    CONFIGURE_LARGE = "configure_large"
    """A configuration with hundreds of routes more is published."""
    STORE_LINK_NARROW = "store_link_narrow"
    """One entry's link to the store carries little."""
    BACKEND_LIMITS = "backend_limits"
    """One backend server names a limit on the requests that it takes."""


STRAINS = (SoakFault.CONFIGURE_LARGE, SoakFault.STORE_LINK_NARROW, SoakFault.BACKEND_LIMITS)
"""Faults that break nothing: all promises hold for every entry while they last."""

FAILURES = tuple(each for each in SoakFault if each not in STRAINS)

DISTURBS_ALL = frozenset(
    {
        SoakFault.STORE_SILENT,
        SoakFault.STORE_BUSY,
        SoakFault.STORE_RESETS,
        SoakFault.STORE_SLOW,
        SoakFault.STORE_FORGETS,
    }
)
"""Faults by which news of the store come late at every entry."""

STRIKES_ENTRY = frozenset({SoakFault.KILL_ENTRY, SoakFault.FREEZE_ENTRY, SoakFault.STOP_ENTRY})
"""Faults that strike one entry itself."""

DISTURBS_ENTRY = STRIKES_ENTRY | {SoakFault.STORE_REFUSES_ONE, SoakFault.STORE_LINK_SILENT}
"""Faults by which news of the store come late at one entry."""

CUTS_ANSWERS = frozenset(
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
    }
)
"""Faults by which an answer may be cut that a planned stop alone would not cut."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One strike."""

    at: float
    """Seconds from the start of the load."""
    kind: SoakFault
    place: int
    """Number that picks the process or link."""
    seconds: float


def draw_schedule(
    random: Random,
    length: float,
    per_second: float,
    kinds: tuple[SoakFault, ...] = FAILURES,
) -> tuple[PlannedFault, ...]:
    """Draw faults of some kinds over a length of time; they overlap as they fall."""
    faults: list[PlannedFault] = []
    if per_second <= 0.0:
        return ()
    at = random.expovariate(per_second)
    while at < length:
        kind, place = random.choice(kinds), random.randrange(1_000)
        strike_at = at
        for _ in range(random.choice(SERIES)):
            faults.append(PlannedFault(strike_at, kind, place, random.uniform(SHORTEST, LONGEST)))
            strike_at += random.expovariate(1 / PAUSE)
        at += random.expovariate(per_second)
    return tuple(sorted((each for each in faults if each.at < length), key=lambda each: each.at))
