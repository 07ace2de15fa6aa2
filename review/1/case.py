"""A record of another writer among the runners' entries ends every entry, again and again.

Two entries, three runners of the order desk, sixteen clients with kept connections. Four seconds
after the entries are ready another writer puts one record under a key of its own into
`keyed.servers`. The platform starts a process that has ended again after a second.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from platform_parts import (
    DESK,
    TROUBLE,
    Entry,
    Site,
    call,
    client_headers,
    new_id,
    run_case,
)

UNREADABLE = b'{"a":' * 1500
"""Bytes that can't be read: 7.5 KB that nest deeper and deeper and break off."""

RESTART_DELAY = 1.0
CALM = 5.0
"""Seconds for which both entries serve before the record comes; over `stable_window_ms`."""
AFTER = 25.0


async def client(site: Site, entry: Entry, results: list[dict], stop: asyncio.Event) -> None:
    """Send one order after the other on kept connections."""
    connection, on_connection = None, 0
    while not stop.is_set():
        request = {"id": new_id(), "entry": entry.name, "sent": site.journal.now()}
        try:
            if connection is None:
                host, _, port = entry.front.rpartition(":")
                connection = await asyncio.open_connection(host, int(port))
                on_connection = 0
            request["kept"] = on_connection > 0
            answer = await asyncio.wait_for(
                call(
                    entry.front,
                    "POST",
                    "/pule252/2f",
                    client_headers(request["id"], 1500),
                    b"{}",
                    connection=connection,
                ),
                3.0,
            )
            request |= {"status": answer.status, "whole": answer.whole}
            on_connection += 1
            if not answer.whole or answer.headers.get("connection") == "close":
                connection[1].close()
                connection = None
        except (OSError, TimeoutError) as error:
            request |= {"status": None, "whole": False, "error": type(error).__name__}
            if connection is not None:
                connection[1].close()
            connection = None
        results.append(request)
        site.journal("answered", **request)
        await asyncio.sleep(0.02 if request["whole"] else 0.2)


async def keep_running(site: Site, entry: Entry) -> None:
    """Start a process again after it has ended, as the platform does."""
    while True:
        await asyncio.sleep(0.02)
        if not entry.runs:
            entry.ends += 1
            site.journal("entry_ended_by_itself", entry=entry.name, status=entry.process.returncode)
            await asyncio.sleep(RESTART_DELAY)
            entry.start()
            site.journal("entry_started", entry=entry.name)


async def case(site: Site) -> bool:
    for number in range(3):
        await site.add_runner(f"i-desk{number}", DESK, slots=12)
    entries = [await site.add_entry(), await site.add_entry("nadi")]
    for entry in entries:
        await entry.until_ready()
    await asyncio.sleep(2.0)
    results: list[dict] = []
    stop = asyncio.Event()
    tasks = [asyncio.create_task(keep_running(site, entry)) for entry in entries]
    clients = [asyncio.create_task(client(site, entry, results, stop)) for entry in entries * 8]
    await asyncio.sleep(CALM)
    record_at = site.journal.now()
    if TROUBLE:
        await site.store.put("keyed.servers", "i-0d1e", UNREADABLE)
        site.journal("unreadable_record_put", bytes=len(UNREADABLE))
    await asyncio.sleep(AFTER)
    stop.set()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*clients, *tasks, return_exceptions=True)
    ran = {request_id for runner in site.runners for _, request_id in runner.runs}
    lost = [
        each
        for each in results
        if each.get("kept") and each["status"] is None and each["id"] in ran
    ]
    before = [each for each in results if each["sent"] < record_at - 0.5]
    after = [each for each in results if each["sent"] > record_at + 1.0]
    served = [sum(each["status"] == 200 for each in part) for part in (before, after)]
    site.journal(
        "counted",
        passed_on_from_kept_connections_and_closed_without_an_answer=len(lost),
        ends_of_its_own={entry.name: entry.ends for entry in entries},
        before={"sent": len(before), "served": served[0]},
        after={"sent": len(after), "served": served[1]},
    )
    print(
        f"closed without an answer: {len(lost)} (more than 3 break LOST);",
        f"ends by themselves: {[entry.ends for entry in entries]};",
        f"served before: {served[0]} of {len(before)}, after: {served[1]} of {len(after)}",
    )
    if TROUBLE and any(entry.ends for entry in entries):
        site.journal("log_end", entry=entries[0].name, text=entries[0].log_end(1500))
    return len(lost) > 3


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
