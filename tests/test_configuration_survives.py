"""An accepted configuration is in force everywhere and never goes back."""

from __future__ import annotations

import msgspec
import trio
from site_callers import Callers, end, site_callers, until_told

from ragwortwing_lab.faults.operators import race_presets
from ragwortwing_lab.site import SiteShape

SHAPE = SiteShape(entries=2, engines=1, desks=1)
ACCEPTED = 0
CONFLICT = 1
LOG_UNAVAILABLE = 3


async def revisions(callers: Callers) -> set[int]:
    """Return the revisions that the site's processes say are in force."""
    found = set()
    for name, process in callers.site.process_by_name.items():
        address = process.listen.get("operator" if name.startswith("entry") else "http")
        if name.startswith(("entry", "agent")) and address is not None:
            reply = await callers.site.call("GET", f"http://{address}/status")
            found.add(reply.json()["revision"])
    return found


async def use_preset(callers: Callers, preset: str) -> int:
    """Put a preset in force and return its revision."""
    result = await callers.site.operator("preset", "use", preset, "--json")
    assert result.code == ACCEPTED, result.errors
    return msgspec.json.decode(result.output)["revision"]


async def test_two_operators_race(tmp_path) -> None:
    """Two operators switch presets from the same revision at the same moment.

    One is told that its change is in force, the other that it conflicts, and every process has the
    winner's preset.
    """
    async with site_callers(tmp_path, SHAPE) as callers:
        race = await race_presets(callers.site)
        assert race is not None
        assert sorted(each.code for each in race.results) == [ACCEPTED, CONFLICT]

        async def equal() -> bool:
            found = await revisions(callers)
            return len(found) == 1 and found > {race.base} or min(found) > race.base

        await until_told(equal)
        assert len(await revisions(callers)) == 1


async def test_fresh_processes_start_in_an_outage(tmp_path) -> None:
    """The log is down when a killed entry and a killed agent come back with empty memory.

    They learn the configuration from their peers, at the accepted revision and not an older one,
    and the entry serves.
    """
    async with site_callers(tmp_path, SHAPE) as callers:
        site = callers.site
        revision = await use_preset(callers, "peak")

        async def known_everywhere() -> bool:
            return await revisions(callers) == {revision}

        await until_told(known_everywhere)
        await site.fault("store", "records_outage")
        for name in ("entry-0", "agent-engine-0"):
            site.process_by_name[name].kill()
            await site.process_by_name[name].wait_dead()
        await site.start_agent("engine", 0)
        await site.start_entry(0)
        await until_told(known_everywhere)

        async def serves() -> bool:
            return (await end(callers.chat("hello [tokens=5]"))).outcome == "completed"

        await until_told(serves)


async def test_operator_in_an_outage(tmp_path) -> None:
    """An operator publishes while the log is down.

    It is told that the log is unavailable and that nothing changed; what is in force stays so.
    """
    async with site_callers(tmp_path, SHAPE) as callers:
        before = await revisions(callers)
        await callers.site.fault("store", "outage")
        result = await callers.site.operator("preset", "use", "peak")
        assert result.code == LOG_UNAVAILABLE
        assert await revisions(callers) == before


async def test_reply_to_the_operator_is_lost(tmp_path) -> None:
    """The log takes an operator's record and its reply is lost.

    The command reads the log, finds the record accepted and says so; it is in force everywhere.
    """
    async with site_callers(tmp_path, SHAPE) as callers:
        await callers.site.fault("store", "lose_reply", count=1)
        revision = await use_preset(callers, "peak")

        async def known_everywhere() -> bool:
            return await revisions(callers) == {revision}

        await until_told(known_everywhere)


async def test_maintenance_preset_refuses_the_class_it_names(tmp_path) -> None:
    """During maintenance drafts are not admitted: they are told so, and chats go on."""
    async with site_callers(tmp_path, SHAPE) as callers:
        revision = await use_preset(callers, "maintenance")

        async def known_everywhere() -> bool:
            return await revisions(callers) == {revision}

        await until_told(known_everywhere)
        draft = await end(callers.chat("menu [tokens=5]", request_class="draft"))
        assert (draft.outcome, draft.reason) == ("not_run", "shed_by_preset")
        assert (await end(callers.chat("hello [tokens=5]"))).outcome == "completed"
        await trio.lowlevel.checkpoint()
