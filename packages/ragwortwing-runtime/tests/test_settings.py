"""Tests of process settings: all faults of a file are reported, with key and value."""

from __future__ import annotations

import tomllib
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest

from ragwortwing_runtime.settings import AgentSettings, EntrySettings
from ragwortwing_runtime.settings_reader import (
    Address,
    FaultySettings,
    SettingsFault,
    read_settings,
    structure_settings,
)

if TYPE_CHECKING:
    from pathlib import Path

AGENT_TOML = """
name = "agent-1"
zone = "suva"
[listen]
wire = "127.0.0.1:0"
http = "[::1]:8081"
[platform]
log = "http://127.0.0.1:4001"
[backend]
address = "127.0.0.1:9000"
kind = "engine"
targets = ["vonu-small"]
[shutdown]
limit = "5m"
"""


def test_reads_types_and_defaults(tmp_path: Path) -> None:
    path = tmp_path / "agent.toml"
    path.write_text(AGENT_TOML)
    settings = read_settings(path, AgentSettings)
    assert isinstance(settings, AgentSettings)
    assert settings.listen.http == Address("::1", 8081)
    assert settings.shutdown.limit == timedelta(minutes=5)
    assert settings.backend.targets == ("vonu-small",)
    assert settings.connections.heartbeat_timeout == timedelta(seconds=2)


@pytest.mark.parametrize(
    ("key", "value", "allowed"),
    [
        ("zone", 3, "a string"),
        ("zone", "two words", "printable characters without spaces"),
        ("listen.wire", "suva-1:80", "an IP address with a port"),
        ("listen.wire", "127.0.0.1", "an IP address with a port"),
        ("platform.log", "https://127.0.0.1:1", "a URL by IP address"),
        ("platform.log", "http://log:1", "a URL by IP address"),
        ("backend.kind", "engin", '"engine", "service"'),
        ("backend.targets", [], "from 1 to"),
        ("backend.targets", "vonu", "a list"),
        ("backend.initial_concurrency", 0, "from 1 to 10,000"),
        ("backend.initial_concurrency", True, "a whole number"),
        ("backend.fenced", 1, "true or false"),
        ("telemetry", 4, "a table"),
        ("telemetry.sample_ratio", 1.5, "from 0.0 to 1.0"),
        ("telemetry.log_level", "loud", '"warning"'),
        ("connections.heartbeat_timeout", "0s", "above zero"),
        ("connections.heartbeat_timeout", 5, "a duration"),
        ("shutdown.limit", "-5s", "a duration"),
    ],
)
def test_a_fault_reports_key_value_and_allowed_values(
    key: str, value: object, allowed: str
) -> None:
    table = tomllib.loads(AGENT_TOML)
    *parent_keys, last_key = key.split(".")
    parent_table = table
    for parent_key in parent_keys:
        parent_table = parent_table.setdefault(parent_key, {})
    parent_table[last_key] = value
    faulty = structure_settings(table, AgentSettings)
    assert isinstance(faulty, FaultySettings)
    (fault,) = faulty.faults
    assert (fault.key, fault.value) == (key, value)
    assert allowed in fault.allowed


def test_all_faults_of_a_file_are_reported() -> None:
    table = tomllib.loads(AGENT_TOML) | {"colour": "blue"}
    del table["zone"]
    table["backend"] |= {"targets": ["a", 3], "initial_concurency": 3}
    faulty = structure_settings(table, AgentSettings)
    assert isinstance(faulty, FaultySettings)
    keys = {fault.key for fault in faulty.faults}
    assert keys == {"zone", "colour", "backend.targets[1]", "backend.initial_concurency"}


def test_contradictory_keys_are_reported_as_a_fault_of_their_table() -> None:
    table = tomllib.loads(AGENT_TOML)
    table["connections"] = {"heartbeat_interval": "3s", "heartbeat_timeout": "2s"}
    table["backend"] |= {"initial_concurrency": 400}
    faulty = structure_settings(table, AgentSettings)
    assert isinstance(faulty, FaultySettings)
    assert {fault.key for fault in faulty.faults} == {"connections", "backend"}


@pytest.mark.parametrize("text", ["name = ", b"\xff\xfe"])
def test_an_invalid_toml_file_is_reported_as_one_fault(tmp_path: Path, text: str | bytes) -> None:
    path = tmp_path / "entry.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    faulty = read_settings(path, EntrySettings)
    assert isinstance(faulty, FaultySettings)
    assert faulty.faults[0].allowed == "TOML in UTF-8"


def test_a_missing_file_is_reported_as_one_fault(tmp_path: Path) -> None:
    faulty = read_settings(tmp_path / "none.toml", EntrySettings)
    assert isinstance(faulty, FaultySettings)
    assert faulty.faults == (
        SettingsFault(str(tmp_path / "none.toml"), "No such file or directory", "a readable file"),
    )
