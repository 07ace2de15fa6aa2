"""Compares the shipped policy with baselines and renders the result."""

from __future__ import annotations

from dataclasses import dataclass, replace
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

TOP_GOAL = 0.99
WASTE_GOAL = 0.02


@dataclass(frozen=True, slots=True)
class Goal:
    """A measured value with its goal."""

    name: str
    value: float
    wanted: str
    met: bool


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured value without a goal."""

    name: str
    value: float


@dataclass(frozen=True, slots=True)
class Comparison:
    """Result of one experiment with one seed."""

    name: str
    seed: int
    variants: tuple[VariantFigures, ...]
    goals: tuple[Goal, ...] = ()
    figures: tuple[Figure, ...] = ()

    def render(self) -> str:
        """Return the tables per class and in total, followed by the goals."""
        out = StringIO()
        console = Console(file=out, width=TABLE_WIDTH)
        console.print(f"{self.name}, seed {self.seed}")
        console.print(self._classes_table())
        console.print(self._totals_table())
        for goal in self.goals:
            verdict = "met" if goal.met else "MISSED"
            console.print(f"{goal.name}: {goal.value:.4g} (goal {goal.wanted}): {verdict}")
        for figure in self.figures:
            console.print(f"{figure.name}: {figure.value:.4g}")
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
        headings = (
            "variant",
            "useful tokens",
            "attained",
            "orders",
            "wasted tokens",
            "wasted",
            "inversions",
        )
        table = Table(*headings, "prefilled", "preemptions", "messages/request")
        for each in self.variants:
            table.add_row(
                each.variant,
                str(each.useful_tokens),
                str(each.attained_tokens),
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
    name: str,
    scenario: Scenario,
    seed: int,
    variants: Sequence[Variant] = (SHIPPED, *BASELINES),
    top_class: str | None = None,
) -> Comparison:
    """Run a scenario under every variant.

    Args:
        name: Name of the experiment.
        scenario: Workload and faults to run.
        seed: Seed of the random streams.
        variants: Variants to compare; the goals apply to the first.
        top_class: The most urgent class, compared with a run of that class alone; None to skip
            this comparison and its goals.
    """
    classes = scenario.configuration.classes_by_name
    results = tuple(figures_of(run(scenario, each, seed), classes) for each in variants)
    if top_class is None:
        return Comparison(name, seed, results)
    traffics = tuple(each for each in scenario.traffics if each.class_name == top_class)
    alone = run(replace(scenario, traffics=traffics), variants[0], seed)
    alone_figures = figures_of(alone, classes).classes_by_name[top_class]
    return Comparison(name, seed, results, top_goals(results[0], alone_figures))


def top_goals(figures: VariantFigures, alone: ClassFigures) -> tuple[Goal, ...]:
    """Return the goals for the most urgent class, which apply to every burst."""
    top = figures.classes_by_name[alone.name]
    share = top.attained / max(1, alone.attained)
    wasted = figures.wasted_share
    return (
        Goal(f"{top.name} attained, of alone", share, f">= {TOP_GOAL}", share >= TOP_GOAL),
        Goal("wasted tokens", wasted, f"<= {WASTE_GOAL}", wasted <= WASTE_GOAL),
        Goal(
            f"{top.name} refused while a lower class ran", top.inversions, "0", not top.inversions
        ),
    )


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
