"""Tests loss counts from logs that are truncated, interleaved or mixed with foreign lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from click.testing import CliRunner

from ragwortwing_entry.__main__ import main
from ragwortwing_entry.direct.log_losses import Loss, losses

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
    assert (row.route, row.reason, row.requests) == ("chats", reason, 1)


def test_request_on_time_is_not_a_loss() -> None:
    table = losses(answered("r", 0.0, longest_pause_ms=300, first_event_ms=400))
    assert table.rows == ()
    assert table.request_count_by_route == {"chats": 1}


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
