"""Output and exit codes of the operator commands, including failures of the log."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import httpcore
import pytest
from click.testing import CliRunner, Result

from ragwortwing_entry.__main__ import main

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

DOCUMENT = """
format = 1
[classes.chat]
tier = 0
[classes.draft]
tier = 3
[presets.ordinary]
[presets.peak.classes.draft]
admitted = false
"""


class OperatorCli:
    """A log server and helpers that run commands against it."""

    def __init__(self, listen: dict[str, str], directory: Path) -> None:
        self.control = listen["control"]
        self.log = listen["http"]
        self.file = directory / "site.toml"
        self.file.write_text(DOCUMENT)

    def fault(self, kind: str, **fields: Any) -> None:
        content = json.dumps({"kind": kind} | fields).encode()
        httpcore.request("POST", f"http://{self.control}/fault", content=content)

    def run(self, *arguments: str) -> Result:
        return CliRunner().invoke(main, [*arguments, "--log", self.log])

    def json(self, *arguments: str) -> tuple[int, Any]:
        result = self.run(*arguments, "--json")
        return result.exit_code, json.loads(result.stdout)

    def publish_first(self) -> None:
        code, value = self.json("config", "publish", str(self.file), "--preset", "ordinary")
        assert (code, value["revision"]) == (0, 0)


@pytest.fixture
def cli(tmp_path: Path) -> Iterator[OperatorCli]:
    command = [sys.executable, "-m", "ragwortwing_lab", "store"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        try:
            yield OperatorCli(json.loads(process.stdout.readline())["listen"], tmp_path)
        finally:
            process.terminate()


def test_publish_show_switch_and_history(cli: OperatorCli) -> None:
    cli.publish_first()
    assert cli.json("preset", "use", "peak", "--note", "wedding season") == (
        0,
        {"result": "accepted", "revision": 1, "preset": "peak"},
    )
    assert cli.json("preset", "current") == (0, {"preset": "peak", "revision": 1})
    assert cli.run("preset", "list").stdout == "  ordinary\n* peak\n"
    shown = cli.run("config", "show").stdout
    assert shown.startswith("# revision 1 in force, preset peak\n")
    cli.file.write_text(shown.replace("tier = 3", "tier = 4"))
    assert cli.json("config", "diff", str(cli.file)) == (
        0,
        [{"path": "classes.draft.tier", "old": 3, "new": 4}],
    )
    assert cli.json("config", "publish", str(cli.file))[1]["preset"] == "peak"
    assert cli.json("config", "diff", "0", "2")[1][0]["path"] == "classes.draft.tier"
    code, records = cli.json("config", "history")
    assert [each["verdict"] for each in records] == ["accepted"] * 3
    assert records[1]["note"] == "wedding season"
    assert "wedding season" in cli.run("config", "history").stdout


def test_conflicting_publication_is_refused_with_state_in_force(cli: OperatorCli) -> None:
    """Guards against a publication that silently undoes a concurrent preset switch.

    Both changes are based on revision 0; the second is refused and learns what is in force.
    """
    cli.publish_first()
    assert cli.json("preset", "use", "peak", "--base", "0")[0] == 0
    code, value = cli.json("config", "publish", str(cli.file), "--base", "0")
    assert code == 1
    assert value == {
        "result": "conflict",
        "base": 0,
        "revision_in_force": 1,
        "preset_in_force": "peak",
    }
    assert cli.json("preset", "current")[1] == {"preset": "peak", "revision": 1}


def test_invalid_file_is_refused_with_all_faults(cli: OperatorCli) -> None:
    cli.file.write_text(DOCUMENT.replace("tier = 0", "tier = 99\ncolour = 1") + "x = 1\n")
    code, value = cli.json("config", "publish", str(cli.file), "--preset", "ordinary")
    assert code == 2
    assert {fault["path"] for fault in value["faults"]} == {
        "classes.chat.colour",
        "presets.peak.classes.draft.x",
    }
    result = CliRunner().invoke(main, ["config", "check", str(cli.file)])
    assert result.exit_code == 2
    assert "classes.chat.colour: unknown key" in result.stderr


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("preset", "current"), 1),
        (("config", "show"), 1),
        (("preset", "use", "peak"), 1),
        (("config", "publish", "/nowhere.toml", "--preset", "ordinary"), 2),
    ],
)
def test_exit_codes_before_first_publication(
    cli: OperatorCli, arguments: tuple[str, ...], code: int
) -> None:
    assert cli.run(*arguments).exit_code == code


def test_unknown_preset_or_revision_is_bad_input(cli: OperatorCli) -> None:
    cli.publish_first()
    assert cli.run("preset", "use", "nope").exit_code == 2
    assert cli.run("config", "show", "--revision", "9").exit_code == 2


def test_log_outage_is_reported(cli: OperatorCli) -> None:
    """Guards against reporting success, or a wrong cause, while the log is unavailable."""
    cli.publish_first()
    cli.fault("outage")
    code, value = cli.json("preset", "use", "peak")
    assert (code, value) == (3, {"result": "log_unavailable", "cause": "outage"})


def test_publication_succeeds_after_lost_reply(cli: OperatorCli) -> None:
    """Guards against a second append or an error if the log's reply to an append is lost."""
    cli.publish_first()
    cli.fault("lose_reply")
    assert cli.json("preset", "use", "peak")[0] == 0
    assert cli.json("preset", "current")[1]["preset"] == "peak"
    assert len(cli.json("config", "history")[1]) == 2


def test_change_is_refused_after_log_lost_its_state(cli: OperatorCli) -> None:
    """Guards against changes on top of an unknown state after the log has trimmed its records.

    This happens if every process was down for longer than the log's retention, so that no
    checkpoint is left. Only an unconditional publication of a complete configuration is accepted.
    """
    cli.publish_first()
    cli.fault("trim", stream="configuration", offset=1)
    assert cli.json("preset", "use", "peak") == (1, {"result": "state_lost"})
    publish = ("config", "publish", str(cli.file), "--preset", "peak")
    assert cli.json(*publish)[0] == 1
    assert cli.json(*publish, "--unconditional")[0] == 0
    assert cli.json("preset", "current")[1] == {"preset": "peak", "revision": 1}


def test_log_address_is_read_from_entry_settings(cli: OperatorCli, tmp_path: Path) -> None:
    cli.publish_first()
    settings = tmp_path / "entry.toml"
    settings.write_text(f"""
name = "entry-1"
zone = "suva"
[listen]
http = "127.0.0.1:0"
[platform]
log = "http://{cli.log}"
""")
    result = CliRunner().invoke(main, ["preset", "current", "--settings", str(settings)])
    assert (result.exit_code, result.stdout) == (0, "ordinary (revision 0)\n")
    assert CliRunner().invoke(main, ["preset", "current"]).exit_code == 2


def test_history_shows_operator_of_preset_switch(cli: OperatorCli) -> None:
    """Guards against a preset switch that appears in the history without its operator."""
    cli.publish_first()
    assert cli.run("preset", "use", "peak", "--operator", "litia").exit_code == 0
    assert "operator=litia" in cli.run("config", "history").stdout
