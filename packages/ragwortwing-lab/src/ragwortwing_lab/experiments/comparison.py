"""The result of an experiment that compares the shipped policy with baselines."""

from __future__ import annotations

from dataclasses import dataclass
from io import StringIO
from typing import TYPE_CHECKING

from rich.console import Console
from rich.table import Table

from ..model.site import run
from ..model.variants import BASELINES, SHIPPED
from .figures import VariantFigures, figures_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model.site import Scenario
    from ..model.variants import Variant
    from .figures import ClassFigures

TABLE_WIDTH = 160


@dataclass(frozen=True, slots=True)
class Goal:
    """A measured value beside what it should be."""

    name: str
    value: float
    wanted: str
    met: bool


@dataclass(frozen=True, slots=True)
class Comparison:
    """One experiment with one seed."""

    name: str
    seed: int
    variants: tuple[VariantFigures, ...]
    goals: tuple[Goal, ...] = ()

    def render(self) -> str:
        """Return the tables by class and over all, and the goals."""
        out = StringIO()
        console = Console(file=out, width=TABLE_WIDTH)
        console.print(f"{self.name}, seed {self.seed}")
        console.print(self._classes_table())
        console.print(self._totals_table())
        for goal in self.goals:
            verdict = "met" if goal.met else "MISSED"
            console.print(f"{goal.name}: {goal.value:.4g} (goal {goal.wanted}): {verdict}")
        return out.getvalue()

    def _classes_table(self) -> Table:
        headings = ("class", "variant", "offered", "attained", "share", "not run", "unknown")
        table = Table(*headings, "failed", "unfinished", "inversions", "first p50", "first p99")
        names = dict.fromkeys(name for each in self.variants for name in each.classes_by_name)
        for name in names:
            for variant in self.variants:
                if name in variant.classes_by_name:
                    table.add_row(*_class_row(variant.variant, variant.classes_by_name[name]))
            table.add_section()
        return table

    def _totals_table(self) -> Table:
        headings = ("variant", "useful tokens", "orders", "wasted tokens", "wasted", "inversions")
        table = Table(*headings, "prefilled", "preemptions", "messages/request")
        for each in self.variants:
            table.add_row(
                each.variant,
                str(each.useful_tokens),
                str(each.orders),
                str(each.wasted_tokens),
                f"{each.wasted_share:.2%}",
                str(each.inversions),
                str(each.prefilled_tokens),
                str(each.preemptions),
                f"{each.messages_per_request:.1f}",
            )
        return table


def compare(
    name: str, scenario: Scenario, seed: int, variants: Sequence[Variant] = (SHIPPED, *BASELINES)
) -> Comparison:
    """Run a scenario under every variant."""
    classes = scenario.configuration.classes_by_name
    results = [figures_of(run(scenario, each, seed), classes) for each in variants]
    return Comparison(name, seed, tuple(results))


def _class_row(variant: str, figures: ClassFigures) -> tuple[str, ...]:
    return (
        figures.name,
        variant,
        str(figures.offered),
        str(figures.attained),
        f"{figures.attainment:.1%}",
        str(figures.not_run),
        str(figures.unknown),
        str(figures.failed),
        str(figures.unfinished),
        str(figures.inversions),
        _seconds(figures.first_token_p50),
        _seconds(figures.first_token_p99),
    )


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f} s"
