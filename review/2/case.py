"""An order runs twice: a second copy of a refusal is taken for the answer to its next send.

Two entries, one runner of the order desk with six slots, 36 clients that place orders and honour
`Retry-After`. The desk is busy, so it refuses some orders (503 with `X-Not-Executed`). A faulty
runner then sends 3 in 100 of its answers twice; the second copy comes late, where the next answer
on the connection is expected. Every answer echoes its `X-Request-Id`.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from platform_parts import (
    DESK,
    TROUBLE,
    Entry,
    Runner,
    Site,
    call,
    client_headers,
    configuration,
    new_id,
    run_case,
)

SHARE = 0.03
SPELL, PAUSE, SPELLS = 5.0, 3.0, 9
CLIENTS = 36
DEADLINE_MS = 1500


async def attempt(site: Site, entry: Entry, results: list[dict], deadline_ms: int) -> dict:
    request = {"id": new_id(), "entry": entry.name, "sent": round(site.journal.now(), 4)}
    try:
        answer = await asyncio.wait_for(
            call(
                entry.front,
                "POST",
                "/pule252/2f",
                client_headers(request["id"], deadline_ms),
                b'{"cake":1}',
            ),
            3.0,
        )
        request |= {
            "status": answer.status,
            "reason": answer.headers.get("x-ragwortwing-reason"),
            "stamp": answer.headers.get("x-server-stamp"),
            "retry_after": float(answer.headers.get("retry-after", "0")),
        }
    except (OSError, TimeoutError) as error:
        request |= {"status": None, "error": type(error).__name__, "retry_after": 0.0}
    results.append(request)
    site.journal("answered", **request)
    return request


async def client(
    site: Site, results: list[dict], tried_again: list[dict], stop: asyncio.Event
) -> None:
    """Place orders; repeat each once, after a refusal only and when told."""
    while not stop.is_set():
        first = await attempt(site, random.choice(site.entries), results, DEADLINE_MS)
        left = DEADLINE_MS / 1000 - (site.journal.now() - first["sent"])
        if first["status"] in (429, 503) and first["retry_after"] <= left / 3:
            await asyncio.sleep(first["retry_after"])
            left = DEADLINE_MS / 1000 - (site.journal.now() - first["sent"])
            again = await attempt(site, random.choice(site.entries), results, int(1000 * left))
            tried_again.append({"first": first["id"], "again": again["id"]})
            site.journal("tried_again", **tried_again[-1])
        await asyncio.sleep(random.uniform(0.05, 0.4))


async def spoil(site: Site, desk: Runner) -> None:
    for _ in range(SPELLS):
        desk.late_extra = SHARE if TROUBLE else 0.0
        site.journal("spell_begins", share=desk.late_extra)
        await asyncio.sleep(SPELL)
        desk.late_extra = 0.0
        site.journal("spell_ends")
        await asyncio.sleep(PAUSE)


async def case(site: Site) -> bool:
    await site.store.put("keyed.op", "config", configuration(8, r_order={"max_attempts": 3}))
    desk = await site.add_runner("i-desk0", DESK, slots=6, queue=2, work=0.06)
    entries = [await site.add_entry(), await site.add_entry("nadi")]
    for entry in entries:
        await entry.until_ready()
    await asyncio.sleep(4.0)
    results: list[dict] = []
    tried_again: list[dict] = []
    stop = asyncio.Event()
    clients = [
        asyncio.create_task(client(site, results, tried_again, stop)) for _ in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)
    await spoil(site, desk)
    stop.set()
    await asyncio.gather(*clients, return_exceptions=True)
    await asyncio.sleep(2.0)
    ran = [request_id for _, request_id in desk.runs]
    refused = [each for each in results if each["status"] in (408, 421, 429, 503)]
    broken = [each for each in refused if each["id"] in set(ran)]
    for each in broken:
        site.journal("refused_and_run", **each)
    again_by_first = {each["first"]: each["again"] for each in tried_again}
    doubled = sum(again_by_first.get(each["id"]) in set(ran) for each in broken)
    twice = len(ran) - len(set(ran))
    for request_id, times in Counter(ran).items():
        if times > 1:
            site.journal("run_twice", id=request_id, times=times)
    site.journal(
        "counted",
        orders=len(results),
        refused=len(refused),
        refused_and_run=len(broken),
        doubled=doubled,
        run_twice=twice,
        second_copies=desk.extras,
        arrivals=len(desk.arrivals),
    )
    print(
        f"orders: {len(results)}, run twice: {twice} (any breaks TWICE);",
        f"refused: {len(refused)}, refused and run: {len(broken)} (breaks REFUSED as well),",
        f"of these placed again and run again: {doubled}; second copies: {desk.extras}",
    )
    return twice > 0


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
