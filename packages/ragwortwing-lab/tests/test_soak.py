"""The soak's checks see what they are for, and seeds that once failed stay clean."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from ragwortwing_lab.soak.checks import SoakPromise, check_answers, check_planned_stops, check_runs
from ragwortwing_lab.soak.fleet import Fleet, end_backend
from ragwortwing_lab.soak.observations import Attempt, Kind, Span
from ragwortwing_lab.soak.runner import SoakShape, run_soak
from ragwortwing_lab.soak.schedule import STRAINS, SoakFault, draw_schedule
from ragwortwing_lab.standins.platform_site import Got, platform_site
from ragwortwing_lab.standins.published_backend import PublishedBackend, SeenRun

if TYPE_CHECKING:
    from pathlib import Path

SHORT = SoakShape(seconds=4.0, entries=2, callers=6, faults_per_second=1.0)


def attempt(kind: Kind, status: int | None, body: bytes = b"", *, whole: bool = True) -> Attempt:
    headers = {"x-request-id": "r-1", "x-server-stamp": "s"}
    return Attempt("r-1", kind, "entry-0/1", 0.0, 0.1, Got(status, headers, body, whole, 0.1))


def ran(kind: Kind, times: int) -> list[PublishedBackend]:
    backend = PublishedBackend("i-1", "desk")
    backend.runs = [SeenRun("r-1", f"/{kind}/x", b"", {}, 0.0)] * times
    return [backend]


def events(count: int, of: str = "r-1") -> bytes:
    return b"".join(b"id: %d\ndata: %s-%d\n\n" % (n, of.encode(), n) for n in range(count))


@pytest.mark.parametrize(
    ("kind", "status", "times", "promise"),
    [
        (Kind.ORDER, 200, 2, SoakPromise.ONCE),
        (Kind.CHAT, 200, 2, SoakPromise.ONCE),
        (Kind.ORDER, 503, 1, SoakPromise.NOT_RUN),
        (Kind.LOOKUP, 200, 2, None),
        (Kind.DRAFT, 503, 1, None),
        (Kind.ORDER, 502, 1, None),
    ],
)
def test_runs_are_held_against_what_was_told(
    kind: Kind, status: int, times: int, promise: SoakPromise | None
) -> None:
    found = [each.promise for each in check_runs([attempt(kind, status)], ran(kind, times))]
    assert found == ([] if promise is None else [promise])


@pytest.mark.parametrize(
    ("seen", "is_sound"),
    [
        (attempt(Kind.ORDER, 200, b"r-1 by i-1"), True),
        (attempt(Kind.ORDER, 200, b"r-2 by i-1"), False),
        (attempt(Kind.CHAT, 200, events(10)), True),
        (attempt(Kind.CHAT, 200, events(9)), False),
        (attempt(Kind.CHAT, 200, events(4), whole=False), True),
        (attempt(Kind.CHAT, 200, events(4, of="r-2"), whole=False), False),
        (attempt(Kind.CHAT, 503), True),
    ],
)
def test_a_success_has_to_be_whole_and_the_callers_own(seen: Attempt, is_sound: bool) -> None:
    assert (list(check_answers([seen], frozenset({"i-1"}))) == []) is is_sound


@pytest.mark.parametrize(
    ("stopped_at", "whole", "spans", "is_sound"),
    [
        (0.05, False, (), False),
        (0.05, True, (), True),
        (0.05, False, (Span(-1.0, -0.5),), True),
        (0.05, False, (Span(-9.0, -5.0),), False),
        (-2.0, False, (), False),
        (-3.5, False, (), True),
        (0.2, False, (), True),
    ],
)
def test_a_planned_stop_cuts_nothing(
    stopped_at: float, whole: bool, spans: tuple[Span, ...], is_sound: bool
) -> None:
    seen = attempt(Kind.CHAT, 200, events(3), whole=whole)
    found = list(check_planned_stops([seen], {"entry-0/1": stopped_at}, spans))
    assert (found == []) is is_sound


def test_a_schedule_is_its_seeds_and_strikes_in_series() -> None:
    faults = draw_schedule(Random(5), 300.0, 0.8)
    assert faults == draw_schedule(Random(5), 300.0, 0.8)
    strains = draw_schedule(Random(5), 300.0, 0.8, STRAINS)
    assert {fault.kind for fault in (*faults, *strains)} == set(SoakFault)
    assert len(faults) > 1.3 * 0.8 * 300


async def test_a_backend_server_is_struck_while_its_successor_starts(tmp_path: Path) -> None:
    """Two faults of a series hit one place: a backend server is being replaced when a crash strikes
    it. The crash is the former one's; the soak ended in an error when it hit the successor before
    that one listened (seed 4242 with 20 entries)."""
    async with platform_site(tmp_path) as site:
        fleet = Fleet(site, Random(1), entries=1)
        seat = fleet.seats[0]
        await fleet.seat_backend(seat)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.seat_backend, seat)
            await trio.lowlevel.checkpoint()
            end_backend(seat.scopes)
        assert seat.backend is not None
        assert seat.backend.id.endswith("-2")


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_short_soak_keeps_every_promise(tmp_path: Path, seed: int) -> None:
    result = await run_soak(seed, SHORT, tmp_path)
    assert result.violations == (), result.render()


async def test_a_soak_of_strains_keeps_every_promise(tmp_path: Path) -> None:
    shape = SoakShape(8.0, entries=3, callers=8, faults_per_second=0.0, strains_per_second=1.5)
    result = await run_soak(3, shape, tmp_path)
    assert result.violations == (), result.render()
    assert {each.kind for each in result.struck} == set(STRAINS)
