"""Operators who change the preset at one moment, and the check that one at most was told yes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ..site import Site

ACCEPTED = 0
CONFLICT = 1

RACING_PRESETS = ("peak", "ordinary")


@dataclass(frozen=True, slots=True)
class OperatorResult:
    """What one operator's command answered."""

    preset: str
    code: int
    output: str


async def race_presets(site: Site) -> list[OperatorResult]:
    """Run two operators' commands at once, each for another preset."""
    results: list[OperatorResult] = []

    async def use(preset: str) -> None:
        code, output = await site.operator("preset", "use", preset, "--log", site.log_url)
        results.append(OperatorResult(preset, code, output))

    async with trio.open_nursery() as nursery:
        for preset in RACING_PRESETS:
            nursery.start_soon(use, preset)
    return results
