"""A model runner starts again under its id at another software version, and ends again."""

import sys
from pathlib import Path

import trio
from site_of_review import DESK, POOL, Site, run

DRAFTS = 40
EVENTS = 20
ALLOWED = 2
"""Streams that may hold events of two software versions."""


def versions_of(body: bytes) -> set[str]:
    lines = body.decode().splitlines()
    return {line.split()[1] for line in lines if line.startswith("data: ")}


async def scenario(site: Site, trouble: bool) -> bool:
    await site.add("i-1", POOL, events=EVENTS)
    second = await site.add("i-2", POOL, events=EVENTS)
    for number in range(3, 6):
        await trio.sleep(0.3)
        await site.add(f"d-{number}", DESK)
    entries = await site.start_entries(2)
    mixed: list[str] = []

    async def draft(number: int) -> None:
        got = await entries[number % 2].call(
            "POST", "/menu-draft/a", f"draft-{number}", deadline="5000",
            x_model="m", x_token_count="800,50", x_prompt_prefix=f"{number:x}f:800",
        )  # fmt: skip
        found = versions_of(got.body)
        site.record.add("client-has", request=f"draft-{number}", versions=sorted(found))
        if len(found) > 1:
            mixed.append(f"draft-{number}")

    for number in range(4):
        await draft(1000 + number)
    if trouble:
        # It is a quiet minute of a small site: nothing runs at this moment.
        second.crash()
        await trio.sleep(0.3)
        second.version = "v2"
        await second.start()
        second.register_later()
    await trio.sleep(0.1)
    async with trio.open_nursery() as nursery:
        for number in range(DRAFTS):
            nursery.start_soon(draft, number)
            await trio.sleep(0.024)
        if trouble:
            second.crash()
            await trio.sleep(0.3)
            await second.start()
            second.register_later()
    site.record.add("streams-of-two-versions", count=len(mixed), allowed=ALLOWED)
    return len(mixed) > ALLOWED


if __name__ == "__main__":
    sys.exit(run(scenario, Path(__file__).parent))
