"""Compares the shipped policy at 1.5 times the capacity with what the capacity allows."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from ragwortwing_policy.outcomes import OutcomeKind

from ..model.site import REQUEST_CLASSES, Scenario, configure, run
from ..model.variants import SHIPPED
from .comparison import Comparison, Goal, top_goals
from .figures import figures_of
from .registry import experiment
from .site_loads import BETWEEN_TOKENS, CHAT, DRAFTS, NARRATIVES, at_load, engines

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model.site import Trace
    from ..model.workload import Traffic

TOP_LOAD = 0.6
LOWER_LOAD = 0.9
SATURATING_LOAD = 1.5
DURATION = 100.0
WARM_UP = 20.0
"""Seconds at the start that goodput ignores, while the batches fill."""

LOWER_GOAL = 0.90

STRICT_CLASSES = tuple(
    replace(each, between_token_target=timedelta(seconds=BETWEEN_TOKENS))
    for each in REQUEST_CLASSES
)
"""All classes with the top tier's between-token target.

With looser targets an engine without chat would run larger batches. Its goodput would then not be
comparable with the capacity that remains beside chat.
"""


@experiment("yardstick")
def yardstick(seed: int) -> Comparison:
    """Chat at 0.6 and lower tiers at 0.9 of the capacity, compared with each alone."""
    backends = engines()
    top = at_load(CHAT, TOP_LOAD, backends)
    lower = [at_load(DRAFTS, LOWER_LOAD * 0.6, backends)]
    lower.append(at_load(NARRATIVES, LOWER_LOAD * 0.4, backends))

    def trace(*traffics: Traffic) -> Trace:
        scenario = Scenario(
            backends, traffics, DURATION, warm_up=WARM_UP, configuration=configure(STRICT_CLASSES)
        )
        return run(scenario, SHIPPED, seed)

    mixed = trace(top, *lower)
    alone = trace(top)
    max_top_goodput = goodput(trace(at_load(CHAT, SATURATING_LOAD, backends)), ("chat",))
    scale = SATURATING_LOAD / LOWER_LOAD
    lower_names = tuple(each.class_name for each in lower)
    lower_alone = trace(*(replace(each, rate=each.rate * scale) for each in lower))
    max_lower_goodput = goodput(lower_alone, lower_names)
    spare_goodput = max_lower_goodput * (1 - goodput(mixed, ("chat",)) / max_top_goodput)
    classes = {each.name: each for each in STRICT_CLASSES}
    figures = replace(figures_of(mixed, classes), variant="mixed")
    figures_alone = replace(figures_of(alone, classes), variant="chat alone")
    lower_figures = replace(figures_of(lower_alone, classes), variant="lower alone, saturated")
    lower_share = goodput(mixed, lower_names) / spare_goodput
    lower_goal = Goal(
        "lower tiers' goodput, of leftover",
        lower_share,
        f">= {LOWER_GOAL}",
        lower_share >= LOWER_GOAL,
    )
    goals = (*top_goals(figures, figures_alone.classes_by_name["chat"]), lower_goal)
    return Comparison("yardstick", seed, (figures, figures_alone, lower_figures), goals)


def goodput(trace: Trace, class_names: Sequence[str]) -> float:
    """Return the tokens per second delivered between the warm-up and the end of the arrivals.

    Only completed answers count, including those that complete after the last arrival. An answer
    that was preempted by more urgent work and completed later is not a loss.
    """
    tokens = sum(
        record.counted_tokens
        for record in trace.records
        if record.arrival.class_name in class_names
        and record.outcome is not None
        and record.outcome.kind is OutcomeKind.COMPLETED
    )
    return tokens / (trace.duration - WARM_UP)
