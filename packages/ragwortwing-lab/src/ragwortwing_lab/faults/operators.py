"""Concurrent operator commands that change the preset from the same revision."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from ..site import OperatorResult

if TYPE_CHECKING:
    from ..site import Site

ACCEPTED = 0
"""Exit code of a command that succeeded; a change is then confirmed by the log."""

RACING_PRESETS = ("peak", "ordinary")


class _Current(msgspec.Struct):
    revision: int


@dataclass(frozen=True, slots=True)
class PresetRace:
    """Concurrent commands based on the same revision, and their results."""

    base: int
    results: tuple[OperatorResult, ...]

    @property
    def accepted(self) -> int:
        """Number of commands that reported their change as in force."""
        return sum(1 for each in self.results if each.code == ACCEPTED)


async def race_presets(site: Site) -> PresetRace | None:
    """Run two concurrent commands that switch to different presets from the current revision.

    Returns:
        The results, or None if the current revision cannot be read.
    """
    current = await site.operator("preset", "current", "--json")
    if current.code != ACCEPTED:
        return None
    base = msgspec.json.decode(current.output, type=_Current).revision
    results: list[OperatorResult] = []

    async def use(preset: str) -> None:
        results.append(await site.operator("preset", "use", preset, "--base", str(base)))

    async with trio.open_nursery() as nursery:
        for preset in RACING_PRESETS:
            nursery.start_soon(use, preset)
    return PresetRace(base, tuple(results))
