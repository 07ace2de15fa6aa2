"""Tests that an accepted configuration takes effect everywhere and is never rolled back."""

from __future__ import annotations

import msgspec
import trio
from site_callers import Callers, site_callers, wait_for_answer, wait_until_async

from ragwortwing_lab.faults.operators import race_presets
from ragwortwing_lab.site import SiteShape

SHAPE = SiteShape(entries=2, engines=1, desks=1)
ACCEPTED = 0
CONFLICT = 1
LOG_UNAVAILABLE = 3


async def revisions_in_force(callers: Callers) -> set[int]:
    """Return the revisions that the site's processes report as in force."""
    found = set()
    for name, process in callers.site.process_by_name.items():
        address = process.listen.get("operator" if name.startswith("entry") else "http")
        if name.startswith(("entry", "agent")) and address is not None:
            reply = await callers.site.call("GET", f"http://{address}/status")
            found.add(reply.json()["revision"])
    return found


async def use_preset(callers: Callers, preset: str) -> int:
    """Switch to a preset and return the new revision."""
    result = await callers.site.operator("preset", "use", preset, "--json")
    assert result.code == ACCEPTED, result.errors
    return msgspec.json.decode(result.output)["revision"]


async def test_one_of_two_concurrent_preset_changes_conflicts(tmp_path) -> None:
    """Two operators switch presets concurrently from the same revision.

    One command must succeed, the other must report a conflict, and every process must apply the
    successful one.
    """
    async with site_callers(tmp_path, SHAPE) as callers:
        race = await race_presets(callers.site)
        assert race is not None
        assert sorted(each.code for each in race.results) == [ACCEPTED, CONFLICT]

        async def all_processes_updated() -> bool:
            found = await revisions_in_force(callers)
            return len(found) == 1 and found > {race.base} or min(found) > race.base

        await wait_until_async(all_processes_updated)
        assert len(await revisions_in_force(callers)) == 1


async def test_restarted_processes_get_the_configuration_from_peers_in_a_log_outage(
    tmp_path,
) -> None:
    """A killed entry and a killed agent restart without state while the log is down.

    They must get the configuration from their peers, at the accepted revision and not an older one,
    and the entry must serve.
    """
    async with site_callers(tmp_path, SHAPE) as callers:
        site = callers.site
        revision = await use_preset(callers, "peak")

        async def known_everywhere() -> bool:
            return await revisions_in_force(callers) == {revision}

        await wait_until_async(known_everywhere)
        await site.fault("store", "records_outage")
        for name in ("entry-0", "agent-engine-0"):
            site.process_by_name[name].kill()
            await site.process_by_name[name].wait_exited()
        await site.start_agent("engine", 0)
        await site.start_entry(0)
        await wait_until_async(known_everywhere)

        async def serves() -> bool:
            return (await wait_for_answer(callers.chat("hello [tokens=5]"))).outcome == "completed"

        await wait_until_async(serves)


async def test_preset_change_is_refused_in_a_log_outage(tmp_path) -> None:
    """An operator switches the preset while the log is down.

    The command must report that the log is unavailable, and the revision in force must not change.
    """
    async with site_callers(tmp_path, SHAPE) as callers:
        before = await revisions_in_force(callers)
        await callers.site.fault("store", "outage")
        result = await callers.site.operator("preset", "use", "peak")
        assert result.code == LOG_UNAVAILABLE
        assert await revisions_in_force(callers) == before


async def test_preset_change_survives_a_lost_log_reply(tmp_path) -> None:
    """The log accepts an operator's record, but its reply is lost.

    The command must find the record in the log and report success, and the preset must take effect
    everywhere.
    """
    async with site_callers(tmp_path, SHAPE) as callers:
        await callers.site.fault("store", "lose_reply", count=1)
        revision = await use_preset(callers, "peak")

        async def known_everywhere() -> bool:
            return await revisions_in_force(callers) == {revision}

        await wait_until_async(known_everywhere)


async def test_maintenance_preset_refuses_drafts_and_admits_chats(tmp_path) -> None:
    """The maintenance preset refuses drafts with a reason, while chats are still served."""
    async with site_callers(tmp_path, SHAPE) as callers:
        revision = await use_preset(callers, "maintenance")

        async def known_everywhere() -> bool:
            return await revisions_in_force(callers) == {revision}

        await wait_until_async(known_everywhere)
        draft = await wait_for_answer(callers.chat("menu [tokens=5]", request_class="draft"))
        assert (draft.outcome, draft.reason) == ("not_run", "shed_by_preset")
        assert (await wait_for_answer(callers.chat("hello [tokens=5]"))).outcome == "completed"
        await trio.lowlevel.checkpoint()
