"""Aggregates the results of a load generator run into a report."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from io import StringIO
from typing import TYPE_CHECKING

from rich.console import Console
from rich.table import Table

from .traffic import CallKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .caller import CallResult

TABLE_WIDTH = 110
COMPLETED = "completed"


@dataclass(frozen=True, slots=True)
class ClassReport:
    """Results of the calls of one request class."""

    calls: int
    completed: int
    attained: int
    first_token_median: float | None
    first_token_p95: float | None
    between_tokens_median: float | None

    @property
    def attainment(self) -> float:
        """Share of all calls that completed within the targets."""
        return self.attained / self.calls if self.calls else 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Results of a whole run."""

    seconds: float
    classes_by_name: dict[str, ClassReport]
    counts_by_outcome: dict[str, int]
    """Calls by outcome, followed by a slash and the reason if there is one."""
    goodput_tokens: float
    """Tokens per second of correct, completed answers."""
    goodput_orders: float
    """Completed orders per second."""
    wasted_share: float
    """Share of the counted tokens that belong to attempts that did not complete."""
    wrong_answers: int
    """Answers that failed verification."""
    unanswered: int
    """Calls whose connection broke without an outcome."""

    def render(self) -> str:
        """Return the report as tables."""
        console = Console(file=StringIO(), width=TABLE_WIDTH, force_terminal=False)
        console.print(self._class_table())
        console.print(self._total_table())
        return str(console.file.getvalue()).rstrip()  # type: ignore[attr-defined]

    def _class_table(self) -> Table:
        table = Table("class", "calls", "completed", "attained", "first token", "p95", "between")
        for name, each in self.classes_by_name.items():
            table.add_row(
                name,
                str(each.calls),
                str(each.completed),
                f"{each.attainment:.1%}",
                _milliseconds(each.first_token_median),
                _milliseconds(each.first_token_p95),
                _milliseconds(each.between_tokens_median),
            )
        return table

    def _total_table(self) -> Table:
        table = Table("figure", "value")
        table.add_row("goodput", f"{self.goodput_tokens:.0f} tokens/s")
        table.add_row("orders", f"{self.goodput_orders:.2f} /s")
        table.add_row("wasted work", f"{self.wasted_share:.2%} of tokens")
        table.add_row("wrong answers", str(self.wrong_answers))
        table.add_row("without an outcome", str(self.unanswered))
        for outcome, count in sorted(self.counts_by_outcome.items()):
            table.add_row(outcome, str(count))
        return table


def make_report(results: Sequence[CallResult], seconds: float) -> LoadReport:
    """Aggregate the results of a run.

    Args:
        results: Results of all calls.
        seconds: Time from the start of the run to the last answer.
    """
    correct = [each for each in results if each.outcome == COMPLETED and not each.fault]
    tokens = sum(each.tokens for each in correct)
    wasted = sum(each.wasted_tokens for each in results)
    orders = sum(1 for each in correct if each.arrival.traffic.kind is CallKind.ORDER)
    names = dict.fromkeys(each.arrival.traffic.request_class for each in results)
    return LoadReport(
        seconds=seconds,
        classes_by_name={name: _class_report(results, name) for name in sorted(names)},
        counts_by_outcome=dict(Counter(_outcome_name(each) for each in results)),
        goodput_tokens=tokens / seconds,
        goodput_orders=orders / seconds,
        wasted_share=wasted / (tokens + wasted) if wasted else 0.0,
        wrong_answers=sum(1 for each in results if each.fault),
        unanswered=sum(1 for each in results if each.outcome == "no_answer"),
    )


def _class_report(results: Sequence[CallResult], name: str) -> ClassReport:
    class_results = [each for each in results if each.arrival.traffic.request_class == name]
    completed = [each for each in class_results if each.outcome == COMPLETED and not each.fault]
    first = [each.first_token for each in completed if each.first_token is not None]
    between = [each.between_tokens for each in completed if each.between_tokens is not None]
    return ClassReport(
        calls=len(class_results),
        completed=len(completed),
        attained=sum(1 for each in class_results if each.attained),
        first_token_median=quantile(first, 0.5),
        first_token_p95=quantile(first, 0.95),
        between_tokens_median=quantile(between, 0.5),
    )


def quantile(values: Sequence[float], share: float) -> float | None:
    """Return the quantile of the values at a share, or None if there are no values.

    Example:
        >>> quantile([3.0, 1.0, 2.0], 0.5)
        2.0
    """
    if not values:
        return None
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _outcome_name(result: CallResult) -> str:
    return f"{result.outcome}/{result.reason}" if result.reason else result.outcome


def _milliseconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.1f} ms"
