"""Renders the results of the capacity experiment as tables."""

from __future__ import annotations

from io import StringIO
from typing import TYPE_CHECKING

from rich.console import Console
from rich.table import Table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .capacity_budget import BudgetLine
    from .slopes import MessageCost, Slope

TABLE_WIDTH = 150


def render_tables(
    slopes: Sequence[Slope], messages: Sequence[MessageCost], lines: Sequence[BudgetLine]
) -> str:
    """Return tables of slopes, message costs and budgets as text."""
    out = StringIO()
    console = Console(file=out, width=TABLE_WIDTH)
    console.print(_slope_table(slopes))
    console.print(_message_table(messages))
    console.print(_budget_table(lines))
    return out.getvalue()


def _slope_table(slopes: Sequence[Slope]) -> Table:
    table = Table("what grows", "unit", "sizes", "costs", "slope", "intercept", "fit")
    for each in slopes:
        table.add_row(
            each.name,
            each.unit,
            ", ".join(f"{size:,}" for size in each.sizes),
            ", ".join(f"{cost:,.1f}" for cost in each.costs),
            f"{each.slope:,.4g}",
            f"{each.intercept:,.4g}",
            f"{each.fit:.3f}",
        )
    return table


def _message_table(messages: Sequence[MessageCost]) -> Table:
    table = Table("message", "bytes on the wire", "encode, µs", "decode, µs")
    for each in messages:
        table.add_row(
            each.name,
            str(each.wire_bytes),
            f"{each.encode_microseconds:.1f}",
            f"{each.decode_microseconds:.1f}",
        )
    return table


def _budget_table(lines: Sequence[BudgetLine]) -> Table:
    table = Table("role", "quantity", "sum at target", "budget", "unit", "holds")
    for each in lines:
        limit = "" if each.limit is None else f"{each.limit:,.4g}"
        verdict = "" if each.limit is None else ("yes" if each.holds else "NO")
        table.add_row(each.role, each.quantity, f"{each.value:,.4g}", limit, each.unit, verdict)
    return table
