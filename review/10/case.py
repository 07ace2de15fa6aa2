"""An order desk leaves; the store does one of its earlier heartbeats only after that."""

import os
import sys
from pathlib import Path

import trio
from site_of_review import DESK, HEARTBEAT, LATE, Site, run

DRAIN = 2.0
"""`drain_ms`, in seconds."""
STABLE_WINDOW = 3.0
"""`stable_window_ms`, in seconds."""
GAP = 0.2
"""Seconds between two orders."""
QUIET = 1.0
"""Seconds without an order, by chance, from just before the desk reports that it leaves."""
SERVES_FOR = 5.0
"""Seconds for which the desk goes on serving after its report, at most."""


async def scenario(site: Site, trouble: bool) -> bool:
    leaver = await site.add("d-1", DESK, zone="suva")
    for number in (2, 3):
        await site.add(f"d-{number}", DESK, zone="nadi")
    entries = await site.start_entries(2)
    stop = trio.Event()
    status_by_order: dict[str, int | None] = {}

    async def orders() -> None:
        number = 0
        while not stop.is_set():
            name = f"order-{number}"
            status_by_order[name] = (
                await entries[number % 2].call("POST", "/place-order/cake", name)
            ).status
            number += 1
            await trio.sleep(GAP)

    async with trio.open_nursery() as nursery:
        await trio.sleep(1.0)
        leaver.lose_next_beat = trouble
        while trouble and leaver.lose_next_beat:
            await trio.sleep(0.005)
        lost_at = site.record.now()
        # The store lost an answer just now, and from here on it is well.
        await trio.sleep(STABLE_WINDOW + 0.05 - (site.record.now() - lost_at))
        leaver.register("draining")
        acknowledged = site.record.now()
        await trio.sleep(QUIET)
        nursery.start_soon(orders)
        # It goes on serving for `drain_ms` and a little longer, and exits within an order.
        with trio.move_on_after(SERVES_FOR - QUIET):
            while not (site.record.now() > acknowledged + DRAIN and leaver.running):
                await trio.sleep(0.005)
            await trio.sleep(0.03)
        leaver.unregister()
        leaver.crash()
        await trio.sleep(1.0)
        stop.set()
    late = [
        (at - acknowledged, request)
        for at, server, request in site.arrived
        if server == "d-1" and at > acknowledged + DRAIN
    ]
    for after, request in late:
        status = status_by_order.get(request)
        site.record.add(
            "reached-a-leaving-server", request=request, after_s=f"{after:.3f}", status=status
        )
    site.record.add(
        "draining", lost_write_at=f"{lost_at:.3f}", acknowledged=f"{acknowledged:.3f}",
        late_write_after=LATE, heartbeat=HEARTBEAT, later_than_drain_ms=len(late),
    )  # fmt: skip
    return bool(late)


if __name__ == "__main__":
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run(scenario, Path(__file__).parent, with_trouble))
