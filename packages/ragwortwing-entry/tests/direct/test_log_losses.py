"""Tests loss counts from logs that are truncated, interleaved or mixed with foreign lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from click.testing import CliRunner

from ragwortwing_entry.__main__ import main
from ragwortwing_entry.direct.log_losses import Grouping, Loss, losses

if TYPE_CHECKING:
    from pathlib import Path


def line(message: str, at: float, request_id: str, **fields: Any) -> bytes:
    named = {"time": at, "process": "entry-1", "message": message, "request_id": request_id}
    return msgspec.json.encode(named | fields)


def answered(request_id: str, at: float, waited: int = 0, **end_fields: Any) -> list[bytes]:
    fields = {"outcome": "answered", "kind": "success", "first_event_ms": 100} | end_fields
    targets = {"route": "chats", "target_ms": 400, "pause_target_ms": 300}
    return [
        line("request_accepted", at, request_id, **targets),
        line("request_placed", at, request_id, waited_ms=waited),
        line("request_ended", at + 1, request_id, **fields),
    ]


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (answered("r", 0.0, first_event_ms=500, waited=300), Loss.LATE_WAITED),
        (answered("r", 0.0, first_event_ms=500, waited=100), Loss.LATE_ENGINE),
        (answered("r", 0.0, longest_pause_ms=301), Loss.LATE_PAUSE),
        (answered("r", 0.0, kind="failure"), Loss.FAILED_RUN),
        (answered("r", 0.0, outcome="broken_off"), Loss.BROKEN_OFF),
        (answered("r", 0.0, outcome="concluded", conclusion="Refused(reason=x)"), Loss.REFUSED),
        (answered("r", 0.0, outcome="concluded", conclusion="Unresolved(x)"), Loss.UNRESOLVED),
        (answered("r", 0.0, outcome="concluded", conclusion="Denial.NO_ROUTE"), Loss.DENIED),
        ([*answered("r", 0.0)[:2], line("caller_left", 1.0, "r")], Loss.CALLER_LEFT),
        (answered("r", 0.0)[:2], Loss.NO_END),
    ],
)
def test_each_loss_has_its_reason(lines: list[bytes], reason: Loss) -> None:
    (row,) = losses(lines).rows
    assert (row.group, row.reason, row.requests) == (("chats",), reason, 1)


def test_request_on_time_is_not_a_loss() -> None:
    table = losses(answered("r", 0.0, longest_pause_ms=300, first_event_ms=400))
    assert table.rows == ()
    assert table.request_count_by_group == {("chats",): 1}


def test_spans_start_at_first_line_and_unparsable_lines_are_counted() -> None:
    late_fields = {"first_event_ms": 900}
    lines = [
        *answered("a", 100.0, **late_fields),
        *answered("b", 106.0, **late_fields),
        b"{cut",
        b"no line",
    ]
    table = losses(lines, span=5.0)
    assert [row.since for row in table.rows] == [0.0, 5.0]
    assert table.skipped == 2


def refused(request_id: str, at: float, account: str) -> list[bytes]:
    fields = {"outcome": "concluded", "conclusion": "Refused(reason=x)"}
    return [
        line("request_accepted", at, request_id, route="chats", account=account, zone="suva"),
        line("request_refused", at, request_id, reason="overloaded"),
        line("request_ended", at, request_id, **fields),
    ]


OF_ONE_ENTRY = [
    *refused("a", 1.0, "big"),
    *refused("b", 1.0, "big"),
    *refused("c", 1.0, "small"),
    line("request_ended", 1.0, "d", outcome="concluded", conclusion="Denial.UNKNOWN_KEY"),
]


def test_losses_are_grouped_by_account_and_zone() -> None:
    """Guards against losses of one account or zone that a table by route does not show.

    A denied request has no account; its zone is that of its process.
    """
    table = losses(OF_ONE_ENTRY, groupings=(Grouping.ACCOUNT, Grouping.ZONE))
    assert [(row.group, row.reason, row.requests) for row in table.rows] == [
        (("", "suva"), Loss.DENIED, 1),
        (("big", "suva"), Loss.REFUSED, 2),
        (("small", "suva"), Loss.REFUSED, 1),
    ]
    assert table.to_csv().startswith("account,zone,since_s,reason,requests\n,suva,0.0,denied,1\n")


def test_losses_are_grouped_by_engine_of_last_send() -> None:
    """Guards against a loss that counts for an engine which declined the request before."""
    lines = [
        line("request_sent", 0.1, "r", backend="i-1"),
        line("send_declined", 0.2, "r", backend="i-1"),
        line("request_sent", 0.3, "r", backend="i-2"),
    ]
    (row,) = losses([*answered("r", 0.0, kind="failure"), *lines], 5.0, (Grouping.ENGINE,)).rows
    assert row.group == ("i-2",)


def test_lines_of_an_older_version_have_no_account_or_zone() -> None:
    """Guards against logs of an older version that can no longer be read."""
    groupings = (Grouping.ACCOUNT, Grouping.ENGINE, Grouping.ZONE)
    (row,) = losses(answered("r", 0.0, longest_pause_ms=301), 5.0, groupings).rows
    assert row.group == ("", "", "")


def test_summary_shows_how_the_requests_of_each_account_ended(tmp_path: Path) -> None:
    """Guards against a refusal rate by account that does not add up to its requests."""
    on_time = line("request_accepted", 0.5, "e", account="big", zone="suva", target_ms=400)
    log = tmp_path / "a.log"
    log.write_bytes(b"\n".join([*OF_ONE_ENTRY, on_time, *answered("e", 1.0)[2:]]) + b"\n")
    arguments = ["request", "losses", str(log), "--summary"]
    assert CliRunner().invoke(main, [*arguments, "--csv"]).output.splitlines() == [
        "account,requests,on_time,late,refused,other",
        "big,3,1,0,2,0",
        ",1,0,0,0,1",
        "small,1,0,0,1,0",
    ]
    assert CliRunner().invoke(main, arguments).output.splitlines()[1].split() == [
        *("big", "3", "0.600", "0.333", "0.000", "0.667", "0.000")
    ]
    by_zone = CliRunner().invoke(main, [*arguments, "--by", "zone", "--csv"]).output
    assert by_zone.splitlines()[1:] == ["suva,5,1,0,3,1"]


def test_command_reads_log_directory(tmp_path: Path) -> None:
    (tmp_path / "a.log").write_bytes(b"\n".join(answered("a", 1.0, first_event_ms=900)) + b"\n")
    (tmp_path / "more").mkdir()
    (tmp_path / "more" / "b.log").write_bytes(b"\n".join(answered("b", 1.0)) + b"\n")
    result = CliRunner().invoke(main, ["request", "losses", str(tmp_path)])
    assert result.exit_code == 0
    assert "1 of 2 requests" in result.output
    result = CliRunner().invoke(main, ["request", "losses", str(tmp_path), "--csv"])
    assert result.output.splitlines() == [
        "route,since_s,reason,requests",
        "chats,0.0,late_engine,1",
    ]
    bad = CliRunner().invoke(main, ["request", "losses", str(tmp_path), "--span", "0"])
    assert bad.exit_code == 2
    assert CliRunner().invoke(main, ["request", "losses", str(tmp_path / "no")]).exit_code == 2
