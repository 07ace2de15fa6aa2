"""Registry of the experiments that the `measure` command runs.

An experiment is a function of a seed. To add one, decorate the function with `experiment` and list
its module in `MODULES`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from typing import Protocol, TypeVar

MODULES = (
    "ragwortwing_lab.experiments.overload",
    "ragwortwing_lab.experiments.engines",
    "ragwortwing_lab.experiments.dispatch",
    "ragwortwing_lab.experiments.yardstick",
    "ragwortwing_lab.experiments.capacity",
    "ragwortwing_lab.experiments.faults",
    "ragwortwing_lab.experiments.decision_cost",
    "ragwortwing_lab.experiments.account_limits",
    "ragwortwing_lab.experiments.order_claims",
    "ragwortwing_lab.experiments.relay",
    "ragwortwing_lab.experiments.direct_entry",
    "ragwortwing_lab.experiments.account_shares",
)
"""Modules that register experiments on import."""


class Result(Protocol):
    """Result of an experiment: a frozen data class whose fields `--json` prints."""

    def render(self) -> str:
        """Return the result as human-readable text."""


ExperimentFunction = Callable[[int], Result]
FunctionT = TypeVar("FunctionT", bound=ExperimentFunction)


@dataclass(frozen=True, slots=True)
class Experiment:
    """A registered experiment."""

    name: str
    summary: str
    function: ExperimentFunction
    in_all: bool = True
    """Whether `measure all` runs it; false if it starts processes or takes minutes."""


experiments_by_name: dict[str, Experiment] = {}


def experiment(name: str, in_all: bool = True) -> Callable[[FunctionT], FunctionT]:
    """Register a function of a seed as an experiment; its docstring's first line is the summary."""

    def register(function: FunctionT) -> FunctionT:
        summary = (function.__doc__ or "").strip().partition("\n")[0]
        experiments_by_name[name] = Experiment(name, summary, function, in_all)
        return function

    return register


def load_experiments() -> dict[str, Experiment]:
    """Import all experiment modules and return the registry."""
    for module in MODULES:
        import_module(module)
    return experiments_by_name
