"""A part of a prompt crashes each model runner that begins an answer on it."""

import os
import sys
from pathlib import Path

import trio
from site_of_review import HEARTBEAT, POOL, Server, Site, run

SECONDS = 24.0
SOUND_PER_SECOND, DEADLY_PER_SECOND = 8.0, 2.0
RUNNERS = 6
BACK_AFTER = 2.5
"""Seconds after which a runner that crashed is back, as a new incarnation."""
STABLE_WINDOW = 3.0
"""`stable_window_ms`, in seconds."""
ALLOWED = 3
"""Requests with the part that may reach runners later than that after the fifth crash."""
PARTS, DEADLY_PLACE = 40, 36
"""Parts of each prompt, and the place of the deadly one: passages found for a question."""
DEADLY = "bad0bad0"


def prompt(number: int, deadly: bool) -> str:
    """Return the parts of a prompt; no two have the same last one."""
    ids = [f"c0de{place:04x}" for place in range(PARTS - 1)]
    if deadly:
        ids[DEADLY_PLACE - 1] = DEADLY
    return ",".join(f"{each}:20" for each in [*ids, f"{number:08x}"])


async def scenario(site: Site, trouble: bool) -> bool:
    crashes: list[float] = []
    arrived: list[tuple[float, str]] = []
    names = iter(range(1000))

    async def back(server: Server) -> None:
        await trio.sleep(BACK_AFTER)
        former, server.id = server.id, f"i-{next(names)}"
        await server.start()
        server.register()
        await trio.sleep(max(0.0, 3 * HEARTBEAT - BACK_AFTER))
        site.store.drop("keyed.servers", former)

    def on_deadly(server: Server, request: str) -> None:
        crashes.append(site.record.now())
        site.record.add("server-crashes-on-part", id=server.id, request=request, count=len(crashes))
        server.crash()
        site.nursery.start_soon(back, server)

    for _ in range(RUNNERS):
        server = await site.add(f"i-{next(names)}", POOL, events=8, gap=0.04)
        server.deadly, server.on_deadly = DEADLY, on_deadly
    entries = await site.start_entries(2)
    lost: list[str] = []

    async def request(kind: str, number: int) -> None:
        deadly = kind == "deadly" and trouble
        got = await entries[number % 2].call(
            "POST", "/chat-reply/a", f"{kind}-{number}", deadline="15000",
            x_model="m", x_token_count=f"{20 * PARTS},50",
            x_prompt_prefix=prompt(number + (1 << 20) * (kind == "deadly"), deadly),
        )  # fmt: skip
        if not deadly and got.status != 503 and not got.whole:
            lost.append(f"{kind}-{number}")

    async def requests(kind: str, rate: float) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(int(SECONDS * rate)):
                nursery.start_soon(request, kind, number)
                await trio.sleep(1 / rate)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(requests, "sound", SOUND_PER_SECOND)
        nursery.start_soon(requests, "deadly", DEADLY_PER_SECOND)
    since = crashes[4] + STABLE_WINDOW if len(crashes) > 4 else float("inf")
    arrived = [each for at, _, each in site.arrived if at > since and each.startswith("deadly")]
    site.record.add("crashes", count=len(crashes), counted_from=since, later=len(arrived),
                    allowed=ALLOWED, sound_requests_cut_off=len(lost))  # fmt: skip
    return trouble and len(arrived) > ALLOWED


if __name__ == "__main__":
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run(scenario, Path(__file__).parent, with_trouble))
