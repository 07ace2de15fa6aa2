"""Tests of the `measure` command and the experiment registry."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from ragwortwing_lab.experiments import registry
from ragwortwing_lab.experiments.registry import Experiment, experiment
from ragwortwing_lab.measure import measure

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class SeedResult:
    seed: int

    def render(self) -> str:
        return f"figure of seed {self.seed}"


@pytest.fixture(autouse=True)
def single_experiment(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the registered experiments with a single quick one."""
    monkeypatch.setattr(registry, "MODULES", ())
    by_name: dict[str, Experiment] = {}
    monkeypatch.setattr(registry, "experiments_by_name", by_name)

    @experiment("quick")
    def quick(seed: int) -> SeedResult:
        """Return the seed."""
        return SeedResult(seed)


def test_without_a_name_experiments_are_listed() -> None:
    assert CliRunner().invoke(measure, []).output == "quick  Return the seed.\n"


def test_experiment_prints_text_or_json() -> None:
    table = CliRunner().invoke(measure, ["quick", "--seed", "7"])
    assert table.output == "figure of seed 7\n"
    as_json = CliRunner().invoke(measure, ["quick", "--seed", "7", "--json"])
    assert json.loads(as_json.output) == {"seed": 7}


def test_unknown_experiment_is_rejected() -> None:
    assert CliRunner().invoke(measure, ["other"]).exit_code == 2


def test_all_writes_a_report_for_three_seeds(tmp_path: Path) -> None:
    result = CliRunner().invoke(measure, ["all", "--out", str(tmp_path), "--jobs", "1"])
    assert result.exit_code == 0
    report = (tmp_path / "report.md").read_text(encoding="utf-8")
    assert all(f"figure of seed {seed}" in report for seed in (1, 2, 3))
