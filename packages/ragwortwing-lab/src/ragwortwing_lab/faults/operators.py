"""Operators who change the preset from one revision at one moment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from ..site import OperatorResult

if TYPE_CHECKING:
    from ..site import Site

ACCEPTED = 0
"""Exit code of a command that the log has shown to be in force."""

RACING_PRESETS = ("peak", "ordinary")


class _Current(msgspec.Struct):
    revision: int


@dataclass(frozen=True, slots=True)
class PresetRace:
    """Commands that were made from one revision, and what each answered."""

    base: int
    results: tuple[OperatorResult, ...]

    @property
    def accepted(self) -> int:
        """How many were told that their change is in force."""
        return sum(1 for each in self.results if each.code == ACCEPTED)


async def race_presets(site: Site) -> PresetRace | None:
    """Run two operators' commands at once from the revision in force, each for another preset.

    Returns:
        What they were told; None where the log does not tell what is in force.
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
