"""The measure command and its registry."""

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
class Figure:
    seed: int

    def render(self) -> str:
        return f"figure of seed {self.seed}"


@pytest.fixture(autouse=True)
def only_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leave one quick experiment in the registry."""
    monkeypatch.setattr(registry, "MODULES", ())
    by_name: dict[str, Experiment] = {}
    monkeypatch.setattr(registry, "experiments_by_name", by_name)

    @experiment("quick")
    def quick(seed: int) -> Figure:
        """Return the seed."""
        return Figure(seed)


def test_without_a_name_it_lists() -> None:
    assert CliRunner().invoke(measure, []).output == "quick  Return the seed.\n"


def test_an_experiment_prints_a_table_or_json() -> None:
    table = CliRunner().invoke(measure, ["quick", "--seed", "7"])
    assert table.output == "figure of seed 7\n"
    as_json = CliRunner().invoke(measure, ["quick", "--seed", "7", "--json"])
    assert json.loads(as_json.output) == {"seed": 7}


def test_an_unknown_name_is_refused() -> None:
    assert CliRunner().invoke(measure, ["other"]).exit_code == 2


def test_all_writes_a_report_of_three_seeds(tmp_path: Path) -> None:
    result = CliRunner().invoke(measure, ["all", "--out", str(tmp_path), "--jobs", "1"])
    assert result.exit_code == 0
    report = (tmp_path / "report.md").read_text(encoding="utf-8")
    assert all(f"figure of seed {seed}" in report for seed in (1, 2, 3))
