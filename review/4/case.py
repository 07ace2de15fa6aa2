"""A runner whose entry is removed goes on to get orders for up to 2.5 s, at machines in touch.

Two entries and four runners of the order desk. Clients place orders at one entry, which is
undisturbed all the while. The path of the other entry to the store is reset for 0.15 s; within half
a second after that, a runner leaves that never reports `draining`: its entry is removed. It serves
for `drain_ms` and a little longer and exits. That happens three times.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from platform_parts import (
    DESK,
    TROUBLE,
    Site,
    call,
    client_headers,
    new_id,
    run_case,
)

DRAIN_S = 2.0
LITTLE_LONGER_S = 0.3
CUT_S = 0.15
ROUNDS = 3


async def client(site: Site, results: list[dict], stop: asyncio.Event) -> None:
    """Place one order after the other at the undisturbed entry."""
    entry = site.entries[0]
    while not stop.is_set():
        request = {"id": new_id(), "sent": round(site.journal.now(), 4)}
        try:
            answer = await asyncio.wait_for(
                call(
                    entry.front, "POST", "/pule252/2f", client_headers(request["id"], 1500), b"{}"
                ),
                3.0,
            )
            request |= {"status": answer.status, "whole": answer.whole}
        except (OSError, TimeoutError) as error:
            request |= {"status": None, "whole": False, "error": type(error).__name__}
        results.append(request)
        site.journal("answered", **request)
        await asyncio.sleep(random.uniform(0.01, 0.1))


async def case(site: Site) -> bool:
    for number in range(3):
        await site.add_runner(f"i-desk{number}", DESK, slots=6, queue=4)
    undisturbed, disturbed = await site.add_entry(), await site.add_entry("nadi")
    for entry in (undisturbed, disturbed):
        await entry.until_ready()
    await asyncio.sleep(5.0)
    results: list[dict] = []
    stop = asyncio.Event()
    clients = [asyncio.create_task(client(site, results, stop)) for _ in range(8)]
    late: list[dict] = []
    for number in range(ROUNDS):
        leaving = await site.add_runner(f"i-leaves{number}", DESK, slots=6, queue=4)
        await asyncio.sleep(4.0)
        if TROUBLE:
            site.store.cut(site.store_addresses[1])
            site.journal("path_to_store_cut", entry=disturbed.name)
        await asyncio.sleep(CUT_S)
        site.store.heal(site.store_addresses[1])
        site.journal("path_to_store_healed", entry=disturbed.name)
        await asyncio.sleep(random.uniform(0.2, 0.4))
        leaving.stop_beats()
        await site.store.put("keyed.servers", leaving.id, b"")
        removed_at = site.journal.now()
        site.journal("entry_of_runner_removed", runner=leaving.id)
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        await leaving.stop()
        site.journal("runner_exits", runner=leaving.id)
        await asyncio.sleep(1.0)
        arrived = {request_id: at for at, request_id, _ in leaving.arrivals}
        ran = {request_id for _, request_id in leaving.runs}
        for each in results:
            at = arrived.get(each["id"])
            if at is None or each["sent"] <= removed_at + DRAIN_S or at <= removed_at + DRAIN_S:
                continue
            found = {
                "runner": leaving.id,
                "id": each["id"],
                "late_ms": round(1000 * (at - removed_at)),
                "run": each["id"] in ran,
                "status": each["status"],
            }
            late.append(found)
            site.journal("reached_a_runner_that_left", **found)
    stop.set()
    await asyncio.gather(*clients, return_exceptions=True)
    lost = sum(each["run"] and each["status"] != 200 for each in late)
    site.journal("counted", orders=len(results), late=len(late), late_run_and_lost=lost)
    print(
        f"orders: {len(results)}, reached a runner over {DRAIN_S:.0f} s after its removal:",
        f"{len(late)} (any breaks DRAIN), of these run and not answered with success: {lost}",
    )
    return bool(late)


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
