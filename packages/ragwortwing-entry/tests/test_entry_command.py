"""Tests of the entry command with invalid settings and of the status command without an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from click.testing import CliRunner

from ragwortwing_entry.__main__ import main
from ragwortwing_runtime.settings_reader import FAULTY_SETTINGS_EXIT_CODE

if TYPE_CHECKING:
    from pathlib import Path


def test_every_settings_fault_is_printed(tmp_path: Path) -> None:
    path = tmp_path / "entry.toml"
    path.write_text('name = "entry-1"\nzone = 3\ncolour = "blue"\n')
    result = CliRunner().invoke(main, ["entry", "run", "--settings", str(path)])
    assert result.exit_code == FAULTY_SETTINGS_EXIT_CODE
    for fault in ("zone: 3 is not allowed; allowed: a string", "colour:", "listen:", "platform:"):
        assert fault in result.output


def test_status_of_unreachable_entry_fails() -> None:
    result = CliRunner().invoke(main, ["status", "--operator", "127.0.0.1:1"])
    assert result.exit_code == 1
    assert "gave no answer: ConnectError" in result.output
